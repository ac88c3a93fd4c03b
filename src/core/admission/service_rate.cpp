#include <figslip/admission/service_rate.hpp>

#include <algorithm>
#include <cmath>

namespace figslip::admission {

namespace {

constexpr double kHalfLifeSeconds = 5.0;
/// Admissions that an estimate needs.
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
ServiceRate::OnAdmission(TimePoint aNow, double aWork)
{
  const auto decay = DecayFactorAt(aNow);
  mDecayedWork = mDecayedWork * decay + aWork;
  mDecayedSeconds = mDecayedSeconds * decay + ElapsedSeconds(mUpdatedAt, aNow);
  mUpdatedAt = std::max(mUpdatedAt, aNow);
  ++mAdmissions;
}

void
ServiceRate::OnRejection(double aWork)
{
  mDecayedWork = std::max(0.0, mDecayedWork - aWork);
  mAdmissions -= std::min<std::uint64_t>(mAdmissions, 1);
}

std::optional<double>
ServiceRate::PerSecond(TimePoint aNow) const
{
  // includes the time since the last admission, so that the rate falls while
  // service is stalled
  const auto decay = DecayFactorAt(aNow);
  const auto seconds =
    mDecayedSeconds * decay + ElapsedSeconds(mUpdatedAt, aNow);
  if (mAdmissions < kMinAdmissions || seconds <= 0.0 || mDecayedWork <= 0.0) {
    return std::nullopt;
  }
  return mDecayedWork * decay / seconds;
}

} // namespace figslip::admission
