#include <figslip/cascade/latency_scale.hpp>
#include <figslip/cascade/size_policy.hpp>
#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/freshness_lease.hpp>
#include <figslip/membership/upstream_entry_cache.hpp>
#include <figslip/retry/retry_budget.hpp>
#include <figslip/stream/buffer_budget.hpp>
#include <figslip/stream/event_splitter.hpp>
#include <figslip/stream/event_timing.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
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

TEST_CASE("configuration index")
{
  ingress::Configuration configuration;
  configuration.mRoutes = { MakeRoute("/a/"), MakeRoute("/a/b/") };
  configuration.mAccounts = { { .mName = "studio", .mKeys = { "k1", "k2" } } };
  const ingress::ConfigurationIndex index(configuration);

  SUBCASE("matches the longest path prefix of the host")
  {
    CHECK(index.MatchRoute("a.example", "/a/x")->mName == "/a/");
    CHECK(index.MatchRoute("a.example:80", "/a/b/x")->mName == "/a/b/");
    CHECK(index.MatchRoute("a.example", "/a/bx")->mName == "/a/");
    CHECK(index.MatchRoute("a.example", "/a") == nullptr);
    CHECK(index.MatchRoute("b.example", "/a/x") == nullptr);
  }

  SUBCASE("finds the account of an API key")
  {
    CHECK(index.FindAccount("k2")->mName == "studio");
    CHECK(index.FindAccount("") == nullptr);
    CHECK(index.StateOfKey("k2", "studio") == ingress::KeyState::Valid);
    CHECK(index.StateOfKey("gone", "studio") == ingress::KeyState::Revoked);

    SUBCASE("and one that moved to another account was not revoked")
    {
      CHECK(index.StateOfKey("k2", "other") == ingress::KeyState::Reassigned);
      const ingress::ConfigurationIndex open(ingress::Configuration{});
      CHECK(open.StateOfKey("k2", "studio") == ingress::KeyState::Reassigned);
    }
  }

  SUBCASE("splits the traffic of a route by weight")
  {
    auto route = MakeRoute("/a/");
    route.mServices = { { "old", 90 }, { "new", 10 } };
    CHECK(ingress::ChooseService(route, 0) == "old");
    CHECK(ingress::ChooseService(route, 899'999) == "old");
    CHECK(ingress::ChooseService(route, 900'001) == "new");
  }
}

TEST_CASE("freshness lease on API keys")
{
  ingress::FreshnessLease lease(4s);
  CHECK_FALSE(lease.IsHeld(kStart));
  lease.Confirm(kStart);

  SUBCASE("counts from the time at which the read was sent")
  {
    CHECK(lease.IsHeld(kStart + 3'999ms));
    CHECK_FALSE(lease.IsHeld(kStart + 4s));
  }

  SUBCASE("is not shortened by responses that arrive out of order")
  {
    lease.Confirm(kStart - 2s);
    CHECK(lease.IsHeld(kStart + 3s));
  }
}

TEST_CASE("retry budget")
{
  retry::RetryBudget budget({ .mRetryRatio = 0.5, .mAllowance = 1.0 });

  SUBCASE("is limited to the allowance without first attempts")
  {
    CHECK(budget.TryConsume("desk", kStart));
    CHECK_FALSE(budget.TryConsume("desk", kStart));
  }

  SUBCASE("grows with the first attempts of the service")
  {
    for (int count = 0; count < 10; ++count) {
      budget.OnFirstAttempt("desk", kStart);
    }
    int retries = 0;
    while (budget.TryConsume("desk", kStart + 1s)) {
      ++retries;
    }
    CHECK(retries == 6);
    CHECK(budget.TryConsume("other", kStart + 1s));

    SUBCASE("and shrinks as attempts leave the window")
    {
      CHECK_FALSE(budget.TryConsume("desk", kStart + 9s));
      CHECK(budget.TryConsume("desk", kStart + 12s));
      CHECK_FALSE(budget.TryConsume("desk", kStart + 12s));
    }
  }
}

TEST_CASE("events of a stream")
{
  stream::EventSplitter events(64);

  SUBCASE("are forwarded only when complete")
  {
    CHECK(events.Append("id: 1\ndata: a\n") == "");
    CHECK(events.HasPartial());
    CHECK(events.Append("\nid: 2\n") == "id: 1\ndata: a\n\n");
    CHECK(events.LastId() == "1");
    CHECK(events.Append("data: b\n\n") == "id: 2\ndata: b\n\n");
    CHECK(events.LastId() == "2");
    CHECK(events.EventCount() == 2);
    CHECK_FALSE(events.HasPartial());
  }

  SUBCASE("exclude a partial event that is dropped")
  {
    CHECK(events.Append("id: 1\n\nid: 2\nda") == "id: 1\n\n");
    events.DiscardPartial();
    CHECK(events.Append("id: 2\n\n") == "id: 2\n\n");
  }

  SUBCASE("are limited in length")
  {
    (void)events.Append(std::string(65, 'x'));
    CHECK(events.IsOverlong());

    SUBCASE("each by itself")
    {
      events.DiscardPartial();
      CHECK_FALSE(events.IsOverlong());
    }
  }

  SUBCASE("are told from comments and empty lines")
  {
    const std::string filler = ": alive\n\n\n\n";
    CHECK(events.Append(filler) == filler);
    CHECK(events.EventCount() == 0);

    SUBCASE("which are limited in length between events")
    {
      for (int number = 0; number < 5; ++number) {
        CHECK_FALSE(events.IsOverlong());
        (void)events.Append(filler);
      }
      CHECK(events.IsOverlong());
    }

    SUBCASE("which may be long in all")
    {
      for (int number = 0; number < 20; ++number) {
        (void)events.Append("data: a\n\n" + filler);
        CHECK_FALSE(events.IsOverlong());
      }
      CHECK(events.EventCount() == 20);
    }
  }
}

TEST_CASE("memory of buffers that grow")
{
  stream::BufferBudget budget(100);
  int evicted = 0;
  const auto onEvicted = [&] { ++evicted; };
  stream::BufferBudget::Buffer small(budget, onEvicted);
  stream::BufferBudget::Buffer large(budget, onEvicted);
  small.Resize(10);
  large.Resize(90);
  CHECK(evicted == 0);
  CHECK(budget.UsedBytes() == 100);

  SUBCASE("is taken from the largest when it is exhausted")
  {
    small.Resize(11);
    CHECK_FALSE(small.IsEvicted());
    CHECK(large.IsEvicted());
    CHECK(evicted == 1);
    CHECK(budget.UsedBytes() == 11);

    SUBCASE("which does not get it back")
    {
      large.Resize(50);
      CHECK(large.IsEvicted());
      CHECK(budget.UsedBytes() == 11);
    }
  }

  SUBCASE("is kept by buffers that are complete")
  {
    large.Retain();
    small.Resize(11);
    CHECK(small.IsEvicted());
    CHECK_FALSE(large.IsEvicted());
    CHECK(budget.UsedBytes() == 90);
  }

  SUBCASE("returns with the end of a buffer")
  {
    {
      stream::BufferBudget::Buffer next(budget, onEvicted);
      large.Resize(10);
      next.Resize(80);
    }
    CHECK(budget.UsedBytes() == 20);
    CHECK(evicted == 0);
  }
}

TEST_CASE("a buffer that outlives its budget does not stop the process from "
          "ending")
{
  auto budget = std::make_unique<stream::BufferBudget>(100);
  {
    stream::BufferBudget::Buffer first(*budget, [] {});
    stream::BufferBudget::Buffer second(*budget, [] {});
    first.Resize(10);
    budget.reset();
    first.Resize(20);
    second.Retain();
    CHECK_FALSE(first.IsEvicted());
  }
  CHECK(budget == nullptr);
}

TEST_CASE("size policy of a cascade")
{
  const cascade::SizePolicy policy({ .mLowLoadConfidence = 60,
                                     .mSmallFirstEvent = 50ms,
                                     .mSafetyFactor = 1.5 });
  cascade::SizeQuery question{ .mModels = 3,
                               .mAttemptsLeft = 3,
                               .mTimeToTarget = 1s,
                               .mLargestFirstEvent = 300ms };

  SUBCASE("starts with the smallest model if the largest can follow in time")
  {
    CHECK(policy.Choose(question) == 0);
    CHECK(policy.Accepts(0, 60, question));
    CHECK_FALSE(policy.Accepts(0, 59, question));
  }

  SUBCASE("chooses the largest model after a rejected answer")
  {
    question.mWasAnswerRejected = true;
    CHECK(policy.Choose(question) == 2);
    CHECK(policy.Accepts(2, 1, question));
  }

  SUBCASE("chooses the largest model for the last attempt")
  {
    question.mAttemptsLeft = 1;
    CHECK(policy.Choose(question) == 2);
  }

  SUBCASE("accepts the smallest model if the largest would be late")
  {
    question.mLargestFirstEvent = 900ms;
    CHECK(policy.Choose(question) == 0);
    CHECK(policy.Accepts(0, 1, question));
  }

  SUBCASE("requires less confidence the more time engines spend on prefill")
  {
    const cascade::SizePolicy falling({ .mLowLoadConfidence = 60,
                                        .mHighLoadConfidence = 20,
                                        .mLowLoadUtilization = 0.2,
                                        .mHighLoadUtilization = 0.6 });
    CHECK(falling.MinConfidence(0.0) == doctest::Approx(60.0));
    CHECK(falling.MinConfidence(0.2) == doctest::Approx(60.0));
    CHECK(falling.MinConfidence(0.4) == doctest::Approx(40.0));
    CHECK(falling.MinConfidence(0.6) == doctest::Approx(20.0));
    CHECK(falling.MinConfidence(3.0) == doctest::Approx(20.0));
    question.mPrefillUtilization = 0.4;
    CHECK(falling.Accepts(0, 40, question));
    CHECK_FALSE(falling.Accepts(0, 39, question));
  }

  SUBCASE("accepts an answer without a confidence")
  {
    CHECK(policy.Accepts(0, std::nullopt, question));
  }
}

TEST_CASE("lateness of a stream")
{
  stream::EventTiming pace;
  const auto due = kStart + 1s;
  CHECK(pace.LatenessOf(due, 500ms) == stream::Lateness::FirstEvent);

  SUBCASE("whose events are on time")
  {
    pace.OnEvents(due);
    pace.OnEvents(due + 500ms);
    CHECK(pace.LatenessOf(due, 500ms) == stream::Lateness::OnTime);
    CHECK(pace.LongestPause() == 500ms);

    SUBCASE("becomes late after one long pause")
    {
      pace.OnEvents(due + 1'001ms);
      pace.OnEvents(due + 1'002ms);
      CHECK(pace.LatenessOf(due, 500ms) == stream::Lateness::Pause);
      CHECK(stream::NameOf(stream::Lateness::Pause) == "pause");
    }
  }

  SUBCASE("is late if its first event is late")
  {
    pace.OnEvents(due + 1us);
    CHECK(pace.LatenessOf(due, 500ms) == stream::Lateness::FirstEvent);
  }

  SUBCASE("has no pause limit unless one is configured")
  {
    pace.OnEvents(kStart);
    pace.OnEvents(kStart + 1h);
    CHECK(pace.LatenessOf(due, Duration::zero()) == stream::Lateness::OnTime);
  }
}

TEST_CASE("largest model on overloaded engines")
{
  // simulates a load under which the largest model takes six times as long as
  // predicted
  cascade::LatencyScale delay;
  const cascade::SizePolicy policy({});
  const auto choose = [&](TimePoint aNow) {
    return policy.Choose({ .mModels = 3,
                           .mAttemptsLeft = 1,
                           .mTimeToTarget = 1s,
                           .mLargestFirstEvent = delay.Apply(300ms, aNow) });
  };
  CHECK(choose(kStart) == 2);
  for (int answer = 0; answer < 20; ++answer) {
    delay.OnSample(1'800ms, 300ms, kStart);
  }

  SUBCASE("is not chosen if it would be late")
  {
    CHECK(choose(kStart) == 0);
  }

  SUBCASE("is chosen again after some time")
  {
    CHECK(choose(kStart + 10s) == 2);
  }
}

TEST_CASE("upstream entries")
{
  membership::UpstreamEntryCache guard(
    { .mMinOutage = 1s, .mGracePeriod = 2s });
  const ingress::UpstreamEntry entry{ .mId = "e1",
                                      .mStartedAtMs = 100,
                                      .mSequence = 5 };
  guard.OnEntries({ entry }, kStart);
  REQUIRE(guard.Entries().size() == 1);

  SUBCASE("that disappear are removed at once")
  {
    guard.OnEntries({}, kStart + 1s);
    CHECK(guard.Entries().empty());
  }

  SUBCASE("that expire while the store is down")
  {
    guard.OnStoreLost(kStart + 1s);
    guard.OnEntries({}, kStart + 5s);
    CHECK(guard.Entries().size() == 1);
    guard.OnStoreAnswered(kStart + 10s);

    SUBCASE("are kept until they are written again")
    {
      CHECK_FALSE(guard.Expire(kStart + 11s));
      guard.OnEntries({ entry }, kStart + 11s);
      CHECK_FALSE(guard.Expire(kStart + 13s));
      CHECK(guard.Entries().size() == 1);
    }

    SUBCASE("are removed if they are not written again")
    {
      CHECK(guard.Expire(kStart + 12s));
      CHECK(guard.Entries().empty());
    }

    SUBCASE("are removed then though calls fail and succeed again")
    {
      for (auto now = kStart + 10s; now < kStart + 12s; now += 100ms) {
        guard.OnStoreLost(now);
        guard.OnStoreAnswered(now + 50ms);
      }
      CHECK(guard.Expire(kStart + 12s));
    }
  }

  SUBCASE("that disappear after a single failed call")
  {
    guard.OnStoreAnswered(kStart + 9s);
    guard.OnStoreLost(kStart + 10s);

    SUBCASE("are removed once another call was answered")
    {
      guard.OnStoreAnswered(kStart + 10'080ms);
      guard.OnEntries({}, kStart + 10'100ms);
      CHECK(guard.Entries().empty());
    }

    SUBCASE("are kept until then")
    {
      guard.OnEntries({}, kStart + 10'040ms);
      CHECK(guard.Entries().size() == 1);
      guard.OnStoreAnswered(kStart + 10'080ms);
      CHECK(guard.Expire(kStart + 10'100ms));
    }

    SUBCASE("are kept if the answered one was sent before")
    {
      guard.OnStoreAnswered(kStart + 9'900ms);
      guard.OnEntries({}, kStart + 10'100ms);
      CHECK(guard.Entries().size() == 1);
    }
  }

  SUBCASE("that expire in an outage noticed by one call late are kept")
  {
    guard.OnStoreAnswered(kStart + 8s);
    guard.OnStoreLost(kStart + 8'500ms); // the call timed out at 10 s
    guard.OnStoreLost(kStart + 10s);
    guard.OnStoreAnswered(kStart + 10'100ms);
    guard.OnEntries({}, kStart + 10'200ms);
    CHECK(guard.Entries().size() == 1);
    CHECK(guard.Expire(kStart + 12'100ms));
  }

  SUBCASE("are not replaced by an older write that arrives late")
  {
    auto old = entry;
    old.mSequence = 4;
    old.mState = ingress::UpstreamState::Draining;
    guard.OnEntries({ old }, kStart + 1s);
    CHECK(guard.Entries().front().mState == ingress::UpstreamState::Ready);
  }

  SUBCASE("are replaced when the upstream restarts with the same id")
  {
    auto restarted = entry;
    restarted.mStartedAtMs = 200;
    restarted.mSequence = 1;
    guard.OnEntries({ restarted }, kStart + 1s);
    CHECK(guard.Entries().front().mStartedAtMs == 200);
  }
}
