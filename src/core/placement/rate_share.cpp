#include <figslip/placement/rate_share.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figslip::placement {

namespace {

using Seconds = std::chrono::duration<double>;

/// Requests that all instances together may send at once: this time at the full
/// rate, and some more.
constexpr Seconds kBurstTime{ 0.9 };
constexpr double kMinBurst = 1.0;

/// Fraction of the rate that is used if the instances are too many to hold a
/// token each: their intervals overlap by chance.
constexpr double kManyInstancesFraction = 0.7;

/// Returns this instance's share of the common burst, in requests.
double
BurstShare(const RateLimit& aLimit)
{
  return (aLimit.mPerSecond * kBurstTime.count() + kMinBurst) /
         aLimit.mInstances;
}

/// Returns the time in which this instance's bucket receives a token.
Seconds
RefillInterval(const RateLimit& aLimit)
{
  const double used = BurstShare(aLimit) < 1.0 ? kManyInstancesFraction : 1.0;
  return Seconds(aLimit.mInstances / (aLimit.mPerSecond * used));
}

/// Returns the time since the start of the current interval of this instance.
Seconds
PositionInInterval(const RateLimit& aLimit, TimePoint aNow)
{
  constexpr std::uint64_t kSteps = 1'000;
  const auto interval = RefillInterval(aLimit).count();
  const double phase =
    static_cast<double>(aLimit.mPhase % kSteps) / kSteps * interval;
  return Seconds(
    std::fmod(Seconds(aNow.time_since_epoch()).count() + phase, interval));
}

TimePoint
After(TimePoint aNow, Seconds aTime)
{
  return aNow + std::chrono::ceil<Duration>(aTime);
}

} // namespace

double
RateShare::TokensAt(const RateLimit& aLimit, TimePoint aNow) const
{
  const auto elapsed = std::max(Seconds::zero(), Seconds(aNow - mUpdatedAt));
  return std::min(std::max(1.0, BurstShare(aLimit)),
                  mTokens + elapsed / RefillInterval(aLimit));
}

bool
RateShare::IsOpen(const RateLimit& aLimit, TimePoint aNow) const
{
  return NextOpening(aLimit, aNow) == aNow;
}

TimePoint
RateShare::NextOpening(const RateLimit& aLimit, TimePoint aNow) const
{
  const auto interval = RefillInterval(aLimit);
  const double missing = std::max(0.0, 1.0 - TokensAt(aLimit, aNow));
  const auto refilled = After(aNow, interval * missing);
  const auto usable = interval * std::min(1.0, BurstShare(aLimit));
  const auto position = PositionInInterval(aLimit, refilled);
  return position <= usable ? refilled : After(refilled, interval - position);
}

void
RateShare::OnSent(const RateLimit& aLimit, TimePoint aNow)
{
  mTokens = TokensAt(aLimit, aNow) - 1.0;
  mUpdatedAt = std::max(mUpdatedAt, aNow);
}

} // namespace figslip::placement
