#include <figslip/placement/rate_share.hpp>
#include <figslip/placement/upstream_selector.hpp>
#include <platform/http_dialect.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using placement::NoChoiceReason;
using placement::RateLimit;
using placement::RateShare;
using placement::UpstreamSelector;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kWindow = 4s;

/// Requests that an upstream may receive in the window.
double
MaxInWindow(double aPerSecond)
{
  constexpr double kOverage = 1.5;
  constexpr double kSlack = 5.0;
  return kOverage * aPerSecond *
           std::chrono::duration<double>(kWindow).count() +
         kSlack;
}

struct RateLoad
{
  int mInstances = 5;
  double mPerSecond = 3.0;
  /// returns whether all instances have requests to send
  std::function<bool(Duration)> mIsBusy = [](Duration) { return true; };
};

struct RateResult
{
  std::size_t mMostInWindow = 0;
  std::size_t mTotal = 0;
};

/// Plays instances that send a request whenever their share allows it.
RateResult
Play(const RateLoad& aLoad, std::uint32_t aSeed)
{
  constexpr Duration kLength = 60s;
  constexpr Duration kStep = 10ms;
  std::mt19937_64 random(aSeed);
  std::vector<RateShare> shares;
  std::vector<RateLimit> limits;
  for (int index = 0; index < aLoad.mInstances; ++index) {
    shares.emplace_back(kStart);
    limits.push_back({ .mPerSecond = aLoad.mPerSecond,
                       .mInstances = aLoad.mInstances,
                       .mPhase = random() });
  }
  RateResult result;
  std::deque<TimePoint> sent;
  for (auto at = kStart; at < kStart + kLength; at += kStep) {
    for (std::size_t index = 0; index < shares.size(); ++index) {
      if (aLoad.mIsBusy(at - kStart) &&
          shares[index].IsOpen(limits[index], at)) {
        shares[index].OnSent(limits[index], at);
        sent.push_back(at);
        ++result.mTotal;
      }
    }
    while (!sent.empty() && sent.front() + kWindow <= at) {
      sent.pop_front();
    }
    result.mMostInWindow = std::max(result.mMostInWindow, sent.size());
  }
  return result;
}

ingress::UpstreamEntry
MakeEntry(const std::string& aId, std::int64_t aStartedAtMs = 1)
{
  return { .mId = aId,
           .mService = "desk",
           .mAddress = "127.0.0.1",
           .mPort = 80,
           .mDomain = "a",
           .mVersion = "v1",
           .mSlots = 100,
           .mStartedAtMs = aStartedAtMs };
}

} // namespace

TEST_CASE("an upstream does not get more requests than the rate that it named")
{
  for (const int instances : { 1, 2, 5, 25, 60 }) {
    for (const double perSecond : { 0.25, 1.0, 3.0, 10.0, 45.5 }) {
      for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(instances);
        CAPTURE(perSecond);
        CAPTURE(seed);

        // under steady load
        const auto steady =
          Play({ .mInstances = instances, .mPerSecond = perSecond }, seed);
        CHECK(static_cast<double>(steady.mMostInWindow) <=
              MaxInWindow(perSecond));

        // when a burst finds all buckets full
        const auto burst =
          Play({ .mInstances = instances,
                 .mPerSecond = perSecond,
                 .mIsBusy = [](Duration aTime) { return aTime % 20s > 12s; } },
               seed);
        CHECK(static_cast<double>(burst.mMostInWindow) <=
              MaxInWindow(perSecond));
      }
    }
  }
}

TEST_CASE("an upstream under steady load gets most of the rate that it named")
{
  for (const int instances : { 1, 5, 25 }) {
    CAPTURE(instances);
    const auto result =
      Play({ .mInstances = instances, .mPerSecond = 10.0 }, 1);
    CHECK(result.mTotal >= 400); // of 600
  }
}

TEST_CASE("the head of a response names a rate")
{
  const auto rateOf = [](unsigned aStatus, const std::string& aText) {
    const auto dialect = platform::MakeHttpDialect();
    return dialect
      .mReadResponse(
        { .mStatus = aStatus,
          .mHeaders = { { .mName = "server-limit", .mValue = aText } } })
      .mMaxRate;
  };

  SUBCASE("as a decimal number, with any status")
  {
    CHECK(rateOf(200, "3") == 3.0);
    CHECK(rateOf(503, "2.75") == 2.75);
    CHECK(rateOf(500, "0") == 0.0);
  }

  SUBCASE("except one that another upstream at the address may send")
  {
    CHECK_FALSE(rateOf(421, "3").has_value());
  }

  SUBCASE("or something that is not a rate")
  {
    for (const std::string text : { "", "three", "3 ", "-1", "nan", "3,5" }) {
      CAPTURE(text);
      REQUIRE(rateOf(200, text).has_value());
      CHECK(std::isnan(*rateOf(200, text)));
    }
  }
}

TEST_CASE("an upstream that named a rate")
{
  UpstreamSelector selector({ .mInstance = "entry-1", .mDomain = "a" });
  const placement::PlacementQuery query{ .mService = "desk" };
  const auto upstream = MakeEntry("u1");
  selector.OnUpstreams({ upstream }, kStart);
  CHECK(selector.OnMaxRate(upstream, 2.0, kStart, kStart));
  const auto send = [&](TimePoint aNow) {
    const auto choice = selector.Choose(query, aNow);
    if (choice) {
      (void)selector.Reserve(*choice, query, aNow);
    }
    return choice.has_value();
  };

  SUBCASE("gets requests at that rate")
  {
    int sent = 0;
    for (auto at = kStart; at < kStart + 10s; at += 10ms) {
      sent += send(at) ? 1 : 0;
    }
    CHECK(sent <= 25);
    CHECK(sent >= 18);
  }

  SUBCASE("lets requests wait for the next one")
  {
    CHECK_FALSE(send(kStart));
    CHECK(selector.ExplainNoChoice(query, kStart) ==
          NoChoiceReason::AllLimited);
    const auto next = selector.EarliestReturn(query, kStart);
    REQUIRE(next);
    CHECK(*next > kStart);
    CHECK(*next <= kStart + 1s);
    CHECK(send(*next));
  }

  SUBCASE("is not waited for beside another one")
  {
    selector.OnUpstreams({ upstream, MakeEntry("u2") }, kStart);
    CHECK_FALSE(selector.EarliestReturn(query, kStart));
    REQUIRE(selector.Choose(query, kStart));
    CHECK(selector.Choose(query, kStart)->mUpstream->mId == "u2");
  }

  SUBCASE("is not limited any more by an answer without a rate")
  {
    CHECK(selector.OnMaxRate(upstream, std::nullopt, kStart + 1s, kStart + 2s));
    CHECK(send(kStart + 2s));
    CHECK(send(kStart + 2s));

    SUBCASE("but not by one to an earlier request")
    {
      CHECK(selector.OnMaxRate(upstream, 2.0, kStart + 2s, kStart + 3s));
      CHECK_FALSE(
        selector.OnMaxRate(upstream, std::nullopt, kStart + 2s, kStart + 4s));
      CHECK_FALSE(send(kStart + 3s));
    }
  }

  SUBCASE("is not forgotten while the list of upstreams lacks it")
  {
    selector.OnUpstreams({}, kStart + 1s);
    selector.OnUpstreams({ upstream }, kStart + 2s);
    CHECK_FALSE(send(kStart + 2s));
  }

  SUBCASE("is not limited after a restart")
  {
    selector.OnUpstreams({ MakeEntry("u1", 2) }, kStart);
    CHECK(send(kStart));
    CHECK(send(kStart));
  }

  SUBCASE("of nothing is still asked from time to time")
  {
    selector.OnMaxRate(upstream, 0.0, kStart, kStart);
    const auto next = selector.EarliestReturn(query, kStart);
    REQUIRE(next);
    CHECK(*next <= kStart + 10s);
  }
}
