#include <figslip/peer/gossip.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using peer::Gossip;
using peer::LocalNews;
using peer::UpstreamNews;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

Gossip
MakeGossip(const std::string& aName, const std::string& aDomain, int aSeed = 1)
{
  return Gossip({ .mSelf = { aName, 1 },
                  .mFailureDomain = aDomain,
                  .mSeed = static_cast<std::uint64_t>(aSeed) });
}

membership::InstanceList
MakeList(int aCount, int aDomains)
{
  membership::InstanceList list;
  for (int index = 0; index < aCount; ++index) {
    list.mEntries.push_back(
      { .mName = "entry-" + std::to_string(index),
        .mFailureDomain = "domain-" + std::to_string(index % aDomains),
        .mAddress = "127.0.0.1",
        .mPeerPort = index + 1 });
  }
  return list;
}

} // namespace

TEST_CASE("rounds of exchanges")
{
  SUBCASE("pick one peer of the own failure domain and one of another")
  {
    auto gossip = MakeGossip("entry-0", "domain-0");
    const auto picked = gossip.PickPeers(MakeList(12, 3));
    REQUIRE(picked.size() == 2);
    CHECK(picked[0].mFailureDomain == "domain-0");
    CHECK(picked[0].mName != "entry-0");
    CHECK(picked[1].mFailureDomain != "domain-0");
  }

  SUBCASE("tell 340 entries of a generation within ten rounds")
  {
    constexpr int kEntries = 340;
    const auto list = MakeList(kEntries, 8);
    std::vector<Gossip> entries;
    std::vector<std::int64_t> generations(kEntries, 1);
    for (int index = 0; index < kEntries; ++index) {
      const auto& entry = list.mEntries[static_cast<std::size_t>(index)];
      entries.push_back(MakeGossip(entry.mName, entry.mFailureDomain, index));
    }
    generations[0] = 2;
    int rounds = 0;
    while (std::ranges::count(generations, 2) < kEntries) {
      ++rounds;
      REQUIRE(rounds <= 10);
      for (std::size_t index = 0; index < kEntries; ++index) {
        for (const auto& peer : entries[index].PickPeers(list)) {
          const auto other = static_cast<std::size_t>(peer.mPeerPort - 1);
          // whoever hears of a higher generation fetches it
          generations[index] = generations[other] =
            std::max(generations[index], generations[other]);
        }
      }
    }
    MESSAGE("rounds: ", rounds);
  }
}

TEST_CASE("news of an upstream")
{
  auto left = MakeGossip("left", "sul-a");
  auto right = MakeGossip("right", "sul-a");
  const UpstreamNews warm{
    .mUpstream = "engine", .mBootId = "b1", .mWarm = true, .mSurpriseAt = kStart
  };
  left.OnLocalNews({ .mUpstreams = { warm } }, kStart);

  SUBCASE("reach an entry of the same failure domain once")
  {
    const auto digest = left.Compose("sul-a", kStart);
    CHECK(right.Absorb(digest, kStart).mUpstreams.size() == 1);
    CHECK(right.Absorb(digest, kStart).mUpstreams.empty());
  }

  SUBCASE("stay in the failure domain")
  {
    CHECK(left.Compose("sul-b", kStart).mUpstreams.empty());
  }

  SUBCASE("are sent a limited number of times")
  {
    int sends = 0;
    for (int round = 0; round < 50; ++round) {
      sends +=
        static_cast<int>(left.Compose("sul-a", kStart).mUpstreams.size());
    }
    CHECK(sends == 5);
  }

  SUBCASE("of a later surprise end what was known as warm")
  {
    (void)right.Absorb(left.Compose("sul-a", kStart), kStart);
    auto cold = warm;
    cold.mWarm = false;
    cold.mSurpriseAt = kStart + 10s;
    left.OnLocalNews({ .mUpstreams = { cold } }, kStart + 10s);
    const auto learned =
      right.Absorb(left.Compose("sul-a", kStart + 10s), kStart + 10s);
    REQUIRE(learned.mUpstreams.size() == 1);
    CHECK_FALSE(learned.mUpstreams[0].mWarm);

    SUBCASE("and an older word of warmth does not bring it back")
    {
      auto late = MakeGossip("late", "sul-a");
      late.OnLocalNews({ .mUpstreams = { warm } }, kStart);
      CHECK(right.Absorb(late.Compose("sul-a", kStart), kStart + 11s)
              .mUpstreams.empty());
    }
  }
}

TEST_CASE("evidence")
{
  auto left = MakeGossip("left", "sul-a");
  auto near = MakeGossip("near", "sul-a");
  auto far = MakeGossip("far", "sul-b");
  const evidence::EvidenceEntry entry{ .mOrigin = { "left", 1 },
                                       .mBucket = 7,
                                       .mKey = { "small-1", "tag" },
                                       .mCounts = { .mAnswered = 3 } };
  left.OnLocalNews({ .mEvidence = { entry } }, kStart);

  SUBCASE("of an entry travels on in its failure domain")
  {
    auto third = MakeGossip("third", "sul-a");
    (void)near.Absorb(left.Compose("sul-a", kStart), kStart);
    const auto learned = third.Absorb(near.Compose("sul-a", kStart), kStart);
    REQUIRE(learned.mEvidence.size() == 1);
    CHECK(learned.mEvidence[0].mOrigin == entry.mOrigin);
    CHECK(learned.mEvidence[0].mCounts == entry.mCounts);
  }

  SUBCASE("reaches other failure domains as the sum of its own")
  {
    auto second = entry;
    second.mOrigin = { "near", 1 };
    near.OnLocalNews({ .mEvidence = { second } }, kStart);
    (void)near.Absorb(left.Compose("sul-a", kStart), kStart);
    const auto learned = far.Absorb(near.Compose("sul-b", kStart), kStart);
    REQUIRE(learned.mEvidence.size() == 1);
    CHECK(learned.mEvidence[0].mOrigin ==
          membership::Incarnation{ "sul-a", 0 });
    CHECK(learned.mEvidence[0].mCounts.mAnswered == 6);

    SUBCASE("where a smaller sum changes nothing")
    {
      CHECK(
        far.Absorb(left.Compose("sul-b", kStart), kStart).mEvidence.empty());
    }

    SUBCASE("and is not counted again at home")
    {
      CHECK(
        left.Absorb(far.Compose("sul-a", kStart), kStart).mEvidence.empty());
    }
  }

  SUBCASE("of many versions fills a digest up to its bound, the urgent first")
  {
    LocalNews news{ .mUrgentVersions = { "999" } };
    for (int version = 0; version < 1000; ++version) {
      news.mEvidence.push_back(entry);
      news.mEvidence.back().mKey.mVersion = std::to_string(version);
    }
    left.OnLocalNews(news, kStart);
    const auto digest = left.Compose("sul-b", kStart);
    REQUIRE(digest.mEvidence.size() == 8);
    CHECK(digest.mEvidence[0].mKey.mVersion == "999");
  }
}

TEST_CASE("the votes against a version")
{
  auto self = MakeGossip("self", "sul-a");
  self.OnLocalNews({ .mGeneration = 4 }, kStart);
  const auto voteOf = [&](const std::string& aName, std::int64_t aGeneration) {
    auto other = MakeGossip(aName, "sul-b");
    other.OnLocalNews(
      { .mGeneration = aGeneration, .mStoppedVersions = { "small-2" } },
      kStart);
    return self.Absorb(other.Compose("sul-a", kStart), kStart).mStopVotes;
  };

  SUBCASE("count each entry once")
  {
    CHECK(voteOf("a", 4).at(0).mEntries == 1);
    CHECK(voteOf("a", 4).at(0).mEntries == 1);
    CHECK(voteOf("b", 4).at(0).mEntries == 2);
  }

  SUBCASE("of another generation do not count")
  {
    CHECK(voteOf("a", 3).empty());
  }
}
