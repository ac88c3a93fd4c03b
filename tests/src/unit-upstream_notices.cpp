#include <figslip/placement/upstream_notices.hpp>
#include <figslip/placement/upstream_selector.hpp>
#include <platform/http_dialect.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <limits>
#include <set>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using placement::NoChoiceReason;
using placement::UpstreamNotices;
using placement::UpstreamSelector;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

ingress::UpstreamEntry
MakeEntry(const std::string& aId, std::int64_t aStartedAtMs = 1)
{
  return { .mId = aId,
           .mService = "desk",
           .mAddress = "127.0.0.1",
           .mPort = 80,
           .mDomain = "a",
           .mVersion = "v1",
           .mSlots = 4,
           .mStartedAtMs = aStartedAtMs };
}

ingress::ResponseMetadata
Read(unsigned aStatus, const net::Headers& aHeaders)
{
  const auto dialect = platform::MakeHttpDialect();
  return dialect.mReadResponse({ .mStatus = aStatus, .mHeaders = aHeaders });
}

} // namespace

TEST_CASE("the head of a response")
{
  const net::Headers leaving = { { .mName = "server-leaving", .mValue = "1" } };

  SUBCASE("says that the upstream leaves, with any status")
  {
    CHECK(Read(200, leaving).mIsLeaving);
    CHECK(Read(503, leaving).mIsLeaving);

    SUBCASE("except one that another upstream at the address may send")
    {
      CHECK_FALSE(Read(421, leaving).mIsLeaving);
    }
  }

  SUBCASE("says nothing of it without the header or with another value")
  {
    CHECK_FALSE(Read(200, {}).mIsLeaving);
    CHECK_FALSE(
      Read(200, { { .mName = "Server-Leaving", .mValue = "0" } }).mIsLeaving);
    CHECK_FALSE(
      Read(200, { { .mName = "Server-Leaving", .mValue = "" } }).mIsLeaving);
  }
}

TEST_CASE("the head of a response with status 503")
{
  const auto pauseOf = [](unsigned aStatus, const std::string& aText) {
    return Read(aStatus, { { .mName = "Retry-After", .mValue = aText } })
      .mPauseSeconds;
  };

  SUBCASE("asks for a pause in seconds and fractions")
  {
    CHECK(pauseOf(503, "2") == 2.0);
    CHECK(pauseOf(503, "0.25") == 0.25);
    CHECK(pauseOf(503, "-1") == -1.0);

    SUBCASE("unlike other statuses, and 503 without the header")
    {
      CHECK_FALSE(pauseOf(429, "2"));
      CHECK_FALSE(pauseOf(200, "2"));
      CHECK_FALSE(Read(503, {}).mPauseSeconds);
    }
  }

  SUBCASE("that names no number is read as such")
  {
    for (const auto* const text :
         { "", "soon", "2s", "1e999", "Sat, 05 Dec 2026 00:00:00 GMT" }) {
      INFO("Retry-After: ", text);
      REQUIRE(pauseOf(503, text));
      CHECK(std::isnan(*pauseOf(503, text)));
    }
  }
}

TEST_CASE("the pause that an upstream asks for")
{
  constexpr double kSecondsPerDay = 86'400.0;
  constexpr auto kInfinity = std::numeric_limits<double>::infinity();
  constexpr auto kNan = std::numeric_limits<double>::quiet_NaN();

  SUBCASE("is granted up to a limit")
  {
    CHECK(placement::BoundPause(0.25).mTime == 250ms);
    CHECK_FALSE(placement::BoundPause(0.25).mIsBounded);
    CHECK_FALSE(placement::BoundPause(0.0).mIsBounded);
    CHECK(placement::BoundPause(300.0).mTime == placement::kMaxPause);
    CHECK_FALSE(placement::BoundPause(300.0).mIsBounded);
  }

  SUBCASE("is bounded where it is absurd")
  {
    for (const double seconds : { 3 * kSecondsPerDay, 1e300, kInfinity }) {
      CHECK(placement::BoundPause(seconds).mTime == placement::kMaxPause);
      CHECK(placement::BoundPause(seconds).mIsBounded);
    }
    for (const double seconds : { -1.0, -kInfinity, kNan }) {
      CHECK(placement::BoundPause(seconds).mTime == Duration::zero());
      CHECK(placement::BoundPause(seconds).mIsBounded);
    }
  }

  SUBCASE("ends at different times for those who wait")
  {
    std::set<Duration> offsets;
    for (std::uint64_t hash = 0; hash < 1'000; ++hash) {
      const auto offset = placement::ReturnOffset(2s, hash * 7'919);
      CHECK(offset >= Duration::zero());
      CHECK(offset <= 500ms);
      offsets.insert(offset);
    }
    CHECK(offsets.size() > 900);
    CHECK(placement::ReturnOffset(5min, 12'345'678'901) <= 1s);
    CHECK(placement::ReturnOffset(Duration::zero(), 17) == Duration::zero());
  }
}

TEST_CASE("an upstream that has asked for a pause")
{
  UpstreamSelector selector({ .mInstance = "self", .mDomain = "a" });
  const auto first = MakeEntry("e1");
  const auto second = MakeEntry("e2");
  selector.OnUpstreams({ first, second }, kStart);
  const placement::PlacementQuery query{ .mService = "desk" };
  /// the latest return from a pause of 2 s
  constexpr auto kReturned = 2s + 500ms;
  CHECK(selector.OnPause(first, 2.0, kStart).mIsBegun);

  SUBCASE("receives nothing until its end")
  {
    CHECK_FALSE(selector.MaySend("e1", kStart));
    CHECK_FALSE(selector.MaySend("e1", kStart + 2s - 1us));
    CHECK(selector.MaySend("e1", kStart + kReturned));
    CHECK(selector.MaySend("e2", kStart));
    for (int number = 0; number < 20; ++number) {
      const auto choice = selector.Choose(query, kStart + 1'999ms);
      REQUIRE(choice);
      CHECK(choice->mUpstream->mId == "e2");
    }

    SUBCASE("also when a list shows it anew, or it was missing from one")
    {
      selector.OnUpstreams({ second }, kStart + 500ms);
      selector.OnUpstreams({ first, second }, kStart + 1s);
      CHECK_FALSE(selector.MaySend("e1", kStart + 1'999ms));
      CHECK(selector.MaySend("e1", kStart + kReturned));
    }

    SUBCASE("unless it has started again")
    {
      selector.OnUpstreams({ MakeEntry("e1", 2), second }, kStart + 500ms);
      CHECK(selector.MaySend("e1", kStart + 500ms));
    }
  }

  SUBCASE("is not told anew when it asks again")
  {
    CHECK_FALSE(selector.OnPause(first, 1.0, kStart + 100ms).mIsBegun);

    SUBCASE("and a shorter pause does not end the longer one")
    {
      CHECK_FALSE(selector.MaySend("e1", kStart + 1'999ms));
    }
    SUBCASE("and a later end counts")
    {
      selector.OnPause(first, 3.0, kStart + 1s);
      CHECK_FALSE(selector.MaySend("e1", kStart + 3'999ms));
    }
  }

  SUBCASE("is back after a freeze of the instance that outlasts the pause")
  {
    CHECK(selector.MaySend("e1", kStart + 1h));
  }

  SUBCASE("that asked for no time is not paused")
  {
    CHECK_FALSE(selector.OnPause(second, -5.0, kStart).mIsBegun);
    CHECK(selector.MaySend("e2", kStart));
  }

  SUBCASE("that asked for days is back in the end")
  {
    selector.OnPause(second, 1e9, kStart);
    CHECK_FALSE(selector.MaySend("e2", kStart + placement::kMaxPause - 1s));
    CHECK(selector.MaySend("e2", kStart + placement::kMaxPause + 1s));
  }

  SUBCASE("and leaves meanwhile receives nothing after the pause")
  {
    selector.OnLeaving(first, kStart + 1s);
    selector.OnUpstreams({ first, second }, kStart + 10s);
    CHECK_FALSE(selector.MaySend("e1", kStart + 10s));
  }

  SUBCASE("is the reason why none is chosen if all of them pause")
  {
    CHECK_FALSE(selector.EarliestReturn(query, kStart));
    selector.OnPause(second, 1.0, kStart);
    CHECK_FALSE(selector.Choose(query, kStart));
    CHECK(selector.ExplainNoChoice(query, kStart) ==
          NoChoiceReason::AllPausing);
    const auto earliest = selector.EarliestReturn(query, kStart);
    REQUIRE(earliest);
    CHECK(*earliest >= kStart + 1s);
    CHECK(*earliest <= kStart + 1'250ms);
    CHECK(selector.Choose(query, *earliest));
    CHECK_FALSE(selector.EarliestReturn(query, *earliest));

    SUBCASE("but a leaving one is not waited for")
    {
      selector.OnLeaving(second, kStart);
      CHECK(*selector.EarliestReturn(query, kStart) >= kStart + 2s);
      selector.OnLeaving(first, kStart);
      CHECK_FALSE(selector.EarliestReturn(query, kStart));
      CHECK(selector.ExplainNoChoice(query, kStart) ==
            NoChoiceReason::NoUpstream);
    }
  }

  SUBCASE("receives its requests by and by after its end")
  {
    selector.OnUpstreams({ first }, kStart + 1s);
    const auto end = *selector.EarliestReturn(query, kStart + 1s);
    const auto acceptedAt = [&](TimePoint aNow) {
      int count = 0;
      while (const auto choice = selector.Choose(query, aNow)) {
        (void)selector.Reserve(*choice, query, aNow);
        ++count;
      }
      return count;
    };
    CHECK(acceptedAt(end - 1us) == 0);
    CHECK(acceptedAt(end) == 1);
    CHECK(selector.ExplainNoChoice(query, end) == NoChoiceReason::AllFull);
    CHECK(acceptedAt(end + 250ms) == 2);
    CHECK(acceptedAt(end + 500ms) == 1);
  }
}

TEST_CASE("many instances whose upstream has asked all of them for a pause")
{
  std::set<TimePoint> returns;
  for (int number = 0; number < 35; ++number) {
    UpstreamNotices notices("entry-" + std::to_string(number));
    notices.OnPause(MakeEntry("e1"), 2.0, kStart);
    returns.insert(notices.Of(MakeEntry("e1")).mPausedUntil);
  }
  CHECK(returns.size() > 30);
  CHECK(*returns.rbegin() - *returns.begin() > 250ms);
}

TEST_CASE("an upstream that has said that it is leaving")
{
  UpstreamSelector selector({ .mInstance = "self", .mDomain = "a" });
  const auto left = MakeEntry("e1");
  const auto other = MakeEntry("e2");
  selector.OnUpstreams({ left, other }, kStart);
  const placement::PlacementQuery query{ .mService = "desk" };
  const auto isChosen = [&](TimePoint aNow) {
    const std::set<std::string> others = { "e2" };
    auto onlyLeft = query;
    onlyLeft.mExcludedUpstreams = &others;
    return selector.Choose(onlyLeft, aNow).has_value();
  };
  REQUIRE(isChosen(kStart));
  CHECK(selector.OnLeaving(left, kStart));

  SUBCASE("is told once")
  {
    CHECK_FALSE(selector.OnLeaving(left, kStart + 1s));
    CHECK(selector.IsLeaving(left));
    CHECK_FALSE(selector.IsLeaving(other));
  }

  SUBCASE("receives nothing")
  {
    CHECK_FALSE(isChosen(kStart));
    CHECK_FALSE(selector.MaySend("e1", kStart));
    CHECK(selector.MaySend("e2", kStart));
    REQUIRE(selector.Choose(query, kStart));
    CHECK(selector.Choose(query, kStart)->mUpstream->mId == "e2");

    SUBCASE("and no version or slot counts for it")
    {
      selector.OnLeaving(other, kStart);
      CHECK(selector.VersionsOf("desk").empty());
      CHECK(selector.SlotUtilization("desk", kStart) == 1.0);
      CHECK(selector.ExplainNoChoice(query, kStart) ==
            NoChoiceReason::NoUpstream);
    }
  }

  SUBCASE("receives nothing when a late list shows it as ready")
  {
    auto late = left;
    late.mSequence = 7;
    selector.OnUpstreams({ late, other }, kStart + 3s);
    CHECK_FALSE(isChosen(kStart + 3s));
    CHECK_FALSE(selector.MaySend("e1", kStart + 3s));
  }

  SUBCASE("receives nothing when it was missing from a list and is back")
  {
    selector.OnUpstreams({ other }, kStart + 1s);
    selector.OnUpstreams({ left, other }, kStart + 2s);
    CHECK_FALSE(isChosen(kStart + 2s));
  }

  SUBCASE("receives nothing when a list brings it back after its successor")
  {
    selector.OnUpstreams({ MakeEntry("e1", 2), other }, kStart + 1s);
    CHECK(selector.MaySend("e1", kStart + 1s));
    selector.OnUpstreams({ left, other }, kStart + 2s);
    CHECK_FALSE(selector.MaySend("e1", kStart + 2s));
  }

  SUBCASE("receives nothing after a freeze of the instance")
  {
    const auto thawed = kStart + UpstreamNotices::kRetention + 1min;
    CHECK_FALSE(isChosen(thawed));
    selector.OnUpstreams({ left, other }, thawed);
    CHECK_FALSE(isChosen(thawed));
  }

  SUBCASE("starts anew with another time of start under the same id")
  {
    selector.OnUpstreams({ MakeEntry("e1", 2), other }, kStart + 1s);
    CHECK(isChosen(kStart + 1s));

    SUBCASE("also when the former incarnation says it once more")
    {
      CHECK_FALSE(selector.OnLeaving(left, kStart + 2s));
      CHECK(isChosen(kStart + 2s));
    }
  }

  SUBCASE("starts anew with another id at the same address")
  {
    selector.OnUpstreams({ MakeEntry("e3"), other }, kStart + 1s);
    CHECK(selector.MaySend("e3", kStart + 1s));
  }

  SUBCASE("that had already left the list receives nothing when it is back")
  {
    const auto third = MakeEntry("e3");
    CHECK(selector.OnLeaving(third, kStart));
    selector.OnUpstreams({ left, other, third }, kStart + 1s);
    CHECK_FALSE(selector.MaySend("e3", kStart + 1s));
  }
}

TEST_CASE("the notice of an upstream that is not registered")
{
  UpstreamNotices notices("self");
  const auto entry = MakeEntry("e1");
  notices.OnLeaving(entry, kStart);
  notices.OnUpstreams({}, kStart + UpstreamNotices::kRetention);
  CHECK(notices.Of(entry).mIsLeaving);

  SUBCASE("is forgotten in the end")
  {
    notices.OnUpstreams({}, kStart + UpstreamNotices::kRetention + 1s);
    CHECK(notices.Size() == 0);
  }

  SUBCASE("that is a pause is forgotten after its end")
  {
    const auto pausing = MakeEntry("e2");
    notices.OnPause(pausing, 2.0, kStart);
    notices.OnUpstreams({}, kStart + 1s);
    CHECK(notices.Size() == 2);
    notices.OnUpstreams({}, kStart + 3s);
    CHECK(notices.Size() == 1);
  }

  SUBCASE("is kept while it is registered")
  {
    notices.OnUpstreams({ entry }, kStart + 9min);
    notices.OnUpstreams({}, kStart + 18min);
    CHECK(notices.Of(entry).mIsLeaving);
  }
}
