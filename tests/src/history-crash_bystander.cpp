#include <harness/prompt_world.hpp>

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace std::chrono_literals;
using figslip::test::FormatPrompt;
using figslip::test::IngressWorld;

namespace {

/// Time in which an instance learns of a change in the store.
constexpr auto kDiscoveryTime = 1'500ms;

/// Crashes an engine by a prompt while a look-up runs on it.
void
CrashBesideLookUp(IngressWorld& aWorld, std::size_t aEngine)
{
  const auto number = std::to_string(aEngine);
  const auto deadly = "dead" + number;
  aWorld.PutEngine(1 - aEngine, "draining");
  aWorld.PutEngine(aEngine, "ready");
  std::this_thread::sleep_for(kDiscoveryTime);
  auto& engine = aWorld.Engine(aEngine);
  engine.SetDeadlyParts({ deadly });
  engine.HoldHeads("/look/");
  std::thread bystander(
    [&] { std::ignore = aWorld.Send(0, "GET", "/look/1", "beside" + number); });
  std::this_thread::sleep_for(100ms);
  std::ignore =
    aWorld.SendRaw(0, FormatPrompt({ deadly }, static_cast<int>(aEngine)));
  bystander.join();
  engine.HoldHeads("");
  REQUIRE(engine.Crashes() > 0);
}

} // namespace

TEST_CASE("a look-up that was served before is not refused for crashes beside "
          "which it ran")
{
  IngressWorld world;
  REQUIRE(world.WaitForReady(0));
  REQUIRE(world.Send(0, "GET", "/look/1", "before").mStatus == 200);

  CrashBesideLookUp(world, 0);
  CrashBesideLookUp(world, 1);

  std::this_thread::sleep_for(figslip::test::kRestartTime);
  for (int number = 0; number < 3; ++number) {
    const auto after =
      world.Send(0, "GET", "/look/1", "after" + std::to_string(number));
    CHECK(after.mStatus == 200);
  }
}
