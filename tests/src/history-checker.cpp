#include "harness/cluster.hpp"
#include "harness/history_checker.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace figslip::test;
using figslip::manifest::DomainState;
using figslip::manifest::VersionState;

namespace {

constexpr Millis kStart = 1'000'000;
constexpr Millis kLater = kStart + 60'000;
constexpr Millis kAfterBound = kLater + kChangeBound + 1;

figslip::manifest::Manifest
PlainManifest()
{
  auto plan = SmallPlan();
  plan.mManifest.mGeneration = 1;
  for (const auto& upstream : plan.mUpstreams) {
    plan.mManifest.mUpstreams.push_back(upstream.mUpstream);
  }
  return plan.mManifest;
}

/// One chat of the account "school", which may not use "large", and a booking.
History
GoodHistory()
{
  History history;
  history.mManifests = { { kStart, PlainManifest() } };
  history.mEntryDomains = { { "entry-sul-a", "sul-a" },
                            { "entry-sul-b", "sul-b" } };
  history.mCalls = { { .mRequestId = "chat",
                       .mAccount = "school",
                       .mEntry = "entry-sul-a",
                       .mTarget = "chat",
                       .mSessionVersion = "small-1",
                       .mSentAt = kStart + 100,
                       .mEndedAt = kStart + 200,
                       .mEnd = CallerEnd::Answered,
                       .mRun = "run",
                       .mVersion = "small-1",
                       .mBody = "answer to chat by small-1",
                       .mGeneration = 1 },
                     { .mRequestId = "book",
                       .mAccount = "school",
                       .mEntry = "entry-sul-a",
                       .mTarget = "bookings/book",
                       .mIdempotencyKey = "k",
                       .mSentAt = kStart + 100,
                       .mEndedAt = kStart + 200,
                       .mEnd = CallerEnd::Answered,
                       .mRun = "run",
                       .mBody = R"({"request_id":"book"})",
                       .mGeneration = 1 } };
  history.mRuns = { { .mUpstream = "sul-a-small-1",
                      .mRequestId = "chat",
                      .mAttemptId = "entry-sul-a-5-1",
                      .mVersion = "small-1",
                      .mAt = kStart + 150 },
                    { .mUpstream = "sul-a-bookings",
                      .mRequestId = "book",
                      .mAttemptId = "entry-sul-a-5-2",
                      .mOperation = "book",
                      .mIdempotencyKey = "k",
                      .mAt = kStart + 150 } };
  history.mBilling = { { "chat", "school", { { "sul-a-small-1", "small-1" } } },
                       { "book", "school", { { "sul-a-bookings", "" } } } };
  history.mGenerations = { { "entry-sul-a", kStart + 300, 1 } };
  return history;
}

/// Publishes a change, and makes the chat run after the bound.
void
RunAfterChange(History& aHistory,
               const std::function<void(figslip::manifest::Manifest&)>& aChange)
{
  auto changed = PlainManifest();
  changed.mGeneration = 2;
  aChange(changed);
  aHistory.mManifests.push_back({ kLater, changed });
  aHistory.mRuns[0].mAt = kAfterBound;
}

void
CheckBroken(const History& aHistory, Promise aPromise)
{
  const auto breaches = CheckHistory(aHistory);
  INFO(PrintBreaches(breaches));
  REQUIRE(breaches.size() == 1);
  CHECK(breaches.front().mPromise == aPromise);
}

} // namespace

TEST_CASE("the history checker")
{
  auto history = GoodHistory();
  const auto withdraw = [](auto& aManifest) {
    aManifest.mModels[0].mVersions[0].mState = VersionState::Withdrawn;
  };
  const auto drain = [](auto& aManifest) {
    aManifest.mFailureDomains[0].mState = DomainState::Out;
  };

  SUBCASE("accepts a good history")
  {
    const auto breaches = CheckHistory(history);
    INFO(PrintBreaches(breaches));
    CHECK(breaches.empty());
  }

  SUBCASE("accepts the last work just within the bound")
  {
    RunAfterChange(history, withdraw);
    history.mRuns[0].mAt = kLater + kChangeBound;
    CHECK(CheckHistory(history).empty());
  }

  SUBCASE("accepts work on a stable version behind a cut")
  {
    RunAfterChange(history, withdraw);
    history.mIsolations = {
      { Isolation::Kind::Cut, "entry-sul-a", kStart, kAfterBound }
    };
    CHECK(CheckHistory(history).empty());
  }

  SUBCASE("rejects a forged history")
  {
    SUBCASE("with a model that the account may not use")
    {
      history.mRuns.push_back({ .mUpstream = "sul-a-large-1",
                                .mRequestId = "chat",
                                .mAttemptId = "entry-sul-a-5-3",
                                .mVersion = "large-1",
                                .mAt = kStart + 150 });
      CheckBroken(history, Promise::Permission);
    }
    SUBCASE("with a service that the account may no longer use")
    {
      RunAfterChange(history, [](auto& aManifest) {
        aManifest.mClientAccounts[1].mAllow = { "small" };
      });
      history.mRuns[0].mAt = kStart + 150;
      history.mRuns[1].mAt = kAfterBound;
      CheckBroken(history, Promise::Permission);
    }
    SUBCASE("with work on a withdrawn version")
    {
      RunAfterChange(history, withdraw);
      CheckBroken(history, Promise::Withdrawn);
    }
    SUBCASE("with work on a version in roll-out behind a cut")
    {
      history.mManifests[0].mManifest.mModels[0].mVersions[0].mState =
        VersionState::RollOut;
      RunAfterChange(history, withdraw);
      history.mIsolations = {
        { Isolation::Kind::Cut, "entry-sul-a", kStart, kAfterBound }
      };
      CheckBroken(history, Promise::Withdrawn);
    }
    SUBCASE("with a session that changes its version")
    {
      history.mCalls[0].mSessionVersion = "small-0";
      auto& versions = history.mManifests[0].mManifest.mModels[0].mVersions;
      versions.push_back({ .mName = "small-0" });
      CheckBroken(history, Promise::Session);
    }
    SUBCASE("with an answer that is not billed")
    {
      history.mBilling.pop_back();
      CheckBroken(history, Promise::BilledOnce);
    }
    SUBCASE("with a bill for a request without an answer")
    {
      history.mCalls[0].mEnd = CallerEnd::Refused;
      history.mCalls[0].mRun = "unknown";
      CheckBroken(history, Promise::BilledOnce);
    }
    SUBCASE("with a bill for an upstream that never ran the request")
    {
      history.mBilling[0].mAttempts[0].mUpstream = "sul-b-small-1";
      CheckBroken(history, Promise::BilledOnce);
    }
    SUBCASE("with too much work in cold start")
    {
      history.mRuns[0].mCold = true;
      history.mRuns[0].mRunning = 2;
      CheckBroken(history, Promise::ColdStart);
    }
    SUBCASE("with work in a drained failure domain")
    {
      RunAfterChange(history, drain);
      CheckBroken(history, Promise::DrainedDomain);
    }
    SUBCASE("with work on a leaving upstream")
    {
      history.mLeaving = { { "sul-a-small-1", kLater } };
      history.mRuns[0].mAt = kAfterBound;
      CheckBroken(history, Promise::LeavingUpstream);
    }
    SUBCASE("with the answer to another request")
    {
      history.mCalls[0].mBody = "answer to other by small-1";
      CheckBroken(history, Promise::WholeAnswer);
    }
    SUBCASE("with half an answer")
    {
      history.mCalls[0].mBody = "answer to ch";
      CheckBroken(history, Promise::WholeAnswer);
    }
    SUBCASE("with a false refusal as not run")
    {
      history.mCalls[1].mEnd = CallerEnd::Refused;
      history.mCalls[1].mRun = "not_run";
      history.mBilling.pop_back();
      CheckBroken(history, Promise::NotRunIsTrue);
    }
    SUBCASE("with a booking that ran twice")
    {
      auto again = history.mRuns[1];
      again.mAttemptId = "entry-sul-b-6-1";
      again.mUpstream = "sul-b-bookings";
      history.mRuns.push_back(again);
      CheckBroken(history, Promise::AtMostOnce);
    }
    SUBCASE("with a request cut by a planned stop")
    {
      history.mStops = { { "entry-sul-a", kStart + 100, kStart + 400, true } };
      history.mCalls[0].mEnd = CallerEnd::Cut;
      CheckBroken(history, Promise::GracefulStop);
    }
    SUBCASE("with a planned stop that did not end")
    {
      history.mStops = { { "entry-sul-a", kLater, kAfterBound, false } };
      CheckBroken(history, Promise::GracefulStop);
    }
    SUBCASE("with a generation that falls")
    {
      auto next = PlainManifest();
      next.mGeneration = 2;
      history.mManifests.push_back({ kStart + 250, next });
      history.mGenerations = { { "entry-sul-a", kStart + 300, 2 },
                               { "entry-sul-a", kStart + 400, 1 } };
      CheckBroken(history, Promise::Generation);
    }
    SUBCASE("with a generation that comes too late")
    {
      auto next = PlainManifest();
      next.mGeneration = 2;
      history.mManifests.push_back({ kLater, next });
      history.mGenerations = { { "entry-sul-a", kAfterBound, 1 } };
      CheckBroken(history, Promise::Generation);
    }
  }
}

TEST_CASE("clusters of one process do not share the histories of upstreams")
{
  const auto plan = SmallPlan();
  const Cluster first(plan);
  const Cluster second(plan);
  const auto& name = plan.mUpstreams.front().mUpstream.mName;

  CHECK(first.HistoryFile(name) != second.HistoryFile(name));
}
