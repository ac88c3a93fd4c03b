#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::CallerAnswer;
using test::IngressWorld;

namespace {

const std::string kSchoolKey = "key-school";
constexpr std::array<std::size_t, 3> kInstances{ 0, 1, 2 };
constexpr std::size_t kFlooded = 0; ///< in failure domain a
constexpr std::size_t kQuiet = 2;   ///< in failure domain b

const std::array<std::string, 2> kGauges{ "figslip_instance_share",
                                          "figslip_paced_rate" };
constexpr double kMissing = -1.0; ///< stands for a gauge that is not there

/// Ends the test if it hangs; many times what the waits take.
constexpr auto kPatience = 60s;

bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

/// Tells whether a 503 says when to come back.
bool
IsTruthfulRefusal(const CallerAnswer& aAnswer)
{
  return aAnswer.mStatus == 503 &&
         aAnswer.mHead.find("Retry-After: ") != std::string::npos;
}

/// Returns a gauge of the service at an instance, or `kMissing`.
double
GaugeOf(IngressWorld& aWorld, std::size_t aIndex, const std::string& aName)
{
  test::CallerLink link(aWorld.MetricsPort(aIndex));
  const auto body =
    link.Exchange("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 2s).mBody;
  const auto line = "\n" + aName + "{service=\"engines\"} ";
  const auto begin = body.find(line);
  return begin == std::string::npos
           ? kMissing
           : std::strtod(body.c_str() + begin + line.size(), nullptr);
}

/// Sends a request at the quiet instance, again under new ids while refused.
CallerAnswer
SendUntilServed(IngressWorld& aWorld, const std::string& aName)
{
  CallerAnswer answer;
  int sends = 0;
  CHECK(Eventually([&] {
    answer = aWorld.Send(kQuiet,
                         "POST",
                         "/chat/1",
                         aName + "-" + std::to_string(++sends),
                         kSchoolKey);
    return !IsTruthfulRefusal(answer);
  }));
  return answer;
}

} // namespace

// Load: 24 callers of one account keep sending at one instance, which is
// several times what two upstreams of one slot serve. The upstreams are in a
// failure domain without instances, so that all instances share them. Guards
// against an instance that takes the capacity from the instances of another
// failure domain, and against shares that are not passed on to it.
TEST_CASE("an account that floods one instance of three, before two upstreams")
{
  IngressWorld world({ .mInstances = 3,
                       .mEngines = 2,
                       .mOverloadControl = true,
                       .mEngineSlots = 1,
                       .mDomains = { "a", "a", "b" },
                       .mEngineDomain = "c",
                       .mSchoolKey = kSchoolKey });
  world.Engine(0).SetPause(15ms);
  world.Engine(1).SetPause(15ms);
  std::atomic<bool> isOver = false;
  std::atomic<int> refused = 0;
  std::vector<std::thread> flood;
  constexpr int kCallers = 24;
  std::ranges::generate_n(std::back_inserter(flood), kCallers, [&] {
    return std::thread([&, caller = std::to_string(flood.size())] {
      for (int call = 0; !isOver; ++call) {
        const auto name = "flood-" + caller + "-" + std::to_string(call);
        const auto answer = world.Send(kFlooded, "POST", "/chat/1", name);
        if (IsTruthfulRefusal(answer)) {
          ++refused;
          std::this_thread::sleep_for(20ms);
        }
      }
    });
  });
  const bool isFlooded = Eventually([&] { return refused >= kCallers; });
  const auto areOver = [&](std::size_t aIndex, double aBound) {
    return std::ranges::all_of(kGauges, [&](const auto& aName) {
      return GaugeOf(world, aIndex, aName) > aBound;
    });
  };
  // an instance without requests has gauges only if reports of others arrive
  const bool isPassedOn = Eventually([&] {
    return std::ranges::all_of(
      kInstances, [&](auto aIndex) { return areOver(aIndex, kMissing); });
  });
  const bool isFloodPaced = Eventually([&] { return areOver(kFlooded, 0.0); });
  constexpr int kLeastCalls = 10;
  int calls = 0;
  int served = 0;
  const bool isQuietPaced = Eventually([&] {
    const auto answer =
      SendUntilServed(world, "school-" + std::to_string(++calls));
    served += answer.mStatus == 200 && answer.mIsWhole ? 1 : 0;
    return calls >= kLeastCalls && areOver(kQuiet, 0.0);
  });
  isOver = true;
  std::ranges::for_each(flood, &std::thread::join);
  CHECK(isFlooded);
  CHECK(isPassedOn);
  CHECK(isFloodPaced);
  CHECK(isQuietPaced);
  CHECK(served == calls);
}
