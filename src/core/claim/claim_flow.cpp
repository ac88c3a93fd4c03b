#include <figslip/claim/claim_flow.hpp>

#include <utility>

namespace figslip::claim {

ClaimOutcome
OutcomeOf(const ClaimResult& aResult)
{
  if (const auto* const refused = std::get_if<ClaimRefused>(&aResult)) {
    return refused->mOutcome;
  }
  return std::holds_alternative<ClaimWon>(aResult) ? ClaimOutcome::Won
                                                   : ClaimOutcome::Answered;
}

ClaimFlow::ClaimFlow(Options aOptions,
                     ClaimRecord aOwnRecord,
                     TimePoint aDeadline)
  : mOptions(aOptions)
  , mOwnRecord(std::move(aOwnRecord))
  , mDeadline(aDeadline)
{
}

ClaimStep
ClaimFlow::Start(TimePoint aKeyTime, TimePoint aNow)
{
  if (aNow - aKeyTime >= mOptions.mRetention) {
    return ClaimRefused{ ClaimOutcome::Expired };
  }
  if (aKeyTime - aNow > mOptions.mMaxClockSkew) {
    return ClaimRefused{ ClaimOutcome::FromFuture };
  }
  return NextStep();
}

ClaimStep
ClaimFlow::NextStep() const
{
  if (mWatching) {
    return WatchClaim{ mKnownVersion };
  }
  return WriteClaim{ mExpectedVersion, PrintClaim(mOwnRecord) };
}

ClaimStep
ClaimFlow::OnWritten(std::int64_t aVersion)
{
  mMayHoldKey = true;
  return ClaimWon{ aVersion };
}

ClaimStep
ClaimFlow::OnObject(std::int64_t aVersion,
                    const std::string& aValue,
                    TimePoint aNow)
{
  mWatching = false;
  mMayHoldKey = false;
  if (aVersion == 0) {
    mExpectedVersion = 0;
    return aNow < mDeadline
             ? NextStep()
             : ClaimStep(ClaimRefused{ ClaimOutcome::Unavailable });
  }
  const auto parsed = ParseClaim(aValue);
  if (!parsed) {
    // the request of a claim that cannot be parsed may have been run
    return ClaimRefused{ ClaimOutcome::Unknown };
  }
  const auto& claim = parsed.assume_value();
  if (claim.IsSameUse(mOwnRecord) && claim.mState == ClaimState::Claimed) {
    mMayHoldKey = true;
    return ClaimWon{ aVersion };
  }
  if (claim.mFingerprint != mOwnRecord.mFingerprint) {
    return ClaimRefused{ ClaimOutcome::OtherRequest };
  }
  if (claim.mState == ClaimState::Answered) {
    return ClaimAnswered{ claim.mAnswer, claim.mBillingRecord };
  }
  if (claim.mState == ClaimState::Released) {
    mExpectedVersion = aVersion;
    return aNow < mDeadline
             ? NextStep()
             : ClaimStep(ClaimRefused{ ClaimOutcome::Unavailable });
  }
  if (aNow >= mDeadline) {
    return ClaimRefused{ ClaimOutcome::Unknown };
  }
  mWatching = true;
  mKnownVersion = aVersion;
  return NextStep();
}

ClaimStep
ClaimFlow::OnNoResponse(bool aMayHaveEffect, TimePoint aNow)
{
  mMayHoldKey = mMayHoldKey || aMayHaveEffect;
  if (mWatching) {
    return aNow < mDeadline ? NextStep()
                            : ClaimStep(ClaimRefused{ ClaimOutcome::Unknown });
  }
  // retrying the write shows whether the lost one took effect
  if (aMayHaveEffect && aNow < mDeadline) {
    return NextStep();
  }
  return ClaimRefused{ ClaimOutcome::Unavailable };
}

} // namespace figslip::claim
