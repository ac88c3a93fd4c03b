#include "harness/history_checker.hpp"

#include <figslip/manifest/manifest_index.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace figslip::test {

namespace {

using manifest::ManifestIndex;
using manifest::VersionState;

/// Adds up the breaches of one promise.
class Report
{
public:
  explicit Report(Promise aPromise)
    : mPromise(aPromise)
  {
  }
  void Add(std::string aText)
  {
    mBreaches.push_back({ mPromise, std::move(aText) });
  }
  [[nodiscard]] BrokenPromises Take() { return std::move(mBreaches); }

private:
  Promise mPromise;
  BrokenPromises mBreaches;
};

std::string
Describe(const UpstreamRun& aRun)
{
  return "request " + aRun.mRequestId + " on " + aRun.mUpstream +
         (aRun.mVersion.empty() ? "" : " version " + aRun.mVersion) + " at " +
         std::to_string(aRun.mAt) + " by attempt " + aRun.mAttemptId;
}

/// Attempt ids begin with the name of the entry that made the attempt.
std::string
EntryOf(const History& aHistory, const UpstreamRun& aRun)
{
  std::string best;
  for (const auto& [entry, domain] : aHistory.mEntryDomains) {
    if (aRun.mAttemptId.starts_with(entry + "-") &&
        entry.size() > best.size()) {
      best = entry;
    }
  }
  return best;
}

/// Returns how long an entry could hear of changes within a span of time.
Millis
ConnectedTime(const History& aHistory,
              const std::string& aEntry,
              Millis aFrom,
              Millis aTo,
              bool aFrozenCounts)
{
  Millis cut = 0;
  for (const auto& isolation : aHistory.mIsolations) {
    const bool counts =
      isolation.mKind == Isolation::Kind::Cut || aFrozenCounts;
    if (counts &&
        (isolation.mInstance.empty() || isolation.mInstance == aEntry)) {
      cut += std::max<Millis>(
        0, std::min(aTo, isolation.mTo) - std::max(aFrom, isolation.mFrom));
    }
  }
  return aTo - aFrom - cut;
}

/// Visits the manifests that an entry may have had in force at a time.
/// @param[in] aAllowCut whether a cut prolongs the time of an old manifest
/// @return whether the predicate held for one of them
bool
AnyInForce(const History& aHistory,
           const UpstreamRun& aRun,
           const std::function<bool(const ManifestIndex&, bool)>& aAllows)
{
  const auto entry = EntryOf(aHistory, aRun);
  const auto& manifests = aHistory.mManifests;
  for (std::size_t index = 0; index < manifests.size(); ++index) {
    if (manifests[index].mAt > aRun.mAt) {
      break;
    }
    const bool isLast = index + 1 == manifests.size();
    const Millis superseded = isLast ? aRun.mAt : manifests[index + 1].mAt;
    const Millis age = std::max<Millis>(0, aRun.mAt - superseded);
    const Millis heard =
      age == 0 ? 0
               : ConnectedTime(aHistory, entry, superseded, aRun.mAt, false);
    if (heard <= kChangeBound &&
        aAllows(ManifestIndex(manifests[index].mManifest),
                age > kChangeBound)) {
      return true;
    }
  }
  return false;
}

std::map<std::string, const CallerRecord*>
FirstCalls(const History& aHistory)
{
  std::map<std::string, const CallerRecord*> calls;
  for (const auto& call : aHistory.mCalls) {
    calls.emplace(call.mRequestId, &call);
  }
  return calls;
}

bool
MayRun(const ManifestIndex& aIndex,
       const UpstreamRun& aRun,
       const CallerRecord& aCall)
{
  const auto* const account = aIndex.FindAccount(aCall.mAccount);
  if (account == nullptr) {
    return false;
  }
  if (aRun.mVersion.empty()) {
    const auto service = aCall.mTarget.substr(0, aCall.mTarget.find('/'));
    return std::ranges::find(account->mAllow, service) != account->mAllow.end();
  }
  const auto* const version = aIndex.FindVersion(aRun.mVersion);
  return version != nullptr && aIndex.AllowsVersion(*account, *version);
}

} // namespace

BrokenPromises
CheckPermission(const History& aHistory)
{
  Report report(Promise::Permission);
  const auto calls = FirstCalls(aHistory);
  for (const auto& run : aHistory.mRuns) {
    const auto call = calls.find(run.mRequestId);
    if (call == calls.end()) {
      report.Add(Describe(run) + ": no caller sent it");
    } else if (!AnyInForce(aHistory, run, [&](const auto& aIndex, bool) {
                 return MayRun(aIndex, run, *call->second);
               })) {
      report.Add(Describe(run) + ": not allowed to " + call->second->mAccount);
    }
  }
  return report.Take();
}

BrokenPromises
CheckWithdrawn(const History& aHistory)
{
  Report report(Promise::Withdrawn);
  for (const auto& run : aHistory.mRuns) {
    if (run.mVersion.empty()) {
      continue;
    }
    const auto serves = [&](const ManifestIndex& aIndex, bool aOnlyByCut) {
      const auto* const version = aIndex.FindVersion(run.mVersion);
      if (version == nullptr) {
        return false;
      }
      // behind a cut only stable versions go on
      const auto state = version->mVersion->mState;
      return state == VersionState::Stable ||
             (state == VersionState::RollOut && !aOnlyByCut);
    };
    if (!AnyInForce(aHistory, run, serves)) {
      report.Add(Describe(run) + ": the version was withdrawn");
    }
  }
  return report.Take();
}

BrokenPromises
CheckSession(const History& aHistory)
{
  Report report(Promise::Session);
  for (const auto& call : aHistory.mCalls) {
    if (call.mEnd != CallerEnd::Answered || call.mSessionVersion.empty() ||
        call.mVersion == call.mSessionVersion) {
      continue;
    }
    // a session may leave a version that is withdrawn or no longer allowed
    const bool mayMove =
      std::ranges::any_of(aHistory.mManifests, [&](const auto& aPublished) {
        if (aPublished.mAt > call.mEndedAt) {
          return false;
        }
        const ManifestIndex index(aPublished.mManifest);
        const auto* const version = index.FindVersion(call.mSessionVersion);
        const auto* const account = index.FindAccount(call.mAccount);
        return version == nullptr || account == nullptr ||
               version->mVersion->mState == VersionState::Withdrawn ||
               !index.AllowsVersion(*account, *version);
      });
    if (!mayMove) {
      report.Add("request " + call.mRequestId + " of a session on " +
                 call.mSessionVersion + " was answered by " + call.mVersion);
    }
  }
  return report.Take();
}

BrokenPromises
CheckBilledOnce(const History& aHistory)
{
  Report report(Promise::BilledOnce);
  // the ledger keeps the first record of a request id
  std::map<std::string, const BillingEntry*> billed;
  for (const auto& entry : aHistory.mBilling) {
    billed.emplace(entry.mRequestId, &entry);
  }
  std::set<std::string> answered;
  std::set<std::string> mayBeAnswered;
  for (const auto& call : aHistory.mCalls) {
    if (call.mEnd == CallerEnd::Answered) {
      answered.insert(call.mRequestId);
    }
    if (call.mEnd == CallerEnd::Answered || call.mEnd == CallerEnd::Cut) {
      mayBeAnswered.insert(call.mRequestId);
    }
  }
  for (const auto& id : answered) {
    if (!billed.contains(id)) {
      report.Add("request " + id + " was answered and not billed");
    }
  }
  std::set<std::pair<std::string, std::string>> ran;
  for (const auto& run : aHistory.mRuns) {
    ran.emplace(run.mRequestId, run.mUpstream);
  }
  for (const auto& [id, entry] : billed) {
    if (!mayBeAnswered.contains(id)) {
      report.Add("request " + id + " was billed without an answer");
    }
    for (const auto& attempt : entry->mAttempts) {
      if (!ran.contains({ id, attempt.mUpstream })) {
        report.Add("request " + id + " is billed for " + attempt.mUpstream +
                   ", which never ran it");
      }
    }
  }
  return report.Take();
}

BrokenPromises
CheckColdStart(const History& aHistory)
{
  Report report(Promise::ColdStart);
  for (const auto& run : aHistory.mRuns) {
    if (run.mCold && run.mRunning > run.mColdBound) {
      report.Add(Describe(run) + ": " + std::to_string(run.mRunning) +
                 " at a time in cold start, bound " +
                 std::to_string(run.mColdBound));
    }
  }
  return report.Take();
}

BrokenPromises
CheckDrainedDomain(const History& aHistory)
{
  Report report(Promise::DrainedDomain);
  for (const auto& run : aHistory.mRuns) {
    const auto takesWork = [&](const ManifestIndex& aIndex, bool) {
      const auto* const upstream = aIndex.FindUpstream(run.mUpstream);
      return upstream != nullptr &&
             aIndex.DomainTakesWork(upstream->mFailureDomain);
    };
    if (!AnyInForce(aHistory, run, takesWork)) {
      report.Add(Describe(run) + ": its failure domain was out");
    }
  }
  return report.Take();
}

BrokenPromises
CheckLeavingUpstream(const History& aHistory)
{
  Report report(Promise::LeavingUpstream);
  for (const auto& run : aHistory.mRuns) {
    for (const auto& leaving : aHistory.mLeaving) {
      if (leaving.mUpstream == run.mUpstream && run.mAt > leaving.mFrom &&
          ConnectedTime(
            aHistory, EntryOf(aHistory, run), leaving.mFrom, run.mAt, false) >
            kChangeBound) {
        report.Add(Describe(run) + ": the upstream was leaving");
      }
    }
  }
  return report.Take();
}

BrokenPromises
CheckWholeAnswer(const History& aHistory)
{
  Report report(Promise::WholeAnswer);
  std::set<std::string> ran;
  for (const auto& run : aHistory.mRuns) {
    ran.insert(run.mRequestId);
  }
  for (const auto& call : aHistory.mCalls) {
    if (call.mEnd != CallerEnd::Answered) {
      continue;
    }
    // the stand-ins put the request id, and engines the version, into answers
    const auto expected =
      call.mVersion.empty()
        ? "\"request_id\":\"" + call.mRequestId + "\""
        : "answer to " + call.mRequestId + " by " + call.mVersion;
    if (call.mBody.find(expected) == std::string::npos) {
      report.Add("request " + call.mRequestId + " got the answer " +
                 call.mBody);
    }
    if (!ran.contains(call.mRequestId)) {
      report.Add("request " + call.mRequestId +
                 " was answered, but no upstream ran it");
    }
  }
  return report.Take();
}

BrokenPromises
CheckNotRunIsTrue(const History& aHistory)
{
  Report report(Promise::NotRunIsTrue);
  const auto saysNotRun = [](const CallerRecord& aCall) {
    return aCall.mEnd == CallerEnd::Refused && aCall.mRun == "not_run";
  };
  for (const auto& call : aHistory.mCalls) {
    if (!saysNotRun(call)) {
      continue;
    }
    for (const auto& run : aHistory.mRuns) {
      if (run.mRequestId != call.mRequestId || run.mAt < call.mSentAt) {
        continue;
      }
      // another call of the same request may have caused the run
      const bool isOther =
        std::ranges::any_of(aHistory.mCalls, [&](const auto& aOther) {
          return aOther.mRequestId == call.mRequestId && !saysNotRun(aOther) &&
                 aOther.mEnd != CallerEnd::NotConnected &&
                 aOther.mSentAt <= run.mAt;
        });
      if (!isOther) {
        report.Add(Describe(run) + ": the caller was told that it did not run");
      }
    }
  }
  return report.Take();
}

BrokenPromises
CheckAtMostOnce(const History& aHistory)
{
  Report report(Promise::AtMostOnce);
  const auto calls = FirstCalls(aHistory);
  std::map<std::string, const UpstreamRun*> ran;
  for (const auto& run : aHistory.mRuns) {
    const auto call = calls.find(run.mRequestId);
    if (run.mIdempotencyKey.empty() || call == calls.end()) {
      continue;
    }
    const auto key = call->second->mAccount + "/" + run.mIdempotencyKey;
    const auto [first, added] = ran.emplace(key, &run);
    if (!added) {
      report.Add(Describe(run) + ": ran before as " + Describe(*first->second));
    }
  }
  return report.Take();
}

BrokenPromises
CheckGracefulStop(const History& aHistory)
{
  Report report(Promise::GracefulStop);
  for (const auto& stop : aHistory.mStops) {
    if (!stop.mGraceful) {
      report.Add(stop.mEntry + " did not stop by itself");
    }
    for (const auto& call : aHistory.mCalls) {
      if (call.mEntry == stop.mEntry && call.mEnd == CallerEnd::Cut &&
          call.mSentAt <= stop.mTo && call.mEndedAt >= stop.mFrom) {
        report.Add("the stop of " + stop.mEntry + " cut request " +
                   call.mRequestId);
      }
    }
  }
  return report.Take();
}

BrokenPromises
CheckGeneration(const History& aHistory)
{
  Report report(Promise::Generation);
  std::map<std::string, std::int64_t> highest;
  for (const auto& sample : aHistory.mGenerations) {
    if (sample.mGeneration == 0) {
      continue; // a new incarnation without a manifest serves nothing
    }
    auto& last = highest[sample.mInstance];
    if (sample.mGeneration < last) {
      report.Add(sample.mInstance + " fell from generation " +
                 std::to_string(last) + " to " +
                 std::to_string(sample.mGeneration));
    }
    last = std::max(last, sample.mGeneration);
    for (const auto& published : aHistory.mManifests) {
      const bool isLate =
        sample.mAskedAt > published.mAt &&
        ConnectedTime(
          aHistory, sample.mInstance, published.mAt, sample.mAskedAt, true) >
          kChangeBound;
      if (isLate && sample.mGeneration < published.mManifest.mGeneration) {
        report.Add(sample.mInstance + " still had generation " +
                   std::to_string(sample.mGeneration) + " at " +
                   std::to_string(sample.mAskedAt));
      }
    }
  }
  return report.Take();
}

BrokenPromises
CheckHistory(const History& aHistory)
{
  constexpr std::array kChecks = { CheckPermission,      CheckWithdrawn,
                                   CheckSession,         CheckBilledOnce,
                                   CheckColdStart,       CheckDrainedDomain,
                                   CheckLeavingUpstream, CheckWholeAnswer,
                                   CheckNotRunIsTrue,    CheckAtMostOnce,
                                   CheckGracefulStop,    CheckGeneration };
  BrokenPromises breaches;
  for (const auto check : kChecks) {
    std::ranges::move(check(aHistory), std::back_inserter(breaches));
  }
  return breaches;
}

std::string
PrintBreaches(const BrokenPromises& aBreaches)
{
  std::string text;
  for (const auto& breach : aBreaches) {
    text += "[";
    text += kPromiseNames.at(static_cast<std::size_t>(breach.mPromise));
    text += "] " + breach.mText + "\n";
  }
  return text;
}

} // namespace figslip::test
