#include <figslip/coldstart/grant_holder.hpp>

#include <algorithm>

namespace figslip::coldstart {

ColdUse
GrantHolder::PrepareUse(std::string_view aUpstream,
                        std::string_view aOwner,
                        int aInFlight,
                        int aWanted,
                        TimePoint aNow)
{
  auto& state = mStates[std::string(aUpstream)];
  if (state.mOwner != aOwner) {
    state.mOwner = aOwner;
    state.mToken = 0;
  }
  state.mSlots = std::min(Slots(aUpstream, aNow), aWanted);
  return { .mUpstream = std::string(aUpstream),
           .mHeld = state.mSlots,
           .mInFlight = aInFlight,
           .mWanted = aWanted,
           .mToken = state.mToken };
}

void
GrantHolder::OnAnswer(const ColdGrant& aGrant, TimePoint aSentAt)
{
  auto& state = mStates[aGrant.mUpstream];
  state.mToken = aGrant.mToken;
  if (aGrant.mToken == 0) {
    // the receiver is not the owner: an earlier grant stays until it expires
    return;
  }
  state.mSlots = aGrant.mSlots;
  state.mExpiry = aSentAt + aGrant.mDuration;
}

int
GrantHolder::Slots(std::string_view aUpstream, TimePoint aNow) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() || aNow >= found->second.mExpiry
           ? 0
           : found->second.mSlots;
}

TimePoint
GrantHolder::Expiry(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? TimePoint{} : found->second.mExpiry;
}

} // namespace figslip::coldstart
