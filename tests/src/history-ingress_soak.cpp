#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <random>
#include <ranges>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// usage beyond CI: FIGSLIP_SEED=7 FIGSLIP_SOAK_S=60
// build/bin/history-ingress_soak

using namespace figslip;
using namespace std::chrono_literals;
using test::CallerAnswer;
using test::IngressWorld;
using Behaviour = test::EngineStandIn::Behaviour;

namespace {

constexpr int kInstances = 3;
constexpr int kCallers = 4;

/// Statuses that promise that a request has not run and never will.
constexpr std::array<int, 4> kNotRun = { 408, 421, 429, 503 };

/// Holds what a caller knows of one of its requests.
struct Sent
{
  std::string mAttempt;
  std::string mPath;
  CallerAnswer mAnswer;
};

long
FromEnvironment(const char* aName, long aFallback)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aFallback : std::atol(text);
}

/// Sends bookings, look-ups and chats to any instance until told to stop.
void
Call(IngressWorld& aWorld,
     int aCaller,
     std::uint64_t aSeed,
     const std::atomic<bool>& aStop,
     std::vector<Sent>& aSent)
{
  std::mt19937_64 random(aSeed);
  const std::array<std::pair<const char*, const char*>, 3> kinds = {
    { { "POST", "/book/1" }, { "GET", "/look/1" }, { "POST", "/chat/1" } }
  };
  for (int number = 0; !aStop; ++number) {
    const auto& [method, path] = kinds.at(random() % kinds.size());
    const auto attempt =
      "c" + std::to_string(aCaller) + "-" + std::to_string(number);
    const auto instance = random() % kInstances;
    aSent.push_back(
      { .mAttempt = attempt,
        .mPath = path,
        .mAnswer = aWorld.Send(instance, method, path, attempt) });
  }
}

/// Injects one fault from outside and takes it back.
void
Disturb(IngressWorld& aWorld, std::mt19937_64& aRandom)
{
  constexpr std::array<Behaviour, 7> kBehaviours = {
    Behaviour::BreakMidway,  Behaviour::RunAndVanish, Behaviour::Refuse,
    Behaviour::WrongRequest, Behaviour::Fail,         Behaviour::Hang,
    Behaviour::Good
  };
  const auto span = std::chrono::milliseconds(100 + aRandom() % 700);
  const auto instance = aRandom() % kInstances;
  switch (aRandom() % 6) {
    case 0:
      aWorld.Engine(aRandom() % 2)
        .SetBehaviour(kBehaviours.at(aRandom() % kBehaviours.size()));
      std::this_thread::sleep_for(span);
      break;
    case 1:
      aWorld.Store().SetMode(aRandom() % 2 == 0
                               ? test::StoreStandIn::Mode::Busy
                               : test::StoreStandIn::Mode::Silent);
      std::this_thread::sleep_for(span);
      aWorld.Store().SetMode(test::StoreStandIn::Mode::Open);
      break;
    case 2:
      aWorld.Instance(instance).Freeze();
      std::this_thread::sleep_for(span);
      aWorld.Instance(instance).Resume();
      break;
    case 3:
      aWorld.Instance(instance).Kill();
      aWorld.Restart(instance);
      break;
    case 4:
      aWorld.Store().Compact();
      aWorld.PutConfiguration({ "key-1" });
      break;
    default:
      aWorld.PutEngine(aRandom() % 2,
                       aRandom() % 3 == 0 ? "draining" : "ready");
      std::this_thread::sleep_for(span);
      break;
  }
}

} // namespace

TEST_CASE("instances under random faults")
{
  const auto seed = FromEnvironment("FIGSLIP_SEED", 20261204);
  const auto length =
    std::chrono::seconds(FromEnvironment("FIGSLIP_SOAK_S", 8));
  INFO("FIGSLIP_SEED=", seed);
  IngressWorld world(kInstances);
  std::atomic<bool> stop = false;
  std::vector<std::vector<Sent>> sent(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&, caller] {
      const auto place = static_cast<std::size_t>(caller);
      Call(world,
           caller,
           static_cast<std::uint64_t>(seed + caller),
           stop,
           sent.at(place));
    });
  }
  std::mt19937_64 random(static_cast<std::uint64_t>(seed));
  const auto until = std::chrono::steady_clock::now() + length;
  while (std::chrono::steady_clock::now() < until) {
    Disturb(world, random);
  }
  stop = true;
  for (auto& caller : callers) {
    caller.join();
  }

  int served = 0;
  auto runsOf = world.CountRuns();
  for (const auto& request : sent | std::views::join) {
    INFO("request ", request.mAttempt, " ", request.mPath);
    const auto& answer = request.mAnswer;
    const auto runs = runsOf[request.mAttempt];
    const bool isRefused =
      std::ranges::find(kNotRun, answer.mStatus) != kNotRun.end();
    if (request.mPath == "/book/1") {
      CHECK(runs <= 1);
      CHECK_FALSE((isRefused && runs > 0));
    }
    if (answer.mStatus == 200 && answer.mIsWhole) {
      ++served;
      CHECK(runs >= 1);
      const bool isChat = request.mPath == "/chat/1";
      CHECK((isChat || answer.mBody == "answer to " + request.mAttempt));
      CHECK((!isChat || answer.mBody.find("id: 6\n") != std::string::npos));
    }
  }
  MESSAGE("served ", served);
  CHECK(served > 0);

  SUBCASE("serve again after the last of them")
  {
    for (std::size_t engine = 0; engine < 2; ++engine) {
      world.Engine(engine).SetBehaviour(Behaviour::Good);
      world.PutEngine(engine);
    }
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      CHECK(world.WaitForReady(instance));
    }
    std::this_thread::sleep_for(5s);
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      const auto name = "after-" + std::to_string(instance);
      const auto answer = world.Send(instance, "GET", "/look/1", name);
      INFO("answer: ", answer.mBody);
      CHECK(answer.mStatus == 200);
    }
  }
}
