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
SizePolicy::Choose(const SizeQuestion& aQuestion) const
{
  const auto largest = aQuestion.mModels - 1;
  const bool largestFits =
    Scaled(aQuestion.mLargestFirst, mOptions.mSafety) < aQuestion.mTimeToTarget;
  if (aQuestion.mIsDropped) {
    return largest;
  }
  const bool bothFit = Scaled(aQuestion.mLargestFirst + mOptions.mSmallFirst,
                              mOptions.mSafety) < aQuestion.mTimeToTarget;
  if (bothFit && aQuestion.mAttemptsLeft > 1) {
    return 0;
  }
  return largestFits ? largest : 0;
}

double
SizePolicy::LeastConfidence(double aReadingShare) const
{
  const double part =
    std::clamp((aReadingShare - mOptions.mSpareShare) /
                 (mOptions.mShortShare - mOptions.mSpareShare),
               0.0,
               1.0);
  return std::lerp(mOptions.mSpareConfidence, mOptions.mShortConfidence, part);
}

bool
SizePolicy::Accepts(std::size_t aModel,
                    std::optional<int> aConfidence,
                    const SizeQuestion& aQuestion) const
{
  return aModel + 1 >= aQuestion.mModels || aQuestion.mAttemptsLeft < 1 ||
         !aConfidence ||
         *aConfidence >= LeastConfidence(aQuestion.mReadingShare) ||
         Scaled(aQuestion.mLargestFirst, mOptions.mSafety) >=
           aQuestion.mTimeToTarget;
}

} // namespace figslip::cascade
