#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::CallerAnswer;
using test::IngressWorld;

namespace {

using nlohmann::json;

/// Longer than the pause after which a stream or a look-up is retried.
constexpr auto kLongPause = 500ms;

/// Short enough for an event to come before any retry.
constexpr auto kShortPause = 300ms;

constexpr auto kNoPause = 2ms;

/// Look-up whose route only the configuration with two models has.
const std::string kModelsLookup = "/models-look/1";

/// Slack of all instances that leaves one retry.
constexpr double kSlackOfOneRetry = 2.0;

constexpr auto kReloadPatience = 10s;

/// Before the first event of a stream, in which a change comes into force.
constexpr auto kHeldHead = 400ms;

/// Changes a setting and waits until the instance has applied it.
void
ChangeSetting(IngressWorld& aWorld, const std::string& aField, double aValue)
{
  const std::string reloaded = "settings_reloaded";
  const auto known = aWorld.Instance(0).Log().rfind(reloaded);
  aWorld.ChangeSetting(0, aField, aValue);
  const auto until = std::chrono::steady_clock::now() + kReloadPatience;
  while (aWorld.Instance(0).Log().rfind(reloaded) == known &&
         std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(5ms);
  }
  REQUIRE(aWorld.Instance(0).Log().rfind(reloaded) != known);
}

/// Leaves this many retries for as long as a test lasts.
void
LeaveRetries(IngressWorld& aWorld, double aSlack)
{
  ChangeSetting(aWorld, "retry_share", 0.0);
  ChangeSetting(aWorld, "retry_slack", aSlack);
}

bool
IsServed(const CallerAnswer& aAnswer)
{
  return aAnswer.mStatus == 200 && aAnswer.mIsWhole;
}

/// Waits until look-ups of a path get a status.
void
AwaitStatus(IngressWorld& aWorld,
            int aStatus,
            const std::string& aPath = "/look/1")
{
  const auto until = std::chrono::steady_clock::now() + 3s;
  int status = 0;
  while (status != aStatus && std::chrono::steady_clock::now() < until) {
    status = aWorld.Send(0, "GET", aPath, "probe").mStatus;
    std::this_thread::sleep_for(5ms);
  }
  REQUIRE(status == aStatus);
}

void
DrainEngines(IngressWorld& aWorld)
{
  aWorld.PutEngine(0, "draining");
  aWorld.PutEngine(1, "draining");
}

void
SetPauses(IngressWorld& aWorld, std::chrono::milliseconds aPause)
{
  for (std::size_t engine = 0; engine < 2; ++engine) {
    aWorld.Engine(engine).SetPause(aPause);
  }
}

void
HoldHeads(IngressWorld& aWorld, const std::string& aTargetPrefix)
{
  for (std::size_t engine = 0; engine < 2; ++engine) {
    aWorld.Engine(engine).HoldHeads(aTargetPrefix);
  }
}

std::future<CallerAnswer>
SendLater(IngressWorld& aWorld, std::string aMethod, std::string aPath)
{
  return std::async(
    std::launch::async,
    [&aWorld, method = std::move(aMethod), path = std::move(aPath)] {
      return aWorld.Send(0, method, path, "open");
    });
}

/// Lets the chat route choose between two models, with ample time for both.
void
PutModels(IngressWorld& aWorld, const std::vector<std::string>& aKeys)
{
  static int sVersion = 100;
  aWorld.Store().Put(
    "config",
    "main",
    { { "version", ++sVersion },
      { "routes",
        { { { "name", "chat" },
            { "host", "a.example" },
            { "path_prefix", "/chat/" },
            { "type", "streaming" },
            { "timeout_ms", 4000 },
            { "target_latency_ms", 4000 },
            { "target_gap_ms", 3000 },
            { "service", "engines" },
            { "sizes", { "small", "large" } },
            { "max_attempts", 3 },
            { "resumable", true } },
          { { "name", "lookup" },
            { "host", "a.example" },
            { "path_prefix", "/models-look/" },
            { "type", "idempotent" },
            { "service", "engines" },
            { "max_attempts", 3 } } } },
      { "services", { { { "name", "engines" } } } },
      { "limits",
        { { "max_header_bytes", 4096 },
          { "max_body_bytes", 2048 },
          { "header_timeout_ms", 500 },
          { "idle_timeout_ms", 2000 } } },
      { "tenants", { { { "name", "studio" }, { "api_keys", aKeys } } } } });
}

} // namespace

TEST_CASE("an answer under way is abandoned though nothing may replace it")
{
  IngressWorld world;

  SUBCASE("when a stream pauses")
  {
    SetPauses(world, kShortPause);
    HoldHeads(world, "/chat/");
    auto open = SendLater(world, "POST", "/chat/1");
    std::this_thread::sleep_for(kShortPause / 2);

    SUBCASE("after its key was revoked")
    {
      world.PutConfiguration({ "key-2" });
      std::this_thread::sleep_for(kHeldHead);
      HoldHeads(world, "");
      AwaitStatus(world, 401);
      SetPauses(world, kLongPause);
      CHECK(IsServed(open.get()));
    }

    SUBCASE("after its key was revoked and the instance was asked to stop")
    {
      world.PutConfiguration({ "key-2" });
      std::this_thread::sleep_for(kHeldHead);
      HoldHeads(world, "");
      AwaitStatus(world, 401);
      SetPauses(world, kLongPause);
      world.Instance(0).Signal(SIGTERM);
      CHECK(IsServed(open.get()));
    }

    SUBCASE("after all upstreams began to drain")
    {
      DrainEngines(world);
      std::this_thread::sleep_for(kHeldHead);
      HoldHeads(world, "");
      AwaitStatus(world, 503);
      SetPauses(world, kLongPause);
      CHECK(IsServed(open.get()));
    }
  }

  SUBCASE("when a stream pauses and the retry budget is used up")
  {
    LeaveRetries(world, 0.0);
    SetPauses(world, kLongPause);
    CHECK(IsServed(world.Send(0, "POST", "/chat/1", "open")));
    CHECK(world.RunsOf("open") == 1);
  }

  SUBCASE("when a stream pauses and its replacement is rejected")
  {
    LeaveRetries(world, kSlackOfOneRetry);
    SetPauses(world, kShortPause);
    auto open = SendLater(world, "POST", "/chat/1");
    std::this_thread::sleep_for(kShortPause / 2);
    const std::size_t running = world.Engine(0).Runs().empty() ? 1 : 0;
    world.Engine(1 - running)
      .SetBehaviour(test::EngineStandIn::Behaviour::Refuse);
    std::this_thread::sleep_for(kShortPause);
    SetPauses(world, kLongPause);
    CHECK(IsServed(open.get()));
    CHECK(world.RunsOf("open") == 1);
  }

  SUBCASE("when a look-up is slow and the retry budget is used up")
  {
    LeaveRetries(world, 0.0);
    HoldHeads(world, "/look/");
    auto open = SendLater(world, "GET", "/look/1");
    std::this_thread::sleep_for(kLongPause);
    HoldHeads(world, "");
    CHECK(IsServed(open.get()));
    CHECK(world.RunsOf("open") == 1);
  }

  SUBCASE("when a small model's answer has too little confidence")
  {
    PutModels(world, { "key-1" });
    AwaitStatus(world, 200, kModelsLookup);
    world.Engine(0).SetConfidence(5);
    world.Engine(1).SetConfidence(5);
    HoldHeads(world, "/chat/");
    auto open = SendLater(world, "POST", "/chat/1");
    std::this_thread::sleep_for(kShortPause / 2);

    SUBCASE("and its key was revoked")
    {
      PutModels(world, { "key-2" });
      AwaitStatus(world, 401, kModelsLookup);
    }

    SUBCASE("and all upstreams drain")
    {
      DrainEngines(world);
      AwaitStatus(world, 503, kModelsLookup);
    }
    HoldHeads(world, "");
    CHECK(IsServed(open.get()));
  }
}

TEST_CASE("a revoked key is tried again at each silence")
{
  IngressWorld world;
  SetPauses(world, kShortPause);
  HoldHeads(world, "/chat/");
  auto open = SendLater(world, "POST", "/chat/1");
  std::this_thread::sleep_for(kShortPause / 2);
  world.PutConfiguration({ "key-2" });
  std::this_thread::sleep_for(kHeldHead);
  HoldHeads(world, "");
  AwaitStatus(world, 401);
  SetPauses(world, 2 * kLongPause);
  std::this_thread::sleep_for(2 * kLongPause + kShortPause);
  SetPauses(world, kNoPause); // more long pauses would exceed the route's time
  CHECK(IsServed(open.get()));
  world.Instance(0).Stop(9s);
  const auto log = world.Instance(0).Log();
  const std::string refusal = "key_revoked_before_send";
  const auto first = log.find(refusal);
  REQUIRE(first != std::string::npos);
  CHECK(log.find(refusal, first + 1) == std::string::npos);
}

TEST_CASE("an error response is relayed though another upstream is free")
{
  IngressWorld world;
  world.Engine(0).SetBehaviour(test::EngineStandIn::Behaviour::Fail);
  // of equal upstreams the first by name is chosen: the one that fails, the
  // one that refuses connections, the one that is free
  world.Store().Put("servers",
                    "e-1-closed",
                    { { "service", "engines" },
                      { "address", "127.0.0.1:1" },
                      { "zone", "a" },
                      { "version", "v1" },
                      { "slots", 8 },
                      { "state", "ready" },
                      { "cold_remaining_ms", 0 },
                      { "born", 1 },
                      { "seq", 1 } });
  std::this_thread::sleep_for(2s);
  CHECK(IsServed(world.Send(0, "GET", "/look/1", "open")));
}
