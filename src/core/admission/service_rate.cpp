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
ElapsedSeconds(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

} // namespace

void
ServiceRate::Begin(TimePoint aNow)
{
  mUpdatedAt = aNow;
}

double
ServiceRate::DecayFactorAt(TimePoint aNow) const
{
  return std::exp2(-ElapsedSeconds(mUpdatedAt, aNow) / kHalfLifeSeconds);
}

void
ServiceRate::OnAdmission(TimePoint aNow)
{
  const auto weight = DecayFactorAt(aNow);
  mDecayedAdmissions = mDecayedAdmissions * weight + 1.0;
  mDecayedSeconds = mDecayedSeconds * weight + ElapsedSeconds(mUpdatedAt, aNow);
  mUpdatedAt = std::max(mUpdatedAt, aNow);
  ++mAdmissions;
}

std::optional<double>
ServiceRate::PerSecond(TimePoint aNow) const
{
  // the time since the last admission counts, so that a stall shows
  const auto weight = DecayFactorAt(aNow);
  const auto seconds =
    mDecayedSeconds * weight + ElapsedSeconds(mUpdatedAt, aNow);
  if (mAdmissions < kMinAdmissions || seconds <= 0.0) {
    return std::nullopt;
  }
  return mDecayedAdmissions * weight / seconds;
}

} // namespace figslip::admission
