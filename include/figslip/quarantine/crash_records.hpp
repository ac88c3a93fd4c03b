#pragma once

#include <figslip/quarantine/quarantine.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::quarantine {

/// @brief Keeps track of the crash reports that instances share in the store.
///
/// A record is a named object with the number of requests in flight. Records
/// do not expire by themselves: the reporter removes its own after a time, any
/// other instance those that are left after twice as long.
class CrashRecords
{
public:
  struct Options
  {
    Duration mRetention = std::chrono::seconds(60); ///< time until the removal
  };

  explicit CrashRecords(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Returns the name of a report's record.
  [[nodiscard]] static std::string NameOf(const CrashReport& aReport);

  /// @brief Tells whether a name is that of a record.
  [[nodiscard]] static bool IsRecord(std::string_view aName);

  /// @brief Notes that this instance writes a record.
  /// @return whether the record is not there yet
  bool OnOwnRecord(std::string_view aName, TimePoint aNow);

  /// @brief Takes the records that the store has now.
  /// @param[in] aRecords requests in flight by name of the record
  /// @return reports of records that were not known
  std::vector<CrashReport> OnRecords(const std::map<std::string, int>& aRecords,
                                     TimePoint aNow);

  /// @brief Returns the records to be removed now, each of them once.
  [[nodiscard]] std::vector<std::string> TakeExpired(TimePoint aNow);

  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }

private:
  struct Record
  {
    TimePoint mFirstSeenAt;
    bool mIsOwn = false;
    bool mIsRemovalRequested = false; ///< its removal was asked for
  };

  Options mOptions;
  std::map<std::string, Record, std::less<>> mRecords;
};

} // namespace figslip::quarantine
