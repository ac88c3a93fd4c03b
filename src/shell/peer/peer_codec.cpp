#include "peer_codec.hpp"

#include <algorithm>
#include <iterator>

namespace figslip::peer {

namespace {

/// Bound on the length of a grant that a peer may name.
constexpr std::int64_t kLongestGrantMs = 60'000;

std::int64_t
AgeMs(TimePoint aTime, TimePoint aNow)
{
  return std::max(Duration::zero(), aNow - aTime) /
         std::chrono::milliseconds(1);
}

/// Turns an age back into a time; an age of nonsense gives the epoch.
TimePoint
TimeOfAge(std::int64_t aAgeMs, TimePoint aNow)
{
  const auto oldest = aNow.time_since_epoch() / std::chrono::milliseconds(1);
  const auto age = std::clamp<std::int64_t>(aAgeMs, 0, oldest);
  return aNow - std::chrono::milliseconds(age);
}

/// Applies a function to every item of a list.
template<typename To, typename From, typename Convert>
void
ConvertAll(const std::vector<From>& aFrom,
           std::vector<To>& aTo,
           Convert aConvert)
{
  aTo.reserve(aFrom.size());
  std::ranges::transform(aFrom, std::back_inserter(aTo), aConvert);
}

wire::Evidence
EvidenceToWire(const evidence::EvidenceEntry& aEntry)
{
  wire::Evidence evidence;
  evidence.origin = ToWire(aEntry.mOrigin);
  evidence.bucket = aEntry.mBucket;
  evidence.version = aEntry.mKey.mVersion;
  evidence.taskKind = aEntry.mKey.mTaskKind;
  evidence.answered = static_cast<std::int64_t>(aEntry.mCounts.mAnswered);
  evidence.errors = static_cast<std::int64_t>(aEntry.mCounts.mErrors);
  evidence.accepted = static_cast<std::int64_t>(aEntry.mCounts.mAccepted);
  evidence.escalated = static_cast<std::int64_t>(aEntry.mCounts.mEscalated);
  evidence.good = static_cast<std::int64_t>(aEntry.mCounts.mGood);
  evidence.bad = static_cast<std::int64_t>(aEntry.mCounts.mBad);
  return evidence;
}

std::uint64_t
CountOf(std::int64_t aValue)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, aValue));
}

evidence::EvidenceEntry
EvidenceFromWire(const wire::Evidence& aEvidence)
{
  return { .mOrigin = FromWire(aEvidence.origin),
           .mBucket = aEvidence.bucket,
           .mKey = { aEvidence.version, aEvidence.taskKind },
           .mCounts = { .mAnswered = CountOf(aEvidence.answered),
                        .mErrors = CountOf(aEvidence.errors),
                        .mAccepted = CountOf(aEvidence.accepted),
                        .mEscalated = CountOf(aEvidence.escalated),
                        .mGood = CountOf(aEvidence.good),
                        .mBad = CountOf(aEvidence.bad) } };
}

wire::UpstreamNews
NewsToWire(const UpstreamNews& aNews, TimePoint aNow)
{
  wire::UpstreamNews news;
  news.upstream = aNews.mUpstream;
  news.bootId = aNews.mBootId;
  news.warm = aNews.mWarm;
  news.inFlight = aNews.mInFlight;
  news.surpriseAgeMs = aNews.mSurpriseAt ? AgeMs(*aNews.mSurpriseAt, aNow) : -1;
  news.running = aNews.mRunning;
  news.runningAgeMs = AgeMs(aNews.mRunningAt, aNow);
  return news;
}

UpstreamNews
NewsFromWire(const wire::UpstreamNews& aNews, TimePoint aNow)
{
  UpstreamNews news{ .mUpstream = aNews.upstream,
                     .mBootId = aNews.bootId,
                     .mWarm = aNews.warm,
                     .mInFlight = aNews.inFlight,
                     .mRunning = aNews.running,
                     .mRunningAt = TimeOfAge(aNews.runningAgeMs, aNow) };
  if (aNews.surpriseAgeMs >= 0) {
    news.mSurpriseAt = TimeOfAge(aNews.surpriseAgeMs, aNow);
  }
  return news;
}

} // namespace

wire::Incarnation
ToWire(const membership::Incarnation& aIncarnation)
{
  wire::Incarnation incarnation;
  incarnation.instance = aIncarnation.mInstance;
  incarnation.startedAtMs = aIncarnation.mStartedAt;
  return incarnation;
}

membership::Incarnation
FromWire(const wire::Incarnation& aIncarnation)
{
  return { aIncarnation.instance, aIncarnation.startedAtMs };
}

wire::Digest
ToWire(const Digest& aDigest, TimePoint aNow)
{
  wire::Digest digest;
  digest.sender = ToWire(aDigest.mSender);
  digest.failureDomain = aDigest.mFailureDomain;
  digest.manifest.generation = aDigest.mGeneration;
  digest.manifest.confirmedAgeMs = AgeMs(aDigest.mConfirmedAt, aNow);
  ConvertAll(aDigest.mEvidence, digest.evidence, EvidenceToWire);
  ConvertAll(aDigest.mCrashes, digest.crashes, [&](const auto& aReport) {
    wire::Crash crash;
    crash.fingerprint = static_cast<std::int64_t>(aReport.mFingerprint);
    crash.upstream = aReport.mUpstream;
    crash.ageMs = AgeMs(aReport.mSeenAt, aNow);
    crash.inFlight = aReport.mInFlight;
    return crash;
  });
  ConvertAll(aDigest.mUpstreams, digest.upstreams, [&](const auto& aNews) {
    return NewsToWire(aNews, aNow);
  });
  digest.stoppedVersions = aDigest.mStoppedVersions;
  ConvertAll(aDigest.mLoads, digest.loads, [&](const auto& aLoad) {
    wire::DomainLoad load;
    load.failureDomain = aLoad.mFailureDomain;
    load.freeSlots = aLoad.mFreeSlots;
    load.waiting = aLoad.mWaiting;
    load.ageMs = AgeMs(aLoad.mAt, aNow);
    return load;
  });
  return digest;
}

Digest
FromWire(const wire::Digest& aDigest, TimePoint aNow)
{
  Digest digest{ .mSender = FromWire(aDigest.sender),
                 .mFailureDomain = aDigest.failureDomain,
                 .mGeneration = aDigest.manifest.generation,
                 .mConfirmedAt =
                   TimeOfAge(aDigest.manifest.confirmedAgeMs, aNow),
                 .mStoppedVersions = aDigest.stoppedVersions };
  ConvertAll(aDigest.evidence, digest.mEvidence, EvidenceFromWire);
  ConvertAll(aDigest.crashes, digest.mCrashes, [&](const auto& aCrash) {
    return quarantine::CrashReport{ .mFingerprint = static_cast<std::uint64_t>(
                                      aCrash.fingerprint),
                                    .mUpstream = aCrash.upstream,
                                    .mSeenAt = TimeOfAge(aCrash.ageMs, aNow),
                                    .mInFlight = std::max(1, aCrash.inFlight) };
  });
  ConvertAll(aDigest.upstreams, digest.mUpstreams, [&](const auto& aNews) {
    return NewsFromWire(aNews, aNow);
  });
  ConvertAll(aDigest.loads, digest.mLoads, [&](const auto& aLoad) {
    return DomainLoad{ .mFailureDomain = aLoad.failureDomain,
                       .mFreeSlots = aLoad.freeSlots,
                       .mWaiting = aLoad.waiting,
                       .mAt = TimeOfAge(aLoad.ageMs, aNow) };
  });
  return digest;
}

wire::GrantRequest
ToWire(const GrantRequest& aRequest)
{
  wire::GrantRequest request;
  request.sender = ToWire(aRequest.mSender);
  request.sequence = aRequest.mSequence;
  ConvertAll(aRequest.mUses, request.uses, [](const auto& aUse) {
    wire::ColdUse use;
    use.upstream = aUse.mUpstream;
    use.held = aUse.mHeld;
    use.inFlight = aUse.mInFlight;
    use.wanted = aUse.mWanted;
    use.token = aUse.mToken;
    return use;
  });
  return request;
}

GrantRequest
FromWire(const wire::GrantRequest& aRequest)
{
  GrantRequest request{ .mSender = FromWire(aRequest.sender),
                        .mSequence = aRequest.sequence,
                        .mUses = {} };
  ConvertAll(aRequest.uses, request.mUses, [](const auto& aUse) {
    return coldstart::ColdUse{ .mUpstream = aUse.upstream,
                               .mHeld = std::max(0, aUse.held),
                               .mInFlight = std::max(0, aUse.inFlight),
                               .mWanted = std::max(0, aUse.wanted),
                               .mToken = aUse.token };
  });
  return request;
}

wire::GrantAnswer
ToWire(const std::vector<coldstart::ColdGrant>& aGrants)
{
  wire::GrantAnswer answer;
  ConvertAll(aGrants, answer.grants, [](const auto& aGrant) {
    wire::ColdGrant grant;
    grant.upstream = aGrant.mUpstream;
    grant.token = aGrant.mToken;
    grant.slots = aGrant.mSlots;
    grant.lengthMs = aGrant.mDuration / std::chrono::milliseconds(1);
    return grant;
  });
  return answer;
}

std::vector<coldstart::ColdGrant>
FromWire(const wire::GrantAnswer& aAnswer)
{
  std::vector<coldstart::ColdGrant> grants;
  ConvertAll(aAnswer.grants, grants, [](const auto& aGrant) {
    return coldstart::ColdGrant{ .mUpstream = aGrant.upstream,
                                 .mToken = aGrant.token,
                                 .mSlots = std::max(0, aGrant.slots),
                                 .mDuration = std::chrono::milliseconds(
                                   std::clamp<std::int64_t>(
                                     aGrant.lengthMs, 0, kLongestGrantMs)) };
  });
  return grants;
}

wire::ManifestText
ToWire(const ManifestText& aManifest, TimePoint aNow)
{
  wire::ManifestText manifest;
  manifest.generation = aManifest.mGeneration;
  manifest.confirmedAgeMs = AgeMs(aManifest.mConfirmedAt, aNow);
  manifest.text = aManifest.mText;
  return manifest;
}

ManifestText
FromWire(const wire::ManifestText& aManifest, TimePoint aNow)
{
  return { .mGeneration = aManifest.generation,
           .mConfirmedAt = TimeOfAge(aManifest.confirmedAgeMs, aNow),
           .mText = aManifest.text };
}

wire::BillingCopies
ToWire(const BillingCopies& aCopies)
{
  wire::BillingCopies copies;
  copies.origin = ToWire(aCopies.mOrigin);
  copies.batch = aCopies.mBatch;
  copies.sequence = aCopies.mSequence;
  return copies;
}

BillingCopies
FromWire(const wire::BillingCopies& aCopies)
{
  return { .mOrigin = FromWire(aCopies.origin),
           .mBatch = aCopies.batch,
           .mSequence = aCopies.sequence };
}

} // namespace figslip::peer
