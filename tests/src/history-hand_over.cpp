#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
using figslip::test::CallerAnswer;
using figslip::test::CallerLink;
using figslip::test::EngineStandIn;
using figslip::test::IngressWorld;
using figslip::test::Relay;

namespace {

constexpr std::size_t kCutOff = 0;
constexpr std::size_t kOther = 1;

/// Time after which a cut or its end must have been noticed: silence of open
/// requests, two rounds of probes, and as long again.
constexpr auto kNoticed = 3s;

constexpr int kRequests = 12; ///< of each kind

/// The kinds of requests, by path.
const std::array<std::string, 3> kPaths{ "/look/", "/book/", "/chat/" };

IngressWorld::Options
WorldOptions()
{
  return { .mInstances = 3,
           .mEngines = 4,
           .mDomains = { "a", "b", "c" },
           .mHandsOver = true,
           .mHasOwnRelays = true };
}

CallerAnswer
SendOne(IngressWorld& aWorld,
        std::size_t aInstance,
        const std::string& aPath,
        const std::string& aAttempt)
{
  return aWorld.Send(
    aInstance, aPath == "/look/" ? "GET" : "POST", aPath + "1", aAttempt);
}

/// Sends requests of each kind and counts those that are served at once.
std::map<std::string, int>
CountServed(IngressWorld& aWorld, std::size_t aInstance)
{
  static int sRounds = 0;
  const auto round = std::to_string(++sRounds);
  std::map<std::string, int> served;
  for (int number = 0; number < kRequests; ++number) {
    for (const auto& path : kPaths) {
      auto attempt = "r" + round;
      attempt += path;
      attempt += std::to_string(number);
      const auto answer = SendOne(aWorld, aInstance, path, attempt);
      served[path] += answer.mStatus == 200 && answer.mIsWhole ? 1 : 0;
      CHECK(aWorld.RunsOf(attempt) <= 1);
    }
  }
  return served;
}

const std::map<std::string, int> kAllServed{ { "/look/", kRequests },
                                             { "/book/", kRequests },
                                             { "/chat/", kRequests } };

/// Sends requests until the instance has had time to notice a change.
void
SendUntilNoticed(IngressWorld& aWorld, std::size_t aInstance)
{
  static int sAttempts = 0;
  const auto until = std::chrono::steady_clock::now() + kNoticed;
  while (std::chrono::steady_clock::now() < until) {
    const auto attempt = "notice-" + std::to_string(++sAttempts);
    const auto answer = SendOne(aWorld, aInstance, "/look/", attempt);
    CHECK(answer.mStatus != 0);
    std::this_thread::sleep_for(50ms);
  }
}

/// Tells whether an instance has given up a request of a caller that left.
bool
HasEnd(IngressWorld& aWorld, std::size_t aInstance)
{
  CallerLink link(aWorld.MetricsPort(aInstance));
  const auto page =
    link.Exchange("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 2s).mBody;
  return page.find("end=\"caller_left\"") != std::string::npos;
}

bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto until = std::chrono::steady_clock::now() + 10s;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

} // namespace

// guards against an instance that reaches callers and instances, but no
// upstream, and serves its callers worse than the others do
TEST_CASE("an instance is cut off from all upstreams")
{
  IngressWorld world(WorldOptions());
  REQUIRE(CountServed(world, kCutOff) == kAllServed);

  for (const auto mode :
       { Relay::Mode::Hang, Relay::Mode::Refuse, Relay::Mode::Sever }) {
    CAPTURE(static_cast<int>(mode));
    world.SetWayToEngines(kCutOff, mode);
    SendUntilNoticed(world, kCutOff);
    CHECK(CountServed(world, kCutOff) == kAllServed);
    CHECK(CountServed(world, kOther) == kAllServed);
    world.SetWayToEngines(kCutOff, Relay::Mode::Open);
    SendUntilNoticed(world, kCutOff);
  }

  SUBCASE("and serves by itself again when the cut has ended")
  {
    world.Instance(kOther).Kill();
    world.Instance(2).Kill();
    CHECK(CountServed(world, kCutOff) == kAllServed);
  }
}

TEST_CASE("requests are handed over")
{
  IngressWorld world(WorldOptions());
  world.SetWayToEngines(kCutOff, Relay::Mode::Refuse);
  SendUntilNoticed(world, kCutOff);

  SUBCASE("and their runs end when the caller leaves")
  {
    for (std::size_t engine = 0; engine < 4; ++engine) {
      world.Engine(engine).SetPause(300ms);
    }
    {
      CallerLink link(world.CallerPort(kCutOff));
      const auto answer = link.Exchange(
        IngressWorld::FormatCall("POST", "/chat/1", "leaves", "key-1"), 700ms);
      CHECK(answer.mStatus == 200);
      CHECK_FALSE(answer.mIsWhole);
    }
    CHECK(Eventually([&] { return HasEnd(world, 1) || HasEnd(world, 2); }));
  }

  SUBCASE("and a failure of an upstream reaches the caller")
  {
    for (std::size_t engine = 0; engine < 4; ++engine) {
      world.Engine(engine).SetBehaviour(EngineStandIn::Behaviour::Fail);
    }
    CHECK(SendOne(world, kCutOff, "/book/", "fails").mStatus == 500);
    CHECK(world.RunsOf("fails") == 1);
  }

  SUBCASE("and a key that belongs to nobody is rejected")
  {
    const auto answer =
      world.Send(kCutOff, "GET", "/look/1", "unknown", "key-9");
    CHECK(answer.mStatus == 401);
  }

  SUBCASE("to no instance where all are cut off, and are rejected truthfully")
  {
    world.SetWayToEngines(1, Relay::Mode::Sever);
    world.SetWayToEngines(2, Relay::Mode::Sever);
    SendUntilNoticed(world, 1);
    SendUntilNoticed(world, 2);
    const auto answer = SendOne(world, kCutOff, "/book/", "nowhere");
    CHECK(answer.mStatus == 503);
    CHECK(answer.mHead.find("Retry-After: ") != std::string::npos);
    CHECK(world.RunsOf("nowhere") == 0);
  }

  SUBCASE("to another instance when the one that took them is killed")
  {
    world.Instance(kOther).Kill();
    CHECK(CountServed(world, kCutOff) == kAllServed);
  }
}
