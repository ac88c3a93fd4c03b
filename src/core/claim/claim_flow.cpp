#include <figslip/claim/claim_flow.hpp>

#include <utility>

namespace figslip::claim {

ClaimEnd
EndOf(const ClaimResult& aResult)
{
  if (const auto* const refused = std::get_if<ClaimRefused>(&aResult)) {
    return refused->mEnd;
  }
  return std::holds_alternative<ClaimWon>(aResult) ? ClaimEnd::Won
                                                   : ClaimEnd::Answered;
}

ClaimFlow::ClaimFlow(Options aOptions, ClaimRecord aOwn, TimePoint aDeadline)
  : mOptions(aOptions)
  , mOwn(std::move(aOwn))
  , mDeadline(aDeadline)
{
}

ClaimStep
ClaimFlow::Start(TimePoint aKeyTime, TimePoint aNow)
{
  if (aNow - aKeyTime >= mOptions.mRetention) {
    return ClaimRefused{ ClaimEnd::Expired };
  }
  if (aKeyTime - aNow > mOptions.mClockSkew) {
    return ClaimRefused{ ClaimEnd::FromFuture };
  }
  return TryAgain();
}

ClaimStep
ClaimFlow::TryAgain() const
{
  if (mWatching) {
    return WatchClaim{ mKnownVersion };
  }
  return WriteClaim{ mExpectedVersion, PrintClaim(mOwn) };
}

ClaimStep
ClaimFlow::OnWritten(std::int64_t aVersion)
{
  mMayStand = true;
  return ClaimWon{ aVersion };
}

ClaimStep
ClaimFlow::OnObject(std::int64_t aVersion,
                    const std::string& aValue,
                    TimePoint aNow)
{
  mWatching = false;
  mMayStand = false;
  if (aVersion == 0) {
    mExpectedVersion = 0;
    return aNow < mDeadline ? TryAgain()
                            : ClaimStep(ClaimRefused{ ClaimEnd::Unavailable });
  }
  const auto parsed = ParseClaim(aValue);
  if (!parsed) {
    // a claim that cannot be read may have been run
    return ClaimRefused{ ClaimEnd::Unknown };
  }
  const auto& claim = parsed.assume_value();
  if (claim.IsSameUse(mOwn) && claim.mState == ClaimState::Claimed) {
    mMayStand = true;
    return ClaimWon{ aVersion };
  }
  if (claim.mFingerprint != mOwn.mFingerprint) {
    return ClaimRefused{ ClaimEnd::OtherRequest };
  }
  if (claim.mState == ClaimState::Answered) {
    return ClaimAnswered{ claim.mAnswer, claim.mBillingRecord };
  }
  if (claim.mState == ClaimState::Released) {
    mExpectedVersion = aVersion;
    return aNow < mDeadline ? TryAgain()
                            : ClaimStep(ClaimRefused{ ClaimEnd::Unavailable });
  }
  if (aNow >= mDeadline) {
    return ClaimRefused{ ClaimEnd::Unknown };
  }
  mWatching = true;
  mKnownVersion = aVersion;
  return TryAgain();
}

ClaimStep
ClaimFlow::OnNoAnswer(bool aMayHaveEffect, TimePoint aNow)
{
  mMayStand = mMayStand || aMayHaveEffect;
  if (mWatching) {
    return aNow < mDeadline ? TryAgain()
                            : ClaimStep(ClaimRefused{ ClaimEnd::Unknown });
  }
  // a lost write is resolved by writing it once more
  if (aMayHaveEffect && aNow < mDeadline) {
    return TryAgain();
  }
  return ClaimRefused{ ClaimEnd::Unavailable };
}

} // namespace figslip::claim
