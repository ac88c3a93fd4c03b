#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::placement {

/// @brief Lists what an attempt tells of the health of its upstream.
enum class AttemptHealth
{
  Good,
  Error,       ///< a failure that the upstream reported
  Broken,      ///< reset, cut short or garbled
  TimedOut,    ///< no answer in time
  Unreachable, ///< no connection was opened in time
  Refused,     ///< the connection was refused
  Rejected     ///< full or leaving; says nothing of its health
};

/// @brief Judges an upstream by the attempts of this instance.
///
/// A health check may pass while requests fail. An upstream that fails often
/// is avoided for a while, then tried again.
class UpstreamHealth
{
public:
  void OnOutcome(AttemptHealth aHealth, TimePoint aNow);

  /// @brief Tells whether the upstream is avoided.
  [[nodiscard]] bool IsAvoided(TimePoint aNow) const
  {
    return aNow < mAvoidUntil;
  }

  /// @brief Returns the smoothed part of attempts that failed, [0, 1].
  [[nodiscard]] double FailureRate() const { return mFailureRate; }

  void Reset() { *this = {}; }

private:
  double mFailureRate = 0.0;
  int mConsecutiveFailures = 0;
  TimePoint mAvoidUntil;
};

} // namespace figslip::placement
