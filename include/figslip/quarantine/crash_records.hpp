#pragma once

#include <figslip/quarantine/quarantine.hpp>
#include <figslip/quarantine/record_tracker.hpp>
#include <figslip/quarantine/report_spread.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::quarantine {

/// @brief Tracks the crash reports that instances share in the store.
///
/// A record is a named object with the number of requests in flight. An
/// instance of a large fleet delays its reports by a time of its own, and
/// leaves out those that another one publishes for the same upstream and
/// request meanwhile. A report of a request that has crashed another upstream
/// is not delayed.
class CrashRecords
{
public:
  struct Options
  {
    Duration mRetention = std::chrono::seconds(60); ///< age at the removal
    std::uint64_t mSeed = 0; ///< different in each instance
    /// bounds the memory to a few hundred KB; others are dropped. An instance
    /// may publish for all of its failure domain: 64 reports for each of 16
    /// instances that lose requests at the same time.
    std::size_t mMaxPending = 1'024;
    /// counted reports that are remembered for the retention; bounds the memory
    std::size_t mMaxCounted = 1'024;
  };

  explicit CrashRecords(Options aOptions)
    : mOptions(aOptions)
    , mTracker({ .mRetention = aOptions.mRetention })
    , mSpread(aOptions.mSeed)
  {
  }

  /// @brief Sets the number of instances that share their reports.
  void SetInstanceCount(int aInstances)
  {
    mSpread.SetInstanceCount(aInstances);
  }

  /// @brief Takes a report that this instance is to publish.
  /// @return whether it is held or known; false: there is no room
  bool OnOwnReport(const CrashReport& aReport, TimePoint aNow);

  /// @brief Remembers a report that the quarantine of this instance has counted
  /// before its record is seen in the store; until that record is removed, or
  /// for the retention.
  void OnCounted(const CrashReport& aReport, TimePoint aNow);

  /// @brief Returns the reports of new records without those that the
  /// quarantine of this instance has counted.
  /// @note A report that comes back later than crashes are told apart would
  /// count as a second crash.
  [[nodiscard]] std::vector<CrashReport> WithoutCounted(
    std::vector<CrashReport> aReports,
    TimePoint aNow) const;

  /// @brief Returns the reports to publish now, each of them once; their
  /// records are tracked.
  [[nodiscard]] std::vector<CrashReport> TakeDue(TimePoint aNow);

  /// @brief Checks whether the record of a report is published, or held to be.
  [[nodiscard]] bool IsKnown(const CrashReport& aReport) const
  {
    const auto name = NameOf(aReport);
    return mTracker.Contains(name) || mPending.contains(name);
  }

  /// @brief Returns the name of the record of a report.
  [[nodiscard]] static std::string NameOf(const CrashReport& aReport);

  /// @brief Checks whether a name is that of a crash record.
  [[nodiscard]] static bool IsRecord(std::string_view aName);

  /// @brief Tracks a record that this instance is about to write.
  /// @return whether the record is new
  bool OnOwnRecord(std::string_view aName, TimePoint aNow)
  {
    return mTracker.OnOwnRecord(aName, aNow);
  }

  /// @brief Replaces the tracked records by those in the store.
  /// @param[in] aRecords requests in flight by name of the record
  /// @return reports of the new records
  /// @note Own records that are not in the store yet stay tracked.
  std::vector<CrashReport> OnRecords(const std::map<std::string, int>& aRecords,
                                     TimePoint aNow);

  /// @brief Returns the reports whose records the last call of `OnRecords`
  /// dropped.
  [[nodiscard]] std::vector<CrashReport> Withdrawn() const;

  /// @brief Returns the names of the records of some requests, each of them
  /// once; they are to be removed. Reports that are held are dropped.
  [[nodiscard]] std::vector<std::string> TakeRecordsOf(
    const std::set<std::uint64_t>& aFingerprints);

  /// @brief Checks whether this instance has written a record that no list has
  /// contained yet; other instances may not know it.
  [[nodiscard]] bool IsOwnUnlisted(std::string_view aName) const
  {
    return mTracker.IsOwnUnlisted(aName);
  }

  /// @brief Checks whether a record is to be removed now that its request was
  /// served; true once for each record that is tracked.
  [[nodiscard]] bool TakeRecord(std::string_view aName)
  {
    return !mTracker
              .TakeIf(
                [&](const std::string& aOther) { return aOther == aName; })
              .empty();
  }

  /// @brief Returns the names of the records to remove now, each of them once.
  /// @param[in] aFollowsStore this instance follows the store itself
  [[nodiscard]] std::vector<std::string> TakeExpired(bool aFollowsStore,
                                                     TimePoint aNow)
  {
    return mTracker.TakeExpired(aFollowsStore, aNow);
  }

  [[nodiscard]] std::size_t Size() const { return mTracker.Size(); }

private:
  struct Pending
  {
    CrashReport mReport;
    TimePoint mDueAt;
  };

  Options mOptions;
  RecordTracker mTracker;
  ReportSpread mSpread;
  std::map<std::string, Pending, std::less<>> mPending; ///< by record
  /// time at which a report was counted, by record
  std::map<std::string, TimePoint, std::less<>> mCounted;
};

} // namespace figslip::quarantine
