#include <figslip/cascade/delay_scale.hpp>

#include <algorithm>
#include <cmath>

namespace figslip::cascade {

namespace {

/// Weight of the newest answer.
constexpr double kSmoothing = 0.12;

/// Largest factor learned.
constexpr double kMaxFactor = 12.0;

/// Time in which the estimate falls to 1/e of itself without answers.
constexpr std::chrono::duration<double> kMemory{ 4.0 };

/// Added to both times, so that short ones do not count for much.
constexpr Duration kSlack = std::chrono::milliseconds(30);

} // namespace

void
DelayScale::OnSample(Duration aTook, Duration aExpected, TimePoint aNow)
{
  const auto took = static_cast<double>((aTook + kSlack).count());
  const auto expected = static_cast<double>((aExpected + kSlack).count());
  const double seen =
    std::clamp(std::log(took / expected), 0.0, std::log(kMaxFactor));
  const double known = LogAt(aNow);
  mLog = known + kSmoothing * (seen - known);
  mAt = aNow;
}

Duration
DelayScale::Apply(Duration aExpected, TimePoint aNow) const
{
  const auto expected = static_cast<double>(aExpected.count());
  return Duration(static_cast<Duration::rep>(expected * std::exp(LogAt(aNow))));
}

double
DelayScale::LogAt(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mAt;
  return mLog * std::exp(-age / kMemory);
}

} // namespace figslip::cascade
