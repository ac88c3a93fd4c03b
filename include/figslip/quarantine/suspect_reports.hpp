#pragma once

#include <figslip/quarantine/part_quarantine.hpp>
#include <figslip/quarantine/report_spread.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace figslip::quarantine {

/// @brief Holds the suspects of crashes that this instance is to publish.
///
/// The reports of all instances about a crash merge, so a report leaves out the
/// suspects that another instance has published for the same crash, and is
/// dropped if it has no others. A report with a suspect of another crash is
/// not delayed, because it may complete the evidence against a part.
class SuspectReports
{
public:
  struct Options
  {
    std::uint64_t mSeed = 0; ///< different in each instance
    /// reports for an upstream within this time belong to one crash
    Duration mSameCrashWindow = std::chrono::seconds(2);
    Duration mRetention = std::chrono::seconds(60); ///< time a crash counts
    /// bounds the memory; others are dropped. Reports of one upstream merge, so
    /// that the instances of a failure domain need little more than one; as
    /// many as published crashes.
    std::size_t mMaxPending = 256;
    std::size_t mMaxKnown = 256; ///< published crashes; bounds the memory
  };

  explicit SuspectReports(Options aOptions)
    : mOptions(aOptions)
    , mSpread(aOptions.mSeed)
  {
  }

  /// @brief Sets the number of instances that share their reports.
  void SetInstanceCount(int aInstances)
  {
    mSpread.SetInstanceCount(aInstances);
  }

  /// @brief Takes suspects that this instance has seen.
  /// @return whether they are held or known; false: there is no room
  bool OnOwn(const CrashSuspects& aCrash, TimePoint aNow);

  /// @brief Returns a crash without the suspects that are published for it.
  [[nodiscard]] CrashSuspects WithoutKnown(CrashSuspects aCrash) const;

  /// @brief Records suspects that another instance has published.
  void OnPublished(const CrashSuspects& aCrash, TimePoint aNow);

  /// @brief Returns the reports to publish now, each of them once; those that
  /// may complete the evidence against a part come first.
  /// @param[in] aMax maximum number of reports; the others stay due
  [[nodiscard]] std::vector<CrashSuspects> TakeDue(std::size_t aMax,
                                                   TimePoint aNow);

  [[nodiscard]] std::size_t PendingCount() const { return mPending.size(); }

private:
  struct Pending
  {
    CrashSuspects mCrash;
    TimePoint mDueAt;
    bool mIsUrgent = false; ///< has a suspect of another crash
  };

  struct Known
  {
    CrashSuspects mCrash;
    TimePoint mSeenAt;
  };

  [[nodiscard]] bool IsSameCrash(const CrashSuspects& aCrash,
                                 const CrashSuspects& aOther) const;
  void Remember(const CrashSuspects& aCrash, TimePoint aNow);

  Options mOptions;
  ReportSpread mSpread;
  std::map<std::string, Pending> mPending; ///< by upstream
  std::deque<Known> mKnown;                ///< published, oldest first
};

} // namespace figslip::quarantine
