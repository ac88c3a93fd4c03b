#include <figslip/quarantine/part_quarantine.hpp>
#include <figslip/quarantine/part_records.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using quarantine::CrashSuspects;
using quarantine::PartId;
using quarantine::PartQuarantine;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr PartId kDeadly = 0xdead;
constexpr PartId kFirstPart = 0xa1;
constexpr auto kSettled = 100ms;
constexpr auto kProbeTimeout = PartQuarantine::Options{}.mProbeTimeout;

/// Reports crashes with the time since `kStart`.
class Crashes
{
public:
  explicit Crashes(PartQuarantine::Options aOptions = {})
    : mParts(aOptions)
  {
  }

  void Crash(const std::string& aEndpoint,
             Duration aAt,
             const std::set<PartId>& aParts)
  {
    mParts.OnCrash(
      { .mEndpoint = aEndpoint,
        .mAtMs =
          std::chrono::duration_cast<std::chrono::milliseconds>(aAt).count(),
        .mParts = aParts },
      kStart + aAt);
  }

  [[nodiscard]] bool AreQuarantined(const std::vector<PartId>& aParts,
                                    Duration aAt)
  {
    return mParts.IsQuarantined(aParts, kStart + aAt + kSettled);
  }

  [[nodiscard]] bool IsQuarantined(PartId aPart, Duration aAt)
  {
    return AreQuarantined({ kFirstPart, aPart }, aAt);
  }

  void Serve(const std::vector<PartId>& aParts, Duration aAt)
  {
    mParts.OnServed(aParts, kStart + aAt);
  }

  PartQuarantine mParts;
};

} // namespace

TEST_CASE("a part of prompts that crashes upstreams")
{
  Crashes world;
  world.Serve({ kFirstPart }, 0s);
  world.Crash("a", 1s, { kFirstPart, kDeadly });
  CHECK_FALSE(world.IsQuarantined(kDeadly, 1s));

  SUBCASE("is not quarantined for crashes of one upstream")
  {
    for (int count = 1; count < 10; ++count) {
      world.Crash("a", 1s + count * 4s, { kDeadly });
    }
    CHECK_FALSE(world.IsQuarantined(kDeadly, 40s));
  }

  SUBCASE("is quarantined after a second upstream, at once for all requests")
  {
    world.Crash("b", 2s, { kFirstPart, kDeadly });
    CHECK(world.IsQuarantined(kDeadly, 2s));
    CHECK(world.mParts.TakeQuarantined() == std::vector<PartId>{ kDeadly });
    // the others of its prompt, its account and its route go on
    CHECK_FALSE(world.IsQuarantined(kFirstPart, 2s));
    CHECK_FALSE(world.IsQuarantined(0xb1, 2s));
  }

  SUBCASE("counts only once the other suspects of a crash are known")
  {
    world.Crash("b", 2s, { kDeadly });
    CHECK_FALSE(world.mParts.IsQuarantined({ kDeadly }, kStart + 2s));
  }

  SUBCASE("is not quarantined for two upstreams that crash at the same moment")
  {
    world.Crash("b", 1s + 10ms, { kDeadly });
    CHECK_FALSE(world.IsQuarantined(kDeadly, 1s + 10ms));
    world.Crash("c", 3s, { kDeadly });
    CHECK(world.IsQuarantined(kDeadly, 3s));
  }

  SUBCASE("is found by the crashes that peers report, also repeatedly")
  {
    world.Crash("a", 1s + 900ms, { 0xb1 });
    world.Crash("a", 1s + 950ms, { 0xb2 });
    world.Crash("a", 1s + 990ms, { 0xb3 });
    CHECK(world.mParts.CrashCount() == 1);
    world.Crash("b", 4s, { kDeadly });
    CHECK(world.IsQuarantined(kDeadly, 4s));
  }

  SUBCASE("is cleared by the first event of an answer on it")
  {
    world.Serve({ kDeadly }, 2s);
    world.Crash("b", 3s, { kDeadly });
    world.Crash("c", 4s, { kDeadly });
    world.Crash("d", 5s, { kDeadly });
    CHECK_FALSE(world.IsQuarantined(kDeadly, 5s));
  }

  SUBCASE("is cleared by an answer that another instance relayed")
  {
    world.Crash("b", 2s, { kDeadly });
    CHECK(world.IsQuarantined(kDeadly, 2s));
    world.mParts.OnPeerServed({ kDeadly }, kStart + 3s);
    CHECK_FALSE(world.IsQuarantined(kDeadly, 3s));
  }
}

TEST_CASE("parts of sound requests beside a deadly one")
{
  Crashes world;
  world.Serve({ kFirstPart }, 0s);

  SUBCASE("are refused only together with it while they cannot be told apart")
  {
    world.Crash("a", 1s, { kDeadly, 0xb1 });
    world.Crash("b", 2s, { kDeadly, 0xb1 });
    CHECK(world.AreQuarantined({ kFirstPart, kDeadly, 0xb1 }, 2s));
    CHECK_FALSE(world.IsQuarantined(0xb1, 2s));
    CHECK_FALSE(world.IsQuarantined(kDeadly, 2s));

    SUBCASE("and one request at a time probes them")
    {
      world.mParts.OnSent({ kFirstPart, 0xb1 }, kStart + 3s);
      CHECK(world.IsQuarantined(0xb1, 3s));
      CHECK_FALSE(world.IsQuarantined(0xb1, 14s));
    }

    SUBCASE("until one of them is served")
    {
      world.Serve({ 0xb1 }, 3s);
      CHECK(world.IsQuarantined(kDeadly, 3s));
      CHECK_FALSE(world.IsQuarantined(0xb1, 3s));
    }

    SUBCASE("until another crash tells them apart")
    {
      world.Crash("c", 3s, { kDeadly });
      CHECK(world.IsQuarantined(kDeadly, 3s));
      CHECK_FALSE(world.IsQuarantined(0xb1, 3s));
    }

    SUBCASE("until a fourth crash does beside other suspects")
    {
      world.Crash("c", 3s, { kDeadly, 0xb2 });
      CHECK(world.AreQuarantined({ kDeadly, 0xb2 }, 3s));
      world.Crash("d", 4s, { kDeadly, 0xb3 });
      CHECK(world.IsQuarantined(kDeadly, 4s));
      CHECK_FALSE(world.IsQuarantined(0xb1, 4s));
      CHECK_FALSE(world.IsQuarantined(0xb2, 4s));
      CHECK_FALSE(world.IsQuarantined(0xb3, 4s));
    }
  }

  SUBCASE("that were in one of its crashes and in another one do not confuse")
  {
    world.Crash("a", 1s, { 0xb1 });
    world.Crash("b", 2s, { 0xb1, kDeadly });
    world.Crash("c", 3s, { kDeadly });
    CHECK_FALSE(world.IsQuarantined(0xb1, 3s));
    world.Crash("d", 4s, { kDeadly });
    CHECK(world.IsQuarantined(kDeadly, 4s));
    CHECK_FALSE(world.IsQuarantined(0xb1, 4s));
  }

  SUBCASE("share the blame of a crash")
  {
    world.Crash("a", 1s, { kDeadly, 1, 2, 3, 4, 5, 6, 7 });
    world.Crash("b", 2s, { kDeadly, 11, 12, 13, 14, 15, 16, 17 });
    CHECK_FALSE(world.IsQuarantined(kDeadly, 2s));
    world.Crash("c", 3s, { kDeadly, 21, 22, 23, 24, 25, 26, 27 });
    CHECK(world.IsQuarantined(kDeadly, 3s));
    CHECK_FALSE(world.IsQuarantined(1, 3s));
  }

  SUBCASE("are not blamed for crashes that a quarantined part explains")
  {
    world.Crash("a", 1s, { kDeadly });
    world.Crash("b", 2s, { kDeadly });
    CHECK(world.IsQuarantined(kDeadly, 2s));
    for (int count = 0; count < 8; ++count) {
      world.Crash(
        "c" + std::to_string(count), 3s + count * 1s, { kDeadly, 0xb1 });
    }
    CHECK_FALSE(world.IsQuarantined(0xb1, 11s));
  }

  SUBCASE("do not hide a second deadly part")
  {
    constexpr PartId kOther = 0xfade;
    world.Crash("a", 1s, { kDeadly });
    world.Crash("b", 2s, { kOther });
    world.Crash("c", 3s, { kDeadly });
    world.Crash("d", 4s, { kOther });
    CHECK(world.IsQuarantined(kDeadly, 4s));
    CHECK(world.IsQuarantined(kOther, 4s));
  }

  SUBCASE("may be probed without the two deadly parts that came with them")
  {
    constexpr PartId kOther = 0xfade;
    constexpr PartId kNewPart = 0xa2;
    world.Crash("a", 1s, { kNewPart, kDeadly });
    world.Crash("b", 2s, { kNewPart, kDeadly });
    CHECK(world.AreQuarantined({ kNewPart, kDeadly }, 2s));
    world.Crash("c", 3s, { kNewPart, kOther });
    CHECK(world.AreQuarantined({ kNewPart, kOther }, 3s));
    CHECK(world.AreQuarantined({ kNewPart, kDeadly }, 3s));
    CHECK_FALSE(world.IsQuarantined(kNewPart, 3s));

    SUBCASE("and an answer leaves only these")
    {
      world.Serve({ kNewPart }, 4s);
      CHECK(world.IsQuarantined(kDeadly, 4s));
      CHECK(world.IsQuarantined(kOther, 4s));
      CHECK_FALSE(world.IsQuarantined(kNewPart, 4s));
    }

    SUBCASE("and a fourth crash leaves only the probed one")
    {
      world.Crash("d", 4s, { kNewPart, 0xb1 });
      CHECK(world.IsQuarantined(kNewPart, 4s));
      CHECK_FALSE(world.IsQuarantined(kDeadly, 4s));
    }
  }

  SUBCASE("are reported to peers once they are served")
  {
    world.Crash("a", 1s, { kDeadly, 0xb1 });
    world.Serve({ 0xb1 }, 2s);
    CHECK(world.mParts.TakeCleared(kStart + 2s) == std::vector<PartId>{ 0xb1 });
    CHECK(world.mParts.TakeCleared(kStart + 3s).empty());
  }

  SUBCASE("are reported to a peer that suspects a part served here")
  {
    world.Serve({ 0xb1 }, 0s);
    world.Crash("a", 1s, { kDeadly, 0xb1 });
    CHECK(world.mParts.TakeCleared(kStart + 2s) == std::vector<PartId>{ 0xb1 });

    SUBCASE("unless another instance was faster")
    {
      world.Crash("b", 3s, { kDeadly, 0xb1 });
      world.mParts.OnPeerServed({ 0xb1 }, kStart + 3s);
      CHECK(world.mParts.TakeCleared(kStart + 4s).empty());
    }
  }
}

// regression: all sound requests were refused for the common part
TEST_CASE("an unknown part in all crashes of two deadly parts")
{
  Crashes world;
  world.Crash("a", 1s, { kFirstPart, kDeadly });
  world.Crash("b", 2s, { kFirstPart, 0xfade });
  CHECK(world.AreQuarantined({ kFirstPart, kDeadly }, 2s));
  CHECK(world.AreQuarantined({ kFirstPart, 0xfade }, 2s));
  CHECK(world.IsQuarantined(0xb1, 2s));

  SUBCASE("may be probed without these two seconds later")
  {
    CHECK(world.AreQuarantined({ kFirstPart, kDeadly }, 5s));
    CHECK_FALSE(world.IsQuarantined(0xb1, 5s));
    world.mParts.OnSent({ kFirstPart, 0xb1 }, kStart + 5s + kSettled);
    CHECK(world.IsQuarantined(0xb2, 5s));

    SUBCASE("and an answer leaves only the deadly ones")
    {
      world.Serve({ kFirstPart, 0xb1 }, 6s);
      CHECK_FALSE(world.IsQuarantined(0xb2, 6s));
      world.Crash("c", 7s, { kDeadly });
      world.Crash("d", 8s, { 0xfade });
      CHECK(world.AreQuarantined({ kFirstPart, kDeadly }, 8s));
      CHECK(world.AreQuarantined({ kFirstPart, 0xfade }, 8s));
    }

    SUBCASE("and a crash ends these probes")
    {
      world.Crash("c", 6s, { kFirstPart, 0xb1 });
      CHECK(world.IsQuarantined(0xb2, 6s + kProbeTimeout));
    }
  }
}

// load: a crash beside many sound requests in a fleet of 80 instances, each of
// which wrote records of its own on the same parts
TEST_CASE("many instances that served the suspects of a crash")
{
  constexpr std::uint64_t kInstances = 80;
  constexpr auto kTick = 100ms;
  constexpr auto kPropagation = 400ms;
  constexpr auto kEnd = 6s;
  std::vector<PartQuarantine> instances;
  for (std::uint64_t seed = 1; seed <= kInstances; ++seed) {
    instances.emplace_back(PartQuarantine::Options{ .mSeed = seed });
    instances.back().SetInstanceCount(static_cast<int>(kInstances));
  }
  std::set<PartId> parts;
  for (PartId part = 1; part <= 30; ++part) {
    parts.insert(part);
  }
  const CrashSuspects crash{ .mEndpoint = "a", .mAtMs = 1, .mParts = parts };

  // runs the fleet; returns the number of records
  const auto run = [&](auto aBegin) {
    std::size_t records = 0;
    std::multimap<TimePoint, std::vector<PartId>> onTheWay;
    for (auto now = kStart; now < kStart + kEnd; now += kTick) {
      const auto arrived = onTheWay.upper_bound(now);
      for (auto record = onTheWay.begin(); record != arrived; ++record) {
        for (auto& instance : instances) {
          instance.OnPeerServed(record->second, now);
        }
      }
      onTheWay.erase(onTheWay.begin(), arrived);
      if (now == kStart) {
        aBegin();
      }
      for (auto& instance : instances) {
        auto cleared = instance.TakeCleared(now);
        if (!cleared.empty()) {
          ++records;
          onTheWay.emplace(now + kPropagation, std::move(cleared));
        }
      }
    }
    return records;
  };

  SUBCASE("before it: a few of them report it")
  {
    const std::vector<PartId> served(parts.begin(), parts.end());
    const auto records = run([&] {
      for (auto& instance : instances) {
        instance.OnServed(served, kStart);
        instance.OnCrash(crash, kStart);
      }
    });
    CHECK(records >= 1);
    CHECK(records <= kInstances / 4);
  }

  SUBCASE("after it: not all of them report it")
  {
    const auto records = run([&] {
      for (auto& instance : instances) {
        instance.OnCrash(crash, kStart);
        instance.OnServed({ 1 }, kStart);
      }
    });
    CHECK(records >= 1);
    CHECK(records <= kInstances * 3 / 4);
  }
}

TEST_CASE("a quarantined part has a way back")
{
  constexpr auto kTerm = 60s;
  Crashes world({ .mFirstTerm = kTerm, .mProbeSpread = 0s });
  world.Crash("a", 1s, { kDeadly });
  world.Crash("b", 2s, { kDeadly });
  REQUIRE(world.IsQuarantined(kDeadly, 2s));
  const auto over = 3s + kTerm;
  world.mParts.OnTick(kStart + over);
  CHECK(world.IsQuarantined(kDeadly, kTerm));
  CHECK_FALSE(world.IsQuarantined(kDeadly, over));

  SUBCASE("by one request at a time")
  {
    world.mParts.OnSent({ kDeadly }, kStart + over);
    CHECK(world.IsQuarantined(kDeadly, over));
    CHECK_FALSE(world.IsQuarantined(kDeadly, over + 10s));
  }

  SUBCASE("that an answer to the probe ends")
  {
    world.mParts.OnSent({ kDeadly }, kStart + over);
    world.Serve({ kDeadly }, over + 1s);
    CHECK_FALSE(world.IsQuarantined(kDeadly, over + 1s));
    CHECK(world.mParts.QuarantinedCount() == 0);
  }

  SUBCASE("that one more crash closes for a longer term")
  {
    world.mParts.OnSent({ kDeadly }, kStart + over);
    world.Crash("a", over + 1s, { kDeadly });
    CHECK(world.IsQuarantined(kDeadly, over + 1s));
    CHECK(world.IsQuarantined(kDeadly, over + 1s + 2 * kTerm - 1s));
    CHECK_FALSE(world.IsQuarantined(kDeadly, over + 2s + 2 * kTerm));
  }
}

TEST_CASE("the memory of the quarantine of parts is bounded")
{
  Crashes world({ .mMaxCrashes = 10,
                  .mMaxSuspects = 5,
                  .mMaxQuarantined = 3,
                  .mMaxServedParts = 100 });
  for (PartId part = 1; part <= 1000; ++part) {
    world.Serve({ part }, 0s);
  }
  CHECK(world.mParts.ServedCount() <= 100);
  for (PartId part = 2000; part < 2100; ++part) {
    const auto at = std::chrono::seconds(part - 2000);
    world.Crash("a", 4 * at, { part, part + 1'000, part + 2'000 });
    world.Crash("b", 4 * at + 3s, { part });
    CHECK(world.mParts.CrashCount() <= 10);
    static_cast<void>(world.IsQuarantined(part, 4 * at + 3s));
    CHECK(world.mParts.QuarantinedCount() <= 3);
  }
  world.mParts.OnTick(kStart + 1h);
  CHECK(world.mParts.CrashCount() == 0);
  CHECK(world.mParts.QuarantinedCount() == 0);
}

TEST_CASE("records about parts of prompts")
{
  const CrashSuspects crash{ .mEndpoint = "10.0.0.1:80",
                             .mAtMs = 1'700'000'000'000,
                             .mParts = { kDeadly, 0xffffffffffffffff } };
  const auto name = quarantine::PartRecordName("edge-1", 7);
  CHECK(quarantine::IsPartRecord(name));
  CHECK_FALSE(quarantine::IsPartRecord("instance.edge-1"));
  CHECK_FALSE(quarantine::IsPartRecord("crash.abc.i-1"));
  CHECK(quarantine::ReadCrashRecord(quarantine::FormatCrashRecord(crash)) ==
        crash);
  const std::vector<PartId> served = { 1, kDeadly };
  CHECK(quarantine::ReadServedRecord(quarantine::FormatServedRecord(served)) ==
        served);

  SUBCASE("are ignored where they cannot be read")
  {
    using nlohmann::json;
    for (const auto& record :
         { json(),
           json(7),
           json::array(),
           json{ { "upstream", "a" } },
           json{ { "upstream", "a" }, { "suspects", "dead" } },
           json{ { "upstream", "a" }, { "suspects", { 7, "x", "", "1g" } } },
           json{ { "suspects", { "dead" } } } }) {
      CHECK_FALSE(quarantine::ReadCrashRecord(record));
      CHECK(quarantine::ReadServedRecord(record).empty());
    }
  }
}
