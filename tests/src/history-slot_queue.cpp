#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <functional>
#include <future>
#include <ranges>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::CallerAnswer;
using test::IngressWorld;
using Behaviour = test::EngineStandIn::Behaviour;

namespace {

const std::string kSchoolKey = "key-school";

bool
Eventually(const std::function<bool()>& aCondition)
{
  const auto until = std::chrono::steady_clock::now() + 10s;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(5ms);
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

/// Returns the number of waiting requests as the metrics of an instance state
/// it.
std::string
WaitingOf(IngressWorld& aWorld)
{
  test::CallerLink link(aWorld.MetricsPort(0));
  const auto body =
    link.Exchange("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", 2s).mBody;
  const std::string name = "figslip_queue_waiting{service=\"engines\"} ";
  const auto begin = body.find(name);
  return begin == std::string::npos
           ? ""
           : body.substr(begin + name.size(),
                         body.find('\n', begin) - begin - name.size());
}

} // namespace

TEST_CASE("under overload control, with an engine of two slots")
{
  IngressWorld world({ .mEngines = 1,
                       .mOverloadControl = true,
                       .mEngineSlots = 2,
                       .mSchoolKey = kSchoolKey });
  auto& engine = world.Engine(0);

  // Load: 60 callers of one account send without a pause, which is several
  // times what the engine serves. Guards against an account that takes all
  // slots from another one.
  SUBCASE("an account that floods it does not keep out another one")
  {
    engine.SetPause(15ms);
    std::atomic<bool> isOver = false;
    std::atomic<int> served = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> others = 0;
    constexpr int kCallers = 60;
    std::vector<std::thread> flood;
    flood.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      flood.emplace_back([&, caller] {
        for (int call = 0; !isOver; ++call) {
          const auto name =
            "flood-" + std::to_string(caller) + "-" + std::to_string(call);
          const auto answer = world.Send(0, "POST", "/chat/1", name);
          ++(answer.mStatus == 200
               ? served
               : (IsTruthfulRefusal(answer) ? refused : others));
        }
      });
    }
    const bool isFlooded = Eventually([&] { return refused >= kCallers; });
    int schoolServed = 0;
    constexpr int kSchoolCalls = 20;
    for (int call = 0; call < kSchoolCalls; ++call) {
      const auto name = "school-" + std::to_string(call);
      const auto answer = world.Send(0, "POST", "/chat/1", name, kSchoolKey);
      schoolServed += answer.mStatus == 200 && answer.mIsWhole ? 1 : 0;
    }
    isOver = true;
    for (auto& caller : flood) {
      caller.join();
    }
    MESSAGE("served ", served.load(), ", refused ", refused.load());
    CHECK(isFlooded);
    CHECK(schoolServed == kSchoolCalls);
    CHECK(served > 0);
    CHECK(others == 0);
    for (const auto& [name, runs] : world.CountRuns()) {
      CHECK(runs == 1);
    }
  }

  // Guards against requests that use up their attempts at full upstreams: an
  // upstream that is full for a moment has not run them.
  SUBCASE("a request that it rejects as full is sent again and runs once")
  {
    engine.SetBehaviour(Behaviour::Refuse);
    std::string path = "/look/1";
    SUBCASE("if it may run many times") {}
    SUBCASE("if it may run only once")
    {
      path = "/book/1";
    }
    auto answer = std::async(
      std::launch::async, [&] { return world.Send(0, "POST", path, "one"); });
    // more than the attempts and rejections that a request has otherwise
    CHECK(Eventually([&] { return engine.Arrivals() > 6; }));
    engine.SetBehaviour(Behaviour::Good);
    CHECK(answer.get().mStatus == 200);
    CHECK(world.RunsOf("one") == 1);
  }

  // Guards against a request that is sent again until its deadline: it may
  // return for a third of its timeout, in which its pauses allow 14 sends.
  SUBCASE("a request that it always rejects is refused with time left")
  {
    engine.SetBehaviour(Behaviour::Refuse);
    const auto answer = world.Send(0, "POST", "/book/1", "never");
    CHECK(IsTruthfulRefusal(answer));
    CHECK(engine.Arrivals() <= 14);
    CHECK(world.RunsOf("never") == 0);
  }

  SUBCASE("while both slots are in use")
  {
    // bookings, since an attempt of them is never replaced: the replacement of
    // a silent one would take the slot that is meant for the other request
    engine.HoldHeads("/");
    std::vector<std::future<CallerAnswer>> running;
    for (const auto* const name : { "first", "second" }) {
      running.push_back(std::async(std::launch::async, [&world, name] {
        return world.Send(0, "POST", "/book/1", name);
      }));
    }
    REQUIRE(Eventually([&] {
      return world.RunsOf("first") == 1 && world.RunsOf("second") == 1;
    }));

    // Guards against slots that are spent on callers who have left.
    SUBCASE("a request whose caller leaves is not sent")
    {
      const auto call =
        IngressWorld::FormatCall("GET", "/look/1", "left", kSchoolKey);
      CHECK(world.SendRaw(0, call, 100ms).mStatus == 0);
      engine.HoldHeads("");
      CHECK(world.Send(0, "GET", "/look/1", "next").mStatus == 200);
      CHECK(world.RunsOf("left") == 0);
    }

    // Guards against callers that learn late that they must go elsewhere.
    SUBCASE("a request that waits is refused when the instance stops")
    {
      auto waiting = std::async(std::launch::async, [&] {
        return world.Send(0, "GET", "/look/1", "waiting", kSchoolKey);
      });
      std::this_thread::sleep_for(100ms);
      world.Instance(0).Signal(SIGTERM);
      const auto answer = waiting.get();
      CHECK(IsTruthfulRefusal(answer));
      CHECK(answer.mBody == "stopping\n");
      CHECK(world.RunsOf("waiting") == 0);
      engine.HoldHeads("");
    }
    for (auto& answer : running) {
      CHECK(answer.get().mStatus == 200);
    }
  }
}

// Load: two engines of one slot each, of which one is held by a booking and the
// other by a stream that goes silent. Guards against a replacement that is
// planned beside the queue, where new requests of its account get each slot
// that becomes free before its next try.
TEST_CASE("under overload control, the replacement of a silent attempt")
{
  IngressWorld world(
    { .mEngines = 2, .mOverloadControl = true, .mEngineSlots = 1 });
  const auto setAll = [&](Behaviour aBehaviour) {
    world.Engine(0).SetBehaviour(aBehaviour);
    world.Engine(1).SetBehaviour(aBehaviour);
  };
  const auto holdAll = [&](const std::string& aPrefix) {
    world.Engine(0).HoldHeads(aPrefix);
    world.Engine(1).HoldHeads(aPrefix);
  };
  const auto start = [&](const std::string& aPath, const std::string& aName) {
    return std::async(std::launch::async, [&world, aPath, aName] {
      return world.Send(0, "POST", aPath, aName);
    });
  };
  holdAll("/book/");
  auto booking = start("/book/1", "booking");
  REQUIRE(Eventually([&] { return world.RunsOf("booking") == 1; }));
  const std::size_t held = world.Engine(0).Runs().empty() ? 1 : 0;
  setAll(Behaviour::SilentMidway);
  auto silent = start("/chat/1", "silent");
  REQUIRE(Eventually([&] { return world.RunsOf("silent") == 1; }));
  std::this_thread::sleep_for(100ms); // two events, 2 ms apart, and silence
  setAll(Behaviour::Good);
  auto waiting = start("/chat/1", "waiting");

  // the new request and the replacement; before, the replacement did not wait
  CHECK(Eventually([&] { return WaitingOf(world) == "2"; }));
  holdAll("");
  CHECK(booking.get().mStatus == 200);
  CHECK(silent.get().mIsWhole);
  CHECK(waiting.get().mStatus == 200);
  std::vector<std::string> order;
  for (const auto& run : world.Engine(held).Runs() | std::views::take(2)) {
    order.emplace_back(
      net::FindHeader(run.mHeaders, "x-attempt-id").value_or(""));
  }
  // the new request follows there or at the other engine
  CHECK(order == std::vector<std::string>{ "booking", "silent" });
}
