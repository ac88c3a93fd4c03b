#include <figslip/placement/prefill_load.hpp>

#include <cmath>

namespace figslip::placement {

namespace {

/// Time in which the weight of sent work decays to 1/e.
constexpr std::chrono::duration<double, std::milli> kTimeConstant{ 4'000.0 };

} // namespace

void
PrefillLoad::OnSent(double aPrefillMs, TimePoint aNow)
{
  mSumMs = DecayedSumMs(aNow) + aPrefillMs;
  mUpdatedAt = aNow;
}

double
PrefillLoad::BusyEngines(TimePoint aNow) const
{
  return DecayedSumMs(aNow) / kTimeConstant.count();
}

double
PrefillLoad::DecayedSumMs(TimePoint aNow) const
{
  const std::chrono::duration<double, std::milli> age = aNow - mUpdatedAt;
  return mSumMs * std::exp(-age / kTimeConstant);
}

} // namespace figslip::placement
