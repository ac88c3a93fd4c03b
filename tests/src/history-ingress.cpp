#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::CallerAnswer;
using test::IngressWorld;
using Behaviour = test::EngineStandIn::Behaviour;

namespace {

const std::string kHost = "Host: a.example\r\n";
const std::string kFacts =
  "X-Attempt-Id: hostile\r\nX-Deadline-Ms: 3000\r\nX-Api-Key: key-1\r\n";

int
CountEvents(const std::string& aBody)
{
  int events = 0;
  for (auto place = aBody.find("\n\n"); place != std::string::npos;
       place = aBody.find("\n\n", place + 2)) {
    ++events;
  }
  return events;
}

/// Tells whether a stream has each event once, in order.
bool
IsWholeStream(const CallerAnswer& aAnswer)
{
  std::string expected;
  for (int event = 1; event <= test::EngineStandIn::kEvents; ++event) {
    expected += "id: " + std::to_string(event) + "\ndata: token\n\n";
  }
  return aAnswer.mIsWhole && aAnswer.mBody == expected;
}

template<typename Condition>
bool
Eventually(const Condition& aCondition,
           std::chrono::milliseconds aPatience = 5s)
{
  const auto until = std::chrono::steady_clock::now() + aPatience;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

} // namespace

TEST_CASE("an instance on the platform")
{
  IngressWorld world;

  SUBCASE("serves a stream whole, with the upstream's headers")
  {
    const auto answer = world.Send(0, "POST", "/chat/1", "one");
    CHECK(answer.mStatus == 200);
    CHECK(IsWholeStream(answer));
    CHECK(answer.mHead.find("X-Response-Signature: signed-by-e-") !=
          std::string::npos);
    CHECK(world.RunsOf("one") == 1);
  }

  SUBCASE("tells the upstream the account and not the key")
  {
    CHECK(world.Send(0, "POST", "/book/1?x=2", "one").mStatus == 200);
    auto runs = world.Engine(0).Runs();
    const auto others = world.Engine(1).Runs();
    runs.insert(runs.end(), others.begin(), others.end());
    REQUIRE(runs.size() == 1);
    const auto& run = runs.front();
    CHECK(run.mTarget == "/book/1?x=2");
    CHECK(run.mBody == "body");
    CHECK(net::FindHeader(run.mHeaders, "X-Tenant") == "studio");
    CHECK_FALSE(net::FindHeader(run.mHeaders, "X-Api-Key"));
  }

  SUBCASE("refuses what the configuration does not allow")
  {
    CHECK(world.Send(0, "GET", "/none/", "a").mStatus == 404);
    CHECK(world.Send(0, "GET", "/look/", "b", "wrong").mStatus == 401);
    CHECK(world.RunsOf("a") + world.RunsOf("b") == 0);
  }

  SUBCASE("when a stream breaks off midway")
  {
    world.Engine(0).SetBehaviour(Behaviour::BreakMidway);

    SUBCASE("goes on at the other upstream, with each event once")
    {
      for (int number = 0; number < 6; ++number) {
        const auto name = "s" + std::to_string(number);
        CHECK(IsWholeStream(world.Send(0, "POST", "/chat/1", name)));
      }
    }

    SUBCASE("never lets half of it look complete")
    {
      world.Engine(1).SetBehaviour(Behaviour::BreakMidway);
      const auto answer = world.Send(0, "POST", "/chat/1", "half");
      CHECK_FALSE(answer.mIsWhole);
      CHECK(answer.mCloses);
      CHECK(CountEvents(answer.mBody) <= 3);
    }
  }

  SUBCASE("when a stream goes silent midway")
  {
    for (std::size_t engine = 0; engine < 2; ++engine) {
      world.Engine(engine).SetBehaviour(Behaviour::SilentMidway);
    }
    // the next one goes on within the pause that is on time, 500 ms
    std::thread mended([&] {
      std::this_thread::sleep_for(200ms);
      for (std::size_t engine = 0; engine < 2; ++engine) {
        world.Engine(engine).SetBehaviour(Behaviour::Good);
      }
    });
    const auto begun = std::chrono::steady_clock::now();
    const auto answer = world.Send(0, "POST", "/chat/1", "silent");
    mended.join();
    CHECK(IsWholeStream(answer));
    CHECK(std::chrono::steady_clock::now() - begun < 500ms);
  }

  SUBCASE("when an upstream runs a booking and its answer is lost")
  {
    world.Engine(0).SetBehaviour(Behaviour::RunAndVanish);
    world.Engine(1).SetBehaviour(Behaviour::RunAndVanish);
    const auto answer = world.Send(0, "POST", "/book/1", "once");
    CHECK(answer.mStatus == 502);
    CHECK(world.RunsOf("once") == 1);
  }

  SUBCASE("when upstreams vouch that a booking did not run")
  {
    world.Engine(0).SetBehaviour(Behaviour::Refuse);
    world.Engine(1).SetBehaviour(Behaviour::Refuse);
    const auto answer = world.Send(0, "POST", "/book/1", "refused");
    CHECK(answer.mStatus == 503);
    CHECK(answer.mHead.find("Retry-After: ") != std::string::npos);
    CHECK(world.RunsOf("refused") == 0);

    SUBCASE("tries another one that takes it")
    {
      world.Engine(1).SetBehaviour(Behaviour::Good);
      for (int number = 0; number < 4; ++number) {
        const auto name = "b" + std::to_string(number);
        CHECK(world.Send(0, "POST", "/book/1", name).mStatus == 200);
        CHECK(world.RunsOf(name) == 1);
      }
    }
  }

  SUBCASE("never passes on the answer to another request")
  {
    world.Engine(0).SetBehaviour(Behaviour::WrongRequest);
    world.Engine(1).SetBehaviour(Behaviour::WrongRequest);
    CHECK(world.Send(0, "POST", "/book/1", "mine").mStatus == 502);
    CHECK(world.Send(0, "GET", "/look/1", "mine-too").mStatus == 502);
  }

  SUBCASE("when an upstream accepts no connection and all repeats are used up")
  {
    world.ChangeSetting(0, "retry_share", 0.0);
    world.ChangeSetting(0, "retry_slack", 0.0);
    world.Store().Put("servers",
                      "e-3",
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

    SUBCASE("tries the next, as nothing has reached the first")
    {
      int served = 0;
      for (int number = 0; number < 10; ++number) {
        const auto name = "n" + std::to_string(number);
        served += world.Send(0, "POST", "/book/1", name).mStatus == 200 ? 1 : 0;
        CHECK(world.RunsOf(name) == 1);
      }
      CHECK(served == 10);
    }
  }

  SUBCASE("repeats a failed look-up, and passes the last failure on")
  {
    world.Engine(0).SetBehaviour(Behaviour::Fail);
    CHECK(world.Send(0, "GET", "/look/1", "x").mStatus == 200);
    world.Engine(1).SetBehaviour(Behaviour::Fail);
    const auto answer = world.Send(0, "GET", "/look/1", "y");
    CHECK(answer.mStatus == 500);
    CHECK(answer.mBody == "failed");
  }

  SUBCASE("sends nothing to an upstream that drains")
  {
    world.PutEngine(0, "draining");
    std::this_thread::sleep_for(1500ms);
    for (int number = 0; number < 6; ++number) {
      const auto name = "d" + std::to_string(number);
      CHECK(world.Send(0, "GET", "/look/1", name).mStatus == 200);
    }
    CHECK(world.Engine(0).Runs().empty());
  }

  SUBCASE("sends nothing into a domain that is drained")
  {
    world.Store().Put("evacuations", "a", nlohmann::json::object());
    CHECK(Eventually(
      [&] { return world.Send(0, "GET", "/look/1", "e").mStatus == 503; }));
    world.Store().Remove("evacuations", "a");
    CHECK(Eventually(
      [&] { return world.Send(0, "GET", "/look/1", "f").mStatus == 200; }));
  }

  SUBCASE("follows the configuration")
  {
    world.PutConfiguration({ "key-2" });
    CHECK(Eventually(
      [&] {
        return world.Send(0, "GET", "/look/1", "old", "key-1").mStatus == 401;
      },
      2s));
    CHECK(world.Send(0, "GET", "/look/1", "new", "key-2").mStatus == 200);

    SUBCASE("also after the store has forgotten its history")
    {
      world.Store().Compact();
      world.PutConfiguration({ "key-3" });
      CHECK(Eventually([&] {
        return world.Send(0, "GET", "/look/1", "newer", "key-3").mStatus == 200;
      }));
    }
  }

  SUBCASE("that cannot reach the store")
  {
    world.Store().SetMode(test::StoreStandIn::Mode::Silent);

    SUBCASE("accepts keys for the length of the lease only")
    {
      CHECK(world.Send(0, "GET", "/look/1", "early").mStatus == 200);
      CHECK(world.WaitForReady(0, false));
      const auto answer = world.Send(0, "GET", "/look/1", "late");
      CHECK(answer.mStatus == 503);
      CHECK(world.RunsOf("late") == 0);

      SUBCASE("and again once the store is back")
      {
        world.Store().SetMode(test::StoreStandIn::Mode::Open);
        CHECK(world.WaitForReady(0));
        CHECK(world.Send(0, "GET", "/look/1", "back").mStatus == 200);
      }
    }
  }

  SUBCASE("that is asked to stop")
  {
    world.Engine(0).SetPause(150ms);
    world.Engine(1).SetPause(150ms);
    CallerAnswer open;
    std::thread caller(
      [&] { open = world.Send(0, "POST", "/chat/1", "open"); });
    std::this_thread::sleep_for(200ms);
    world.Instance(0).Signal(SIGTERM);

    SUBCASE("ends what it has begun and says that it is not ready")
    {
      CHECK(world.WaitForReady(0, false));
      const auto later = world.Send(0, "GET", "/look/1", "later");
      CHECK(later.mStatus == 200);
      CHECK(later.mHead.find("Connection: close") != std::string::npos);
      caller.join();
      CHECK(IsWholeStream(open));
      CHECK(world.Instance(0).Wait(9s).value_or(-1) == 0);
    }
  }
}

TEST_CASE("hostile input")
{
  IngressWorld world;
  const auto send = [&](const std::string& aBytes) {
    return world.SendRaw(0, aBytes, 3s).mStatus;
  };

  SUBCASE("that is malformed gets 400")
  {
    CHECK(send("nonsense\r\n\r\n") == 400);
    CHECK(send("GET /look/1 HTTP/1.1\nHost: a.example\n\n") == 400);
    CHECK(send("GET look HTTP/1.1\r\n" + kHost + kFacts + "\r\n") == 400);
    CHECK(send("GET /look/1 HTTP/1.1\r\n" + kHost + "\r\n") == 400);
  }

  SUBCASE("that could smuggle a request gets 400")
  {
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
               "0\r\n\r\n") == 400);
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody") == 400);
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n") == 400);
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kHost + kFacts +
               "Content-Length: 4\r\n\r\nbody") == 400);
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n") ==
          400);
  }

  SUBCASE("that exceeds a limit gets the status of the limit")
  {
    CHECK(send("GET /look/1 HTTP/1.1\r\n" + kHost + kFacts +
               "X-Long: " + std::string(5'000, 'x') + "\r\n\r\n") == 431);
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "Content-Length: 3000\r\n\r\n" + std::string(3'000, 'x')) ==
          413);
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "Transfer-Encoding: chunked\r\n\r\nbb8\r\n" +
               std::string(3'000, 'x') + "\r\n0\r\n\r\n") == 413);
  }

  SUBCASE("that stops halfway gets 408")
  {
    CHECK(send("GET /look/1 HTTP/1.1\r\nHost: a") == 408);
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "Content-Length: 4\r\n\r\nbo") == 408);
  }

  CHECK(world.RunsOf("hostile") == 0);

  SUBCASE("may not set what is the system's to set")
  {
    CHECK(send("POST /book/1 HTTP/1.1\r\n" + kHost + kFacts +
               "X-Tenant: other\r\nX-Hold: h\r\nKv-From: 1.2.3.4:5/x\r\n"
               "X-Pin-Ms: 9\r\nContent-Length: 4\r\n\r\nbody") == 200);
    auto runs = world.Engine(0).Runs();
    const auto others = world.Engine(1).Runs();
    runs.insert(runs.end(), others.begin(), others.end());
    REQUIRE(runs.size() == 1);
    CHECK(net::FindHeader(runs.front().mHeaders, "X-Tenant") == "studio");
    CHECK_FALSE(net::FindHeader(runs.front().mHeaders, "X-Hold"));
    CHECK_FALSE(net::FindHeader(runs.front().mHeaders, "Kv-From"));
    CHECK_FALSE(net::FindHeader(runs.front().mHeaders, "X-Pin-Ms"));
  }

  SUBCASE("is followed by good service")
  {
    CHECK(world.Send(0, "GET", "/look/1", "good").mStatus == 200);
  }
}

TEST_CASE("the instances of a failure domain on the platform")
{
  constexpr int kInstances = 3;
  // a change is in force everywhere this long after it
  constexpr auto kInForce = 2'000ms;
  IngressWorld world({ .mInstances = kInstances });
  int sent = 0;
  const auto accepts = [&](std::size_t aInstance, const std::string& aKey) {
    const auto attempt = "r-" + std::to_string(++sent);
    return world.Send(aInstance, "GET", "/look/1", attempt, aKey).mStatus ==
           200;
  };
  // one that did not answer yet, as it was starting, is asked again after 3 s
  std::this_thread::sleep_for(4s);

  SUBCASE("call the store little more often than one alone")
  {
    // the lists of the configuration, and watches of up to 3 s of the others
    constexpr int kCallsOfOne = 5 * 3;
    const auto before = world.Store().Calls();
    std::this_thread::sleep_for(5s);
    CHECK(world.Store().Calls() - before <= kCallsOfOne);
  }

  SUBCASE("ask for one kind of object in an outage of the store")
  {
    world.Store().SetMode(test::StoreStandIn::Mode::Busy);
    // until all have noticed it by themselves
    std::this_thread::sleep_for(3s);
    const auto callsOfOthers = [&] {
      return world.Store().Calls() - world.Store().CallsOf("config");
    };
    const auto before = callsOfOthers();
    std::this_thread::sleep_for(6s);
    CHECK(callsOfOthers() == before);
    world.Store().SetMode(test::StoreStandIn::Mode::Open);
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      CHECK(Eventually([&] { return accepts(instance, "key-1"); }, 1s));
    }
  }

  SUBCASE("follow a change in time, whichever of them was killed just before")
  {
    for (std::size_t killed = 0; killed < kInstances; ++killed) {
      const auto key = "key-after-" + std::to_string(killed);
      world.Instance(killed).Kill();
      world.PutConfiguration({ "key-1", key });
      std::this_thread::sleep_for(kInForce);
      for (std::size_t other = 0; other < kInstances; ++other) {
        CHECK((other == killed || accepts(other, key)));
      }
      world.Restart(killed);
    }
  }

  SUBCASE("refuse a key taken away in time, whichever of them is frozen")
  {
    for (std::size_t frozen = 0; frozen < kInstances; ++frozen) {
      const auto key = "key-before-" + std::to_string(frozen);
      world.PutConfiguration({ "key-1", key });
      std::this_thread::sleep_for(kInForce);
      world.Instance(frozen).Freeze();
      world.PutConfiguration({ "key-1" });
      std::this_thread::sleep_for(kInForce);
      for (std::size_t other = 0; other < kInstances; ++other) {
        CHECK((other == frozen || !accepts(other, key)));
        CHECK((other == frozen || accepts(other, "key-1")));
      }
      world.Instance(frozen).Resume();
      CHECK(world.WaitForReady(frozen));
      std::this_thread::sleep_for(kInForce);
      CHECK_FALSE(accepts(frozen, key));
    }
  }

  SUBCASE("go on after an outage of the store, in which an engine left")
  {
    world.Store().SetMode(test::StoreStandIn::Mode::Busy);
    std::this_thread::sleep_for(1s);
    world.Store().Remove("servers", "e-2");
    world.Store().SetMode(test::StoreStandIn::Mode::Open);
    std::this_thread::sleep_for(5s);
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      CHECK(accepts(instance, "key-1"));
    }
    const auto runs = world.Engine(1).Runs().size();
    for (int request = 0; request < 20; ++request) {
      CHECK(accepts(static_cast<std::size_t>(request) % kInstances, "key-1"));
    }
    CHECK(world.Engine(1).Runs().size() == runs);
  }
}

TEST_CASE("an instance that has just started")
{
  IngressWorld world;
  world.Instance(0).Kill();
  world.Store().SetMode(test::StoreStandIn::Mode::Busy);
  world.Start(0);
  REQUIRE(world.WaitForListener(0));

  SUBCASE("lets a request wait for the first configuration")
  {
    std::thread opened([&] {
      std::this_thread::sleep_for(100ms);
      world.Store().SetMode(test::StoreStandIn::Mode::Open);
    });
    const auto answer = world.Send(0, "GET", "/look/1", "waits");
    opened.join();
    INFO("answer: ", answer.mHead);
    CHECK(answer.mStatus == 200);
  }

  SUBCASE("is not ended by a change of its settings")
  {
    world.Store().SetMode(test::StoreStandIn::Mode::Open);
    REQUIRE(world.WaitForReady(0));
    for (int start = 0; start < 20; ++start) {
      world.Instance(0).Kill();
      world.Start(0);
      REQUIRE(world.WaitForListener(0));
      world.Instance(0).Signal(SIGHUP);
      REQUIRE(world.WaitForReady(0));
    }
  }

  SUBCASE("refuses at once when the store has not answered for long")
  {
    std::this_thread::sleep_for(1s);
    const auto begun = std::chrono::steady_clock::now();
    const auto answer = world.Send(0, "GET", "/look/1", "refused");
    CHECK(answer.mStatus == 503);
    CHECK(answer.mHead.find("Retry-After") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - begun < 100ms);
  }
}

TEST_CASE("settings that change without a signal")
{
  IngressWorld world;
  const auto answer = [&](const std::string& aKey, const char* aAttempt) {
    return world.Send(0, "GET", "/look/1", aAttempt, aKey).mStatus;
  };
  REQUIRE(answer("key-1", "s-1") == 200);

  SUBCASE("lead to the store's new address")
  {
    test::StoreStandIn moved;
    for (int change = 0; change < 50; ++change) {
      moved.Put("other", "x", { { "change", change } });
    }
    world.PutConfiguration({ "key-1", "key-9" }, moved);
    world.PutEngine(0, "ready", "v1", moved);
    world.ChangeSetting(
      0, "store", "127.0.0.1:" + std::to_string(moved.Port()));
    CHECK(Eventually([&] { return answer("key-9", "s-2") == 200; }));
  }

  SUBCASE("stay out of force where they are wrong")
  {
    world.ChangeSetting(0, "store", "nowhere");
    std::this_thread::sleep_for(2s);
    world.PutConfiguration({ "key-1", "key-9" });
    CHECK(Eventually([&] { return answer("key-9", "s-3") == 200; }));
  }
}

TEST_CASE("the log of an instance")
{
  IngressWorld world;
  const auto hasLine = [&](const std::vector<std::string>& aParts) {
    std::istringstream lines(world.Instance(0).Log());
    for (std::string line; std::getline(lines, line);) {
      const bool isIt = std::ranges::all_of(aParts, [&](const auto& aPart) {
        return line.find(aPart) != std::string::npos;
      });
      if (isIt) {
        return true;
      }
    }
    return false;
  };
  const auto tells = [&](const std::vector<std::string>& aParts) {
    return Eventually([&] { return hasLine(aParts); }, 2s);
  };

  SUBCASE("tells that the budget refused a repeat")
  {
    world.Engine(0).SetBehaviour(Behaviour::RunAndVanish);
    world.Engine(1).SetBehaviour(Behaviour::RunAndVanish);
    world.ChangeSetting(0, "retry_share", 0.0);
    world.ChangeSetting(0, "retry_slack", 0.0);
    REQUIRE(tells({ "settings_reloaded" }));
    CHECK(world.Send(0, "GET", "/look/1", "spent").mStatus == 502);
    CHECK(tells({ "repeat_refused", "\"spent\"", "budget" }));
    CHECK(tells({ "request_failed", "\"spent\"", "upstream_failed" }));
  }

  SUBCASE("tells that the time of a call ran out, and not that it failed")
  {
    world.Engine(0).SetBehaviour(Behaviour::Hang);
    world.Engine(1).SetBehaviour(Behaviour::Hang);
    CHECK(world.Send(0, "POST", "/book/1", "slow").mStatus == 504);
    CHECK(tells({ "request_failed", "\"slow\"", "route_timeout" }));
  }

  SUBCASE("tells why an upstream did not serve")
  {
    world.Engine(0).SetBehaviour(Behaviour::Refuse);
    world.Engine(1).SetBehaviour(Behaviour::Fail);
    for (int number = 0; number < 4; ++number) {
      const auto name = "w" + std::to_string(number);
      CHECK(world.Send(0, "GET", "/look/1", name).mStatus == 500);
    }
    CHECK(tells({ "attempt_failed", "\"e-1\"", "rejected" }));
    CHECK(tells({ "attempt_failed", "\"e-2\"", "status_500" }));
  }

  SUBCASE("tells why there was no place")
  {
    world.PutEngine(0, "draining");
    world.PutEngine(1, "draining");
    CHECK(Eventually(
      [&] { return world.Send(0, "GET", "/look/1", "out").mStatus == 503; }));
    CHECK(tells({ "no_place", "\"out\"", "no_upstream" }));
  }
}
