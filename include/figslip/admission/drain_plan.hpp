#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::admission {

/// @brief Divides the grace period of a graceful shutdown and decides which
/// requests are still admitted.
///
/// New requests are admitted until the load balancer has taken the instance out
/// of rotation, and are refused afterwards. Open requests then have time to
/// complete. What is still open at the end of the drain gets a final answer
/// while the process can still send one.
///
/// Load that this answers: a planned stop beside requests whose timeouts exceed
/// what is left of the grace period. One that may run only once would be cut
/// off with an unknown outcome, so it is refused while another instance can
/// still serve it; one that may be repeated is safe to admit.
class DrainPlan
{
public:
  struct Options
  {
    TimePoint mBegunAt; ///< arrival of the signal to stop
    Duration mGrace{};  ///< after which the process is killed, > 0
  };

  explicit DrainPlan(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Returns the time from which all new requests are refused.
  [[nodiscard]] TimePoint RefusesFrom() const;

  /// @brief Returns the time at which open requests get their final answers.
  [[nodiscard]] TimePoint EndsAt() const;

  /// @brief Returns the time at which the process ends even if final answers
  /// are still being sent.
  [[nodiscard]] TimePoint ExitsAt() const;

  /// @brief Returns whether a request that arrives during the drain is served.
  /// @param[in] aDeadline latest time of its answer
  /// @param[in] aMayRepeat whether it may run more than once
  [[nodiscard]] bool Admits(TimePoint aNow,
                            TimePoint aDeadline,
                            bool aMayRepeat) const;

private:
  Options mOptions;
};

} // namespace figslip::admission
