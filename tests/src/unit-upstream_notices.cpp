#include <figslip/placement/upstream_notices.hpp>
#include <figslip/placement/upstream_selector.hpp>
#include <platform/http_dialect.hpp>

#include <doctest/doctest.h>

#include <chrono>
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
  UpstreamNotices notices;
  const auto entry = MakeEntry("e1");
  notices.OnLeaving(entry, kStart);
  notices.OnUpstreams({}, kStart + UpstreamNotices::kRetention);
  CHECK(notices.Of(entry).mIsLeaving);

  SUBCASE("is forgotten in the end")
  {
    notices.OnUpstreams({}, kStart + UpstreamNotices::kRetention + 1s);
    CHECK(notices.Size() == 0);
  }

  SUBCASE("is kept while it is registered")
  {
    notices.OnUpstreams({ entry }, kStart + 9min);
    notices.OnUpstreams({}, kStart + 18min);
    CHECK(notices.Of(entry).mIsLeaving);
  }
}
