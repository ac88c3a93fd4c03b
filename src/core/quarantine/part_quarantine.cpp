#include <figslip/quarantine/part_quarantine.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <ranges>
#include <string_view>

namespace figslip::quarantine {

namespace {

std::int64_t
ToMilliseconds(Duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

bool
ContainsAll(const std::set<PartId>& aParts, const std::set<PartId>& aWanted)
{
  return std::ranges::includes(aParts, aWanted);
}

/// Time by which each instance lengthens the spread of the reports of served
/// suspects. A report reaches all others within half a second or so, and about
/// that part of the spread's instances send it meanwhile: 12 of any number.
constexpr Duration kClearanceSpreadPerInstance = std::chrono::milliseconds(40);

/// Instances up to which an instance reports at once that it has served a
/// suspect, and the time by which each further one lengthens their spread.
constexpr int kPromptInstances = 10;
constexpr Duration kServedSpreadPerInstance = std::chrono::milliseconds(10);

/// Time before the first probe without the companions of a part, in which the
/// reports of its crashes reach all instances.
constexpr Duration kCompanionDelay = std::chrono::seconds(2);

/// Time by which each instance lengthens the spread of the probes without the
/// companions of a part. A crash is known to all instances within half a
/// second, so about two of them probe a deadly part, however many there are.
constexpr Duration kCompanionSpreadPerInstance = std::chrono::milliseconds(250);

bool
Intersects(const std::set<PartId>& aLeft, const std::set<PartId>& aRight)
{
  return std::ranges::any_of(
    aLeft, [&](PartId aPart) { return aRight.contains(aPart); });
}

std::uint64_t
HashOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

/// Mixes the bits of a number, so that close numbers give unrelated ones.
std::uint64_t
Mix(std::uint64_t aNumber)
{
  aNumber = (aNumber ^ (aNumber >> 33U)) * 0xff51afd7ed558ccdULL;
  aNumber = (aNumber ^ (aNumber >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  return aNumber ^ (aNumber >> 33U);
}

} // namespace

PartQuarantine::PartQuarantine(Options aOptions)
  : mOptions(aOptions)
  , mServed(aOptions.mServedRetention, aOptions.mMaxServedParts)
  , mClearanceSpread(aOptions.mClearanceSpread)
{
}

void
PartQuarantine::SetInstanceCount(int aInstances)
{
  mClearanceSpread = std::max<Duration>(
    mOptions.mClearanceSpread, kClearanceSpreadPerInstance * aInstances);
  mServedSpread =
    kServedSpreadPerInstance * std::max(0, aInstances - kPromptInstances);
  mCompanionSpread = kCompanionSpreadPerInstance * aInstances;
}

void
PartQuarantine::Forget(PartId aPart, TimePoint aNow)
{
  Release(aPart);
  for (auto& crash : mCrashes) {
    if (crash.mSuspects.mParts.erase(aPart) > 0) {
      // a rival of another part may be gone
      mDecideAt = std::min(mDecideAt.value_or(aNow), aNow);
    }
  }
}

void
PartQuarantine::Clear(PartId aPart, TimePoint aNow)
{
  mServed.Touch(aPart, aNow);
  Forget(aPart, aNow);
}

void
PartQuarantine::OnServed(const std::vector<PartId>& aParts, TimePoint aNow)
{
  for (const auto part : aParts) {
    const bool isSuspect =
      mQuarantined.contains(part) ||
      std::ranges::any_of(mCrashes, [&](const Crash& aCrash) {
        return aCrash.mSuspects.mParts.contains(part);
      });
    if (!isSuspect) {
      mServed.Touch(part, aNow);
      continue;
    }
    Clear(part, aNow);
    mCleared.emplace(part, aNow + SpreadOf(part, mServedSpread));
  }
}

void
PartQuarantine::OnPeerServed(const std::vector<PartId>& aParts, TimePoint aNow)
{
  for (const auto part : aParts) {
    Clear(part, aNow);
    mCleared.erase(part);
  }
}

void
PartQuarantine::OnCrash(const CrashSuspects& aCrash, TimePoint aNow)
{
  CrashSuspects suspects{ .mEndpoint = aCrash.mEndpoint,
                          .mAtMs = aCrash.mAtMs,
                          .mParts = {} };
  // one time for all parts of a crash, so that one record holds them
  const auto reportAt =
    aNow + SpreadOf(HashOf(aCrash.mEndpoint), mClearanceSpread);
  for (const auto part : aCrash.mParts) {
    if (mServed.Contains(part, aNow)) {
      mCleared.emplace(part, reportAt);
    } else if (suspects.mParts.size() < mOptions.mMaxSuspects) {
      suspects.mParts.insert(part);
    }
  }
  if (suspects.mParts.empty()) {
    return;
  }
  for (const auto part : suspects.mParts) {
    const auto entry = mQuarantined.find(part);
    if (entry == mQuarantined.end()) {
      continue;
    }
    if (!Intersects(entry->second.mCompanions, suspects.mParts)) {
      entry->second.mCompanions.clear(); // it crashes upstreams without them
    }
    if (aNow >= entry->second.mUntil) {
      Confine(part, aNow);
    }
  }
  const auto same = std::ranges::find_if(mCrashes, [&](const Crash& aOther) {
    return aOther.mSuspects.mEndpoint == suspects.mEndpoint &&
           std::abs(aOther.mSuspects.mAtMs - suspects.mAtMs) <
             ToMilliseconds(mOptions.mSameCrashWindow);
  });
  if (same != mCrashes.end()) {
    same->mSuspects.mParts.merge(suspects.mParts);
  } else {
    mCrashes.push_back({ .mSuspects = std::move(suspects), .mSeenAt = aNow });
  }
  if (mCrashes.size() > mOptions.mMaxCrashes) {
    mCrashes.pop_front();
  }
  if (!mDecideAt) {
    mDecideAt = aNow + mOptions.mSettleTime;
  }
}

void
PartQuarantine::Release(PartId aPart)
{
  mQuarantined.erase(aPart);
  for (auto& entry : mQuarantined | std::views::values) {
    entry.mRivals.erase(aPart);
  }
}

void
PartQuarantine::OnSent(const std::vector<PartId>& aParts, TimePoint aNow)
{
  if (mQuarantined.empty()) {
    return;
  }
  for (const auto part : aParts) {
    const auto entry = mQuarantined.find(part);
    if (entry != mQuarantined.end()) {
      entry->second.mProbeUntil = aNow + mOptions.mProbeTimeout;
    }
  }
}

bool
PartQuarantine::IsQuarantined(const std::vector<PartId>& aParts, TimePoint aNow)
{
  Decide(aNow);
  if (mQuarantined.empty()) {
    return false;
  }
  const std::set<PartId> parts(aParts.begin(), aParts.end());
  return std::ranges::any_of(parts, [&](PartId aPart) {
    const auto found = mQuarantined.find(aPart);
    if (found == mQuarantined.end()) {
      return false;
    }
    const auto& entry = found->second;
    const bool lacksCompanions = !entry.mCompanions.empty() &&
                                 aNow >= entry.mCompanionProbeAt &&
                                 !Intersects(entry.mCompanions, parts);
    const bool isProbe = aNow >= entry.mUntil ||
                         !ContainsAll(parts, entry.mRivals) || lacksCompanions;
    return !isProbe || aNow < entry.mProbeUntil;
  });
}

std::set<PartId>
PartQuarantine::SuspectsAmong(const std::vector<PartId>& aParts,
                              TimePoint aNow) const
{
  std::set<PartId> suspects;
  std::ranges::copy_if(
    aParts, std::inserter(suspects, suspects.end()), [&](PartId aPart) {
      return !mServed.Contains(aPart, aNow);
    });
  return suspects;
}

std::vector<PartId>
PartQuarantine::TakeCleared(TimePoint aNow)
{
  std::vector<PartId> due;
  std::erase_if(mCleared, [&](const auto& aItem) {
    const bool isDue = aItem.second <= aNow;
    if (isDue) {
      due.push_back(aItem.first);
    }
    return isDue;
  });
  return due;
}

std::vector<PartId>
PartQuarantine::TakeQuarantined()
{
  return std::exchange(mNewlyQuarantined, {});
}

void
PartQuarantine::OnTick(TimePoint aNow)
{
  std::erase_if(mCrashes, [&](const Crash& aCrash) {
    return aNow - aCrash.mSeenAt >= mOptions.mCrashRetention;
  });
  std::erase_if(mQuarantined, [&](const auto& aItem) {
    return aNow >= aItem.second.mUntil + mOptions.mMaxTerm;
  });
  Decide(aNow);
}

void
PartQuarantine::Decide(TimePoint aNow)
{
  if (!mDecideAt || aNow < *mDecideAt) {
    return;
  }
  mDecideAt.reset();
  NarrowRivals(aNow);
  auto evidence = Unexplained(aNow);
  auto groups = MostIncriminated(evidence);
  while (!groups.empty()) {
    for (const auto& group : groups) {
      const auto companions =
        CompanionsOf(group, evidence.at(*group.begin()).mCrashIndexes);
      for (const auto part : group) {
        Confine(part, aNow);
      }
      SetRivals(group);
      SetCompanions(group, companions, aNow);
    }
    evidence = Unexplained(aNow);
    groups = MostIncriminated(evidence);
  }
  // a report may have arrived while the others settled
  const auto unsettled = std::ranges::find_if(mCrashes, [&](const auto& aItem) {
    return aNow - aItem.mSeenAt < mOptions.mSettleTime;
  });
  if (unsettled != mCrashes.end()) {
    mDecideAt = unsettled->mSeenAt + mOptions.mSettleTime;
  }
}

void
PartQuarantine::SetRivals(const std::set<PartId>& aGroup)
{
  std::set<PartId> confined; // the bound may have dropped some
  std::ranges::copy_if(
    aGroup, std::inserter(confined, confined.end()), [&](PartId aPart) {
      return mQuarantined.contains(aPart);
    });
  for (const auto part : confined) {
    auto& rivals = mQuarantined.at(part).mRivals;
    rivals = confined;
    rivals.erase(part);
  }
}

std::set<PartId>
PartQuarantine::CompanionsOf(const std::set<PartId>& aGroup,
                             const std::set<std::size_t>& aCrashes) const
{
  std::set<PartId> companions;
  for (const auto index : aCrashes) {
    const auto& suspects = mCrashes[index].mSuspects.mParts;
    std::set<PartId> others;
    std::ranges::set_difference(
      suspects, aGroup, std::inserter(others, others.end()));
    if (others.empty()) {
      return {};
    }
    companions.merge(others);
  }
  return companions;
}

void
PartQuarantine::SetCompanions(const std::set<PartId>& aGroup,
                              const std::set<PartId>& aCompanions,
                              TimePoint aNow)
{
  for (const auto part : aGroup) {
    const auto entry = mQuarantined.find(part); // the bound may have dropped it
    if (entry != mQuarantined.end()) {
      entry->second.mCompanions = aCompanions;
      entry->second.mCompanionProbeAt =
        aNow + kCompanionDelay + SpreadOf(part, mCompanionSpread);
    }
  }
}

void
PartQuarantine::NarrowRivals(TimePoint aNow)
{
  for (auto& crash : mCrashes) {
    if (crash.mIsJudged || aNow - crash.mSeenAt < mOptions.mSettleTime) {
      continue;
    }
    const auto& suspects = crash.mSuspects.mParts;
    std::set<PartId> present;
    std::set<PartId> absent;
    std::set<PartId> others;
    bool isExplained = false; // by a part that has no rivals
    for (const auto part : suspects) {
      const auto entry = mQuarantined.find(part);
      if (entry == mQuarantined.end()) {
        others.insert(part);
        continue;
      }
      const auto& rivals = entry->second.mRivals;
      isExplained = isExplained || rivals.empty();
      present.insert(part);
      std::ranges::set_difference(
        rivals, suspects, std::inserter(absent, absent.end()));
    }
    if (isExplained || absent.empty()) {
      continue;
    }
    const bool isClear =
      others.empty() || std::ranges::any_of(present, [&](PartId aPart) {
        return CrashesOf(aPart) > mOptions.mClearFailures;
      });
    if (isClear) {
      std::ranges::for_each(absent, [&](PartId aPart) { Release(aPart); });
      SetCompanions(present, CompanionsOf(present, CrashesWith(present)), aNow);
      continue;
    }
    crash.mIsJudged = true;
    for (const auto part : others) {
      Confine(part, aNow);
      if (const auto entry = mQuarantined.find(part);
          entry != mQuarantined.end()) {
        entry->second.mRivals = present;
      }
    }
  }
}

std::set<std::size_t>
PartQuarantine::CrashesWith(const std::set<PartId>& aParts) const
{
  std::set<std::size_t> crashes;
  for (std::size_t index = 0; index < mCrashes.size(); ++index) {
    if (Intersects(aParts, mCrashes[index].mSuspects.mParts)) {
      crashes.insert(index);
    }
  }
  return crashes;
}

std::size_t
PartQuarantine::CrashesOf(PartId aPart) const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mCrashes, [&](const Crash& aCrash) {
      return aCrash.mSuspects.mParts.contains(aPart);
    }));
}

PartQuarantine::EvidenceByPart
PartQuarantine::Unexplained(TimePoint aNow) const
{
  EvidenceByPart evidence;
  for (std::size_t index = 0; index < mCrashes.size(); ++index) {
    const auto& crash = mCrashes[index];
    const auto& parts = crash.mSuspects.mParts;
    const bool isExplained = std::ranges::any_of(
      parts, [&](PartId aPart) { return mQuarantined.contains(aPart); });
    if (isExplained || aNow - crash.mSeenAt < mOptions.mSettleTime) {
      continue;
    }
    for (const auto part : parts) {
      auto& item = evidence[part];
      item.mEndpoints.insert(crash.mSuspects.mEndpoint);
      item.mCrashIndexes.insert(index);
      item.mCrashes.emplace_back(crash.mSuspects.mAtMs,
                                 1.0 / static_cast<double>(parts.size()));
    }
  }
  for (auto& item : evidence | std::views::values) {
    CountFailures(item);
  }
  return evidence;
}

void
PartQuarantine::CountFailures(Evidence& aEvidence) const
{
  std::ranges::sort(aEvidence.mCrashes);
  std::optional<std::int64_t> last;
  for (const auto& [at, blame] : aEvidence.mCrashes) {
    if (!last || at - *last >= ToMilliseconds(mOptions.mSameFailureWindow)) {
      ++aEvidence.mFailures;
      aEvidence.mBlame += blame;
    }
    last = at;
  }
}

bool
PartQuarantine::Suffices(const Evidence& aEvidence) const
{
  return aEvidence.mEndpoints.size() >= mOptions.mMinEndpoints &&
         (aEvidence.mFailures >= mOptions.mClearFailures ||
          (aEvidence.mFailures >= mOptions.mMinFailures &&
           aEvidence.mBlame >= mOptions.mMinBlame));
}

std::vector<std::set<PartId>>
PartQuarantine::MostIncriminated(const EvidenceByPart& aEvidence) const
{
  std::pair<std::size_t, double> most;
  std::map<std::set<std::size_t>, std::set<PartId>> groups; // by crashes
  for (const auto& [part, evidence] : aEvidence) {
    const std::pair strength(evidence.mFailures, evidence.mBlame);
    if (!Suffices(evidence) || strength < most) {
      continue;
    }
    if (strength > most) {
      groups.clear();
      most = strength;
    }
    groups[evidence.mCrashIndexes].insert(part);
  }
  std::map<std::size_t, std::size_t> groupsOfCrash;
  for (const auto& crashes : groups | std::views::keys) {
    for (const auto crash : crashes) {
      ++groupsOfCrash[crash];
    }
  }
  std::vector<std::set<PartId>> distinct;
  for (const auto& [crashes, parts] : groups) {
    const bool isShared = std::ranges::any_of(crashes, [&](std::size_t aCrash) {
      return groupsOfCrash.at(aCrash) > 1;
    });
    if (!isShared || most.first >= mOptions.mClearFailures) {
      distinct.push_back(parts);
    }
  }
  return distinct;
}

void
PartQuarantine::Confine(PartId aPart, TimePoint aNow)
{
  auto& entry = mQuarantined[aPart];
  entry.mTerm = entry.mTerm == Duration::zero()
                  ? mOptions.mFirstTerm
                  : std::min(entry.mTerm * 2, mOptions.mMaxTerm);
  entry.mUntil = aNow + entry.mTerm + SpreadOf(aPart, mOptions.mProbeSpread);
  entry.mProbeUntil = {};
  mNewlyQuarantined.push_back(aPart);
  if (mQuarantined.size() > mOptions.mMaxQuarantined) {
    const auto first = std::ranges::min_element(
      mQuarantined, {}, [](const auto& aItem) { return aItem.second.mUntil; });
    Forget(first->first, aNow);
  }
}

Duration
PartQuarantine::SpreadOf(std::uint64_t aSubject, Duration aSpread) const
{
  const auto steps =
    std::max<std::uint64_t>(1, static_cast<std::uint64_t>(aSpread.count()));
  return Duration(
    static_cast<Duration::rep>(Mix(aSubject ^ mOptions.mSeed) % steps));
}

} // namespace figslip::quarantine
