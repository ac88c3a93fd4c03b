#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <csignal>
#include <string>
#include <thread>

using namespace std::chrono_literals;
using figslip::test::CallerAnswer;
using figslip::test::IngressWorld;

namespace {

/// Grace period in which a request of the stand-ins' routes, which have 4 s,
/// need not end.
constexpr int kShortGraceSeconds = 3;

void
ShortenGrace(IngressWorld& aWorld)
{
  aWorld.ChangeSetting(0, "grace_s", kShortGraceSeconds);
  aWorld.Instance(0).Signal(SIGHUP);
  std::this_thread::sleep_for(300ms);
}

} // namespace

TEST_CASE("a graceful shutdown with less time than its requests have")
{
  IngressWorld world;
  REQUIRE(world.WaitForReady(0));
  ShortenGrace(world);

  SUBCASE("does not cut a booking that comes late in the grace period")
  {
    world.Engine(0).HoldHeads("/book/");
    world.Engine(1).HoldHeads("/book/");
    world.Instance(0).Signal(SIGTERM);
    std::this_thread::sleep_for(1s);
    const auto late = world.Send(0, "POST", "/book/1", "late");
    CHECK(late.mStatus == 503);
    CHECK(late.mHead.find("Retry-After") != std::string::npos);
    CHECK(world.CountRuns()["late"] == 0);
  }

  SUBCASE("serves a look-up that comes in the same second")
  {
    world.Instance(0).Signal(SIGTERM);
    std::this_thread::sleep_for(1s);
    const auto late = world.Send(0, "GET", "/look/1", "late");
    CHECK(late.mStatus == 200);
    CHECK(late.mIsWhole);
  }

  SUBCASE("while upstreams are silent about what they run")
  {
    world.Engine(0).HoldHeads("/");
    world.Engine(1).HoldHeads("/");
    CallerAnswer booking;
    CallerAnswer chat;
    std::thread booker(
      [&] { booking = world.Send(0, "POST", "/book/1", "open-book"); });
    std::thread chatter(
      [&] { chat = world.Send(0, "POST", "/chat/1", "open-chat"); });
    std::this_thread::sleep_for(300ms);
    world.Instance(0).Signal(SIGTERM);
    booker.join();
    chatter.join();

    SUBCASE("answers them at its end, without a promise")
    {
      CHECK(booking.mStatus == 502);
      CHECK(chat.mStatus == 502);
      CHECK(world.CountRuns()["open-book"] == 1);
    }

    SUBCASE("ends in time")
    {
      CHECK(world.Instance(0).Wait(1s).value_or(-1) == 0);
    }
  }
}
