#include <figslip/billing/billing_core.hpp>

#include <algorithm>
#include <cassert>

namespace figslip::billing {

BillingCore::BillingCore(const Options& aOptions)
  : mOptions(aOptions)
  , mBatcher({ .mSelf = aOptions.mSelf,
               .mMaxBatchRecords = aOptions.mMaxBatchRecords,
               .mMaxPendingBytes = aOptions.mMaxPendingBytes,
               .mReservedBytes = aOptions.mReservedBytes })
  , mHandOver(
      { .mSelf = aOptions.mSelf, .mFailureDomain = aOptions.mFailureDomain })
  , mNeighbour(aOptions.mNeighbour)
  , mRetryDelay(aOptions.mAloneInterval)
{
}

std::optional<Position>
BillingCore::Add(const BillingRecord& aRecord)
{
  return mBatcher.Add(aRecord);
}

bool
BillingCore::IsSafe(Position aPosition) const
{
  return aPosition <= std::max(mBatcher.WrittenUpTo(), mHandOver.HeldUpTo());
}

std::size_t
BillingCore::Unsafe() const
{
  const auto safe = std::max(mBatcher.WrittenUpTo(), mHandOver.HeldUpTo());
  return static_cast<std::size_t>(mBatcher.Last() - safe);
}

bool
BillingCore::BatchIsDue(TimePoint aNow) const
{
  if (mBatcher.HasOpenBatch()) {
    return mStopping || aNow >= mNextTry;
  }
  const auto interval =
    Unsafe() == 0 ? mOptions.mHeldInterval : mOptions.mAloneInterval;
  return mStopping || mBatcher.HasFullBatch() ||
         aNow - mLastWritten >= interval;
}

std::optional<NamedBatch>
BillingCore::NextBatch(TimePoint aNow)
{
  if (!BatchIsDue(aNow)) {
    return std::nullopt;
  }
  return mBatcher.NextBatch();
}

void
BillingCore::OnWritten(TimePoint aNow)
{
  mBatcher.OnWritten();
  mNeighbour.OnPlatform(true, aNow);
  mLastWritten = aNow;
  mNextTry = aNow;
  mRetryDelay = mOptions.mAloneInterval;
}

void
BillingCore::OnWriteFailed(TimePoint aNow)
{
  mNeighbour.OnPlatform(false, aNow);
  mNextTry = aNow + mRetryDelay;
  mRetryDelay = std::min(mRetryDelay * 2, mOptions.mMaxRetryDelay);
}

void
BillingCore::OnPeers(const std::vector<BillingPeer>& aPeers)
{
  mHandOver.OnPeers(aPeers);
  for (const auto& peer : aPeers) {
    mNeighbour.OnIncarnation(peer.mIncarnation);
  }
}

bool
BillingCore::CanHandOver(TimePoint aNow) const
{
  return mHandOver.Choose(aNow) != nullptr;
}

std::optional<HandOverOrder>
BillingCore::NextHandOver(TimePoint aNow) const
{
  const auto* const peer = mHandOver.Choose(aNow);
  if (peer == nullptr) {
    return std::nullopt;
  }
  auto copy =
    mBatcher.CopyAfter(mHandOver.HeldBy(*peer), mOptions.mMaxCopyBytes);
  if (!copy) {
    return std::nullopt;
  }
  return HandOverOrder{ .mPeer = *peer, .mCopy = std::move(*copy) };
}

void
BillingCore::OnHandOver(const HandOverOrder& aOrder, bool aHeld, TimePoint aNow)
{
  if (aHeld) {
    mHandOver.OnHeld(aOrder.mPeer, aOrder.mCopy.mUpTo);
  } else {
    mHandOver.OnFailed(aOrder.mPeer, aNow);
  }
}

std::optional<ReleaseOrder>
BillingCore::NextRelease(TimePoint aNow) const
{
  return mHandOver.NextRelease(mBatcher.WrittenUpTo(), aNow);
}

void
BillingCore::OnRelease(const ReleaseOrder& aOrder,
                       bool aConfirmed,
                       TimePoint aNow)
{
  if (aConfirmed) {
    mHandOver.OnReleased(aOrder);
  } else {
    mHandOver.OnFailed(aOrder.mPeer, aNow);
  }
}

HoldOutcome
BillingCore::Hold(const RecordCopy& aCopy, TimePoint aNow)
{
  return mStopping ? HoldOutcome::Full : mNeighbour.Hold(aCopy, aNow);
}

void
BillingCore::Release(const membership::Incarnation& aOrigin, Position aUpTo)
{
  mNeighbour.Release(aOrigin, aUpTo);
}

void
BillingCore::OnIncarnation(const membership::Incarnation& aRun)
{
  mNeighbour.OnIncarnation(aRun);
}

void
BillingCore::OnInstances(const membership::InstanceList& aInstances,
                         TimePoint aNow)
{
  mNeighbour.OnInstances(aInstances, aNow);
}

std::size_t
BillingCore::Adopt(const RecordCopy& aCopy)
{
  const auto records = ParseBatch(aCopy.mText);
  // `BillingNeighbour::Hold` takes well-formed copies only
  assert(records);
  return static_cast<std::size_t>(
    std::ranges::count_if(records.assume_value(), [this](const auto& aRecord) {
      return mBatcher.Add(aRecord).has_value();
    }));
}

std::size_t
BillingCore::TakeOver(TimePoint aNow)
{
  std::size_t count = 0;
  // the reserve of the batcher is larger than a copy
  while (mBatcher.HasRoom()) {
    const auto copy = mNeighbour.TakeDue(aNow);
    if (!copy) {
      break;
    }
    count += Adopt(*copy);
  }
  return count;
}

void
BillingCore::BeginStop()
{
  mStopping = true;
  // a holder may have crashed since, before the instance list tells so
  mHandOver.AskAgain();
  while (mBatcher.HasRoom()) {
    const auto copy = mNeighbour.TakeAny();
    if (!copy) {
      break;
    }
    (void)Adopt(*copy);
  }
}

} // namespace figslip::billing
