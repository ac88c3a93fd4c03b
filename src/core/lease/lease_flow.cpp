#include <figslip/lease/lease_flow.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace figslip::lease {

namespace {

std::string
PrintHolder(const membership::Incarnation& aHolder)
{
  return nlohmann::json{
    { "holder", aHolder.mInstance }, { "started_at_ms", aHolder.mStartedAt }
  }.dump();
}

} // namespace

LeaseFlow::LeaseFlow(Options aOptions)
  : mOptions(std::move(aOptions))
  , mOwnValue(PrintHolder(mOptions.mSelf))
{
}

LeaseStep
LeaseFlow::Next(TimePoint aNow)
{
  if (aNow < mRestUntil) {
    return RestLease{ mRestUntil };
  }
  if (mMustRead) {
    return ReadLease{};
  }
  const bool isFree = mVersion == 0 || mIsOwn;
  const bool hasLapsed = aNow - mSeenSince >= mOptions.mLength;
  if (isFree || hasLapsed) {
    mSentAt = aNow;
    return WriteLease{ mVersion, mOwnValue };
  }
  return ReadLease{};
}

void
LeaseFlow::OnWritten(std::int64_t aVersion, TimePoint aNow)
{
  const auto until = mSentAt + mOptions.mLength - mOptions.mMargin;
  const bool isRenewal = mHeld.has_value() && mSentAt < mHeld->mUntil;
  if (isRenewal) {
    mHeld->mUntil = until;
  } else {
    mHeld =
      HeldLease{ .mFencingToken = aVersion, .mSince = aNow, .mUntil = until };
  }
  mVersion = aVersion;
  mSeenSince = aNow;
  mIsOwn = true;
  mMustRead = false;
  mRestUntil = aNow + mOptions.mRenewEvery;
}

void
LeaseFlow::OnObject(std::int64_t aVersion,
                    const std::string& aValue,
                    TimePoint aNow)
{
  if (aVersion != mVersion) {
    mVersion = aVersion;
    mSeenSince = aNow;
  }
  mIsOwn = aVersion > 0 && aValue == mOwnValue;
  mMustRead = false;
  if (!mIsOwn) {
    Lose();
    mRestUntil = aVersion == 0 ? aNow : aNow + mOptions.mRenewEvery;
  }
}

void
LeaseFlow::OnNoAnswer(TimePoint aNow)
{
  mMustRead = true;
  mRestUntil = aNow + mOptions.mMargin;
}

void
LeaseFlow::Lose()
{
  mHeld.reset();
}

std::optional<HeldLease>
LeaseFlow::Held(TimePoint aNow) const
{
  if (!mHeld || aNow >= mHeld->mUntil) {
    return std::nullopt;
  }
  return mHeld;
}

bool
MayOrderUnfenced(const HeldLease& aLease,
                 Duration aLongestTransit,
                 TimePoint aNow)
{
  return aNow >= aLease.mSince + aLongestTransit &&
         aNow + aLongestTransit < aLease.mUntil;
}

} // namespace figslip::lease
