#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::placement {

/// @brief Classifies the outcome of an attempt as evidence of the health of its
/// upstream.
enum class AttemptHealth
{
  Good,
  Error,       ///< the upstream reported a failure
  Broken,      ///< the response was reset, truncated or malformed
  TimedOut,    ///< no response before the timeout
  Unreachable, ///< opening a connection timed out
  Refused,     ///< the connection was refused
  Rejected     ///< full or draining; no evidence of its health
};

/// @brief Detects a failing upstream from the attempts of this instance.
///
/// Covers upstreams whose health check passes while requests fail. An upstream
/// that fails often is avoided during a backoff, which grows exponentially with
/// consecutive failures, and is then tried again.
class UpstreamHealth
{
public:
  /// @brief Updates the failure rate and, where needed, starts a backoff.
  /// @note `AttemptHealth::Rejected` is ignored.
  void OnOutcome(AttemptHealth aHealth, TimePoint aNow);

  /// @brief Returns whether the backoff after failures still lasts.
  [[nodiscard]] bool IsAvoided(TimePoint aNow) const
  {
    return aNow < mAvoidUntil;
  }

  /// @brief Returns the smoothed fraction of attempts that failed, [0, 1].
  [[nodiscard]] double FailureRate() const { return mFailureRate; }

  /// @brief Discards all history, as after a restart of the upstream.
  void Reset() { *this = {}; }

private:
  double mFailureRate = 0.0;
  int mConsecutiveFailures = 0;
  TimePoint mAvoidUntil;
};

} // namespace figslip::placement
