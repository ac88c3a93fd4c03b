#include <figslip/admission/arrival_rate.hpp>

#include <algorithm>
#include <cmath>
#include <numbers>

namespace figslip::admission {

namespace {

/// Bursts of an account begin and end within seconds.
constexpr double kHalfLifeSeconds = 1.0;

} // namespace

double
ArrivalRate::WorkAt(TimePoint aNow) const
{
  const auto elapsed = std::chrono::duration<double>(aNow - mUpdatedAt).count();
  return mDecayedWork * std::exp2(-std::max(0.0, elapsed) / kHalfLifeSeconds);
}

void
ArrivalRate::OnArrival(TimePoint aNow, double aWork)
{
  mDecayedWork = WorkAt(aNow) + aWork;
  mUpdatedAt = std::max(mUpdatedAt, aNow);
}

double
ArrivalRate::PerSecond(TimePoint aNow) const
{
  return WorkAt(aNow) * std::numbers::ln2 / kHalfLifeSeconds;
}

} // namespace figslip::admission
