#include <figslip/cascade/size_policy.hpp>

#include <algorithm>
#include <cmath>

namespace figslip::cascade {

namespace {

Duration
Scaled(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

std::size_t
SizePolicy::Choose(const SizeQuery& aQuery) const
{
  const auto largest = aQuery.mModels - 1;
  const bool largestFits =
    Scaled(aQuery.mLargestFirstEvent, mOptions.mSafetyFactor) <
    aQuery.mTimeToTarget;
  if (aQuery.mWasAnswerRejected) {
    return largest;
  }
  const bool bothFit =
    Scaled(aQuery.mLargestFirstEvent + mOptions.mSmallFirstEvent,
           mOptions.mSafetyFactor) < aQuery.mTimeToTarget;
  if (bothFit && aQuery.mAttemptsLeft > 1) {
    return 0;
  }
  return largestFits ? largest : 0;
}

double
SizePolicy::MinConfidence(double aPrefillUtilization) const
{
  const double loadFraction =
    std::clamp((aPrefillUtilization - mOptions.mLowLoadUtilization) /
                 (mOptions.mHighLoadUtilization - mOptions.mLowLoadUtilization),
               0.0,
               1.0);
  return std::lerp(
    mOptions.mLowLoadConfidence, mOptions.mHighLoadConfidence, loadFraction);
}

bool
SizePolicy::Accepts(std::size_t aModel,
                    std::optional<int> aConfidence,
                    const SizeQuery& aQuery) const
{
  return aModel + 1 >= aQuery.mModels || aQuery.mAttemptsLeft < 1 ||
         !aConfidence ||
         *aConfidence >= MinConfidence(aQuery.mPrefillUtilization) ||
         Scaled(aQuery.mLargestFirstEvent, mOptions.mSafetyFactor) >=
           aQuery.mTimeToTarget;
}

} // namespace figslip::cascade
