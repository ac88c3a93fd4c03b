#include "harness/check_kept.hpp"
#include "harness/traffic.hpp"

#include <doctest/doctest.h>

using namespace figslip::test;

namespace {

constexpr int kSome = 150;
/// Stated before measuring: a caller that repeats elsewhere is always served.
constexpr double kIdempotentShare = 1.0;
constexpr auto kFirst = "entry-sul-a";

} // namespace

TEST_CASE("entries under load")
{
  auto plan = SmallPlan();
  plan.mRelayed = true;
  for (auto& entry : plan.mEntries) {
    // outlasts the lag of the balancer
    entry.mSettings["drain_delay_ms"] = 1000;
  }
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, {});
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));

  SUBCASE("keep all promises without a failure")
  {
    CheckKept(traffic.Finish());
    CHECK(traffic.NonIdempotent().Share() == 1.0);
  }

  SUBCASE("keep all promises when one stops gracefully")
  {
    traffic.StopEntry(kFirst);
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
    CHECK(traffic.NonIdempotent().Share() == 1.0);
  }

  CHECK(traffic.Idempotent().Share() >= kIdempotentShare);
}
