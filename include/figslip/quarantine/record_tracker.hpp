#pragma once

#include <figslip/time/time_point.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::quarantine {

/// @brief Tracks the records that instances share in the store.
///
/// Records do not expire in the store: the instance that wrote one removes it
/// after the retention time. Those that are still there after twice that time
/// are those of a lost instance: an instance that follows the store itself
/// removes them, and any other one after four times the retention, so that not
/// all instances send the same removals.
class RecordTracker
{
public:
  struct Options
  {
    Duration mRetention = std::chrono::seconds(60); ///< age at the removal
    /// age at which an own record that no list has contained counts as removed
    Duration mMaxWriteTime = std::chrono::seconds(5);
  };

  explicit RecordTracker(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Tracks a record that this instance is about to write.
  /// @return whether the record is new
  bool OnOwnRecord(std::string_view aName, TimePoint aNow);

  /// @brief Replaces the tracked records by those in the store.
  /// @return names of the new records
  /// @note Own records that are not in the store yet stay tracked.
  std::vector<std::string> OnRecords(
    const std::set<std::string, std::less<>>& aNames,
    TimePoint aNow);

  /// @brief Returns the names of the records to remove now, each of them once.
  /// @param[in] aFollowsStore this instance follows the store itself
  [[nodiscard]] std::vector<std::string> TakeExpired(bool aFollowsStore,
                                                     TimePoint aNow);

  /// @brief Returns the names that the last call of `OnRecords` dropped.
  [[nodiscard]] const std::vector<std::string>& Removed() const
  {
    return mRemoved;
  }

  /// @brief Returns the names to remove now because they match, each of them
  /// once.
  [[nodiscard]] std::vector<std::string> TakeIf(
    const std::function<bool(const std::string&)>& aMatches);

  /// @brief Checks whether a name with a prefix is tracked.
  [[nodiscard]] bool HasPrefix(std::string_view aPrefix) const;

  [[nodiscard]] bool Contains(std::string_view aName) const
  {
    return mRecords.contains(aName);
  }

  /// @brief Checks whether this instance has written a record that no list has
  /// contained yet; other instances may not know it.
  [[nodiscard]] bool IsOwnUnlisted(std::string_view aName) const
  {
    const auto found = mRecords.find(aName);
    return found != mRecords.end() && found->second.mIsOwn &&
           !found->second.mWasListed;
  }

  [[nodiscard]] std::size_t Size() const { return mRecords.size(); }

private:
  struct Record
  {
    TimePoint mFirstSeenAt;
    bool mIsOwn = false;     ///< written by this instance
    bool mWasListed = false; ///< seen in the store
    bool mIsRemovalRequested = false;
  };

  Options mOptions;
  std::map<std::string, Record, std::less<>> mRecords;
  std::vector<std::string> mRemoved; ///< by the last `OnRecords`
};

} // namespace figslip::quarantine
