#include <figslip/admission/drain_plan.hpp>

#include <algorithm>

namespace figslip::admission {

namespace {

/// Time in which the load balancer's readiness probe has failed twice.
constexpr auto kReadinessNoticeTime = std::chrono::milliseconds(2'600);

/// Maximum fraction of the drain in which new requests are admitted; the rest
/// is left to complete them.
constexpr double kMaxAdmissionFraction = 0.5;

/// Fractions of the grace period at which the drain and the process end.
constexpr double kDrainFraction = 0.92;
constexpr double kExitFraction = 0.97;

Duration
Scale(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

TimePoint
DrainPlan::RefusesFrom() const
{
  const auto drain = Scale(mOptions.mGrace, kDrainFraction);
  return mOptions.mBegunAt +
         std::min<Duration>(kReadinessNoticeTime,
                            Scale(drain, kMaxAdmissionFraction));
}

TimePoint
DrainPlan::EndsAt() const
{
  return mOptions.mBegunAt + Scale(mOptions.mGrace, kDrainFraction);
}

TimePoint
DrainPlan::ExitsAt() const
{
  return mOptions.mBegunAt + Scale(mOptions.mGrace, kExitFraction);
}

bool
DrainPlan::Admits(TimePoint aNow, TimePoint aDeadline, bool aMayRepeat) const
{
  return aNow < RefusesFrom() && (aMayRepeat || aDeadline <= EndsAt());
}

} // namespace figslip::admission
