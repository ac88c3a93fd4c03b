#include <figslip/cascade/size_policy.hpp>

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

bool
SizePolicy::Accepts(std::size_t aModel,
                    std::optional<int> aConfidence,
                    const SizeQuestion& aQuestion) const
{
  return aModel + 1 >= aQuestion.mModels || aQuestion.mAttemptsLeft < 1 ||
         !aConfidence || *aConfidence >= mOptions.mAcceptConfidence ||
         Scaled(aQuestion.mLargestFirst, mOptions.mSafety) >=
           aQuestion.mTimeToTarget;
}

} // namespace figslip::cascade
