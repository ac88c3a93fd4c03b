#include <figslip/peer/gossip.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace figslip::peer {

namespace {

using evidence::EvidenceCounts;

/// Tells whether counts say more than counts known before.
bool
Adds(const EvidenceCounts& aNew, const EvidenceCounts& aKnown)
{
  return aNew.mAnswered > aKnown.mAnswered || aNew.mErrors > aKnown.mErrors ||
         aNew.mAccepted > aKnown.mAccepted ||
         aNew.mEscalated > aKnown.mEscalated || aNew.mGood > aKnown.mGood ||
         aNew.mBad > aKnown.mBad;
}

/// Tells whether evidence is the sum of a failure domain.
bool
IsSum(const membership::Incarnation& aOrigin)
{
  return aOrigin.mStartedAt == 0;
}

} // namespace

Gossip::Gossip(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mEntryEvidence(mOptions.mSends)
  , mSumEvidence(mOptions.mSends)
  , mCrashRumors(mOptions.mSends)
  , mUpstreamRumors(mOptions.mSends)
{
}

std::vector<membership::EntryInstance>
Gossip::PickPeers(const membership::InstanceList& aInstances)
{
  std::vector<const membership::EntryInstance*> own;
  std::vector<const membership::EntryInstance*> other;
  for (const auto& entry : aInstances.mEntries) {
    // an instance without a peer port cannot be reached
    if (entry.mName != mOptions.mSelf.mInstance && entry.mPeerPort > 0) {
      (entry.mFailureDomain == mOptions.mFailureDomain ? own : other)
        .push_back(&entry);
    }
  }
  std::vector<membership::EntryInstance> picked;
  for (const auto* const candidates : { &own, &other }) {
    if (!candidates->empty()) {
      std::uniform_int_distribution<std::size_t> pick(0,
                                                      candidates->size() - 1);
      picked.push_back(*(*candidates)[pick(mRandom)]);
    }
  }
  return picked;
}

void
Gossip::Push(EvidenceQueues& aQueues, const EvidencePlace& aPlace)
{
  const bool isUrgent = mLocal.mUrgentVersions.contains(aPlace.mKey.mVersion);
  (isUrgent ? aQueues.mUrgent : aQueues.mPlain).Push(aPlace);
}

bool
Gossip::TakesEvidence(const evidence::EvidenceEntry& aEntry,
                      const Digest& aDigest) const
{
  // a sum of the own failure domain would count its entries twice
  return IsSum(aEntry.mOrigin)
           ? aEntry.mOrigin.mInstance != mOptions.mFailureDomain
           : aDigest.mFailureDomain == mOptions.mFailureDomain;
}

bool
Gossip::OfferEvidence(const evidence::EvidenceEntry& aEntry)
{
  const EvidencePlace place{ aEntry.mBucket, aEntry.mKey, aEntry.mOrigin };
  const auto found = mEvidence.find(place);
  if (found == mEvidence.end() && mEvidence.size() >= mOptions.mMaxKnown) {
    // the evidence still counts here, but it does not travel on
    return true;
  }
  auto& known = mEvidence[place];
  if (!Adds(aEntry.mCounts, known)) {
    return false;
  }
  known = aEntry.mCounts;
  if (IsSum(aEntry.mOrigin)) {
    Push(mSumEvidence, place);
  } else {
    Push(mEntryEvidence, place);
    UpdateSum(place);
  }
  return true;
}

void
Gossip::UpdateSum(const EvidencePlace& aPlace)
{
  auto sumPlace = aPlace;
  sumPlace.mOrigin = { mOptions.mFailureDomain, 0 };
  EvidenceCounts sum;
  const EvidencePlace first{ aPlace.mBucket, aPlace.mKey, {} };
  for (auto item = mEvidence.lower_bound(first);
       item != mEvidence.end() && item->first.mBucket == aPlace.mBucket &&
       item->first.mKey == aPlace.mKey;
       ++item) {
    if (!IsSum(item->first.mOrigin)) {
      sum += item->second;
    }
  }
  mEvidence[sumPlace] = sum;
  Push(mSumEvidence, sumPlace);
}

bool
Gossip::OfferCrash(const quarantine::CrashReport& aReport)
{
  const CrashPlace place{ aReport.mFingerprint, aReport.mUpstream };
  const auto [found, added] = mCrashes.try_emplace(place, aReport);
  if (!added &&
      aReport.mSeenAt <= found->second.mSeenAt + mOptions.mSameSurprise) {
    return false;
  }
  found->second = aReport;
  mCrashRumors.Push(place);
  return true;
}

bool
Gossip::IsLaterSurprise(const UpstreamNews& aNew,
                        const UpstreamNews& aKnown) const
{
  // ages lose the time on the way, so the same surprise seems to come later
  return aNew.mSurpriseAt &&
         (!aKnown.mSurpriseAt ||
          *aNew.mSurpriseAt > *aKnown.mSurpriseAt + mOptions.mSameSurprise);
}

bool
Gossip::OfferUpstream(const UpstreamNews& aNews, bool aOwn)
{
  const auto [found, added] = mUpstreams.try_emplace(aNews.mUpstream, aNews);
  auto& known = found->second;
  bool changed = added;
  if (!added && IsLaterSurprise(aNews, known)) {
    known.mSurpriseAt = aNews.mSurpriseAt;
    known.mWarm = aNews.mWarm;
    changed = true;
  } else if (!added && !IsLaterSurprise(known, aNews) &&
             aNews.mBootId == known.mBootId && aNews.mWarm && !known.mWarm) {
    known.mWarm = true;
    changed = true;
  }
  if (!added && aNews.mRunning >= 0 && aNews.mRunningAt > known.mRunningAt) {
    // a load report is news to peers only if it comes from the upstream itself
    // or is clearly later than the one known
    changed = changed || aOwn || aNews.mBootId != known.mBootId ||
              aNews.mRunningAt > known.mRunningAt + mOptions.mSameSurprise / 8;
    if (aNews.mBootId != known.mBootId) {
      known.mBootId = aNews.mBootId;
      known.mWarm = aNews.mWarm;
    }
    known.mRunning = aNews.mRunning;
    known.mRunningAt = aNews.mRunningAt;
  }
  if (aOwn) {
    known.mInFlight = aNews.mInFlight;
  }
  if (changed) {
    mUpstreamRumors.Push(aNews.mUpstream);
  }
  return changed;
}

void
Gossip::OfferLoad(const DomainLoad& aLoad)
{
  if (aLoad.mFailureDomain.empty()) {
    return;
  }
  auto& known = mLoads[aLoad.mFailureDomain];
  if (aLoad.mAt >= known.mAt) {
    known = aLoad;
  }
}

void
Gossip::ForgetOld(TimePoint aNow)
{
  if (!mEvidence.empty()) {
    const auto newest = mEvidence.rbegin()->first.mBucket;
    const EvidencePlace oldest{ .mBucket =
                                  newest - mOptions.mBucketsRelayed + 1 };
    mEvidence.erase(mEvidence.begin(), mEvidence.lower_bound(oldest));
  }
  std::erase_if(mLoads, [&](const auto& aItem) {
    return aNow - aItem.second.mAt > mOptions.mLoadMemory;
  });
  std::erase_if(mCrashes, [&](const auto& aItem) {
    constexpr Duration kCrashMemory = std::chrono::minutes(1);
    return aNow - aItem.second.mSeenAt > kCrashMemory;
  });
}

void
Gossip::OnLocalNews(LocalNews aNews, TimePoint aNow)
{
  if (aNews.mGeneration != mLocal.mGeneration) {
    // a new manifest may give a stopped version another state
    mStopVotes.clear();
  }
  mLocal = std::move(aNews);
  for (const auto& entry : mLocal.mEvidence) {
    (void)OfferEvidence(entry);
  }
  for (const auto& report : mLocal.mCrashes) {
    (void)OfferCrash(report);
  }
  for (const auto& news : mLocal.mUpstreams) {
    (void)OfferUpstream(news, true);
  }
  OfferLoad(mLocal.mLoad);
  ForgetOld(aNow);
}

void
Gossip::AppendEvidence(Digest& aDigest,
                       RumorQueue<EvidencePlace>& aQueue,
                       std::size_t aUpTo) const
{
  const auto size = aDigest.mEvidence.size();
  const auto room = aUpTo > size ? aUpTo - size : 0;
  for (const auto& place : aQueue.Take(room)) {
    if (const auto found = mEvidence.find(place); found != mEvidence.end()) {
      aDigest.mEvidence.push_back(
        { place.mOrigin, place.mBucket, place.mKey, found->second });
    }
  }
}

Digest
Gossip::Compose(std::string_view aReceiverDomain, TimePoint aNow)
{
  Digest digest{ .mSender = mOptions.mSelf,
                 .mFailureDomain = mOptions.mFailureDomain,
                 .mGeneration = mLocal.mGeneration,
                 .mConfirmedAt = mLocal.mConfirmedAt,
                 .mStoppedVersions = mLocal.mStoppedVersions };
  const bool isOwnDomain = aReceiverDomain == mOptions.mFailureDomain;
  const auto most = mOptions.mMaxEvidence;
  if (isOwnDomain) {
    // room for the sums, which travel on here as well
    const auto kept = std::min(mSumEvidence.mUrgent.Size(), most / 2);
    AppendEvidence(digest, mEntryEvidence.mUrgent, most - kept);
  }
  AppendEvidence(digest, mSumEvidence.mUrgent, most);
  if (isOwnDomain) {
    AppendEvidence(digest, mEntryEvidence.mPlain, most);
  }
  AppendEvidence(digest, mSumEvidence.mPlain, most);
  for (const auto& place : mCrashRumors.Take(mOptions.mMaxCrashes)) {
    if (const auto found = mCrashes.find(place); found != mCrashes.end()) {
      digest.mCrashes.push_back(found->second);
    }
  }
  if (isOwnDomain) {
    for (const auto& name : mUpstreamRumors.Take(mOptions.mMaxUpstreams)) {
      digest.mUpstreams.push_back(mUpstreams.at(name));
    }
  }
  digest.mLoads = Loads(aNow);
  std::ranges::sort(digest.mLoads, std::greater<>{}, &DomainLoad::mAt);
  digest.mLoads.resize(std::min(digest.mLoads.size(), mOptions.mMaxLoads));
  return digest;
}

std::vector<StopVotes>
Gossip::CountStopVotes(const Digest& aDigest)
{
  std::vector<StopVotes> votes;
  // a verdict holds for the state that one manifest gives the version
  if (aDigest.mGeneration != mLocal.mGeneration) {
    return votes;
  }
  for (const auto& version : aDigest.mStoppedVersions) {
    auto& entries = mStopVotes[version];
    entries.insert(aDigest.mSender.mInstance);
    votes.push_back({ version, entries.size() });
  }
  return votes;
}

Learned
Gossip::Absorb(const Digest& aDigest, TimePoint aNow)
{
  Learned learned;
  if (aDigest.mSender.mInstance == mOptions.mSelf.mInstance) {
    return learned;
  }
  learned.mNewerManifest = aDigest.mGeneration > mLocal.mGeneration;
  std::ranges::copy_if(aDigest.mEvidence,
                       std::back_inserter(learned.mEvidence),
                       [&](const auto& aEntry) {
                         return TakesEvidence(aEntry, aDigest) &&
                                OfferEvidence(aEntry);
                       });
  std::ranges::copy_if(
    aDigest.mCrashes,
    std::back_inserter(learned.mCrashes),
    [&](const auto& aReport) { return OfferCrash(aReport); });
  if (aDigest.mFailureDomain == mOptions.mFailureDomain) {
    std::ranges::copy_if(
      aDigest.mUpstreams,
      std::back_inserter(learned.mUpstreams),
      [&](const auto& aNews) { return OfferUpstream(aNews, false); });
  }
  std::ranges::for_each(aDigest.mLoads,
                        [&](const auto& aLoad) { OfferLoad(aLoad); });
  learned.mStopVotes = CountStopVotes(aDigest);
  ForgetOld(aNow);
  return learned;
}

std::vector<DomainLoad>
Gossip::Loads(TimePoint aNow) const
{
  std::vector<DomainLoad> loads;
  for (const auto& [domain, load] : mLoads) {
    if (aNow - load.mAt <= mOptions.mLoadMemory) {
      loads.push_back(load);
    }
  }
  return loads;
}

TimePoint
Gossip::LoadReportedAt(std::string_view aUpstream) const
{
  const auto found = mUpstreams.find(aUpstream);
  return found == mUpstreams.end() ? TimePoint{} : found->second.mRunningAt;
}

} // namespace figslip::peer
