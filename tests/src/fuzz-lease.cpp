#include <figslip/lease/lease_flow.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace figslip;
using namespace figslip::lease;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1000) };
constexpr std::size_t kCandidates = 3;
constexpr int kSteps = 400;

/// Models the lease object of the platform.
struct PlatformModel
{
  std::int64_t mVersion = 0;
  std::string mValue;
};

LeaseFlow::Options
OptionsOf(std::size_t aCandidate)
{
  return { .mSelf = { "entry-" + std::to_string(aCandidate), 1 } };
}

/// Executes one step; the platform's response is lost if aLost is set.
void
Advance(LeaseFlow& aFlow, PlatformModel& aPlatform, bool aLost, TimePoint aNow)
{
  const auto step = aFlow.Next(aNow);
  if (std::holds_alternative<WaitLease>(step)) {
    return;
  }
  const auto* const write = std::get_if<WriteLease>(&step);
  const bool written =
    write != nullptr && write->mExpectedVersion == aPlatform.mVersion;
  if (written) {
    ++aPlatform.mVersion;
    aPlatform.mValue = write->mValue;
  }
  if (aLost) {
    aFlow.OnNoResponse(aNow);
  } else if (written) {
    aFlow.OnWritten(aPlatform.mVersion, aNow);
  } else {
    aFlow.OnObject(aPlatform.mVersion, aPlatform.mValue, aNow);
  }
}

/// Executes steps without faults for a time.
/// @return the time after the last step
TimePoint
RunFor(LeaseFlow& aFlow,
       PlatformModel& aPlatform,
       TimePoint aNow,
       Duration aTime)
{
  constexpr Duration kStep = std::chrono::milliseconds(100);
  for (const auto end = aNow + aTime; aNow < end; aNow += kStep) {
    Advance(aFlow, aPlatform, false, aNow);
  }
  return aNow;
}

} // namespace

TEST_CASE("instances that compete for one lease")
{
  SUBCASE("never hold it concurrently, and later holders have higher tokens")
  {
    const bool holds = rc::check([] {
      PlatformModel platform;
      std::vector<LeaseFlow> flows;
      flows.reserve(kCandidates);
      for (std::size_t candidate = 0; candidate < kCandidates; ++candidate) {
        flows.emplace_back(OptionsOf(candidate));
      }
      auto now = kStart;
      std::int64_t highestToken = 0;
      for (int step = 0; step < kSteps; ++step) {
        // an instance that is not chosen for a long time is in effect paused
        auto& flow = flows[*rc::gen::inRange<std::size_t>(0, kCandidates)];
        Advance(flow, platform, *rc::gen::inRange(0, 4) == 0, now);
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
        const auto holders =
          std::ranges::count_if(flows, [&](const auto& aFlow) {
            return aFlow.Held(now).has_value();
          });
        RC_ASSERT(holders <= 1);
        for (const auto& candidate : flows) {
          if (const auto held = candidate.Held(now)) {
            RC_ASSERT(held->mFencingToken >= highestToken);
            highestToken = held->mFencingToken;
          }
        }
      }
    });
    CHECK(holds);
  }
}

TEST_CASE("a lease")
{
  PlatformModel platform;
  LeaseFlow first(OptionsOf(0));
  LeaseFlow second(OptionsOf(1));
  auto now = RunFor(first, platform, kStart, std::chrono::seconds(3));
  REQUIRE(first.Held(now));
  const auto token = first.Held(now).value_or(HeldLease{}).mFencingToken;

  SUBCASE("that its holder renews is not taken over")
  {
    for (int round = 0; round < 20; ++round) {
      now = RunFor(first, platform, now, std::chrono::seconds(1));
      now = RunFor(second, platform, now, std::chrono::milliseconds(100));
    }
    CHECK(first.Held(now));
    CHECK_FALSE(second.Held(now));
  }

  SUBCASE("whose holder is paused")
  {
    now = RunFor(second, platform, now, std::chrono::seconds(10));

    SUBCASE("is taken over with a higher token")
    {
      REQUIRE(second.Held(now));
      CHECK(second.Held(now).value_or(HeldLease{}).mFencingToken > token);
    }

    SUBCASE("is no longer held by the paused instance when it resumes")
    {
      CHECK_FALSE(first.Held(now));
      now = RunFor(first, platform, now, std::chrono::milliseconds(200));
      CHECK_FALSE(first.Held(now));
    }
  }

  SUBCASE("allows orders to engines that ignore tokens")
  {
    const HeldLease held{ .mFencingToken = 1,
                          .mAcquiredAt = now,
                          .mValidUntil = now + std::chrono::seconds(6) };
    const Duration transit = std::chrono::seconds(2);

    SUBCASE("only once orders of an earlier holder have arrived")
    {
      CHECK_FALSE(
        MaySendUnfenced(held, transit, now + std::chrono::seconds(1)));
      CHECK(MaySendUnfenced(held, transit, now + std::chrono::seconds(2)));
    }

    SUBCASE("only while it outlasts the maximum transit time")
    {
      CHECK_FALSE(
        MaySendUnfenced(held, transit, now + std::chrono::seconds(4)));
    }
  }
}
