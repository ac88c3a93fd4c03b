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

TEST_CASE("an entry that is killed and restarted under load")
{
  auto plan = SmallPlan();
  plan.mRelayed = true;
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, {});
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));
  cluster.Entry(kFirst).Kill();
  REQUIRE(traffic.WaitForAnswers(kSome));
  traffic.RestartEntry(kFirst);
  REQUIRE(traffic.WaitForAnswers(kSome));
  CheckKept(traffic.Finish());
  CHECK(traffic.Idempotent().Share() >= kIdempotentShare);
}
