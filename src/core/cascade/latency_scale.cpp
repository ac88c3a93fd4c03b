#include <figslip/cascade/latency_scale.hpp>

#include <algorithm>
#include <cmath>

namespace figslip::cascade {

namespace {

/// Weight of the newest sample.
constexpr double kSmoothing = 0.12;

/// Maximum factor.
constexpr double kMaxFactor = 12.0;

/// Time in which the logarithm of the factor decays to 1/e without samples.
constexpr std::chrono::duration<double> kTimeConstant{ 4.0 };

/// Added to both times, so that short latencies have little influence.
constexpr Duration kSlack = std::chrono::milliseconds(30);

} // namespace

void
LatencyScale::OnSample(Duration aTook, Duration aExpected, TimePoint aNow)
{
  const auto took = static_cast<double>((aTook + kSlack).count());
  const auto expected = static_cast<double>((aExpected + kSlack).count());
  const double sample =
    std::clamp(std::log(took / expected), 0.0, std::log(kMaxFactor));
  const double current = LogFactorAt(aNow);
  mLogFactor = current + kSmoothing * (sample - current);
  mUpdatedAt = aNow;
}

Duration
LatencyScale::Apply(Duration aExpected, TimePoint aNow) const
{
  const auto expected = static_cast<double>(aExpected.count());
  return Duration(
    static_cast<Duration::rep>(expected * std::exp(LogFactorAt(aNow))));
}

double
LatencyScale::LogFactorAt(TimePoint aNow) const
{
  const std::chrono::duration<double> age = aNow - mUpdatedAt;
  return mLogFactor * std::exp(-age / kTimeConstant);
}

} // namespace figslip::cascade
