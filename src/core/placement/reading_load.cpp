#include <figslip/placement/reading_load.hpp>

#include <cmath>

namespace figslip::placement {

namespace {

/// Time in which what was sent falls to 1/e of its weight.
constexpr std::chrono::duration<double, std::milli> kMemory{ 4'000.0 };

} // namespace

void
ReadingLoad::OnSent(double aReadingMs, TimePoint aNow)
{
  mSumMs = SumAt(aNow) + aReadingMs;
  mAt = aNow;
}

double
ReadingLoad::BusyEngines(TimePoint aNow) const
{
  return SumAt(aNow) / kMemory.count();
}

double
ReadingLoad::SumAt(TimePoint aNow) const
{
  const std::chrono::duration<double, std::milli> age = aNow - mAt;
  return mSumMs * std::exp(-age / kMemory);
}

} // namespace figslip::placement
