#include <figslip/quarantine/crash_records.hpp>
#include <figslip/quarantine/quarantine.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace figslip;
using namespace std::chrono_literals;
using quarantine::CrashRecords;
using quarantine::Quarantine;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr std::uint64_t kPoison = 1;

} // namespace

TEST_CASE("a request that crashed an upstream")
{
  Quarantine quarantine({});
  quarantine.OnConnectionBroken(kPoison, "a", 1, kStart);
  CHECK_FALSE(quarantine.IsQuarantined(kPoison, kStart));

  SUBCASE("is not quarantined however often that one breaks")
  {
    for (int count = 1; count < 20; ++count) {
      quarantine.OnConnectionBroken(kPoison, "a", 1, kStart + count * 10s);
    }
    CHECK_FALSE(quarantine.IsQuarantined(kPoison, kStart + 200s));
  }

  SUBCASE("is quarantined after a second one")
  {
    quarantine.OnConnectionBroken(kPoison, "b", 1, kStart + 1s);
    CHECK(quarantine.IsQuarantined(kPoison, kStart + 1s));
    CHECK_FALSE(quarantine.IsQuarantined(kPoison, kStart + 20min));
  }

  SUBCASE("is cleared once an upstream has served it")
  {
    quarantine.OnServed(kPoison);
    quarantine.OnConnectionBroken(kPoison, "b", 1, kStart + 1s);
    CHECK_FALSE(quarantine.IsQuarantined(kPoison, kStart + 1s));
  }

  SUBCASE("is quarantined by the report of a peer as well, told twice or not")
  {
    quarantine.OnCrash({ kPoison, "b", kStart + 1s, 4 });
    quarantine.OnCrash({ kPoison, "b", kStart + 2s, 4 });
    CHECK(quarantine.IsQuarantined(kPoison, kStart + 2s));
  }
}

TEST_CASE("requests that were among many at the crash")
{
  Quarantine quarantine({});
  const auto crash = [&](const std::string& aUpstream, TimePoint aAt) {
    // they break one after the other, so fewer and fewer are in flight
    for (int left = 8; left >= 1; --left) {
      quarantine.OnConnectionBroken(
        static_cast<std::uint64_t>(left), aUpstream, left, aAt);
    }
  };
  crash("a", kStart);
  crash("b", kStart + 5s);

  SUBCASE("are not quarantined after two crashes, the last one included")
  {
    for (std::uint64_t request = 1; request <= 8; ++request) {
      CHECK_FALSE(quarantine.IsQuarantined(request, kStart + 5s));
    }
  }

  SUBCASE("are told from the one that crashes a third upstream alone")
  {
    quarantine.OnConnectionBroken(kPoison, "c", 1, kStart + 10s);
    CHECK(quarantine.IsQuarantined(kPoison, kStart + 10s));
    CHECK_FALSE(quarantine.IsQuarantined(2, kStart + 10s));
  }
}

TEST_CASE("the memory of crashes is bounded and keeps the latest")
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

TEST_CASE("records of crashes in the store")
{
  CrashRecords records({ .mRetention = 60s });
  const quarantine::CrashReport report{ .mFingerprint = 0xabc,
                                        .mUpstream = "i-1.x",
                                        .mInFlight = 3 };
  const auto name = CrashRecords::NameOf(report);
  CHECK(name == "crash.abc.i-1.x");
  CHECK(CrashRecords::IsRecord(name));

  SUBCASE("are read as the reports that they were, once")
  {
    const auto reports = records.OnRecords({ { name, 3 } }, kStart);
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].mFingerprint == 0xabc);
    CHECK(reports[0].mUpstream == "i-1.x");
    CHECK(reports[0].mInFlight == 3);
    CHECK(reports[0].mSeenAt == kStart);
    CHECK(records.OnRecords({ { name, 3 } }, kStart + 1s).empty());
  }

  SUBCASE("of this instance are removed by it after their time, once")
  {
    CHECK(records.OnOwnRecord(name, kStart));
    CHECK_FALSE(records.OnOwnRecord(name, kStart + 1s));
    CHECK(records.OnRecords({ { name, 3 } }, kStart + 1s).empty());
    CHECK(records.TakeExpired(kStart + 59s).empty());
    CHECK(records.TakeExpired(kStart + 60s).size() == 1);
    CHECK(records.TakeExpired(kStart + 61s).empty());
    // it is still there until its removal is done, and no new report
    CHECK(records.OnRecords({ { name, 3 } }, kStart + 62s).empty());
    CHECK(records.OnRecords({}, kStart + 63s).empty());
    CHECK(records.Size() == 0);
  }

  SUBCASE("of a lost instance are removed by others, later")
  {
    CHECK(records.OnRecords({ { name, 3 } }, kStart).size() == 1);
    CHECK(records.TakeExpired(kStart + 119s).empty());
    CHECK(records.TakeExpired(kStart + 120s).size() == 1);
    CHECK(records.OnRecords({}, kStart + 121s).empty());
    CHECK(records.Size() == 0);
  }

  SUBCASE("are told from other names")
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
