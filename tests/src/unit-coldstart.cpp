#include <figslip/coldstart/cold_start_gate.hpp>
#include <figslip/coldstart/grant_allocator.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace figslip;
using namespace std::chrono_literals;
using coldstart::ColdStartGate;
using coldstart::WarmupState;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr auto kName = "engine";

TimePoint
WarmUp(ColdStartGate& aGate, const std::string& aBootId, TimePoint aFrom)
{
  for (int count = 0; count <= 5; ++count) {
    aGate.OnSuccess(kName, aBootId, aFrom + count * 1s);
  }
  return aFrom + 5s;
}

} // namespace

TEST_CASE("cold start of an upstream")
{
  ColdStartGate gate({});
  const manifest::Upstream upstream{ .mName = kName,
                                     .mConcurrency = 8,
                                     .mColdConcurrency = 2 };

  SUBCASE("unknown upstream gets no requests without a grant")
  {
    CHECK(gate.Limit(upstream, kStart) == 0);
    gate.OnGrant({ kName, 5, kStart + 1s });
    CHECK(gate.Limit(upstream, kStart) == 2);
    CHECK(gate.Limit(upstream, kStart + 1s) == 0);
  }

  SUBCASE("stays cold after many successes at one time")
  {
    for (int count = 0; count < 20; ++count) {
      gate.OnSuccess(kName, "", kStart);
    }
    CHECK(gate.WarmupStateOf(kName) == WarmupState::Cold);
  }

  SUBCASE("is warm after successes over time")
  {
    const auto now = WarmUp(gate, "b1", kStart);
    REQUIRE(gate.WarmupStateOf(kName) == WarmupState::Warm);
    CHECK(gate.Limit(upstream, now) == 8);

    SUBCASE("until a load report shows another boot id")
    {
      gate.OnBootId(kName, "b1", now);
      CHECK(gate.WarmupStateOf(kName) == WarmupState::Warm);
      gate.OnBootId(kName, "b2", now);
      CHECK(gate.WarmupStateOf(kName) == WarmupState::Cold);
    }

    SUBCASE("until a failure signal")
    {
      gate.OnFailureSignal(kName, now);
      CHECK(gate.WarmupStateOf(kName) == WarmupState::Cold);

      SUBCASE("and reports of peers that have not seen the signal are ignored")
      {
        gate.OnPeerWarm(kName, "b1", std::nullopt);
        CHECK(gate.WarmupStateOf(kName) == WarmupState::Cold);
        gate.OnPeerWarm(kName, "b1", now);
        CHECK(gate.WarmupStateOf(kName) == WarmupState::Warm);
      }
    }

    SUBCASE("until a peer reports a failure signal, once for the same one")
    {
      gate.OnPeerFailureSignal(kName, now, now);
      CHECK(gate.WarmupStateOf(kName) == WarmupState::Cold);
      gate.OnPeerWarm(kName, "b1", now);
      gate.OnPeerFailureSignal(kName, now + 1s, now + 1s);
      CHECK(gate.WarmupStateOf(kName) == WarmupState::Warm);
    }
  }

  SUBCASE("ignores a peer that reports another boot id as warm")
  {
    gate.OnBootId(kName, "b2", kStart);
    gate.OnPeerWarm(kName, "b1", std::nullopt);
    CHECK(gate.WarmupStateOf(kName) == WarmupState::Cold);
  }
}

TEST_CASE("owner of cold capacity")
{
  const membership::Incarnation self{ "home", 1 };
  const membership::Incarnation other{ "other", 1 };
  coldstart::GrantAllocator allocator({ .mSelf = self });
  const coldstart::GrantAllocator::Ownership ownership{ .mIsOwner = true,
                                                        .mMaxColdRequests = 2 };
  std::int64_t sequence = 0;
  const auto ask = [&](const membership::Incarnation& aSender,
                       coldstart::ColdUse aUse,
                       TimePoint aNow) {
    aUse.mUpstream = kName;
    return allocator.OnUse(aSender, ++sequence, aUse, ownership, aNow);
  };
  // both instances send a use report twice a second
  int maxGranted = 0;
  std::int64_t token = 0;
  const auto askFor = [&](TimePoint aFrom, TimePoint aTo, int aInFlight) {
    auto now = aFrom;
    for (; now <= aTo; now += 500ms) {
      token =
        ask(other, { .mInFlight = aInFlight, .mToken = token }, now).mToken;
      maxGranted =
        std::max(maxGranted, ask(self, { .mWanted = 2 }, now).mSlots);
    }
    return now - 500ms;
  };
  allocator.OnInstances({ "home" });

  SUBCASE("grants nothing until the grants of an earlier owner expire")
  {
    CHECK(ask(self, { .mWanted = 2 }, kStart).mSlots == 0);
    CHECK(ask(self, { .mWanted = 2 }, kStart + 2s).mSlots == 0);

    SUBCASE("and until its requests have ended")
    {
      CHECK(ask(self, { .mWanted = 2 }, kStart + 3s).mSlots == 0);
      CHECK(ask(self, { .mWanted = 2 }, kStart + 33s).mSlots == 2);
    }

    SUBCASE("or until the upstream reports fewer requests")
    {
      allocator.OnLoadReport(kName, 0, kStart + 1s, kStart + 3s);
      CHECK(ask(self, { .mWanted = 2 }, kStart + 3s).mSlots == 0);
      allocator.OnLoadReport(kName, 1, kStart + 3s, kStart + 3s);
      CHECK(ask(self, { .mWanted = 2 }, kStart + 3s).mSlots == 1);
    }
  }

  SUBCASE("grants nothing while an instance sends no reports")
  {
    (void)ask(self, { .mWanted = 2 }, kStart);
    allocator.OnLoadReport(kName, 0, kStart + 3s, kStart + 3s);
    allocator.OnInstances({ "home", "other" });
    CHECK(ask(self, { .mWanted = 2 }, kStart + 3s).mSlots == 0);

    SUBCASE("and a report without a recent token does not count")
    {
      (void)ask(other, {}, kStart + 3s);
      CHECK(ask(self, { .mWanted = 2 }, kStart + 3s).mSlots == 0);
    }

    SUBCASE("and while another owner's grants to it may be valid")
    {
      const auto last = askFor(kStart + 3s, kStart + 7s, 0);
      CHECK(maxGranted == 0);
      allocator.OnLoadReport(kName, 0, last, last);
      CHECK(ask(self, { .mWanted = 2 }, last).mSlots == 2);
      CHECK(ask(self, { .mWanted = 2 }, last + 2s).mSlots == 0);

      SUBCASE("and a report delayed in the network does not count")
      {
        (void)ask(other, { .mToken = token }, last + 1s);
        CHECK(ask(self, { .mWanted = 2 }, last + 1s).mSlots == 2);
        (void)ask(other, { .mToken = token }, last + 2s);
        CHECK(ask(self, { .mWanted = 2 }, last + 2s).mSlots == 0);
      }
    }

    SUBCASE("and requests under an old grant count until they end")
    {
      auto last = askFor(kStart + 3s, kStart + 7s, 2);
      allocator.OnLoadReport(kName, 0, last, last);
      CHECK(ask(self, { .mWanted = 2 }, last).mSlots == 0);
      last = askFor(last, last + 1s, 1);
      CHECK(ask(self, { .mWanted = 2 }, last).mSlots == 1);
    }
  }
}
