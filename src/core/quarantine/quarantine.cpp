#include <figslip/quarantine/quarantine.hpp>

#include <algorithm>

namespace figslip::quarantine {

Quarantine::Quarantine(Options aOptions)
  : mOptions(aOptions)
  , mServed(aOptions.mServedRetention, aOptions.mMaxServed)
{
}

void
Quarantine::OnServed(std::uint64_t aFingerprint, TimePoint aNow)
{
  mServed.Touch(aFingerprint, aNow);
  if (mCrashes.erase(aFingerprint) > 0) {
    Exonerate(aFingerprint);
  }
}

void
Quarantine::Exonerate(std::uint64_t aFingerprint)
{
  if (mExonerated.size() < mOptions.mMaxFingerprints) {
    mExonerated.insert(aFingerprint);
  }
}

void
Quarantine::OnWithdrawn(std::uint64_t aFingerprint, std::string_view aUpstream)
{
  const auto found = mCrashes.find(aFingerprint);
  if (found == mCrashes.end()) {
    return;
  }
  std::erase_if(found->second,
                [&](const auto& aItem) { return aItem.first == aUpstream; });
  if (found->second.empty()) {
    mCrashes.erase(found);
  }
}

bool
Quarantine::OnConnectionBroken(std::uint64_t aFingerprint,
                               std::string_view aUpstream,
                               int aInFlight,
                               TimePoint aNow)
{
  auto& crash = mLocalCrashes[std::string(aUpstream)];
  if (aNow - crash.mStartedAt >= mOptions.mSameCrashWindow) {
    crash = { .mStartedAt = aNow, .mMaxInFlight = 1 };
  }
  // the connections of a crashed upstream break one after the other, so that
  // the last request seems to have been the only one in flight
  crash.mMaxInFlight = std::max(crash.mMaxInFlight, aInFlight);
  return OnCrash({ .mFingerprint = aFingerprint,
                   .mUpstream = std::string(aUpstream),
                   .mSeenAt = aNow,
                   .mInFlight = crash.mMaxInFlight });
}

bool
Quarantine::OnCrash(const CrashReport& aReport)
{
  if (mServed.Contains(aReport.mFingerprint, aReport.mSeenAt)) {
    Exonerate(aReport.mFingerprint);
    return false;
  }
  auto& crashes = mCrashes[aReport.mFingerprint][aReport.mUpstream];
  if (crashes.mBlame == 0.0 ||
      aReport.mSeenAt >= crashes.mSeenAt + mOptions.mSameCrashWindow) {
    crashes.mInFlight = std::max(1, aReport.mInFlight);
    crashes.mBlame = std::min(1.0, crashes.mBlame + 1.0 / crashes.mInFlight);
  }
  crashes.mSeenAt = std::max(crashes.mSeenAt, aReport.mSeenAt);
  if (mCrashes.size() > mOptions.mMaxFingerprints) {
    DropOldest();
  }
  return true;
}

void
Quarantine::DropOldest()
{
  const auto latest = [](const auto& aItem) {
    TimePoint seenAt{};
    for (const auto& [upstream, crashes] : aItem.second) {
      seenAt = std::max(seenAt, crashes.mSeenAt);
    }
    return seenAt;
  };
  mCrashes.erase(std::ranges::min_element(mCrashes, {}, latest));
}

bool
Quarantine::IsQuarantined(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = mCrashes.find(aFingerprint);
  if (found == mCrashes.end()) {
    return false;
  }
  std::size_t upstreams = 0;
  double blame = 0.0;
  for (const auto& [upstream, crashes] : found->second) {
    if (aNow - crashes.mSeenAt < mOptions.mRetention) {
      ++upstreams;
      blame += crashes.mBlame;
    }
  }
  return upstreams >= mOptions.mMinUpstreams && blame >= mOptions.mMinBlame;
}

std::vector<CrashReport>
Quarantine::Reports(TimePoint aNow) const
{
  std::vector<CrashReport> reports;
  for (const auto& [fingerprint, byUpstream] : mCrashes) {
    for (const auto& [upstream, crashes] : byUpstream) {
      if (aNow - crashes.mSeenAt < mOptions.mRetention) {
        reports.push_back(
          { fingerprint, upstream, crashes.mSeenAt, crashes.mInFlight });
      }
    }
  }
  return reports;
}

void
Quarantine::Expire(TimePoint aNow)
{
  for (auto& [fingerprint, byUpstream] : mCrashes) {
    std::erase_if(byUpstream, [&](const auto& aItem) {
      return aNow - aItem.second.mSeenAt >= mOptions.mRetention;
    });
  }
  std::erase_if(mCrashes,
                [](const auto& aItem) { return aItem.second.empty(); });
  std::erase_if(mLocalCrashes, [&](const auto& aItem) {
    return aNow - aItem.second.mStartedAt >= mOptions.mRetention;
  });
}

} // namespace figslip::quarantine
