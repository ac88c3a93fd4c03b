#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

using namespace std::chrono_literals;
using figslip::test::IngressWorld;
using figslip::test::Relay;
using figslip::test::StoreStandIn;
using Clock = std::chrono::steady_clock;

namespace {

/// Time after which nothing is sent to an upstream whose entry was removed.
constexpr auto kDrainTime = 2s;

/// Ends all connections to the store, also those of waiting watches.
void
CutWatches(IngressWorld& aWorld)
{
  aWorld.StoreRelay(0).SetMode(Relay::Mode::Cut);
  aWorld.StoreRelay(0).SetMode(Relay::Mode::Open);
}

/// Cuts the watches off at a fixed interval.
void
CutFor(IngressWorld& aWorld, Clock::duration aTime, Clock::duration aInterval)
{
  const auto until = Clock::now() + aTime;
  while (Clock::now() < until) {
    CutWatches(aWorld);
    std::this_thread::sleep_for(
      std::min<Clock::duration>(aInterval, until - Clock::now()));
  }
}

/// Waits until a watch of the upstreams has begun to wait.
void
AwaitWatch(IngressWorld& aWorld)
{
  const int before = aWorld.Store().CallsOf("servers");
  while (aWorld.Store().CallsOf("servers") == before) {
    std::this_thread::sleep_for(1ms);
  }
  std::this_thread::sleep_for(50ms);
}

/// Counts the requests of eight that are served.
int
CountServed(IngressWorld& aWorld, const std::string& aName)
{
  int served = 0;
  for (int number = 0; number < 8; ++number) {
    const auto attempt = aName + std::to_string(number);
    served += aWorld.Send(0, "POST", "/book/1", attempt).mStatus == 200 ? 1 : 0;
  }
  return served;
}

} // namespace

// guards against requests to an upstream that left after a failed call
TEST_CASE("an upstream leaves by the removal of its entry")
{
  IngressWorld world({ .mIsRelayed = true });
  REQUIRE(CountServed(world, "before-") == 8);
  REQUIRE(world.Engine(0).Arrivals() > 0);
  const auto checkLeft = [&] {
    const int before = world.Engine(0).Arrivals();
    CHECK(CountServed(world, "late-") == 8);
    CHECK(world.Engine(0).Arrivals() == before);
  };

  SUBCASE("after a watch was cut off")
  {
    AwaitWatch(world);
    CutWatches(world);
    std::this_thread::sleep_for(1'200ms);
    world.Store().Remove("servers", "e-1");
    std::this_thread::sleep_for(kDrainTime);
    checkLeft();
  }

  SUBCASE("while watches are cut off again and again")
  {
    constexpr auto kInterval = 300ms;
    CutFor(world, 1'200ms, kInterval);
    world.Store().Remove("servers", "e-1");
    CutFor(world, kDrainTime, kInterval);
    checkLeft();
  }
}

TEST_CASE("entries that lapse in an outage are kept until they are back")
{
  IngressWorld world({ .mIsRelayed = true });
  REQUIRE(CountServed(world, "before-") == 8);
  world.Store().SetMode(StoreStandIn::Mode::Busy);
  std::this_thread::sleep_for(2'500ms);
  world.Store().Remove("servers", "e-1");
  world.Store().Remove("servers", "e-2");
  world.Store().SetMode(StoreStandIn::Mode::Open);
  std::this_thread::sleep_for(1'500ms);
  CHECK(CountServed(world, "missing-") == 8);
  world.PutEngine(0);
  world.PutEngine(1);
  std::this_thread::sleep_for(2'500ms);
  CHECK(CountServed(world, "back-") == 8);
}
