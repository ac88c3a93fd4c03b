#include "harness/router_fixture.hpp"

#include <figslip/orders/order_planner.hpp>

#include <doctest/doctest.h>

using namespace figslip;
using namespace figslip::orders;

TEST_CASE("orders to the engines of a failure domain")
{
  const test::RouterFixture fixture;
  auto manifest = fixture.mManifest;
  manifest.mModels[0].mVersions.push_back(
    { .mName = "s2", .mState = manifest::VersionState::RollOut });
  manifest.mUpstreams[0].mVersions = { "s1", "s2" };
  const auto now = fixture.mNow;
  const lease::HeldLease held{ .mFencingToken = 7,
                               .mAcquiredAt = now - std::chrono::seconds(10),
                               .mValidUntil = now + std::chrono::seconds(5) };
  OrderPlanner planner({ .mMaxConcurrentLoads = 1 }, "a");
  const auto plan = [&](TimePoint aNow) {
    return planner.Plan(manifest::ManifestIndex(manifest), held, aNow);
  };

  SUBCASE("go to no engine that has not reported its versions")
  {
    CHECK(plan(now).empty());
  }

  SUBCASE("load missing versions with the fencing token of the lease")
  {
    planner.OnEngineReport("a1", { "s1" });
    const auto orders = plan(now);
    CHECK(orders == std::vector<Order>{ { OrderKind::Load, "a1", "s2", 7 } });

    SUBCASE("and send nothing more while that order is in progress")
    {
      planner.OnEngineReport("a1", { "s1" });
      CHECK(plan(now).empty());
    }

    SUBCASE("and retry after a backoff if the order failed")
    {
      planner.OnOrderEnded(orders.front(), false, now);
      CHECK(plan(now).empty());
      CHECK(plan(now + std::chrono::seconds(5)).empty());
      const lease::HeldLease renewed{ .mFencingToken = 7,
                                      .mAcquiredAt = held.mAcquiredAt,
                                      .mValidUntil =
                                        now + std::chrono::minutes(1) };
      CHECK(planner
              .Plan(manifest::ManifestIndex(manifest),
                    renewed,
                    now + std::chrono::seconds(5))
              .size() == 1);
    }
  }

  SUBCASE("load stable versions before those in roll-out, up to the limit")
  {
    planner.OnEngineReport("a1", { "s1" });
    planner.OnEngineReport("a2", {});
    CHECK(plan(now) ==
          std::vector<Order>{ { OrderKind::Load, "a2", "s1", 7 } });
  }

  SUBCASE("unload a withdrawn version")
  {
    manifest.mModels[0].mVersions[1].mState = manifest::VersionState::Withdrawn;
    planner.OnEngineReport("a1", { "s1", "s2" });
    CHECK(plan(now) ==
          std::vector<Order>{ { OrderKind::Unload, "a1", "s2", 7 } });
  }

  SUBCASE("never go to engines of other domains")
  {
    planner.OnEngineReport("b1", {});
    CHECK(plan(now).empty());
  }

  SUBCASE("shortly before the lease ends")
  {
    planner.OnEngineReport("a1", { "s1" });
    const auto late = held.mValidUntil - std::chrono::seconds(1);

    SUBCASE("go to no engine that ignores tokens")
    {
      CHECK(plan(late).empty());
    }

    SUBCASE("still go to an engine that refuses old tokens")
    {
      manifest.mUpstreams[0].mChecksFencing = true;
      CHECK(plan(late).size() == 1);
    }
  }
}
