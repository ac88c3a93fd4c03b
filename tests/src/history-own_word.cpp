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

/// Sends bookings, look-ups and chats one after the other.
class Callers
{
public:
  explicit Callers(IngressWorld& aWorld)
    : mWorld(aWorld)
  {
  }

  /// Sends a request of the next kind.
  /// @return its status
  int SendNext()
  {
    constexpr std::array<std::pair<const char*, const char*>, 3> kKinds = {
      { { "POST", "/book/1" }, { "GET", "/look/1" }, { "POST", "/chat/1" } }
    };
    const auto& [method, path] =
      kKinds.at(static_cast<std::size_t>(mSent) % kKinds.size());
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
