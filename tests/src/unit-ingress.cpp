#include <figslip/cascade/delay_scale.hpp>
#include <figslip/cascade/size_policy.hpp>
#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/freshness_lease.hpp>
#include <figslip/membership/upstream_entry_cache.hpp>
#include <figslip/retry/retry_budget.hpp>
#include <figslip/stream/event_pace.hpp>
#include <figslip/stream/event_splitter.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace figslip;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

ingress::Route
MakeRoute(const std::string& aPrefix)
{
  return { .mName = aPrefix,
           .mHost = "a.example",
           .mPathPrefix = aPrefix,
           .mServices = { { "engines" } } };
}

} // namespace

TEST_CASE("a configuration")
{
  ingress::Configuration configuration;
  configuration.mRoutes = { MakeRoute("/a/"), MakeRoute("/a/b/") };
  configuration.mAccounts = { { .mName = "studio", .mKeys = { "k1", "k2" } } };
  const ingress::ConfigurationIndex index(configuration);

  SUBCASE("gives the longest prefix of the host")
  {
    CHECK(index.Match("a.example", "/a/x")->mName == "/a/");
    CHECK(index.Match("a.example:80", "/a/b/x")->mName == "/a/b/");
    CHECK(index.Match("a.example", "/a/bx")->mName == "/a/");
    CHECK(index.Match("a.example", "/a") == nullptr);
    CHECK(index.Match("b.example", "/a/x") == nullptr);
  }

  SUBCASE("knows the account of a key")
  {
    CHECK(index.AccountOf("k2")->mName == "studio");
    CHECK(index.AccountOf("") == nullptr);
  }

  SUBCASE("splits a route by weight")
  {
    auto route = MakeRoute("/a/");
    route.mServices = { { "old", 90 }, { "new", 10 } };
    CHECK(ingress::ChooseService(route, 0) == "old");
    CHECK(ingress::ChooseService(route, 899'999) == "old");
    CHECK(ingress::ChooseService(route, 900'001) == "new");
  }
}

TEST_CASE("the lease on keys")
{
  ingress::FreshnessLease lease(4s);
  CHECK_FALSE(lease.IsHeld(kStart));
  lease.Confirm(kStart);

  SUBCASE("counts from the sending of the read")
  {
    CHECK(lease.IsHeld(kStart + 3'999ms));
    CHECK_FALSE(lease.IsHeld(kStart + 4s));
  }

  SUBCASE("is not shortened by an answer that overtook another")
  {
    lease.Confirm(kStart - 2s);
    CHECK(lease.IsHeld(kStart + 3s));
  }
}

TEST_CASE("a retry budget")
{
  retry::RetryBudget budget({ .mShare = 0.5, .mAllowance = 1.0 });

  SUBCASE("allows its allowance alone without requests")
  {
    CHECK(budget.TryRepeat("desk", kStart));
    CHECK_FALSE(budget.TryRepeat("desk", kStart));
  }

  SUBCASE("grows with the requests of the service")
  {
    for (int count = 0; count < 10; ++count) {
      budget.OnFirstSend("desk", kStart);
    }
    int repeats = 0;
    while (budget.TryRepeat("desk", kStart + 1s)) {
      ++repeats;
    }
    CHECK(repeats == 6);
    CHECK(budget.TryRepeat("other", kStart + 1s));

    SUBCASE("and shrinks as they leave the window")
    {
      CHECK_FALSE(budget.TryRepeat("desk", kStart + 9s));
      CHECK(budget.TryRepeat("desk", kStart + 12s));
      CHECK_FALSE(budget.TryRepeat("desk", kStart + 12s));
    }
  }
}

TEST_CASE("the events of a stream")
{
  stream::EventSplitter events(64);

  SUBCASE("are passed on whole")
  {
    CHECK(events.Push("id: 1\ndata: a\n") == "");
    CHECK(events.HasPartial());
    CHECK(events.Push("\nid: 2\n") == "id: 1\ndata: a\n\n");
    CHECK(events.LastId() == "1");
    CHECK(events.Push("data: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.LastId() == "2");
    CHECK(events.Events() == 2);
    CHECK_FALSE(events.HasPartial());
  }

  SUBCASE("lose a half that broke off")
  {
    CHECK(events.Push("id: 1\n\nid: 2\nda") == "id: 1\n\n");
    events.DropPartial();
    CHECK(events.Push("id: 2\n\n") == "id: 2\n\n");
  }

  SUBCASE("may not be too long")
  {
    (void)events.Push(std::string(65, 'x'));
    CHECK(events.IsOverlong());
  }
}

TEST_CASE("a cascade of sizes")
{
  const cascade::SizePolicy policy(
    { .mSpareConfidence = 60, .mSmallFirst = 50ms, .mSafety = 1.5 });
  cascade::SizeQuestion question{ .mModels = 3,
                                  .mAttemptsLeft = 3,
                                  .mTimeToTarget = 1s,
                                  .mLargestFirst = 300ms };

  SUBCASE("asks the smallest where the largest can follow in time")
  {
    CHECK(policy.Choose(question) == 0);
    CHECK(policy.Accepts(0, 60, question));
    CHECK_FALSE(policy.Accepts(0, 59, question));
  }

  SUBCASE("asks the largest after a dropped answer")
  {
    question.mIsDropped = true;
    CHECK(policy.Choose(question) == 2);
    CHECK(policy.Accepts(2, 1, question));
  }

  SUBCASE("asks the largest where only one attempt is left")
  {
    question.mAttemptsLeft = 1;
    CHECK(policy.Choose(question) == 2);
  }

  SUBCASE("takes the smallest's answer where the largest would be late")
  {
    question.mLargestFirst = 900ms;
    CHECK(policy.Choose(question) == 0);
    CHECK(policy.Accepts(0, 1, question));
  }

  SUBCASE("asks for less confidence the more of their time engines read")
  {
    const cascade::SizePolicy falling({ .mSpareConfidence = 60,
                                        .mShortConfidence = 20,
                                        .mSpareShare = 0.2,
                                        .mShortShare = 0.6 });
    CHECK(falling.LeastConfidence(0.0) == doctest::Approx(60.0));
    CHECK(falling.LeastConfidence(0.2) == doctest::Approx(60.0));
    CHECK(falling.LeastConfidence(0.4) == doctest::Approx(40.0));
    CHECK(falling.LeastConfidence(0.6) == doctest::Approx(20.0));
    CHECK(falling.LeastConfidence(3.0) == doctest::Approx(20.0));
    question.mReadingShare = 0.4;
    CHECK(falling.Accepts(0, 40, question));
    CHECK_FALSE(falling.Accepts(0, 39, question));
  }

  SUBCASE("takes an answer without an opinion")
  {
    CHECK(policy.Accepts(0, std::nullopt, question));
  }
}

TEST_CASE("the pace of an answer")
{
  stream::EventPace pace;
  const auto due = kStart + 1s;
  CHECK(pace.Judge(due, 500ms) == stream::Lateness::FirstEvent);

  SUBCASE("that begins in time and goes on")
  {
    pace.OnEvents(due);
    pace.OnEvents(due + 500ms);
    CHECK(pace.Judge(due, 500ms) == stream::Lateness::OnTime);
    CHECK(pace.LongestPause() == 500ms);

    SUBCASE("is late after one long pause")
    {
      pace.OnEvents(due + 1'001ms);
      pace.OnEvents(due + 1'002ms);
      CHECK(pace.Judge(due, 500ms) == stream::Lateness::Pause);
      CHECK(stream::NameOf(stream::Lateness::Pause) == "pause");
    }
  }

  SUBCASE("is late by its first event, whatever follows")
  {
    pace.OnEvents(due + 1us);
    CHECK(pace.Judge(due, 500ms) == stream::Lateness::FirstEvent);
  }

  SUBCASE("has no pause that is too long where none is stated")
  {
    pace.OnEvents(kStart);
    pace.OnEvents(kStart + 1h);
    CHECK(pace.Judge(due, Duration::zero()) == stream::Lateness::OnTime);
  }
}

TEST_CASE("largest models on engines that are short for the load")
{
  // plays a load under which the largest model answers six times too late
  cascade::DelayScale delay;
  const cascade::SizePolicy policy({});
  const auto choose = [&](TimePoint aNow) {
    return policy.Choose({ .mModels = 3,
                           .mAttemptsLeft = 1,
                           .mTimeToTarget = 1s,
                           .mLargestFirst = delay.Apply(300ms, aNow) });
  };
  CHECK(choose(kStart) == 2);
  for (int answer = 0; answer < 20; ++answer) {
    delay.OnSample(1'800ms, 300ms, kStart);
  }

  SUBCASE("are not asked where their answer would be late")
  {
    CHECK(choose(kStart) == 0);
  }

  SUBCASE("are tried again after a while")
  {
    CHECK(choose(kStart + 10s) == 2);
  }
}

TEST_CASE("entries of upstreams")
{
  membership::UpstreamEntryCache guard({ .mGracePeriod = 2s });
  const ingress::UpstreamEntry entry{ .mId = "e1",
                                      .mStartedAtMs = 100,
                                      .mSequence = 5 };
  guard.OnEntries({ entry }, kStart);
  REQUIRE(guard.Entries().size() == 1);

  SUBCASE("that disappear are gone at once")
  {
    guard.OnEntries({}, kStart + 1s);
    CHECK(guard.Entries().empty());
  }

  SUBCASE("that lapse with the store")
  {
    guard.OnStoreLost();
    guard.OnEntries({}, kStart + 5s);
    CHECK(guard.Entries().size() == 1);
    guard.OnStoreRecovered(kStart + 10s);

    SUBCASE("are kept until they are back")
    {
      CHECK_FALSE(guard.Expire(kStart + 11s));
      guard.OnEntries({ entry }, kStart + 11s);
      CHECK_FALSE(guard.Expire(kStart + 13s));
      CHECK(guard.Entries().size() == 1);
    }

    SUBCASE("are gone if they do not come back")
    {
      CHECK(guard.Expire(kStart + 12s));
      CHECK(guard.Entries().empty());
    }
  }

  SUBCASE("are not replaced by an older write that arrives late")
  {
    auto old = entry;
    old.mSequence = 4;
    old.mState = ingress::UpstreamState::Draining;
    guard.OnEntries({ old }, kStart + 1s);
    CHECK(guard.Entries().front().mState == ingress::UpstreamState::Ready);
  }

  SUBCASE("are replaced when the upstream starts again under its id")
  {
    auto reborn = entry;
    reborn.mStartedAtMs = 200;
    reborn.mSequence = 1;
    guard.OnEntries({ reborn }, kStart + 1s);
    CHECK(guard.Entries().front().mStartedAtMs == 200);
  }
}
