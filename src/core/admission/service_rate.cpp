#include <figslip/admission/service_rate.hpp>

#include <algorithm>
#include <cmath>

namespace figslip::admission {

namespace {

/// Time after which an admission counts half, seconds.
constexpr double kHalfLifeSeconds = 5.0;
/// Admissions before the rate says anything.
constexpr std::uint64_t kMinAdmissions = 8;

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

} // namespace

void
ServiceRate::Begin(TimePoint aNow)
{
  mLast = aNow;
}

double
ServiceRate::WeightAt(TimePoint aNow) const
{
  return std::exp2(-SecondsBetween(mLast, aNow) / kHalfLifeSeconds);
}

void
ServiceRate::OnAdmission(TimePoint aNow)
{
  const auto weight = WeightAt(aNow);
  mAdmitted = mAdmitted * weight + 1.0;
  mSeconds = mSeconds * weight + SecondsBetween(mLast, aNow);
  mLast = std::max(mLast, aNow);
  ++mTotal;
}

std::optional<double>
ServiceRate::PerSecond(TimePoint aNow) const
{
  // the time since the last admission counts, so that a stall shows
  const auto weight = WeightAt(aNow);
  const auto seconds = mSeconds * weight + SecondsBetween(mLast, aNow);
  if (mTotal < kMinAdmissions || seconds <= 0.0) {
    return std::nullopt;
  }
  return mAdmitted * weight / seconds;
}

} // namespace figslip::admission
