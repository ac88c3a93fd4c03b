#include <figslip/billing/hand_over.hpp>
#include <figslip/membership/rendezvous.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace figslip::billing {

namespace {

const std::string&
NameOf(const BillingPeer& aPeer)
{
  return aPeer.mIncarnation.mInstance;
}

} // namespace

HandOver::HandOver(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
HandOver::OnPeers(const std::vector<BillingPeer>& aPeers)
{
  std::map<std::string_view, const BillingPeer*> byName;
  std::vector<std::string_view> names;
  for (const auto& peer : aPeers) {
    if (NameOf(peer) != mOptions.mSelf.mInstance &&
        byName.emplace(NameOf(peer), &peer).second) {
      names.push_back(NameOf(peer));
    }
  }
  const auto ranked =
    membership::RankByRendezvous(mOptions.mSelf.mInstance, names);
  mRanked.clear();
  for (const bool isNear : { false, true }) {
    for (const auto name : ranked) {
      const auto& peer = *byName.at(name);
      if ((peer.mFailureDomain == mOptions.mFailureDomain) == isNear) {
        mRanked.push_back(peer);
      }
    }
  }
  std::erase_if(mHolders, [&](const auto& aHolder) {
    const auto found = byName.find(aHolder.first);
    return found == byName.end() || *found->second != aHolder.second.mPeer;
  });
  std::erase_if(mAvoidUntil, [&](const auto& aAvoided) {
    return !byName.contains(aAvoided.first);
  });
}

bool
HandOver::IsAvoided(const BillingPeer& aPeer, TimePoint aNow) const
{
  const auto found = mAvoidUntil.find(NameOf(aPeer));
  return found != mAvoidUntil.end() && aNow < found->second;
}

const BillingPeer*
HandOver::Choose(TimePoint aNow) const
{
  const auto found = std::ranges::find_if(
    mRanked, [&](const auto& aPeer) { return !IsAvoided(aPeer, aNow); });
  return found == mRanked.end() ? nullptr : &*found;
}

Position
HandOver::HeldUpTo() const
{
  Position held = 0;
  for (const auto& [name, holder] : mHolders) {
    held = std::max(held, holder.mHeldUpTo);
  }
  return held;
}

Position
HandOver::HeldBy(const BillingPeer& aPeer) const
{
  const auto found = mHolders.find(NameOf(aPeer));
  return found == mHolders.end() ? 0 : found->second.mHeldUpTo;
}

void
HandOver::OnHeld(const BillingPeer& aPeer, Position aUpTo)
{
  mAvoidUntil.erase(NameOf(aPeer));
  // an answer that arrives after the peer was replaced proves nothing
  if (std::ranges::find(mRanked, aPeer) == mRanked.end()) {
    return;
  }
  auto& holder = mHolders[NameOf(aPeer)];
  holder.mPeer = aPeer;
  holder.mHeldUpTo = std::max(holder.mHeldUpTo, aUpTo);
  holder.mEverHeldUpTo = std::max(holder.mEverHeldUpTo, aUpTo);
}

void
HandOver::OnFailed(const BillingPeer& aPeer, TimePoint aNow)
{
  mAvoidUntil[NameOf(aPeer)] = aNow + mOptions.mRetryAfter;
}

void
HandOver::AskAgain()
{
  for (auto& [name, holder] : mHolders) {
    holder.mHeldUpTo = 0;
  }
}

std::optional<ReleaseOrder>
HandOver::NextRelease(Position aWrittenUpTo, TimePoint aNow) const
{
  const auto found = std::ranges::find_if(mHolders, [&](const auto& aHolder) {
    const auto& holder = aHolder.second;
    return std::min(aWrittenUpTo, holder.mEverHeldUpTo) >
             holder.mReleasedUpTo &&
           !IsAvoided(holder.mPeer, aNow);
  });
  if (found == mHolders.end()) {
    return std::nullopt;
  }
  return ReleaseOrder{ .mPeer = found->second.mPeer, .mUpTo = aWrittenUpTo };
}

void
HandOver::OnReleased(const ReleaseOrder& aOrder)
{
  const auto found = mHolders.find(NameOf(aOrder.mPeer));
  if (found != mHolders.end()) {
    found->second.mReleasedUpTo = aOrder.mUpTo;
  }
}

} // namespace figslip::billing
