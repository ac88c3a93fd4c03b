#include <figslip/admission/drain_plan.hpp>

#include <doctest/doctest.h>

using namespace figslip;
using namespace std::chrono_literals;
using admission::DrainPlan;

TEST_CASE("the plan of a graceful shutdown")
{
  const TimePoint begun(100s);
  const auto planOf = [&](Duration aGrace) {
    return DrainPlan({ .mBegunAt = begun, .mGrace = aGrace });
  };

  SUBCASE("with a long grace period")
  {
    const auto plan = planOf(8s);

    SUBCASE("admits short requests until the load balancer has noticed")
    {
      CHECK(plan.Admits(begun, begun + 1500ms, false));
      CHECK(plan.Admits(begun + 2500ms, begun + 4s, false));
      CHECK_FALSE(plan.Admits(begun + 2600ms, begun + 4100ms, false));
      CHECK_FALSE(plan.Admits(begun + 2600ms, begun + 4100ms, true));
    }

    SUBCASE("refuses what runs only once and may outlast it")
    {
      CHECK(plan.Admits(begun + 1s, plan.EndsAt(), false));
      CHECK_FALSE(plan.Admits(begun + 1s, plan.EndsAt() + 1us, false));
    }

    SUBCASE("admits what another instance can repeat, however long it is")
    {
      CHECK(plan.Admits(begun + 1s, begun + 25s, true));
    }
  }

  SUBCASE("leaves half of a short grace period for what it admitted")
  {
    const auto plan = planOf(2s);
    CHECK(plan.RefusesFrom() == begun + 920ms);
    CHECK(plan.EndsAt() == begun + 1840ms);
  }

  SUBCASE("ends the process before it is killed, after the final answers")
  {
    for (const auto grace : { 1s, 3s, 8s, 60s }) {
      const auto plan = planOf(grace);
      CHECK(plan.RefusesFrom() < plan.EndsAt());
      CHECK(plan.EndsAt() < plan.ExitsAt());
      CHECK(plan.ExitsAt() < begun + grace);
    }
  }
}
