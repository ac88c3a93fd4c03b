#include <figslip/routing/upstream_table.hpp>

#include <doctest/doctest.h>

#include <set>

using namespace figslip;
using routing::UpstreamTable;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(10) };
constexpr int kUpstreams = 4;

struct Fixture
{
  std::vector<manifest::Upstream> mUpstreams;
  std::vector<const manifest::Upstream*> mCandidates;
  UpstreamTable mTable{ { .mMinSuccesses = 1,
                          .mMinColdTime = Duration::zero() } };
  std::mt19937_64 mRandom{ 1 };

  Fixture()
  {
    for (int index = 0; index < kUpstreams; ++index) {
      mUpstreams.push_back(
        { .mName = "u" + std::to_string(index), .mConcurrency = 10 });
    }
    for (const auto& upstream : mUpstreams) {
      mCandidates.push_back(&upstream);
      mTable.ColdStart().OnSuccess(upstream.mName, "boot", kNow);
    }
  }

  const manifest::Upstream* Choose(std::uint64_t aPrefix, TimePoint aNow = kNow)
  {
    return mTable.Choose(mCandidates, aPrefix, mRandom, aNow);
  }

  void ReserveSlots(const std::string& aName, int aRequests)
  {
    for (int request = 0; request < aRequests; ++request) {
      mTable.Reserve(aName);
    }
  }
};

} // namespace

TEST_CASE("choosing an upstream")
{
  Fixture fixture;

  SUBCASE("without a prefix selects the least loaded")
  {
    for (const auto* const name : { "u0", "u1", "u3" }) {
      fixture.ReserveSlots(name, 1);
    }
    CHECK(fixture.Choose(0)->mName == "u2");

    SUBCASE("and counts a fresh report of the load from other entries")
    {
      fixture.mTable.OnLoadReport(
        { .mUpstream = "u2", .mRunning = 9, .mAt = kNow });
      CHECK(fixture.Choose(0)->mName != "u2");

      SUBCASE("but ignores an expired report")
      {
        CHECK(fixture.Choose(0, kNow + std::chrono::seconds(6))->mName == "u2");
      }

      SUBCASE("and ignores an older report that arrives later")
      {
        fixture.mTable.OnLoadReport({ .mUpstream = "u2",
                                      .mRunning = 0,
                                      .mAt = kNow - std::chrono::seconds(1) });
        CHECK(fixture.Choose(0)->mName != "u2");
      }
    }
  }

  SUBCASE("with a prefix")
  {
    const auto owner = fixture.Choose(7)->mName;

    SUBCASE("selects the owner of the prefix")
    {
      fixture.ReserveSlots(owner, 1);
      CHECK(fixture.Choose(7)->mName == owner);
    }

    SUBCASE("avoids an owner whose load is far above the average")
    {
      fixture.ReserveSlots(owner, 5);
      CHECK(fixture.Choose(7)->mName != owner);
    }

    SUBCASE("distributes different prefixes over all upstreams")
    {
      std::set<std::string> owners;
      for (std::uint64_t prefix = 1; prefix <= 40; ++prefix) {
        owners.insert(fixture.Choose(prefix)->mName);
      }
      CHECK(owners.size() == kUpstreams);
    }
  }

  SUBCASE("returns null when no upstream has a free slot")
  {
    for (const auto& upstream : fixture.mUpstreams) {
      fixture.ReserveSlots(upstream.mName, upstream.mConcurrency);
    }
    CHECK(fixture.Choose(0) == nullptr);
    CHECK(fixture.Choose(7) == nullptr);
  }
}

// Guards against one hot prefix that overloads its owner: no upstream gets more
// requests than its limit, and the load spreads to the other upstreams before
// the owner is full. A loop takes a slot per request and checks the slot
// counts.
TEST_CASE("one hot prefix does not overload its owner")
{
  Fixture fixture;
  for (int request = 0; request < kUpstreams * 10; ++request) {
    const auto* const upstream = fixture.Choose(7);
    REQUIRE(upstream != nullptr);
    fixture.mTable.Reserve(upstream->mName);
    CHECK(fixture.mTable.InFlight(upstream->mName) <= upstream->mConcurrency);
  }
  CHECK(fixture.Choose(7) == nullptr);
}
