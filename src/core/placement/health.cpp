#include <figslip/placement/health.hpp>

#include <algorithm>

namespace figslip::placement {

namespace {

/// Weight of the newest attempt in the smoothed rate.
constexpr double kSmoothing = 0.15;

/// Weight of a reported failure beside a broken connection; services have some
/// of these in good health.
constexpr double kErrorWeight = 0.5;

/// Smoothed rate from which an upstream is avoided.
constexpr double kAvoidRate = 0.32;

constexpr Duration kShortestPause = std::chrono::milliseconds(400);
constexpr Duration kLongestPause = std::chrono::seconds(4);

} // namespace

void
Health::OnOutcome(AttemptHealth aHealth, TimePoint aNow)
{
  if (aHealth == AttemptHealth::Rejected) {
    return;
  }
  const double badness = aHealth == AttemptHealth::Good    ? 0.0
                         : aHealth == AttemptHealth::Error ? kErrorWeight
                                                           : 1.0;
  mFailureRate += kSmoothing * (badness - mFailureRate);
  if (aHealth == AttemptHealth::Good) {
    mFailuresInRow = 0;
    return;
  }
  ++mFailuresInRow;
  const bool isUnreachable =
    aHealth == AttemptHealth::Unreachable || aHealth == AttemptHealth::Refused;
  if (isUnreachable || (mFailureRate > kAvoidRate && mFailuresInRow > 1)) {
    const auto doublings = std::min(mFailuresInRow - 1, 4);
    const auto pause = kShortestPause * (1 << doublings);
    mAvoidUntil =
      std::max(mAvoidUntil, aNow + std::min<Duration>(pause, kLongestPause));
  }
}

} // namespace figslip::placement
