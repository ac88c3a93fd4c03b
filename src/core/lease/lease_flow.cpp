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
  if (aNow < mWaitUntil) {
    return WaitLease{ mWaitUntil };
  }
  if (mMustRead) {
    return ReadLease{};
  }
  const bool isFree = mVersion == 0 || mIsOwnWrite;
  const bool hasExpired = aNow - mFirstSeenAt >= mOptions.mDuration;
  if (isFree || hasExpired) {
    mWriteSentAt = aNow;
    return WriteLease{ mVersion, mOwnValue };
  }
  return ReadLease{};
}

void
LeaseFlow::OnWritten(std::int64_t aVersion, TimePoint aNow)
{
  const auto until = mWriteSentAt + mOptions.mDuration - mOptions.mSafetyMargin;
  const bool isRenewal = mHeld.has_value() && mWriteSentAt < mHeld->mValidUntil;
  if (isRenewal) {
    mHeld->mValidUntil = until;
  } else {
    mHeld = HeldLease{ .mFencingToken = aVersion,
                       .mAcquiredAt = aNow,
                       .mValidUntil = until };
  }
  mVersion = aVersion;
  mFirstSeenAt = aNow;
  mIsOwnWrite = true;
  mMustRead = false;
  mWaitUntil = aNow + mOptions.mRenewInterval;
}

void
LeaseFlow::OnObject(std::int64_t aVersion,
                    const std::string& aValue,
                    TimePoint aNow)
{
  if (aVersion != mVersion) {
    mVersion = aVersion;
    mFirstSeenAt = aNow;
  }
  mIsOwnWrite = aVersion > 0 && aValue == mOwnValue;
  mMustRead = false;
  if (!mIsOwnWrite) {
    Lose();
    mWaitUntil = aVersion == 0 ? aNow : aNow + mOptions.mRenewInterval;
  }
}

void
LeaseFlow::OnNoResponse(TimePoint aNow)
{
  mMustRead = true;
  mWaitUntil = aNow + mOptions.mSafetyMargin;
}

void
LeaseFlow::Lose()
{
  mHeld.reset();
}

std::optional<HeldLease>
LeaseFlow::Held(TimePoint aNow) const
{
  if (!mHeld || aNow >= mHeld->mValidUntil) {
    return std::nullopt;
  }
  return mHeld;
}

bool
MaySendUnfenced(const HeldLease& aLease,
                Duration aMaxTransitTime,
                TimePoint aNow)
{
  return aNow >= aLease.mAcquiredAt + aMaxTransitTime &&
         aNow + aMaxTransitTime < aLease.mValidUntil;
}

} // namespace figslip::lease
