#pragma once

#include <figslip/manifest/manifest.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::coldstart {

/// @brief Warm-up state of an upstream; determines its concurrency limit.
enum class WarmupState
{
  Cold, ///< unknown, restarted or failing: at most the cold concurrency
  Warm  ///< full concurrency
};

/// @brief Permission to use cold capacity of one upstream for a limited time.
struct Grant
{
  std::string mUpstream;
  int mSlots = 0;    ///< concurrent requests, >= 0
  TimePoint mExpiry; ///< no new request from this time on
};

/// @brief Limits the concurrency of upstreams in cold start.
///
/// An upstream is cold until a minimum number of successes was seen over a
/// minimum time, and again after any failure signal. Cold capacity may only be
/// used under a grant of the instance that owns the upstream, so that the sum
/// over all instances stays within the cold concurrency.
class ColdStartGate
{
public:
  struct Options
  {
    int mMinSuccesses = 5; ///< successes until warm, >= 1
    Duration mMinColdTime =
      std::chrono::seconds(5); ///< minimum time until warm
    /// failure signals from peers within this time count as one
    Duration mSameFailureWindow = std::chrono::seconds(2);
  };

  explicit ColdStartGate(Options aOptions);

  /// @brief Records a success and the boot id in the response.
  void OnSuccess(std::string_view aUpstream,
                 std::string_view aBootId,
                 TimePoint aNow);

  /// @brief Records the boot id of a load report.
  /// @note A changed boot id makes the upstream cold.
  void OnBootId(std::string_view aUpstream,
                std::string_view aBootId,
                TimePoint aNow);

  /// @brief Makes the upstream cold after a refusal, a reset or a timeout.
  void OnFailureSignal(std::string_view aUpstream, TimePoint aNow);

  /// @brief Makes the upstream cold after a failure signal seen by a peer.
  /// @param[in] aAt time of the signal; ignored unless it is later than the
  /// last known one by more than mSameFailureWindow
  void OnPeerFailureSignal(std::string_view aUpstream,
                           TimePoint aAt,
                           TimePoint aNow);

  /// @brief Makes the upstream warm after a report by a peer.
  /// @param[in] aBootId boot id at the peer; the report is ignored if a
  /// different one is known here
  /// @param[in] aFailureSignalAt last failure signal known to the peer; the
  /// report is ignored if a later one is known here
  void OnPeerWarm(std::string_view aUpstream,
                  std::string_view aBootId,
                  std::optional<TimePoint> aFailureSignalAt);

  /// @brief Stores a grant by the owner; it replaces the previous grant.
  void OnGrant(const Grant& aGrant);

  /// @brief Returns the time of the last failure signal, empty if none is
  /// known.
  [[nodiscard]] std::optional<TimePoint> FailureSignalAt(
    std::string_view aUpstream) const;

  /// @brief Returns the last boot id, empty if none is known.
  [[nodiscard]] std::string BootIdOf(std::string_view aUpstream) const;

  [[nodiscard]] WarmupState WarmupStateOf(std::string_view aUpstream) const;

  /// @brief Returns how many concurrent requests this instance may send there.
  [[nodiscard]] int Limit(const manifest::Upstream& aUpstream,
                          TimePoint aNow) const;

private:
  struct State
  {
    WarmupState mWarmupState = WarmupState::Cold;
    std::string mBootId;
    int mSuccesses = 0;
    std::optional<TimePoint> mColdSince; ///< empty: nothing seen yet
    std::optional<TimePoint> mFailureSignalAt;
    Grant mGrant;
  };

  void EnterColdStart(State& aState, TimePoint aNow);

  Options mOptions;
  std::map<std::string, State, std::less<>> mStates;
};

} // namespace figslip::coldstart
