#pragma once

#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::relay {

/// @brief Names an instance that may pass on its copy of the store.
struct Peer
{
  std::string mInstance;
  std::string mFailureDomain;
  std::string mAddress; ///< IP number and port

  auto operator<=>(const Peer&) const = default;
};

/// @brief Lists how an instance can fail to be a source.
enum class SourceFailure
{
  Unreachable, ///< it gave no answer
  NoCopy       ///< it answered, and has no copy that is new enough
};

/// @brief Chooses from where an instance follows the store.
///
/// All instances of a failure domain rank its instances alike; each follows the
/// first one that answers, and that one follows the store itself. Nothing has
/// to be agreed on: an instance for which none before it answers follows the
/// store, too, and so may several at the same time. An instance that has lost
/// the store asks those of all failure domains.
class SourceChoice
{
public:
  struct Options
  {
    std::string mInstance;
    std::string mFailureDomain;
    /// time for which an unreachable instance is not asked; doubles each time
    Duration mAvoid = std::chrono::seconds(1);
    Duration mMaxAvoid = std::chrono::seconds(16);
    /// time for which an instance without a copy is not asked
    Duration mNoCopyAvoid = std::chrono::milliseconds(500);
    /// instances beyond those ranked before this one that are asked while the
    /// store is lost, so that the polls of all do not grow with their square
    std::size_t mMaxOthers = 6;
  };

  explicit SourceChoice(Options aOptions);

  /// @brief Takes the instances that are registered.
  void OnPeers(const std::vector<Peer>& aPeers);

  /// @brief Returns the instance to ask, or nothing: the store itself.
  /// @param[in] aHasLostStore whether the store does not answer this instance
  [[nodiscard]] std::optional<Peer> Next(bool aHasLostStore,
                                         TimePoint aNow) const;

  void OnAnswered(std::string_view aInstance);
  void OnFailed(std::string_view aInstance,
                SourceFailure aFailure,
                TimePoint aNow);

private:
  struct Failure
  {
    int mInRow = 0;
    TimePoint mUntil;
  };

  [[nodiscard]] bool IsAvoided(std::string_view aInstance,
                               TimePoint aNow) const;

  Options mOptions;
  std::vector<Peer> mBefore; ///< of the own domain, ranked before this one
  std::vector<Peer> mOthers; ///< all others, in an order of this instance
  std::map<std::string, Failure, std::less<>> mFailures;
};

} // namespace figslip::relay
