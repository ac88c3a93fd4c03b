#include <figslip/control/pause_guard.hpp>

#include <doctest/doctest.h>

#include <chrono>

using namespace figslip;
using namespace std::chrono_literals;

TEST_CASE("the heartbeat of the control state")
{
  constexpr TimePoint kStart{ std::chrono::hours(1) };
  control::PauseGuard guard({});
  CHECK_FALSE(guard.OnTick(kStart));
  CHECK(guard.Heartbeat({}, kStart) == kStart);

  SUBCASE("goes on with the ticks, late or not")
  {
    CHECK_FALSE(guard.OnTick(kStart + 2s));
    CHECK(guard.Heartbeat({}, kStart + 2s) == kStart + 2s);
  }

  SUBCASE("stands still after a pause")
  {
    const auto resumed = kStart + 60s;
    REQUIRE(guard.OnTick(resumed));
    CHECK(guard.Heartbeat(kStart, resumed) == kStart);

    SUBCASE("until the manifest is confirmed by a call begun since")
    {
      CHECK(guard.Heartbeat(resumed - 1ms, resumed + 100ms) == kStart);
      CHECK(guard.Heartbeat(resumed + 50ms, resumed + 100ms) ==
            resumed + 100ms);
    }

    SUBCASE("or until the grace has passed")
    {
      CHECK_FALSE(guard.OnTick(resumed + 1s));
      CHECK(guard.Heartbeat({}, resumed + 1s) == kStart);
      CHECK(guard.Heartbeat({}, resumed + 2s) == resumed + 2s);
    }

    SUBCASE("also over a second pause")
    {
      REQUIRE(guard.OnTick(resumed + 10s));
      CHECK(guard.Heartbeat({}, resumed + 10s) == kStart);
    }
  }
}
