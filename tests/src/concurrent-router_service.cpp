#include "harness/router_fixture.hpp"

#include <figslip/entry/router_service.hpp>
#include <figslip/kernel/control_loop.hpp>
#include <figslip/kernel/published_value.hpp>
#include <figslip/time/wall_clock.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

using namespace figslip;
using namespace figslip::routing;

namespace {

constexpr int kThreads = 8;
constexpr int kRequestsPerThread = 200;

/// Runs one request to its end, as a traffic thread does.
bool
RunRequest(entry::RouterService& aService, Request aRequest)
{
  const auto ticket = aService.NextTicket();
  aRequest.mDeadline = ReadClock() + std::chrono::seconds(30);
  auto decision = aService.With([&](Router& aRouter) {
    return aRouter.Start(ticket, aRequest, ReadClock());
  });
  while (true) {
    if (const auto* const wait = std::get_if<Wait>(&decision)) {
      aService.WaitFor(ticket, wait->mUntil);
      decision = aService.With(
        [&](Router& aRouter) { return aRouter.Resume(ticket, ReadClock()); });
    } else if (std::holds_alternative<Dispatch>(decision)) {
      std::this_thread::yield();
      decision = aService.With([&](Router& aRouter) {
        return aRouter.OnOutcome(
          ticket,
          { .mEnd = AttemptEnd::Completed, .mBootId = "boot" },
          ReadClock());
      });
    } else {
      break;
    }
  }
  (void)aService.Close(ticket, ReadClock());
  return std::holds_alternative<Deliver>(decision);
}

} // namespace

TEST_CASE("traffic threads that share a router")
{
  const test::RouterFixture fixture;
  entry::RouterService service(
    { .mFailureDomain = "a",
      .mSelf = { "entry-a", 1 },
      .mColdStart = { .mMinColdTime = Duration(0) } });
  const auto publish = [&](TimePoint aNow) {
    ControlSnapshot snapshot = *fixture.mRouter.Snapshot();
    snapshot.mHeartbeatAt = aNow;
    snapshot.mConfirmedAt = aNow;
    service.With([&](Router& aRouter) {
      aRouter.OnSnapshot(
        std::make_shared<const ControlSnapshot>(std::move(snapshot)), aNow);
      for (const auto* const upstream : { "a1", "a2", "a3" }) {
        aRouter.OnGrant({ upstream, 1, aNow + std::chrono::seconds(5) }, aNow);
      }
    });
  };
  publish(ReadClock());
  kernel::ControlLoop loop;
  loop.Every(std::chrono::milliseconds(5), publish);
  loop.Start();

  SUBCASE("answer every request while the control thread publishes")
  {
    std::atomic<int> delivered{ 0 };
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([&] {
        for (int count = 0; count < kRequestsPerThread; ++count) {
          delivered += RunRequest(service, fixture.Chat()) ? 1 : 0;
        }
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    CHECK(delivered == kThreads * kRequestsPerThread);
    service.With([&](const Router& aRouter) {
      CHECK(aRouter.OpenRequests() == 0);
      CHECK(aRouter.WaitingRequests() == 0);
      CHECK(aRouter.Upstreams().InFlight("a1") == 0);
      CHECK(aRouter.Upstreams().InFlight("a2") == 0);
    });
  }
  loop.Stop();
}

TEST_CASE("threads read a value while another one publishes the next")
{
  constexpr int kValues = 20'000;
  kernel::PublishedValue<int> value(std::make_shared<const int>(0));
  std::atomic<int> wentBack{ 0 };
  std::vector<std::jthread> readers(kThreads);
  for (auto& reader : readers) {
    reader = std::jthread([&] {
      for (int last = 0; last < kValues;) {
        const int next = *value.Load();
        wentBack += next < last ? 1 : 0;
        last = next;
      }
    });
  }
  for (int next = 1; next <= kValues; ++next) {
    value.Store(std::make_shared<const int>(next));
  }
  readers.clear(); // waits for them
  CHECK(wentBack == 0);
}
