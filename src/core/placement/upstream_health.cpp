#include <figslip/placement/upstream_health.hpp>

#include <algorithm>

namespace figslip::placement {

namespace {

/// Weight of the newest attempt in the failure rate.
constexpr double kSmoothing = 0.15;

/// Weight of a failure that the upstream reported, relative to a broken
/// connection; healthy services report some failures.
constexpr double kReportedErrorWeight = 0.5;

/// Failure rate above which an upstream is avoided.
constexpr double kAvoidFailureRate = 0.32;

constexpr Duration kMinBackoff = std::chrono::milliseconds(400);
constexpr Duration kMaxBackoff = std::chrono::seconds(4);

} // namespace

void
UpstreamHealth::OnOutcome(AttemptHealth aHealth, TimePoint aNow)
{
  if (aHealth == AttemptHealth::Rejected) {
    return;
  }
  const double severity = aHealth == AttemptHealth::Good ? 0.0
                          : aHealth == AttemptHealth::Error
                            ? kReportedErrorWeight
                            : 1.0;
  mFailureRate += kSmoothing * (severity - mFailureRate);
  if (aHealth == AttemptHealth::Good) {
    mConsecutiveFailures = 0;
    return;
  }
  ++mConsecutiveFailures;
  const bool isUnreachable =
    aHealth == AttemptHealth::Unreachable || aHealth == AttemptHealth::Refused;
  if (isUnreachable ||
      (mFailureRate > kAvoidFailureRate && mConsecutiveFailures > 1)) {
    const auto doublings = std::min(mConsecutiveFailures - 1, 4);
    const auto backoff = kMinBackoff * (1 << doublings);
    mAvoidUntil =
      std::max(mAvoidUntil, aNow + std::min<Duration>(backoff, kMaxBackoff));
  }
}

} // namespace figslip::placement
