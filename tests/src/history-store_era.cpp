#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
using figslip::test::IngressWorld;
using figslip::test::Relay;
using figslip::test::StoreStandIn;

namespace {

constexpr std::size_t kInstances = 3;

/// Time after which a change in the store is in force at all instances.
constexpr auto kApplyTime = 3s;

/// Time after which keys are not accepted unless the configuration was
/// confirmed; `revocation_ms` of the settings.
constexpr auto kLeaseTime = 5s;

constexpr auto kAwayTime = 500ms;

/// Writes the entry of an engine again and again, so that the revision rises.
void
RaiseRevision(IngressWorld& aWorld)
{
  constexpr int kWrites = 30;
  for (int number = 0; number < kWrites; ++number) {
    aWorld.PutEngine(0);
  }
}

/// Takes the store away for a moment and restores it from a copy.
/// @param[in] aChange is written before any instance has seen the new era
template<typename Change>
void
Restore(IngressWorld& aWorld, const StoreStandIn::Copy& aCopy, Change aChange)
{
  aWorld.Store().SetMode(StoreStandIn::Mode::Busy);
  std::this_thread::sleep_for(kAwayTime);
  aWorld.Store().Restore(aCopy);
  aChange();
  aWorld.Store().SetMode(StoreStandIn::Mode::Open);
}

/// Returns the status that each instance gives to a look-up with a key.
std::vector<int>
StatusesOf(IngressWorld& aWorld, const std::string& aKey)
{
  static int sAttempts = 0;
  std::vector<int> statuses;
  for (std::size_t index = 0; index < kInstances; ++index) {
    const auto attempt = "try-" + std::to_string(++sAttempts);
    statuses.push_back(
      aWorld.Send(index, "GET", "/look/1", attempt, aKey).mStatus);
  }
  return statuses;
}

} // namespace

// guards against instances that miss changes written after the store gave out
// its revisions again
TEST_CASE("a store is restored from an older copy")
{
  const std::vector<int> allServed(kInstances, 200);
  const std::vector<int> allRejected(kInstances, 401);
  const std::vector<std::string> bothKeys = { "key-1", "key-2" };
  IngressWorld world({ .mInstances = kInstances, .mIsRelayed = true });
  world.PutConfiguration(bothKeys);
  std::this_thread::sleep_for(kApplyTime);
  const auto copy = world.Store().TakeCopy();

  SUBCASE("while instances have a copy with a later revision")
  {
    RaiseRevision(world);
    std::this_thread::sleep_for(kApplyTime);
    REQUIRE(StatusesOf(world, "key-2") == allServed);
    Restore(world, *copy, [] {});

    SUBCASE("and a valid key is accepted as before")
    {
      std::this_thread::sleep_for(kLeaseTime + 1s);
      CHECK(StatusesOf(world, "key-1") == allServed);
    }

    SUBCASE("and a key is taken away below that revision")
    {
      // the other instances reach the store only through the first one
      for (std::size_t index = 1; index < kInstances; ++index) {
        world.StoreRelay(index).SetMode(Relay::Mode::Cut);
      }
      std::this_thread::sleep_for(kApplyTime);
      world.PutConfiguration({ "key-1" });
      RaiseRevision(world);
      std::this_thread::sleep_for(kLeaseTime);
      CHECK(StatusesOf(world, "key-2") == allRejected);
      CHECK(StatusesOf(world, "key-1") == allServed);
    }

    SUBCASE("and a failure domain is drained below that revision")
    {
      std::this_thread::sleep_for(kApplyTime);
      world.Store().Put("evacuations", "a", nlohmann::json::object());
      RaiseRevision(world);
      std::this_thread::sleep_for(kLeaseTime);
      const int before =
        world.Engine(0).Arrivals() + world.Engine(1).Arrivals();
      CHECK(StatusesOf(world, "key-1") == std::vector<int>(kInstances, 503));
      CHECK(world.Engine(0).Arrivals() + world.Engine(1).Arrivals() == before);
    }
  }

  SUBCASE("and a key is taken away with the revision of the one in force")
  {
    world.PutConfiguration(bothKeys);
    std::this_thread::sleep_for(kApplyTime);
    Restore(world, *copy, [&] { world.PutConfiguration({ "key-1" }); });
    std::this_thread::sleep_for(kLeaseTime);
    CHECK(StatusesOf(world, "key-2") == allRejected);
    CHECK(StatusesOf(world, "key-1") == allServed);
  }

  SUBCASE("that lacks the configuration in force")
  {
    world.PutConfiguration({ "key-1" });
    std::this_thread::sleep_for(kApplyTime);
    Restore(world, *copy, [] {});
    std::this_thread::sleep_for(kApplyTime);
    CHECK(StatusesOf(world, "key-2") == allRejected);
    CHECK(StatusesOf(world, "key-1") == allServed);

    SUBCASE("and an instance starts before the operator has written it again")
    {
      world.Restart(2);
      std::this_thread::sleep_for(kApplyTime);
      CHECK(StatusesOf(world, "key-2") == allRejected);
      CHECK(StatusesOf(world, "key-1") == allServed);

      SUBCASE("and none is published any more once it is back")
      {
        world.PutConfiguration({ "key-1" });
        std::this_thread::sleep_for(kApplyTime);
        const auto names = world.Store().NamesOf("figslip");
        CHECK(std::ranges::none_of(names, [](const auto& aName) {
          return aName.starts_with("configuration.");
        }));
      }
    }
  }
}

// guards against instances that go on with the service of an older
// configuration after an outage that outlasts their lease on keys
TEST_CASE("a store comes back from an older copy after a long outage")
{
  IngressWorld world({ .mInstances = kInstances, .mIsRelayed = true });
  std::this_thread::sleep_for(kApplyTime);
  const auto copy = world.Store().TakeCopy();
  RaiseRevision(world);
  std::this_thread::sleep_for(kApplyTime);

  world.Store().SetMode(StoreStandIn::Mode::Busy);
  std::this_thread::sleep_for(kLeaseTime + 1s);
  world.Start(2);
  world.Store().Restore(*copy);
  world.Store().SetMode(StoreStandIn::Mode::Open);
  std::this_thread::sleep_for(kApplyTime);

  SUBCASE("and a route that is moved then is moved at all instances")
  {
    world.MoveLookups();
    world.PutConfiguration({ "key-1" });
    std::this_thread::sleep_for(kApplyTime);
    const int before = world.Engine(0).Arrivals();
    CHECK(StatusesOf(world, "key-1") == std::vector<int>(kInstances, 200));
    CHECK(world.Engine(0).Arrivals() == before);
  }
}
