#pragma once

#include <figslip/store/store_revision.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::ingress {

/// @brief Decides when instances publish a configuration that the store has
/// lost.
///
/// A store that is restored from an older copy lacks configurations that
/// instances have in force. Instances that have not seen them, such as one that
/// has just started, would use an older one until the operators write again. An
/// instance that has the configuration publishes it as a record of the
/// project's own, from which the others adopt it. Records count only within the
/// era of the store in which its configuration was read.
class ConfigurationRecovery
{
public:
  struct Options
  {
    std::uint64_t mSeed = 0; ///< differs by instance
    /// delays are spread over this time for each instance, so that the writes
    /// of all do not come at once
    Duration mSpreadPerInstance = std::chrono::milliseconds(20);
    Duration mMinSpread = std::chrono::milliseconds(300);
    /// further delay of instances that follow another one: they first see the
    /// records of those that follow the store
    Duration mFollowerDelay = std::chrono::seconds(2);
    /// delay after a record has vanished: it is removed as soon as an instance
    /// has read the configuration in the store again, and the others read that
    /// within this time
    Duration mVanishedDelay = std::chrono::seconds(2);
  };

  explicit ConfigurationRecovery(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Returns the name of the record of a version.
  [[nodiscard]] static std::string RecordName(std::int64_t aVersion);
  /// @brief Returns the version that a record of this name holds; nothing for
  /// other names.
  [[nodiscard]] static std::optional<std::int64_t> VersionOf(
    std::string_view aName);

  /// @brief Records which version is in force at this instance.
  void OnInForce(std::int64_t aVersion);

  /// @brief Sets the number of instances that may publish.
  void SetInstanceCount(int aCount) { mInstanceCount = aCount; }

  /// @brief Records which version the store holds.
  /// @param[in] aFollowsStore this instance follows the store itself
  void OnStored(std::int64_t aVersion,
                store::StoreEra aEra,
                bool aFollowsStore,
                TimePoint aNow);

  /// @brief Replaces the versions of which the store has a readable record.
  void OnRecords(std::set<std::int64_t> aVersions,
                 store::StoreEra aEra,
                 TimePoint aNow);

  /// @brief Returns whether to publish the version in force now. It is
  /// published once in an era, and again if its record vanishes.
  [[nodiscard]] bool TakeDue(TimePoint aNow);

  /// @brief Returns the records to remove, since the store holds these
  /// versions, or newer ones, again.
  /// @note A record is returned again if a later list still has it.
  [[nodiscard]] std::vector<std::string> TakeObsolete(bool aFollowsStore,
                                                      TimePoint aNow);

private:
  [[nodiscard]] Duration DelayOf(bool aFollowsStore) const;
  /// Returns whether the records are those of the configuration's era.
  [[nodiscard]] bool KnowsRecords() const { return mRecordEra == mStoredEra; }

  Options mOptions;
  std::int64_t mInForce = -1;
  std::int64_t mStored = -1;
  store::StoreEra mStoredEra{};
  store::StoreEra mRecordEra{};
  int mInstanceCount = 1;
  bool mIsPublished = false; ///< the version in force, in this era
  TimePoint mDueAt;     ///< of the publication, while the store lacks a version
  TimePoint mRemovalAt; ///< of records that are not needed any more
  std::set<std::int64_t> mRecords;
};

} // namespace figslip::ingress
