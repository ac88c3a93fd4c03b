#include <figslip/evidence/evidence_store.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace figslip;
using evidence::EvidenceCounts;
using evidence::EvidenceEntry;
using evidence::EvidenceStore;

namespace {

constexpr TimePoint kNow{ std::chrono::hours(10) };
constexpr std::int64_t kBucket = 600;

EvidenceStore
MakeStore(std::size_t aMaxKeys = 100)
{
  return EvidenceStore({ .mSelf = { "self", 1 }, .mMaxKeys = aMaxKeys });
}

rc::Gen<EvidenceEntry>
ArbitraryEntry()
{
  const auto count = [] { return rc::gen::inRange<std::uint64_t>(0, 5); };
  return rc::gen::apply(
    [](int aOrigin,
       int aAge,
       int aVersion,
       std::uint64_t aGood,
       std::uint64_t aBad) {
      return EvidenceEntry{ .mOrigin = { "peer-" + std::to_string(aOrigin), 1 },
                            .mBucket = kBucket - aAge,
                            .mKey = { "v" + std::to_string(aVersion), "tag" },
                            .mCounts = { .mGood = aGood, .mBad = aBad } };
    },
    rc::gen::inRange(0, 3),
    rc::gen::inRange(0, 3),
    rc::gen::inRange(0, 2),
    count(),
    count());
}

void
RequireEqual(const EvidenceStore& aLeft, const EvidenceStore& aRight)
{
  for (const auto* const version : { "v0", "v1" }) {
    RC_ASSERT(aLeft.Sum({ version, "tag" }) == aRight.Sum({ version, "tag" }));
    const auto left = aLeft.SeriesOfVersion(version);
    const auto right = aRight.SeriesOfVersion(version);
    RC_ASSERT(left.size() == right.size());
    for (std::size_t index = 0; index < left.size(); ++index) {
      RC_ASSERT(*left[index].second == *right[index].second);
    }
  }
}

} // namespace

TEST_CASE("evidence of peers")
{
  SUBCASE("merges to equal counts in any order, grouping and repetition")
  {
    rc::check([] {
      const auto entries =
        *rc::gen::container<std::vector<EvidenceEntry>>(ArbitraryEntry());
      auto shuffled = entries;
      std::ranges::reverse(shuffled);
      auto once = MakeStore();
      auto singly = MakeStore();
      once.Merge(entries, kNow);
      for (const auto& entry : shuffled) {
        singly.Merge({ entry }, kNow);
        singly.Merge({ entry }, kNow);
      }
      singly.Merge(entries, kNow);
      RequireEqual(once, singly);
    });
  }

  SUBCASE("keeps correct sums when buckets expire")
  {
    rc::check([] {
      const auto entries =
        *rc::gen::container<std::vector<EvidenceEntry>>(ArbitraryEntry());
      auto store = MakeStore();
      store.Merge(entries, kNow);
      // 28 buckets later only entries of the two latest buckets remain
      const auto later = kNow + std::chrono::minutes(28);
      store.Expire(later);
      std::vector<EvidenceEntry> kept;
      std::ranges::copy_if(
        entries, std::back_inserter(kept), [](const auto& aEntry) {
          return aEntry.mBucket >= kBucket - 1;
        });
      auto fresh = MakeStore();
      fresh.Merge(kept, kNow);
      RequireEqual(store, fresh);
    });
  }

  auto store = MakeStore(2);

  SUBCASE("of an old bucket, a future bucket or this instance is ignored")
  {
    EvidenceEntry entry{ { "peer", 1 }, kBucket - 30, { "v0", "tag" }, {} };
    entry.mCounts.mGood = 1;
    store.Merge({ entry }, kNow);
    entry.mBucket = kBucket + 2;
    store.Merge({ entry }, kNow);
    entry = { { "self", 1 }, kBucket, { "v0", "tag" }, entry.mCounts };
    store.Merge({ entry }, kNow);
    CHECK(store.Sum({ "v0", "tag" }) == EvidenceCounts{});
  }

  SUBCASE("does not exceed the maximum number of keys")
  {
    for (const auto* const kind : { "a", "b", "c" }) {
      store.Add({ "v0", kind }, { .mGood = 1 }, kNow);
    }
    CHECK(store.KeyCount() == 2);
    CHECK(store.SumOfVersion("v0").mGood == 2);
  }

  SUBCASE("returns own entries changed since a time")
  {
    store.Add({ "v0", "a" }, { .mGood = 1 }, kNow);
    store.Add({ "v0", "b" }, { .mGood = 1 }, kNow + std::chrono::seconds(2));
    CHECK(store.OwnEntries().size() == 2);
    CHECK(store.OwnEntries(kNow + std::chrono::seconds(1)).size() == 1);
  }
}
