#include <figslip/coldstart/grant_book.hpp>

#include <algorithm>
#include <utility>

namespace figslip::coldstart {

namespace {

/// Time after which a slot passes on to an entry that waits for one.
constexpr Duration kTurn = std::chrono::seconds(5);

} // namespace

GrantBook::GrantBook(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
GrantBook::OnEntries(std::set<std::string, std::less<>> aEntries)
{
  const bool vanished = !std::ranges::includes(aEntries, mEntries);
  mEntries = std::move(aEntries);
  if (!vanished) {
    return;
  }
  // the entry that vanished may regard itself as the home until its peers'
  // asks are too old, and its last grants last for one more length
  for (auto& [upstream, state] : mStates) {
    state.mHomeSince.reset();
  }
}

bool
GrantBook::IsFresh(const State& aState, TimePoint aToken, TimePoint aNow) const
{
  return aState.mHomeSince && aToken >= *aState.mHomeSince && aToken <= aNow &&
         aNow - aToken <= mOptions.mAskMemory;
}

/// Waits until what another home may have granted is over.
void
GrantBook::WaitForOthers(State& aState, int aBound, TimePoint aNow) const
{
  aState.mQuietUntil = aNow + mOptions.mAskMemory + mOptions.mGrantLength;
  aState.mUnknown = aBound;
}

void
GrantBook::OnLoadReport(std::string_view aUpstream,
                        int aRunning,
                        TimePoint aAt,
                        TimePoint aNow)
{
  const auto found = mStates.find(aUpstream);
  if (found == mStates.end() || aAt < found->second.mQuietUntil || aAt > aNow) {
    return;
  }
  auto& state = found->second;
  state.mUnknown = std::min(state.mUnknown, aRunning);
}

void
GrantBook::Expire(State& aState, TimePoint aNow) const
{
  std::erase_if(aState.mHolders, [&](const auto& aItem) {
    return aNow - aItem.second.mAt >=
           mOptions.mGrantLength + mOptions.mLongestWork;
  });
  if (aNow >= aState.mQuietUntil + mOptions.mLongestWork) {
    aState.mUnknown = 0;
  }
}

bool
GrantBook::AllAsked(const State& aState, TimePoint aNow) const
{
  return std::ranges::all_of(mEntries, [&](const std::string& aEntry) {
    return aEntry == mOptions.mSelf.mInstance ||
           std::ranges::any_of(aState.mHolders, [&](const auto& aItem) {
             const auto& [incarnation, holder] = aItem;
             return incarnation.mInstance == aEntry &&
                    IsFresh(aState, holder.mToken, aNow);
           });
  });
}

int
GrantBook::Slots(const State& aState,
                 const membership::Incarnation& aSender,
                 int aBound,
                 TimePoint aNow) const
{
  if (aNow < aState.mQuietUntil || !AllAsked(aState, aNow)) {
    return 0;
  }
  int free = aBound - aState.mUnknown;
  int wanting = 0;
  bool anotherWaits = false;
  for (const auto& [incarnation, holder] : aState.mHolders) {
    wanting += holder.mWanted > 0 ? 1 : 0;
    if (incarnation != aSender) {
      free -= holder.mUsed;
      anotherWaits = anotherWaits || (holder.mWanted > 0 && holder.mUsed == 0);
    }
  }
  const auto& own = aState.mHolders.at(aSender);
  const bool turnIsOver =
    own.mServedSince != TimePoint{} && aNow - own.mServedSince >= kTurn;
  if (free <= 0 || own.mWanted == 0 || (anotherWaits && turnIsOver)) {
    return 0;
  }
  const int share = std::max(1, aBound / std::max(1, wanting));
  return std::min({ own.mWanted, share, free });
}

ColdGrant
GrantBook::OnUse(const membership::Incarnation& aSender,
                 std::int64_t aSequence,
                 const ColdUse& aUse,
                 const Home& aHome,
                 TimePoint aNow)
{
  auto& state = mStates[aUse.mUpstream];
  Expire(state, aNow);
  if (!aHome.mIsHome) {
    state.mHomeSince.reset();
    return { .mUpstream = aUse.mUpstream };
  }
  if (!state.mHomeSince) {
    state.mHomeSince = aNow;
    WaitForOthers(state, aHome.mBound, aNow);
  }
  auto& holder = state.mHolders[aSender];
  if (aSequence <= holder.mSequence) {
    // delayed on its way; the sender has told more since
    return { .mUpstream = aUse.mUpstream };
  }
  holder.mSequence = aSequence;
  holder.mUsed = std::max(aUse.mHeld, aUse.mInFlight);
  holder.mWanted = aUse.mWanted;
  holder.mAt = aNow;
  const TimePoint token{ Duration{ aUse.mToken } };
  const bool beginsToAsk =
    IsFresh(state, token, aNow) && !IsFresh(state, holder.mToken, aNow);
  if (beginsToAsk && aSender != mOptions.mSelf) {
    WaitForOthers(state, aHome.mBound, aNow);
  }
  holder.mToken = token;
  const int slots = Slots(state, aSender, aHome.mBound, aNow);
  holder.mUsed = std::max(holder.mUsed, slots);
  if (slots == 0) {
    holder.mServedSince = {};
  } else if (holder.mServedSince == TimePoint{}) {
    holder.mServedSince = aNow;
  }
  return { .mUpstream = aUse.mUpstream,
           .mToken = aNow.time_since_epoch().count(),
           .mSlots = slots,
           .mLength = mOptions.mGrantLength };
}

} // namespace figslip::coldstart
