#include <figslip/relay/source_choice.hpp>

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace figslip::relay {

namespace {

/// Candidates that are asked at a time while a successor of the source is
/// awaited: the latest one whose turn has come and the one before it.
constexpr std::ptrdiff_t kCandidates = 2;

std::uint64_t
HashOf(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
SeedOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace

SourceChoice::SourceChoice(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
SourceChoice::OnPeers(const std::vector<Peer>& aPeers)
{
  mAll.clear();
  mBefore.clear();
  mDomain.clear();
  mOthers.clear();
  const auto domain = SeedOf(mOptions.mFailureDomain);
  const auto own = HashOf(mOptions.mInstance, domain);
  for (const auto& peer : aPeers) {
    if (peer.mInstance == mOptions.mInstance) {
      continue;
    }
    mAll.push_back(peer);
    if (IsOfDomain(peer)) {
      mDomain.push_back(peer);
    }
    const bool isBefore =
      IsOfDomain(peer) && HashOf(peer.mInstance, domain) < own;
    (isBefore ? mBefore : mOthers).push_back(peer);
  }
  std::ranges::sort(mBefore, {}, [&](const Peer& aPeer) {
    return HashOf(aPeer.mInstance, domain);
  });
  const auto mine = SeedOf(mOptions.mInstance);
  const auto ownOrder = [&](const Peer& aPeer) {
    return HashOf(aPeer.mInstance, mine);
  };
  std::ranges::sort(mDomain, {}, ownOrder);
  std::ranges::sort(mOthers, {}, ownOrder);
  mOthers.resize(std::min(mOthers.size(), mOptions.mMaxOthers));
  std::erase_if(mFailures, [&](const auto& aFailure) {
    return std::ranges::find(aPeers, aFailure.first, &Peer::mInstance) ==
           aPeers.end();
  });
}

SourceStep
SourceChoice::Next(const CopyState& aState, TimePoint aNow) const
{
  if (!aState.mHasCopy || aState.mFollowsStore || !mSource) {
    return NextOfDirect(aState, aNow);
  }
  return mSourceLostAt ? NextWithoutSource(*mSourceLostAt, aState, aNow)
                       : NextOfFollower(*mSource, aState, aNow);
}

SourceStep
SourceChoice::NextOfFollower(const Peer& aSource,
                             const CopyState& aState,
                             TimePoint aNow) const
{
  const auto source =
    std::ranges::find(mBefore, aSource.mInstance, &Peer::mInstance);
  // the source is asked in time if the better one does not answer
  if (aState.mAge < kMaxCopyAge / 2) {
    const std::vector<Peer> better(mBefore.begin(), source);
    if (auto peer = First(better, mOptions.mIdleNoCopyAvoid, aNow)) {
      return AskInstance{ .mPeer = std::move(*peer), .mUntil = {} };
    }
  }
  const auto term =
    std::min(mOptions.mForeignTerm * (std::ssize(Reachable(aNow)) + 1),
             mOptions.mMaxForeignTerm);
  if (!IsOfDomain(aSource) && aNow - mSourceSince >= term) {
    return FollowStore{ "the source is of another failure domain" };
  }
  return AskInstance{ .mPeer = aSource, .mUntil = {} };
}

SourceStep
SourceChoice::NextWithoutSource(TimePoint aLostAt,
                                const CopyState& aState,
                                TimePoint aNow) const
{
  const auto deadline =
    aNow + (kMaxCopyAge - mOptions.mCallReserve - aState.mAge);
  if (aNow >= deadline + mOptions.mCallReserve) {
    return FollowStore{ "the copy is too old" };
  }
  const auto stagger =
    std::clamp<Duration>((deadline - aLostAt) / mOptions.mStaggeredRanks,
                         mOptions.mMinStagger,
                         mOptions.mMaxStagger);
  const auto before = Reachable(aNow);
  const auto rank = std::ssize(before);
  const auto due = std::min(aLostAt + stagger * rank, deadline);

  const auto poll = mOptions.mSuccessorPoll;
  if (auto followed = Followed(poll, aNow)) {
    return AskInstance{ .mPeer = std::move(*followed), .mUntil = due };
  }
  const auto last =
    std::min<std::ptrdiff_t>(rank, (aNow - aLostAt) / stagger + 1);
  const std::vector<Peer> candidates(
    before.begin() + std::max<std::ptrdiff_t>(0, last - kCandidates),
    before.begin() + last);
  if (auto peer = First(candidates, poll, aNow)) {
    return AskInstance{ .mPeer = std::move(*peer), .mUntil = due };
  }
  if (aNow < due) {
    const auto next =
      candidates | std::views::transform([&](const Peer& aPeer) {
        return AvoidedUntil(aPeer.mInstance, poll);
      });
    return AwaitSuccessor{ std::min(due, std::ranges::min(next)) };
  }
  // others may have succeeded that were not candidates, or know who has
  auto asked = mDomain | std::views::filter([&](const Peer& aPeer) {
                 return WasAskedSinceLoss(aPeer.mInstance);
               });
  const bool mayAsk =
    rank > 0 &&
    std::ranges::distance(asked) <
      std::ssize(candidates) + static_cast<std::ptrdiff_t>(mOptions.mMaxOthers);
  if (mayAsk) {
    const auto found = std::ranges::find_if(mDomain, [&](const Peer& aPeer) {
      return !WasAskedSinceLoss(aPeer.mInstance) &&
             !IsUnreachable(aPeer.mInstance, aNow);
    });
    if (found != mDomain.end()) {
      return AskInstance{ .mPeer = *found, .mUntil = due };
    }
  }
  return FollowStore{ "no instance has succeeded the source" };
}

SourceStep
SourceChoice::NextOfDirect(const CopyState& aState, TimePoint aNow) const
{
  Candidate peer;
  if (!aState.mHasCopy) {
    peer = First(mBefore, mOptions.mNoCopyAvoid, aNow);
  } else {
    peer = Followed(mOptions.mNoCopyAvoid, aNow);
    const bool mayFollow = peer && (aState.mHasLostStore || IsBefore(*peer));
    peer = mayFollow ? peer : std::nullopt;
    auto front = Reachable(aNow);
    front.resize(std::min(front.size(), mOptions.mFront));
    peer = peer ? peer : First(front, mOptions.mNoCopyAvoid, aNow);
  }
  if (!peer && aState.mHasLostStore) {
    peer = First(mOthers, mOptions.mNoCopyAvoid, aNow);
  } else if (!peer && aState.mHasCopy) {
    peer = First(mBefore, mOptions.mIdleNoCopyAvoid, aNow);
  }
  if (peer) {
    return AskInstance{ .mPeer = std::move(*peer), .mUntil = {} };
  }
  return FollowStore{ "no instance is to be asked" };
}

void
SourceChoice::OnAnswered(const Peer& aPeer, TimePoint aNow)
{
  const auto found = mFailures.find(aPeer.mInstance);
  if (found != mFailures.end()) {
    mFailures.erase(found);
  }
  if (!mSource || mSource->mInstance != aPeer.mInstance) {
    mSourceSince = aNow;
  }
  mSource = aPeer;
  mSourceLostAt.reset();
  mFollowed.clear();
}

void
SourceChoice::OnFailed(std::string_view aInstance,
                       SourceFailure aFailure,
                       TimePoint aNow,
                       std::string_view aFollowed)
{
  auto& failure = mFailures[std::string(aInstance)];
  const bool isUnreachable = aFailure == SourceFailure::Unreachable;
  failure = { .mKind = aFailure,
              .mInRow = isUnreachable ? failure.mInRow + 1 : 0,
              .mAt = aNow };
  if (!aFollowed.empty()) {
    mFollowed = aFollowed;
  }
  if (mSource && mSource->mInstance == aInstance && !mSourceLostAt) {
    mSourceLostAt = aNow;
  }
}

void
SourceChoice::OnStoreFollowed()
{
  mSource.reset();
  mSourceLostAt.reset();
}

SourceChoice::Candidate
SourceChoice::First(const std::vector<Peer>& aPeers,
                    Duration aNoCopyAvoid,
                    TimePoint aNow) const
{
  const auto found = std::ranges::find_if(aPeers, [&](const Peer& aPeer) {
    return aNow >= AvoidedUntil(aPeer.mInstance, aNoCopyAvoid);
  });
  return found == aPeers.end() ? std::nullopt : std::optional(*found);
}

std::vector<Peer>
SourceChoice::Reachable(TimePoint aNow) const
{
  std::vector<Peer> reachable;
  std::ranges::copy_if(
    mBefore, std::back_inserter(reachable), [&](const Peer& aPeer) {
      // a source that has just failed does not succeed itself
      const bool hasFailed =
        mSourceLostAt && mSource && mSource->mInstance == aPeer.mInstance;
      return !hasFailed && !IsUnreachable(aPeer.mInstance, aNow);
    });
  return reachable;
}

SourceChoice::Candidate
SourceChoice::Followed(Duration aNoCopyAvoid, TimePoint aNow) const
{
  const auto found = std::ranges::find(mAll, mFollowed, &Peer::mInstance);
  const bool isUsable =
    found != mAll.end() && (!mSourceLostAt || *found != mSource) &&
    aNow >= AvoidedUntil(found->mInstance, aNoCopyAvoid) &&
    // only who has lost the store follows an instance of another domain
    (!mSourceLostAt || IsOfDomain(*found));
  return isUsable ? std::optional(*found) : std::nullopt;
}

bool
SourceChoice::IsBefore(const Peer& aPeer) const
{
  return std::ranges::find(mBefore, aPeer.mInstance, &Peer::mInstance) !=
         mBefore.end();
}

TimePoint
SourceChoice::AvoidedUntil(std::string_view aInstance,
                           Duration aNoCopyAvoid) const
{
  const auto found = mFailures.find(aInstance);
  if (found == mFailures.end()) {
    return {};
  }
  const auto& failure = found->second;
  if (failure.mKind == SourceFailure::NoCopy) {
    return failure.mAt + aNoCopyAvoid;
  }
  constexpr int kMaxDoublings = 10;
  const auto time =
    mOptions.mAvoid * (1 << std::min(failure.mInRow - 1, kMaxDoublings));
  return failure.mAt + std::min<Duration>(time, mOptions.mMaxAvoid);
}

bool
SourceChoice::IsUnreachable(std::string_view aInstance, TimePoint aNow) const
{
  const auto found = mFailures.find(aInstance);
  return found != mFailures.end() &&
         found->second.mKind == SourceFailure::Unreachable &&
         (aNow < AvoidedUntil(aInstance, {}) || WasAskedSinceLoss(aInstance));
}

bool
SourceChoice::WasAskedSinceLoss(std::string_view aInstance) const
{
  const auto found = mFailures.find(aInstance);
  return mSourceLostAt && found != mFailures.end() &&
         found->second.mAt >= *mSourceLostAt;
}

} // namespace figslip::relay
