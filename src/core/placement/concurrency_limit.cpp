#include <figslip/placement/concurrency_limit.hpp>

#include <algorithm>

namespace figslip::placement {

namespace {

/// Factor of a decrease.
constexpr double kDecreaseFactor = 0.7;

/// Time without use after which the limit is the initial one again. Requests
/// take up to some seconds, so that others have ended theirs by then.
constexpr Duration kMaxIdle = std::chrono::seconds(5);

/// Bounds of the pause after a decrease at the lowest limit, which is a round
/// trip at first and doubles each time. With pauses of 8 s and answers of 0.8
/// s, 82 instances have 8 requests in flight at an upstream on average; with 2
/// s they filled 16 slots and a queue of 48.
constexpr Duration kMinPause = std::chrono::milliseconds(100);
constexpr Duration kMaxPause = std::chrono::seconds(8);

/// Initial limit on requests that are spread. 82 instances filled the slots and
/// queues of 140 engines when each sent one request to each.
constexpr int kInitialSpread = 8;

/// Decrease for each report of a full upstream; the limit grows by one for the
/// others, so it settles where one in four is full.
constexpr int kSpreadDecrease = 2;

} // namespace

int
ConcurrencyLimit::Value(const Bounds& aBounds, TimePoint aNow) const
{
  const bool isStale = mLimit <= 0.0 || aNow > mUsedAt + kMaxIdle;
  const int limit = isStale ? aBounds.mInitial : static_cast<int>(mLimit);
  return std::clamp(limit, 1, std::max(1, aBounds.mMax));
}

void
ConcurrencyLimit::OnSent(const Bounds& aBounds, TimePoint aNow)
{
  const int value = Value(aBounds, aNow);
  if (static_cast<int>(mLimit) != value) {
    mLimit = value;
  }
  mUsedAt = aNow;
}

LimitChange
ConcurrencyLimit::OnReport(int aWaiting,
                           int aInFlight,
                           TimePoint aSentAt,
                           const Bounds& aBounds,
                           TimePoint aNow)
{
  if (aWaiting > 0) {
    return Decrease(LimitChange::Waiting, aSentAt, aBounds, aNow);
  }
  mPause = Duration::zero();
  const int value = Value(aBounds, aNow);
  // many others grow at the same time where the upstream belongs to none of
  // them
  const bool isSoon =
    aBounds.mMayPause && mDecreasedAt != TimePoint{} && aSentAt <= mGrownAt;
  if (isSoon || aInFlight < value || value >= aBounds.mMax) {
    return LimitChange::None;
  }
  mGrownAt = aNow;
  mLimit = value + 1;
  mUsedAt = aNow;
  return LimitChange::Grown;
}

LimitChange
ConcurrencyLimit::OnRejected(TimePoint aSentAt,
                             const Bounds& aBounds,
                             TimePoint aNow)
{
  return Decrease(LimitChange::Rejected, aSentAt, aBounds, aNow);
}

LimitChange
ConcurrencyLimit::Decrease(LimitChange aReason,
                           TimePoint aSentAt,
                           const Bounds& aBounds,
                           TimePoint aNow)
{
  // requests sent before the last decrease tell nothing of its effect
  if (aSentAt <= mDecreasedAt) {
    return LimitChange::None;
  }
  const int value = Value(aBounds, aNow);
  if (value == 1 && aBounds.mMayPause) {
    const auto first = std::max(kMinPause, aNow - aSentAt);
    mPause = std::min(std::max(2 * mPause, first), kMaxPause);
    mClosedUntil = aNow + mPause;
  }
  mLimit = std::max(1.0, value * kDecreaseFactor);
  mUsedAt = aNow;
  mDecreasedAt = aNow;
  return aReason;
}

int
SpreadLimit::Value(TimePoint aNow) const
{
  const bool isStale = mLimit == 0 || aNow > mReportedAt + kMaxIdle;
  return isStale ? kInitialSpread : mLimit;
}

void
SpreadLimit::OnReport(bool aIsFull, int aInFlight, TimePoint aNow)
{
  const int value = Value(aNow);
  const bool isInUse = aInFlight >= value;
  mLimit = aIsFull   ? std::max(1, value - kSpreadDecrease)
           : isInUse ? value + 1
                     : value;
  mReportedAt = aNow;
}

} // namespace figslip::placement
