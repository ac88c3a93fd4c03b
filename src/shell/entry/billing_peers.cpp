#include <figslip/entry/billing_peers.hpp>

#include <algorithm>
#include <utility>

namespace figslip::entry {

BillingPeers::BillingPeers(std::string aSelf,
                           std::shared_ptr<control::ControlService> aControl,
                           std::shared_ptr<peer::PeerClient> aClient)
  : mSelf(std::move(aSelf))
  , mControl(std::move(aControl))
  , mClient(std::move(aClient))
{
}

billing::BillingPeerCalls
BillingPeers::Calls()
{
  return { .mPeers = [this] { return Peers(); },
           .mHold = [this](const auto& aOrder) { return Hold(aOrder); },
           .mRelease =
             [this](const auto& aOrder, const auto& aOrigin) {
               return Release(aOrder, aOrigin);
             } };
}

void
BillingPeers::OnIncarnation(const membership::Incarnation& aRun)
{
  const std::lock_guard lock(mMutex);
  auto& startedAt = mStartedAt[aRun.mInstance];
  startedAt = std::max(startedAt, aRun.mStartedAt);
}

std::vector<billing::BillingPeer>
BillingPeers::Peers()
{
  const auto snapshot = mControl->Snapshot();
  std::vector<billing::BillingPeer> peers;
  const std::lock_guard lock(mMutex);
  for (const auto& entry : snapshot->mInstances.mEntries) {
    if (entry.mName == mSelf ||
        entry.mState != membership::InstanceState::Live) {
      continue;
    }
    const auto startedAt = mStartedAt.find(entry.mName);
    peers.push_back(
      { .mIncarnation = { .mInstance = entry.mName,
                          .mStartedAt = startedAt == mStartedAt.end()
                                          ? 0
                                          : startedAt->second },
        .mFailureDomain = entry.mFailureDomain });
  }
  return peers;
}

std::optional<membership::EntryInstance>
BillingPeers::Find(const std::string& aInstance) const
{
  const auto snapshot = mControl->Snapshot();
  const auto& entries = snapshot->mInstances.mEntries;
  const auto found =
    std::ranges::find(entries, aInstance, &membership::EntryInstance::mName);
  if (found == entries.end()) {
    return std::nullopt;
  }
  return *found;
}

bool
BillingPeers::Hold(const billing::HandOverOrder& aOrder)
{
  const auto peer = Find(aOrder.mPeer.mIncarnation.mInstance);
  if (!peer) {
    return false;
  }
  const auto held = mClient->HoldBilling(*peer,
                                         { .mOrigin = aOrder.mCopy.mOrigin,
                                           .mBatch = aOrder.mCopy.mText,
                                           .mSequence = aOrder.mCopy.mUpTo });
  return held && held.assume_value();
}

bool
BillingPeers::Release(const billing::ReleaseOrder& aOrder,
                      const membership::Incarnation& aOrigin)
{
  const auto peer = Find(aOrder.mPeer.mIncarnation.mInstance);
  if (!peer) {
    return false;
  }
  const auto released = mClient->ReleaseBilling(*peer, aOrigin, aOrder.mUpTo);
  return released && released.assume_value();
}

} // namespace figslip::entry
