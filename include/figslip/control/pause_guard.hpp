#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::control {

/// @brief Notices that the process was frozen.
///
/// After a pause the control state may be as old as the pause was long. Until
/// it is confirmed again, or for a grace, nothing may be dispatched on it.
class PauseGuard
{
public:
  struct Options
  {
    Duration mLongestGap = std::chrono::seconds(2); ///< between two ticks
    Duration mGrace = std::chrono::seconds(2);      ///< without confirmation
  };

  explicit PauseGuard(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Notes a tick of the control thread.
  /// @return whether a pause has just ended
  bool OnTick(TimePoint aNow);

  /// @brief Returns the heartbeat to publish.
  ///
  /// The time before the pause while its effects last, so that the dispatch
  /// check refuses, else the present time.
  /// @param[in] aConfirmedAt when the manifest was last known to be current
  [[nodiscard]] TimePoint Heartbeat(TimePoint aConfirmedAt, TimePoint aNow);

private:
  Options mOptions;
  TimePoint mLastTick;    ///< the epoch before the first one
  TimePoint mBeforePause; ///< last tick before the last pause
  TimePoint mResumedAt;
  bool mWaiting = false;
};

} // namespace figslip::control
