#include <figslip/billing/billing_core.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;
using namespace figslip::billing;
using std::chrono::seconds;

namespace {

BillingRecord
RecordOf(const std::string& aId)
{
  return { .mRequestId = aId,
           .mAccount = "salon",
           .mTarget = "chat",
           .mVersion = "small-1",
           .mAnsweredAtMs = 5,
           .mLatencyMs = 3,
           .mAttempts = { { "w1", "small-1", 20, 7 } } };
}

BillingCore
CoreOf(const std::string& aName)
{
  return BillingCore({ .mSelf = { aName, 1 }, .mFailureDomain = "north" });
}

const BillingPeer kNear{ { "a", 1 }, "north" };
const BillingPeer kFar{ { "b", 1 }, "south" };

} // namespace

TEST_CASE("a batch of billing records")
{
  BillingBatcher batcher({ .mSelf = { "e1", 7 }, .mMaxBatchRecords = 2 });
  CHECK_FALSE(batcher.NextBatch());
  REQUIRE(batcher.Add(RecordOf("r1")) == 1);

  SUBCASE("keeps its name and content until it is written")
  {
    const auto first = batcher.NextBatch();
    REQUIRE(first);
    CHECK(first->mName == "e1-7-1");
    CHECK(first->mText == PrintBatch({ RecordOf("r1") }));
    REQUIRE(batcher.Add(RecordOf("r2")) == 2);
    CHECK(batcher.NextBatch()->mText == first->mText);

    SUBCASE("and the next one gets the next name")
    {
      batcher.OnWritten();
      CHECK(batcher.WrittenUpTo() == 1);
      CHECK(batcher.NextBatch()->mName == "e1-7-2");
      CHECK(batcher.NextBatch()->mText == PrintBatch({ RecordOf("r2") }));
    }
  }

  SUBCASE("has at most the largest number of records")
  {
    (void)batcher.Add(RecordOf("r2"));
    CHECK(batcher.HasFullBatch());
    (void)batcher.Add(RecordOf("r3"));
    CHECK(batcher.NextBatch()->mRecords == 2);
  }

  SUBCASE("can be copied after a position")
  {
    (void)batcher.Add(RecordOf("r2"));
    const auto copy = batcher.CopyAfter(1, 1);
    REQUIRE(copy);
    CHECK(copy->mUpTo == 2);
    CHECK(copy->mText == PrintBatch({ RecordOf("r2") }));
    CHECK(batcher.CopyAfter(0, 1)->mUpTo == 1);
    CHECK_FALSE(batcher.CopyAfter(2, 1));
  }
}

TEST_CASE("the memory for records")
{
  const auto size = PrintRecord(RecordOf("r1")).size();
  BillingBatcher batcher(
    { .mMaxPendingBytes = 3 * size, .mReservedBytes = 2 * size });
  CHECK(batcher.HasRoom());
  CHECK(batcher.Add(RecordOf("r1")));

  SUBCASE("closes to new requests while running ones still have the reserve")
  {
    CHECK_FALSE(batcher.HasRoom());
    CHECK(batcher.Add(RecordOf("r2")));
    CHECK(batcher.Add(RecordOf("r3")));
    CHECK_FALSE(batcher.Add(RecordOf("r4")));
    CHECK(batcher.PendingBytes() == 3 * size);
  }

  SUBCASE("opens again once a batch is written")
  {
    (void)batcher.NextBatch();
    batcher.OnWritten();
    CHECK(batcher.HasRoom());
    CHECK(batcher.PendingBytes() == 0);
  }
}

TEST_CASE("a record to be handed over")
{
  auto core = CoreOf("e1");
  const TimePoint now(seconds(100));
  const auto position = core.Add(RecordOf("r1"));
  REQUIRE(position);
  CHECK_FALSE(core.IsSafe(*position));

  SUBCASE("stays here without peers")
  {
    CHECK_FALSE(core.CanHandOver(now));
    CHECK_FALSE(core.NextHandOver(now));
  }

  SUBCASE("goes to a peer of another failure domain")
  {
    core.OnPeers({ kNear, kFar });
    const auto order = core.NextHandOver(now);
    REQUIRE(order);
    CHECK(order->mPeer == kFar);

    SUBCASE("is safe once held, and released once written")
    {
      core.OnHandOver(*order, true, now);
      CHECK(core.IsSafe(*position));
      CHECK(core.MayStop());
      CHECK_FALSE(core.NextHandOver(now));
      CHECK_FALSE(core.NextRelease(now));
      REQUIRE(core.NextBatch(now));
      core.OnWritten(now);
      const auto release = core.NextRelease(now);
      REQUIRE(release);
      CHECK(release->mUpTo == 1);
      core.OnRelease(*release, true, now);
      CHECK_FALSE(core.NextRelease(now));
    }

    SUBCASE("goes to the next peer when the first does not answer")
    {
      core.OnHandOver(*order, false, now);
      REQUIRE(core.NextHandOver(now));
      CHECK(core.NextHandOver(now)->mPeer == kNear);
      core.OnHandOver(*core.NextHandOver(now), false, now);
      CHECK_FALSE(core.CanHandOver(now));
      CHECK(core.CanHandOver(now + seconds(1)));
    }

    SUBCASE("goes to another peer when its holder is gone or was replaced")
    {
      core.OnHandOver(*order, true, now);
      SUBCASE("gone")
      {
        core.OnPeers({ kNear });
      }
      SUBCASE("replaced")
      {
        core.OnPeers({ { { "b", 2 }, "south" } });
      }
      CHECK_FALSE(core.IsSafe(*position));
      CHECK(core.NextHandOver(now));
    }
  }
}

TEST_CASE("the time of a batch")
{
  auto core = CoreOf("e1");
  const TimePoint now(seconds(100));
  (void)core.Add(RecordOf("r1"));
  REQUIRE(core.NextBatch(now));
  core.OnWritten(now);
  (void)core.Add(RecordOf("r2"));

  SUBCASE("comes soon while this instance alone has a record")
  {
    CHECK_FALSE(core.NextBatch(now + std::chrono::milliseconds(199)));
    CHECK(core.NextBatch(now + std::chrono::milliseconds(200)));
  }

  SUBCASE("comes later while a neighbour holds all records")
  {
    core.OnPeers({ kFar });
    core.OnHandOver(*core.NextHandOver(now), true, now);
    CHECK_FALSE(core.NextBatch(now + seconds(1)));
    CHECK(core.NextBatch(now + seconds(2)));
  }

  SUBCASE("comes at longer and longer intervals in an outage")
  {
    auto time = now + seconds(1);
    REQUIRE(core.NextBatch(time));
    core.OnWriteFailed(time);
    CHECK_FALSE(core.NextBatch(time));
    for (int tries = 0; tries < 10; ++tries) {
      time += seconds(5);
      CHECK(core.NextBatch(time));
      core.OnWriteFailed(time);
    }
    CHECK_FALSE(core.NextBatch(time + seconds(4)));
    core.BeginStop();
    CHECK(core.NextBatch(time));
  }
}

TEST_CASE("a copy kept for another instance")
{
  BillingNeighbour neighbour({ .mMaxBytes = 1000 });
  const TimePoint now(seconds(100));
  const membership::Incarnation origin{ "e2", 1 };
  const RecordCopy copy{ origin, 3, PrintBatch({ RecordOf("r1") }) };
  REQUIRE(neighbour.Hold(copy, now) == HoldOutcome::Held);
  const auto bytes = neighbour.Bytes();
  const membership::InstanceList others{ .mEntries = { { .mName = "e3" } } };

  SUBCASE("is kept once when it comes twice")
  {
    CHECK(neighbour.Hold(copy, now) == HoldOutcome::Held);
    CHECK(neighbour.Bytes() == bytes);
  }

  SUBCASE("is replaced by a longer one that ends at the same record")
  {
    const RecordCopy longer{ origin,
                             3,
                             PrintBatch({ RecordOf("r0"), RecordOf("r1") }) };
    CHECK(neighbour.Hold(longer, now) == HoldOutcome::Held);
    CHECK(neighbour.Bytes() == longer.mText.size());
  }

  SUBCASE("is forgotten when it is written, also if it comes late again")
  {
    neighbour.Release(origin, 3);
    CHECK(neighbour.Bytes() == 0);
    CHECK(neighbour.Hold(copy, now) == HoldOutcome::Held);
    CHECK(neighbour.Bytes() == 0);
  }

  SUBCASE("falls due when its origin was replaced")
  {
    CHECK_FALSE(neighbour.TakeDue(now));
    neighbour.OnIncarnation({ "e2", 2 });
    const auto due = neighbour.TakeDue(now);
    REQUIRE(due);
    CHECK(due->mText == copy.mText);
    CHECK(neighbour.Bytes() == 0);
  }

  SUBCASE("falls due when its origin is missing from the list for a time")
  {
    neighbour.OnInstances(others, now);
    CHECK_FALSE(neighbour.TakeDue(now + seconds(9)));
    CHECK(neighbour.TakeDue(now + seconds(10)));
  }

  SUBCASE("falls due when no release comes, but not in an outage")
  {
    neighbour.OnPlatform(false, now);
    CHECK_FALSE(neighbour.TakeDue(now + seconds(1000)));
    neighbour.OnPlatform(true, now + seconds(1000));
    CHECK_FALSE(neighbour.TakeDue(now + seconds(1014)));
    CHECK(neighbour.TakeDue(now + seconds(1015)));
  }

  SUBCASE("is refused when malformed or when the memory is used up")
  {
    CHECK(neighbour.Hold({ origin, 4, "{" }, now) == HoldOutcome::Malformed);
    const std::vector many(10, RecordOf("r2"));
    CHECK(neighbour.Hold({ origin, 4, PrintBatch(many) }, now) ==
          HoldOutcome::Full);
  }

  SUBCASE("becomes an own record at a graceful shutdown")
  {
    auto core = CoreOf("e1");
    REQUIRE(core.Hold(copy, now) == HoldOutcome::Held);
    core.BeginStop();
    CHECK(core.Pending() == 1);
    CHECK(core.NextBatch(now)->mText == copy.mText);
    CHECK(core.Hold(copy, now) == HoldOutcome::Full);
  }
}
