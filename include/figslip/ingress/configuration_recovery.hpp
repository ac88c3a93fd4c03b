#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <functional>
#include <map>
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
/// project's own, from which the others adopt it.
class ConfigurationRecovery
{
public:
  struct Options
  {
    std::uint64_t mSeed = 0; ///< differs by instance
    /// delays of the instances that follow the store themselves are spread over
    /// this time, so that mostly one of them publishes
    Duration mSpread = std::chrono::milliseconds(300);
    /// further delay of the others, which first see the records of those
    Duration mFollowerDelay = std::chrono::milliseconds(700);
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
  void OnInForce(std::int64_t aVersion) { mInForce = aVersion; }

  /// @brief Records which version the store holds.
  /// @param[in] aFollowsStore this instance follows the store itself
  void OnStored(std::int64_t aVersion, bool aFollowsStore, TimePoint aNow);

  /// @brief Replaces the versions of which the store has a record.
  void OnRecords(std::set<std::int64_t> aVersions);

  /// @brief Returns whether to publish the version in force now; then not again
  /// for some seconds.
  [[nodiscard]] bool TakeDue(TimePoint aNow);

  /// @brief Returns the records to remove, each of them once: the store holds
  /// these versions, or newer ones, again.
  [[nodiscard]] std::vector<std::string> TakeObsolete(bool aFollowsStore,
                                                      TimePoint aNow);

private:
  [[nodiscard]] Duration DelayOf(bool aFollowsStore) const;

  Options mOptions;
  std::int64_t mInForce = -1;
  std::int64_t mStored = -1;
  TimePoint mDueAt;     ///< of the publication, while the store lacks a version
  TimePoint mRemovalAt; ///< of records that are not needed any more
  std::set<std::int64_t> mRecords;
};

} // namespace figslip::ingress
