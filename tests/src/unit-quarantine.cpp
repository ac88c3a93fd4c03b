#include <figslip/quarantine/crash_records.hpp>
#include <figslip/quarantine/quarantine.hpp>
#include <figslip/quarantine/suspect_reports.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using quarantine::CrashRecords;
using quarantine::Quarantine;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr std::uint64_t kPoisonRequest = 1;

} // namespace

TEST_CASE("request that crashed an upstream")
{
  Quarantine quarantine({});
  quarantine.OnConnectionBroken(kPoisonRequest, "a", 1, kStart);
  CHECK_FALSE(quarantine.IsQuarantined(kPoisonRequest, kStart));

  SUBCASE("is not quarantined for any number of crashes of that upstream")
  {
    for (int count = 1; count < 20; ++count) {
      quarantine.OnConnectionBroken(
        kPoisonRequest, "a", 1, kStart + count * 10s);
    }
    CHECK_FALSE(quarantine.IsQuarantined(kPoisonRequest, kStart + 200s));
  }

  SUBCASE("is quarantined after a crash of a second upstream")
  {
    quarantine.OnConnectionBroken(kPoisonRequest, "b", 1, kStart + 1s);
    CHECK(quarantine.IsQuarantined(kPoisonRequest, kStart + 1s));
    CHECK_FALSE(quarantine.IsQuarantined(kPoisonRequest, kStart + 20min));
  }

  SUBCASE("is cleared once an upstream has completed it")
  {
    quarantine.OnServed(kPoisonRequest, kStart);
    quarantine.OnConnectionBroken(kPoisonRequest, "b", 1, kStart + 1s);
    CHECK_FALSE(quarantine.IsQuarantined(kPoisonRequest, kStart + 1s));

    SUBCASE("which others are told, once")
    {
      CHECK(quarantine.TakeExonerated() ==
            std::set<std::uint64_t>{ kPoisonRequest });
      CHECK(quarantine.TakeExonerated().empty());
    }

    SUBCASE("and not by connections cut at all upstreams soon after")
    {
      for (const auto* upstream : { "a", "b", "c" }) {
        CHECK_FALSE(quarantine.OnConnectionBroken(
          kPoisonRequest, upstream, 1, kStart + 5s));
      }
      CHECK_FALSE(quarantine.IsQuarantined(kPoisonRequest, kStart + 5s));
    }

    SUBCASE("but may be quarantined again long after")
    {
      quarantine.OnConnectionBroken(kPoisonRequest, "a", 1, kStart + 11min);
      quarantine.OnConnectionBroken(kPoisonRequest, "b", 1, kStart + 11min);
      CHECK(quarantine.IsQuarantined(kPoisonRequest, kStart + 11min));
    }
  }

  SUBCASE("is free again once a peer has withdrawn its report")
  {
    quarantine.OnCrash({ kPoisonRequest, "b", kStart + 1s, 1 });
    REQUIRE(quarantine.IsQuarantined(kPoisonRequest, kStart + 1s));
    quarantine.OnWithdrawn(kPoisonRequest, "b");
    CHECK_FALSE(quarantine.IsQuarantined(kPoisonRequest, kStart + 1s));
  }

  SUBCASE("is quarantined after a report of a peer, even if repeated")
  {
    quarantine.OnCrash({ kPoisonRequest, "b", kStart + 1s, 4 });
    quarantine.OnCrash({ kPoisonRequest, "b", kStart + 2s, 4 });
    CHECK(quarantine.IsQuarantined(kPoisonRequest, kStart + 2s));
  }
}

TEST_CASE("requests that were in flight with many others at a crash")
{
  Quarantine quarantine({});
  const auto crash = [&](const std::string& aUpstream, TimePoint aAt) {
    // connections break one after the other, so the number in flight falls
    for (int left = 8; left >= 1; --left) {
      quarantine.OnConnectionBroken(
        static_cast<std::uint64_t>(left), aUpstream, left, aAt);
    }
  };
  crash("a", kStart);
  crash("b", kStart + 5s);

  SUBCASE("are not quarantined after two crashes, nor is the last of them")
  {
    for (std::uint64_t request = 1; request <= 8; ++request) {
      CHECK_FALSE(quarantine.IsQuarantined(request, kStart + 5s));
    }
  }

  SUBCASE("are distinguished from one that crashes a third upstream alone")
  {
    quarantine.OnConnectionBroken(kPoisonRequest, "c", 1, kStart + 10s);
    CHECK(quarantine.IsQuarantined(kPoisonRequest, kStart + 10s));
    CHECK_FALSE(quarantine.IsQuarantined(2, kStart + 10s));
  }
}

TEST_CASE("the number of tracked fingerprints is bounded and keeps the latest")
{
  Quarantine quarantine({ .mMaxFingerprints = 10 });
  for (std::uint64_t request = 1; request <= 100; ++request) {
    quarantine.OnCrash(
      { request, "a", kStart + std::chrono::seconds(request), 1 });
  }
  const auto reports = quarantine.Reports(kStart + 100s);
  REQUIRE(reports.size() == 10);
  CHECK(reports.front().mFingerprint == 91);
  quarantine.Expire(kStart + 20min);
  CHECK(quarantine.Reports(kStart + 20min).empty());
}

// load: many instances lose requests at the same upstream; a record of each
TEST_CASE("crash reports of many instances")
{
  constexpr int kInstances = 80;
  constexpr auto kTick = 250ms;
  constexpr auto kPropagation = 400ms;
  std::vector<CrashRecords> instances;
  for (std::uint64_t seed = 1; seed <= kInstances; ++seed) {
    instances.emplace_back(CrashRecords::Options{ .mSeed = seed });
    instances.back().SetInstanceCount(kInstances);
  }
  const quarantine::CrashReport first{ .mFingerprint = 1, .mUpstream = "a" };
  const quarantine::CrashReport second{ .mFingerprint = 1, .mUpstream = "b" };

  SUBCASE("of the same request merge within a second")
  {
    std::size_t written = 0;
    std::optional<TimePoint> writtenAt;
    for (auto& instance : instances) {
      CHECK(instance.OnOwnReport(first, kStart));
    }
    for (auto now = kStart; now <= kStart + 1s; now += kTick) {
      for (auto& instance : instances) {
        if (writtenAt && now >= *writtenAt + kPropagation) {
          instance.OnRecords({ { CrashRecords::NameOf(first), 1 } }, now);
        }
        const auto due = instance.TakeDue(now).size();
        written += due;
        writtenAt = due > 0 && !writtenAt ? now : writtenAt;
      }
    }
    CHECK(written >= 1);
    CHECK(written <= kInstances / 2);
  }

  SUBCASE("of the second crash of a request are not delayed")
  {
    auto& seesBoth = instances[0];
    CHECK(seesBoth.OnOwnReport(first, kStart));
    CHECK(seesBoth.OnOwnReport(second, kStart));
    CHECK(seesBoth.TakeDue(kStart).size() == 2);

    auto& hearsOfFirst = instances[1];
    hearsOfFirst.OnRecords({ { CrashRecords::NameOf(first), 1 } }, kStart);
    CHECK(hearsOfFirst.OnOwnReport(second, kStart));
    CHECK(hearsOfFirst.TakeDue(kStart).size() == 1);

    auto& hearsOfSecond = instances[2];
    CHECK(hearsOfSecond.OnOwnReport(first, kStart));
    hearsOfSecond.OnRecords({ { CrashRecords::NameOf(second), 1 } }, kStart);
    CHECK(hearsOfSecond.TakeDue(kStart).size() == 1);
  }

  SUBCASE("of a request that was served meanwhile are dropped")
  {
    CHECK(instances[0].OnOwnReport(first, kStart));
    CHECK(instances[0].TakeRecordsOf({ 1 }).empty());
    CHECK(instances[0].TakeDue(kStart + 1s).empty());
  }

  SUBCASE("are not delayed in a small fleet")
  {
    instances[0].SetInstanceCount(10);
    CHECK(instances[0].OnOwnReport(first, kStart));
    CHECK(instances[0].TakeDue(kStart).size() == 1);
  }
}

// load: as above; the suspected parts of the requests
TEST_CASE("suspects of a crash that many instances report")
{
  using quarantine::CrashSuspects;
  quarantine::SuspectReports reports({ .mSeed = 1 });
  reports.SetInstanceCount(80);
  const CrashSuspects crash{ .mEndpoint = "a", .mAtMs = 1, .mParts = { 1, 2 } };
  CHECK(reports.OnOwn(crash, kStart));

  SUBCASE("are published within a second, once")
  {
    const auto due = reports.TakeDue(4, kStart + 750ms);
    REQUIRE(due.size() == 1);
    CHECK(due[0] == crash);
    CHECK(reports.OnOwn(crash, kStart + 800ms));
    CHECK(reports.PendingCount() == 0);
  }

  SUBCASE("leave out those that another instance has published")
  {
    reports.OnPublished({ .mEndpoint = "a", .mAtMs = 300, .mParts = { 2, 3 } },
                        kStart);
    const auto due = reports.TakeDue(4, kStart + 750ms);
    REQUIRE(due.size() == 1);
    CHECK(due[0].mParts == std::set<quarantine::PartId>{ 1 });
  }

  SUBCASE("are not published if another instance has published them all")
  {
    reports.OnPublished(crash, kStart);
    CHECK(reports.PendingCount() == 0);
  }

  SUBCASE("are published if the other crash of the upstream was before")
  {
    reports.OnPublished(
      { .mEndpoint = "a", .mAtMs = -3'000, .mParts = { 1, 2 } }, kStart);
    CHECK(reports.TakeDue(4, kStart + 750ms).size() == 1);
  }

  SUBCASE("are not delayed if another upstream crashed with one of them")
  {
    SUBCASE("before")
    {
      quarantine::SuspectReports late({ .mSeed = 1 });
      late.SetInstanceCount(80);
      late.OnPublished({ .mEndpoint = "b", .mAtMs = 1, .mParts = { 1 } },
                       kStart);
      CHECK(late.OnOwn(crash, kStart));
      CHECK(late.TakeDue(4, kStart).size() == 1);
    }

    SUBCASE("meanwhile")
    {
      reports.OnPublished({ .mEndpoint = "b", .mAtMs = 1, .mParts = { 1 } },
                          kStart);
      CHECK(reports.TakeDue(4, kStart).size() == 1);
    }

    SUBCASE("here")
    {
      CHECK(reports.OnOwn({ .mEndpoint = "b", .mAtMs = 1, .mParts = { 1 } },
                          kStart));
      CHECK(reports.TakeDue(4, kStart).size() == 2);
    }
  }
}

TEST_CASE("crash records in the store")
{
  CrashRecords records({ .mRetention = 60s });
  const quarantine::CrashReport report{ .mFingerprint = 0xabc,
                                        .mUpstream = "i-1.x",
                                        .mInFlight = 3 };
  const auto name = CrashRecords::NameOf(report);
  CHECK(name == "crash.abc.i-1.x");
  CHECK(CrashRecords::IsRecord(name));

  SUBCASE("are returned as reports once")
  {
    const auto reports = records.OnRecords({ { name, 3 } }, kStart);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].mFingerprint == 0xabc);
    CHECK(reports[0].mUpstream == "i-1.x");
    CHECK(reports[0].mInFlight == 3);
    CHECK(reports[0].mSeenAt == kStart);
    CHECK(records.OnRecords({ { name, 3 } }, kStart + 1s).empty());
  }

  SUBCASE("of this instance are removed once, after the retention time")
  {
    CHECK(records.OnOwnRecord(name, kStart));
    CHECK_FALSE(records.OnOwnRecord(name, kStart + 1s));
    CHECK(records.OnRecords({ { name, 3 } }, kStart + 1s).empty());
    CHECK(records.TakeExpired(true, kStart + 59s).empty());
    CHECK(records.TakeExpired(true, kStart + 60s).size() == 1);
    CHECK(records.TakeExpired(true, kStart + 61s).empty());
    // the record stays until its removal completes, without a new report
    CHECK(records.OnRecords({ { name, 3 } }, kStart + 62s).empty());
    CHECK(records.OnRecords({}, kStart + 63s).empty());
    CHECK(records.Size() == 0);
  }

  SUBCASE("of a lost instance are removed by others after twice that time")
  {
    CHECK(records.OnRecords({ { name, 3 } }, kStart).size() == 1);
    CHECK(records.TakeExpired(true, kStart + 119s).empty());
    CHECK(records.TakeExpired(true, kStart + 120s).size() == 1);
    CHECK(records.OnRecords({}, kStart + 121s).empty());
    CHECK(records.Size() == 0);
  }

  // guards against the same removals by all instances of a large fleet
  SUBCASE("of a lost instance are left to those that follow the store")
  {
    CHECK(records.OnRecords({ { name, 3 } }, kStart).size() == 1);
    CHECK(records.TakeExpired(false, kStart + 239s).empty());
    CHECK(records.TakeExpired(false, kStart + 240s).size() == 1);
  }

  SUBCASE("of an exonerated request are removed before, once")
  {
    CHECK(records.OnRecords({ { name, 3 } }, kStart).size() == 1);
    CHECK(records.TakeRecordsOf({ 0xdef }).empty());
    REQUIRE(records.TakeRecordsOf({ 0xabc }).size() == 1);
    CHECK(records.TakeRecordsOf({ 0xabc }).empty());
  }

  SUBCASE("are withdrawn where another instance removed them")
  {
    CHECK(records.OnRecords({ { name, 3 } }, kStart).size() == 1);
    CHECK(records.Withdrawn().empty());
    CHECK(records.OnRecords({}, kStart + 1s).empty());
    REQUIRE(records.Withdrawn().size() == 1);
    CHECK(records.Withdrawn()[0].mFingerprint == 0xabc);
    CHECK(records.Withdrawn()[0].mUpstream == "i-1.x");
    CHECK(records.OnRecords({}, kStart + 2s).empty());
    CHECK(records.Withdrawn().empty());
  }

  SUBCASE("of this instance are withdrawn by others")
  {
    CHECK(records.OnOwnRecord(name, kStart));

    SUBCASE("after a list that contained them")
    {
      CHECK(records.OnRecords({ { name, 3 } }, kStart + 1s).empty());
      CHECK(records.OnRecords({}, kStart + 2s).empty());
      CHECK(records.Withdrawn().size() == 1);
    }

    SUBCASE("before any list, but only once the write has had its time")
    {
      CHECK(records.OnRecords({}, kStart + 1s).empty());
      CHECK(records.Withdrawn().empty());
      CHECK(records.OnRecords({}, kStart + 5s).empty());
      CHECK(records.Withdrawn().size() == 1);
    }
  }

  SUBCASE("are distinguished from other names")
  {
    for (const auto* const other : { "",
                                     "crash.",
                                     "crash.abc",
                                     "crash.abc.",
                                     "crash.x.i-1",
                                     "instance.a" }) {
      CHECK_FALSE(CrashRecords::IsRecord(other));
    }
  }
}
