#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;
using test::StoreStandIn;
using Behaviour = test::EngineStandIn::Behaviour;
using Clock = std::chrono::steady_clock;

namespace {

/// Time after which a leaving upstream receives no request: `drain_ms`.
constexpr auto kDrain = 2s;

template<typename Condition>
bool
Eventually(const Condition& aCondition,
           std::chrono::milliseconds aPatience = 5s)
{
  const auto until = Clock::now() + aPatience;
  while (!aCondition()) {
    if (Clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

/// Requests that may reach an upstream in the pause that it asked for, from
/// half a second after it did so.
constexpr int kMaxInPause = 2;
constexpr auto kPauseGrace = 500ms;

double
RetryAfterOf(const test::CallerAnswer& aAnswer)
{
  const std::string name = "Retry-After: ";
  const auto place = aAnswer.mHead.find(name);
  return place == std::string::npos
           ? -1.0
           : std::stod(aAnswer.mHead.substr(place + name.size()));
}

/// Sends bookings, look-ups and chats one after the other.
class Callers
{
public:
  explicit Callers(IngressWorld& aWorld)
    : mWorld(aWorld)
  {
  }

  void SkipChats() { mKinds = 2; }

  /// Sends a request of the next kind.
  /// @return its status
  int SendNext()
  {
    constexpr std::array<std::pair<const char*, const char*>, 3> kKinds = {
      { { "POST", "/book/1" }, { "GET", "/look/1" }, { "POST", "/chat/1" } }
    };
    const auto& [method, path] =
      kKinds.at(static_cast<std::size_t>(mSent) % mKinds);
    const auto name = "r" + std::to_string(++mSent);
    return mWorld.Send(0, method, path, name).mStatus;
  }

  /// Sends requests for a time, each of which must be served.
  void SendFor(std::chrono::milliseconds aTime)
  {
    const auto until = Clock::now() + aTime;
    while (Clock::now() < until) {
      CHECK(SendNext() == 200);
    }
  }

private:
  IngressWorld& mWorld;
  std::size_t mKinds = 3;
  int mSent = 0;
};

} // namespace

TEST_CASE("an upstream that says in its answers that it leaves")
{
  IngressWorld world;
  auto& engine = world.Engine(0);
  Callers callers(world);

  SUBCASE("gets no request once its time to drain is over")
  {
    SUBCASE("while the store still shows it as ready") {}
    SUBCASE("while the store is silent")
    {
      world.Store().SetMode(StoreStandIn::Mode::Silent);
    }
    SUBCASE("when the store says later that it is ready")
    {
      engine.SetLeaving(true);
      callers.SendFor(100ms);
      world.PutEngine(0);
    }
    SUBCASE("when its entry is removed and comes back")
    {
      engine.SetLeaving(true);
      callers.SendFor(100ms);
      world.Store().Remove("servers", engine.Id());
      callers.SendFor(1s);
      world.PutEngine(0);
    }
    engine.SetLeaving(true);
    callers.SendFor(kDrain);
    const auto arrivals = engine.Arrivals();
    callers.SendFor(1s);
    CHECK(arrivals > 0);
    CHECK(engine.Arrivals() == arrivals);
  }

  SUBCASE("gets no request after an answer that began before it left")
  {
    // below the pause after which a silent stream is replaced
    engine.SetPause(300ms);
    world.Engine(1).SetPause(300ms);
    constexpr int kChats = 4;
    std::vector<std::thread> chats;
    chats.reserve(kChats);
    for (int number = 0; number < kChats; ++number) {
      chats.emplace_back([&world, number] {
        const auto name = "long-" + std::to_string(number);
        CHECK(world.Send(0, "POST", "/chat/1", name).mIsWhole);
      });
    }
    REQUIRE(Eventually([&] {
      return engine.Arrivals() + world.Engine(1).Arrivals() == kChats;
    }));
    const auto begun = engine.Arrivals();
    CHECK(begun > 0);
    std::this_thread::sleep_for(200ms);
    engine.SetLeaving(true);
    // no answer to a chat says it
    CHECK(Eventually([&] {
      CHECK(world.Send(0, "GET", "/look/1", "told").mStatus == 200);
      return engine.Arrivals() > begun;
    }));
    std::this_thread::sleep_for(kDrain);
    const auto arrivals = engine.Arrivals();
    for (auto& chat : chats) {
      chat.join();
    }
    world.Engine(1).SetPause(2ms);
    callers.SendFor(1s);
    CHECK(engine.Arrivals() == arrivals);
  }

  SUBCASE("gets no request from an instance that was frozen meanwhile")
  {
    engine.SetLeaving(true);
    callers.SendFor(200ms);
    const auto arrivals = engine.Arrivals();
    REQUIRE(arrivals > 0);
    world.Instance(0).Signal(SIGSTOP);
    std::this_thread::sleep_for(kDrain);
    world.Instance(0).Signal(SIGCONT);
    REQUIRE(world.WaitForReady(0));
    callers.SendFor(1s);
    CHECK(engine.Arrivals() == arrivals);
  }

  SUBCASE("gets requests again after a restart under its id")
  {
    engine.SetLeaving(true);
    callers.SendFor(200ms);
    const auto arrivals = engine.Arrivals();
    engine.SetLeaving(false);
    world.RestartEngine(0);
    CHECK(Eventually([&] {
      callers.SendNext();
      return engine.Arrivals() > arrivals;
    }));
  }

  SUBCASE("is in the log once")
  {
    engine.SetLeaving(true);
    callers.SendFor(300ms);
    const auto lines = [&] {
      const auto log = world.Instance(0).Log();
      int count = 0;
      const std::string line = "\"event\":\"upstream_leaving\"";
      for (auto at = log.find(line); at != std::string::npos;
           at = log.find(line, at + 1)) {
        ++count;
      }
      return count;
    };
    CHECK(Eventually([&] { return lines() == 1; }));
  }
}

TEST_CASE("an upstream that asks for a pause")
{
  IngressWorld world;
  auto& engine = world.Engine(0);
  auto& other = world.Engine(1);
  Callers callers(world);
  const auto inLog = [&](const std::string& aText) {
    return Eventually(
      [&] { return world.Instance(0).Log().find(aText) != std::string::npos; });
  };

  SUBCASE("gets no request before its end")
  {
    auto behaviour = Behaviour::RefuseAndPause;
    std::vector<std::thread> chats;
    SUBCASE("when it has refused a request") {}
    SUBCASE("when it has turned a request away and not vouched for it")
    {
      behaviour = Behaviour::TurnAway;
    }
    SUBCASE("when the store is silent")
    {
      world.Store().SetMode(StoreStandIn::Mode::Silent);
    }
    SUBCASE("when one of its answers began before")
    {
      engine.SetPause(300ms);
      other.SetPause(300ms);
      callers.SkipChats();
      for (const auto* const name : { "long-1", "long-2" }) {
        chats.emplace_back([&world, name] {
          CHECK(world.Send(0, "POST", "/chat/1", name).mIsWhole);
        });
      }
      REQUIRE(Eventually(
        [&] { return engine.Arrivals() == 1 && other.Arrivals() == 1; }));
      std::this_thread::sleep_for(100ms);
    }
    engine.SetBehaviour(behaviour);
    engine.SetPauseAsked("3.2");
    const auto before = engine.Arrivals();
    CHECK(Eventually([&] {
      callers.SendNext();
      return engine.Arrivals() > before;
    }));
    const auto askedBy = Clock::now();
    engine.SetBehaviour(Behaviour::Good);
    callers.SendFor(kPauseGrace);
    const auto arrivals = engine.Arrivals();
    while (Clock::now() < askedBy + 3s) {
      CHECK(callers.SendNext() == 200);
    }
    CHECK(engine.Arrivals() - arrivals <= kMaxInPause);
    for (auto& chat : chats) {
      chat.join();
    }

    SUBCASE("and gets requests after it")
    {
      CHECK(Eventually([&] {
        CHECK(callers.SendNext() == 200);
        return engine.Arrivals() > arrivals + kMaxInPause;
      }));
    }
  }

  SUBCASE("while the other one pauses too")
  {
    for (auto* const each : { &engine, &other }) {
      each->SetBehaviour(Behaviour::RefuseAndPause);
    }
    const auto pauseBoth = [&](const std::string& aSeconds) {
      engine.SetPauseAsked(aSeconds);
      other.SetPauseAsked(aSeconds);
      // a booking is refused by each of them once
      CHECK(world.Send(0, "POST", "/book/1", "first").mStatus == 503);
      CHECK(engine.Arrivals() == 1);
      CHECK(other.Arrivals() == 1);
      engine.SetBehaviour(Behaviour::Good);
      other.SetBehaviour(Behaviour::Good);
    };

    SUBCASE("has requests refused at once, until the end of the pause")
    {
      pauseBoth("2.5");
      for (const auto* const path : { "/look/1", "/chat/1", "/book/1" }) {
        const auto sentAt = Clock::now();
        const auto answer = world.Send(0, "POST", path, "refused");
        CHECK(Clock::now() - sentAt < 300ms);
        CHECK(answer.mStatus == 503);
        CHECK(RetryAfterOf(answer) > 2.0);
        CHECK(RetryAfterOf(answer) < 4.0);
      }
      CHECK(world.RunsOf("refused") == 0);
      CHECK(inLog("all_pausing"));

      SUBCASE("which are served if they come back then")
      {
        const auto answer = world.Send(0, "GET", "/look/1", "back");
        std::this_thread::sleep_for(
          std::chrono::duration<double>(RetryAfterOf(answer)));
        CHECK(world.Send(0, "GET", "/look/1", "back-2").mStatus == 200);
      }
    }

    SUBCASE("has requests wait for an end that is near")
    {
      pauseBoth("0.25");
      CHECK(world.Send(0, "POST", "/book/1", "waits").mStatus == 200);
      CHECK(world.RunsOf("waits") == 1);
    }
  }

  SUBCASE("is in the log with the seconds")
  {
    engine.SetBehaviour(Behaviour::RefuseAndPause);
    engine.SetPauseAsked("1.5");
    CHECK(Eventually([&] {
      callers.SendNext();
      return engine.Arrivals() > 0;
    }));
    CHECK(inLog("\"event\":\"upstream_pauses\""));
    CHECK(inLog("\"seconds\":\"1.5"));
  }

  SUBCASE("of an absurd length is not lost, and ends no instance")
  {
    engine.SetBehaviour(Behaviour::RefuseAndPause);
    for (const auto* const text :
         { "-1", "soon", "", "nan", "-inf", "1e999", "0x10" }) {
      INFO("Retry-After: ", text);
      engine.SetPauseAsked(text);
      const auto before = engine.Arrivals();
      CHECK(Eventually([&] {
        callers.SendNext();
        return engine.Arrivals() > before + 1;
      }));
    }
    CHECK(inLog("upstream_pause_bounded"));
    engine.SetPauseAsked("8640000");
    const auto before = engine.Arrivals();
    CHECK(Eventually([&] {
      callers.SendNext();
      return engine.Arrivals() > before;
    }));
    CHECK(inLog("\"seconds\":\"300."));
    callers.SendFor(300ms);
  }
}
