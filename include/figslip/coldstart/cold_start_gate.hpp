#pragma once

#include <figslip/manifest/manifest.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::coldstart {

/// @brief States how much work an upstream can bear.
enum class WarmupState
{
  Cold, ///< unknown, restarted, or failing; bears the cold concurrency only
  Warm
};

/// @brief Holds permission to use cold capacity of one upstream for a while.
struct Grant
{
  std::string mUpstream;
  int mSlots = 0;    ///< requests at a time, >= 0
  TimePoint mExpiry; ///< no new request at or after this time
};

/// @brief Limits the work of upstreams in cold start.
///
/// An upstream is cold until enough successes over enough time have been seen,
/// and again after any surprise. Cold capacity may be used only under a grant
/// of the upstream's home entry, so that the sum over all entries keeps the
/// bound.
class ColdStartGate
{
public:
  struct Options
  {
    int mMinSuccesses = 5; ///< successes needed, >= 1
    Duration mMinColdTime =
      std::chrono::seconds(5); ///< least time in cold start
    /// surprises told by peers within this time are one
    Duration mSameFailureWindow = std::chrono::seconds(2);
  };

  explicit ColdStartGate(Options aOptions);

  /// @brief Notes a success and the boot id that came with it.
  void OnSuccess(std::string_view aUpstream,
                 std::string_view aBootId,
                 TimePoint aNow);

  /// @brief Notes the boot id of a load report; a changed one makes it cold.
  void OnBootId(std::string_view aUpstream,
                std::string_view aBootId,
                TimePoint aNow);

  /// @brief Notes a refusal, a reset or a timeout.
  void OnFailureSignal(std::string_view aUpstream, TimePoint aNow);

  /// @brief Notes a surprise that a peer told of.
  void OnPeerFailureSignal(std::string_view aUpstream,
                           TimePoint aAt,
                           TimePoint aNow);

  /// @brief Notes that a peer found a run of the upstream warm.
  /// @param[in] aBootId the run; ignored where another one is known here
  /// @param[in] aFailureSignalAt last surprise that the peer knows of; the word
  /// of a peer that has not heard of a later surprise is ignored
  void OnPeerWarm(std::string_view aUpstream,
                  std::string_view aBootId,
                  std::optional<TimePoint> aFailureSignalAt);

  /// @brief Takes a grant of the home entry; a later grant replaces it.
  void OnGrant(const Grant& aGrant);

  /// @brief Returns when the upstream last surprised, as far as known.
  [[nodiscard]] std::optional<TimePoint> FailureSignalAt(
    std::string_view aUpstream) const;

  /// @brief Returns the boot id last seen, empty where none is known.
  [[nodiscard]] std::string BootIdOf(std::string_view aUpstream) const;

  [[nodiscard]] WarmupState WarmupStateOf(std::string_view aUpstream) const;

  /// @brief Returns how many requests this entry may have there at a time.
  [[nodiscard]] int Limit(const manifest::Upstream& aUpstream,
                          TimePoint aNow) const;

private:
  struct State
  {
    WarmupState mWarmupState = WarmupState::Cold;
    std::string mBootId;
    int mSuccesses = 0;
    std::optional<TimePoint> mColdSince; ///< none: nothing was seen yet
    std::optional<TimePoint> mFailureSignalAt;
    Grant mGrant;
  };

  void EnterColdStart(State& aState, TimePoint aNow);

  Options mOptions;
  std::map<std::string, State, std::less<>> mStates;
};

} // namespace figslip::coldstart
