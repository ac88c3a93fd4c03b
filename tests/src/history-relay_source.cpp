#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
using figslip::test::IngressWorld;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kInstances = 6;
constexpr auto kPatience = 15s;

/// Returns how often an instance has turned to the store, and whether it has
/// done so last.
struct Turns
{
  int mCount = 0;
  bool mIsLast = false;
};

Turns
TurnsOf(IngressWorld& aWorld, std::size_t aIndex)
{
  const auto log = aWorld.Instance(aIndex).Log();
  const std::string event = "source_changed";
  Turns turns;
  for (auto at = log.find(event); at != std::string::npos;
       at = log.find(event, at + 1)) {
    const auto begin = log.rfind('\n', at) + 1;
    const auto line = log.substr(begin, log.find('\n', at) - begin);
    turns.mIsLast = line.find(R"("source":"store")") != std::string::npos;
    turns.mCount += turns.mIsLast ? 1 : 0;
  }
  return turns;
}

/// Waits until one of some instances follows the store.
/// @return its index; the number of instances: there is not one
std::size_t
AwaitSource(IngressWorld& aWorld, const std::vector<std::size_t>& aInstances)
{
  for (const auto until = Clock::now() + kPatience; Clock::now() < until;) {
    std::vector<std::size_t> direct;
    std::ranges::copy_if(
      aInstances, std::back_inserter(direct), [&](std::size_t aIndex) {
        return TurnsOf(aWorld, aIndex).mIsLast;
      });
    if (direct.size() == 1) {
      return direct[0];
    }
    std::this_thread::sleep_for(50ms);
  }
  return kInstances;
}

} // namespace

// guards against all instances of a domain calling the store at the same
// moment; the stand-in answers within a few ms, so that unit-relay_takeover is
// stricter
TEST_CASE("the instance that follows the store for others is killed")
{
  IngressWorld world({ .mInstances = static_cast<int>(kInstances) });
  std::vector<std::size_t> others;
  for (std::size_t index = 0; index < kInstances; ++index) {
    REQUIRE(world.WaitForReady(index));
    others.push_back(index);
  }
  const auto source = AwaitSource(world, others);
  REQUIRE(source < kInstances);
  std::erase(others, source);
  const auto countTurns = [&] {
    int turns = 0;
    for (const auto index : others) {
      turns += TurnsOf(world, index).mCount;
    }
    return turns;
  };
  const int before = countTurns();
  world.Instance(source).Kill();
  std::this_thread::sleep_for(2s); // longer than any copy is used

  CHECK(AwaitSource(world, others) < kInstances);
  const int turns = countTurns() - before;
  CHECK(turns >= 1);
  CHECK(turns < static_cast<int>(others.size()));
  for (const auto index : others) {
    const auto attempt = "after-" + std::to_string(index);
    CHECK(world.Send(index, "POST", "/book/1", attempt).mStatus == 200);
  }
}
