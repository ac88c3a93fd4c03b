#include <figslip/coldstart/grant_allocator.hpp>

#include <algorithm>
#include <utility>

namespace figslip::coldstart {

namespace {

/// Time after which an instance yields its slots to one that waits without any.
constexpr Duration kMaxTurn = std::chrono::seconds(5);

} // namespace

GrantAllocator::GrantAllocator(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
GrantAllocator::OnInstances(std::set<std::string, std::less<>> aInstances)
{
  const bool isAnyRemoved = !std::ranges::includes(aInstances, mInstances);
  mInstances = std::move(aInstances);
  if (!isAnyRemoved) {
    return;
  }
  // the removed instance may consider itself the owner until the reports of its
  // peers are too old, and its last grants are valid for another grant duration
  for (auto& [upstream, state] : mStates) {
    state.mOwnerSince.reset();
  }
}

bool
GrantAllocator::IsFresh(const State& aState,
                        TimePoint aToken,
                        TimePoint aNow) const
{
  return aState.mOwnerSince && aToken >= *aState.mOwnerSince &&
         aToken <= aNow && aNow - aToken <= mOptions.mMaxUseReportAge;
}

/// Grants no slots until the grants of another owner have expired.
void
GrantAllocator::SuspendGrants(State& aState,
                              int aMaxColdRequests,
                              TimePoint aNow) const
{
  aState.mNoGrantsUntil =
    aNow + mOptions.mMaxUseReportAge + mOptions.mGrantDuration;
  aState.mUnreportedWork = aMaxColdRequests;
}

void
GrantAllocator::OnLoadReport(std::string_view aUpstream,
                             int aRunning,
                             TimePoint aAt,
                             TimePoint aNow)
{
  const auto found = mStates.find(aUpstream);
  if (found == mStates.end() || aAt < found->second.mNoGrantsUntil ||
      aAt > aNow) {
    return;
  }
  auto& state = found->second;
  state.mUnreportedWork = std::min(state.mUnreportedWork, aRunning);
}

void
GrantAllocator::Expire(State& aState, TimePoint aNow) const
{
  std::erase_if(aState.mHolders, [&](const auto& aItem) {
    return aNow - aItem.second.mAnsweredAt >=
           mOptions.mGrantDuration + mOptions.mMaxRequestDuration;
  });
  if (aNow >= aState.mNoGrantsUntil + mOptions.mMaxRequestDuration) {
    aState.mUnreportedWork = 0;
  }
}

bool
GrantAllocator::AllReportedRecently(const State& aState, TimePoint aNow) const
{
  return std::ranges::all_of(mInstances, [&](const std::string& aInstance) {
    return aInstance == mOptions.mSelf.mInstance ||
           std::ranges::any_of(aState.mHolders, [&](const auto& aItem) {
             const auto& [incarnation, holder] = aItem;
             return incarnation.mInstance == aInstance &&
                    IsFresh(aState, holder.mToken, aNow);
           });
  });
}

int
GrantAllocator::Slots(const State& aState,
                      const membership::Incarnation& aSender,
                      int aMaxColdRequests,
                      TimePoint aNow) const
{
  if (aNow < aState.mNoGrantsUntil || !AllReportedRecently(aState, aNow)) {
    return 0;
  }
  int free = aMaxColdRequests - aState.mUnreportedWork;
  int wantingCount = 0;
  bool isAnotherWaiting = false;
  for (const auto& [incarnation, holder] : aState.mHolders) {
    wantingCount += holder.mWanted > 0 ? 1 : 0;
    if (incarnation != aSender) {
      free -= holder.mReserved;
      isAnotherWaiting =
        isAnotherWaiting || (holder.mWanted > 0 && holder.mReserved == 0);
    }
  }
  const auto& own = aState.mHolders.at(aSender);
  const bool isTurnOver =
    own.mServedSince != TimePoint{} && aNow - own.mServedSince >= kMaxTurn;
  if (free <= 0 || own.mWanted == 0 || (isAnotherWaiting && isTurnOver)) {
    return 0;
  }
  const int share = std::max(1, aMaxColdRequests / std::max(1, wantingCount));
  return std::min({ own.mWanted, share, free });
}

ColdGrant
GrantAllocator::OnUse(const membership::Incarnation& aSender,
                      std::int64_t aSequence,
                      const ColdUse& aUse,
                      const Ownership& aOwnership,
                      TimePoint aNow)
{
  auto& state = mStates[aUse.mUpstream];
  Expire(state, aNow);
  if (!aOwnership.mIsOwner) {
    state.mOwnerSince.reset();
    return { .mUpstream = aUse.mUpstream };
  }
  if (!state.mOwnerSince) {
    state.mOwnerSince = aNow;
    SuspendGrants(state, aOwnership.mMaxColdRequests, aNow);
  }
  auto& holder = state.mHolders[aSender];
  if (aSequence <= holder.mSequence) {
    // delayed in the network: the sender has sent a newer report since
    return { .mUpstream = aUse.mUpstream };
  }
  holder.mSequence = aSequence;
  holder.mReserved = std::max(aUse.mHeld, aUse.mInFlight);
  holder.mWanted = aUse.mWanted;
  holder.mAnsweredAt = aNow;
  const TimePoint token{ Duration{ aUse.mToken } };
  const bool isNewReporter =
    IsFresh(state, token, aNow) && !IsFresh(state, holder.mToken, aNow);
  if (isNewReporter && aSender != mOptions.mSelf) {
    SuspendGrants(state, aOwnership.mMaxColdRequests, aNow);
  }
  holder.mToken = token;
  const int slots = Slots(state, aSender, aOwnership.mMaxColdRequests, aNow);
  holder.mReserved = std::max(holder.mReserved, slots);
  if (slots == 0) {
    holder.mServedSince = {};
  } else if (holder.mServedSince == TimePoint{}) {
    holder.mServedSince = aNow;
  }
  return { .mUpstream = aUse.mUpstream,
           .mToken = aNow.time_since_epoch().count(),
           .mSlots = slots,
           .mDuration = mOptions.mGrantDuration };
}

} // namespace figslip::coldstart
