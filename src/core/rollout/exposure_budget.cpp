#include <figslip/rollout/exposure_budget.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figslip::rollout {

namespace {

using Seconds = std::chrono::duration<double>;

/// Fraction of the limit that is used. The rest covers requests that reach the
/// upstreams after the deadline that this instance knows.
constexpr double kUsedFraction = 0.9;

/// Fractions of the limit that a trial may use. The rest is kept for the time
/// between the move and the deadline.
constexpr double kTrialShareFraction = 0.3;
constexpr double kTrialSlackFraction = 0.9;

/// Share of the requests before a restart that is assumed to have run on the
/// new version.
constexpr double kUnseenShare = 0.08;

/// Time constant of the recent rate.
constexpr Seconds kRecentTime{ 1.0 };

/// Time for which requests must have been counted to estimate their rate.
constexpr Seconds kMinCountedTime{ 1.0 };

} // namespace

ExposureBudget::ExposureBudget(TimePoint aOrderedAt, TimePoint aCountedFrom)
  : mOrderedAt(aOrderedAt)
  , mCountedFrom(aCountedFrom)
  , mLastSentAt(aCountedFrom)
{
}

void
ExposureBudget::OnSent(bool aIsTarget, TimePoint aNow)
{
  mRecentCount = 1.0 + RecentRate(aNow) * kRecentTime.count();
  mLastSentAt = std::max(mLastSentAt, aNow);
  ++mTotalCount;
  mTargetCount += aIsTarget ? 1 : 0;
}

bool
ExposureBudget::AllowsTrial(const ExposureLimit& aLimit, TimePoint aNow) const
{
  const auto counts = SinceOrder(aNow);
  return counts.mTarget + 1.0 <=
         kTrialShareFraction * aLimit.mShare * counts.mTotal +
           std::max(1.0, kTrialSlackFraction * aLimit.mSlack);
}

bool
ExposureBudget::AllowsMove(const ExposureLimit& aLimit,
                           TimePoint aDeadline,
                           TimePoint aNow) const
{
  if (aNow < mCountedFrom + kMinCountedTime) {
    return false;
  }
  const auto counts = SinceOrder(aNow);
  const double left = std::max(0.0, Seconds(aDeadline - aNow).count());
  const double expected = ExpectedRate(aNow) * left;
  return counts.mTarget + expected <=
         kUsedFraction *
           (aLimit.mShare * (counts.mTotal + expected) + aLimit.mSlack);
}

double
ExposureBudget::Growth(TimePoint aNow) const
{
  const double mean = MeanRate(aNow);
  return mean > 0.0 ? ExpectedRate(aNow) / mean : 1.0;
}

ExposureBudget::Totals
ExposureBudget::SinceOrder(TimePoint aNow) const
{
  const double unseen =
    MeanRate(aNow) * std::max(0.0, Seconds(mCountedFrom - mOrderedAt).count());
  return { .mTarget = static_cast<double>(mTargetCount) + kUnseenShare * unseen,
           .mTotal = static_cast<double>(mTotalCount) + unseen };
}

double
ExposureBudget::ExpectedRate(TimePoint aNow) const
{
  return std::max(MeanRate(aNow), RecentRate(aNow));
}

double
ExposureBudget::MeanRate(TimePoint aNow) const
{
  const auto counted = std::max(kMinCountedTime, Seconds(aNow - mCountedFrom));
  return static_cast<double>(mTotalCount) / counted.count();
}

double
ExposureBudget::RecentRate(TimePoint aNow) const
{
  const auto elapsed = std::max(Seconds::zero(), Seconds(aNow - mLastSentAt));
  return mRecentCount * std::exp(-elapsed / kRecentTime) / kRecentTime.count();
}

} // namespace figslip::rollout
