#include <figslip/placement/paced_share.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figslip::placement {

namespace {

/// Fraction of the share at which the bucket fills. The rest is sent as limits
/// and reports allow; it covers errors of the measured capacity, so that no
/// queues grow at the upstreams.
constexpr double kPacedFraction = 0.9;

/// Time whose tokens the bucket holds: a few ticks of the queue, in which
/// requests of a busy instance wait for one another.
constexpr Duration kBurst = std::chrono::milliseconds(50);

/// Time whose tokens the accounts within their share may use in advance, as the
/// lifetime of the reports that the share is computed from. The share follows
/// demand within a second, and the capacity at the begin of a shortage within
/// another one; with 0.5 s, 82 instances served 0.94 instead of 0.97 of what
/// accounts got without the large one, and 340 served 0.94.
constexpr Duration kAdvance = std::chrono::seconds(3);

/// The same at the begin of the pacing; it grows with the time since then. The
/// accounts over their share are not known yet, and with 2 s from the begin the
/// large one filled the queues of the upstreams in 0.3 s.
constexpr Duration kFirstAdvance = std::chrono::milliseconds(250);

/// Longest time that a request of such an account uses. Where few requests
/// arrive, the share is hardly measured, and one must not block the next for
/// longer than answers may take.
constexpr std::chrono::duration<double> kMaxRequestTime{ 0.15 };

/// Longest time that a request of an account over its share uses.
constexpr std::chrono::duration<double> kMaxOverShareTime{ 3.0 };

/// Time in which the rate returns from nothing to all of it after rejections;
/// the measured capacity and the shares follow in it.
constexpr std::chrono::duration<double> kRecoveryTime{ 1.0 };

/// Least fraction of the rate after rejections, so that answers go on to tell
/// whether the upstreams are still full.
constexpr double kMinSlowdown = 0.1;

} // namespace

double
PacedShare::Slowdown(TimePoint aNow) const
{
  return std::min(1.0, mSlowdown + (aNow - mSlowedAt) / kRecoveryTime);
}

double
PacedShare::Rate(TimePoint aNow) const
{
  const bool isUsable = std::isfinite(mPerSecond) && mPerSecond > 0.0;
  return isUsable ? kPacedFraction * mPerSecond * Slowdown(aNow) : 0.0;
}

bool
PacedShare::Covers(bool aIsOverShare, TimePoint aNow) const
{
  const auto advance =
    std::min<Duration>(kAdvance, kFirstAdvance + (aNow - mBegunAt));
  const auto usable = aIsOverShare ? aNow : aNow + advance;
  return Rate(aNow) > 0.0 && mUsedUntil <= usable;
}

void
PacedShare::OnSent(double aCost, bool aIsOverShare, TimePoint aNow)
{
  const auto longest = aIsOverShare ? kMaxOverShareTime : kMaxRequestTime;
  const double rate = Rate(aNow);
  const auto time =
    rate > 0.0 ? std::min(longest, decltype(longest)(aCost / rate)) : longest;
  mUsedUntil = std::max(mUsedUntil, aNow - kBurst) +
               std::chrono::duration_cast<Duration>(time);
}

bool
PacedShare::OnRejected(TimePoint aSentAt, TimePoint aNow)
{
  if (aSentAt <= mSlowedAt) {
    return false;
  }
  constexpr double kHalf = 0.5;
  mSlowdown = std::max(kMinSlowdown, kHalf * Slowdown(aNow));
  mSlowedAt = aNow;
  return true;
}

} // namespace figslip::placement
