#include "harness/history_checker.hpp"
#include "harness/traffic.hpp"

#include <doctest/doctest.h>

using namespace figslip::test;

namespace {

constexpr int kSome = 60;

void
CheckKept(const BrokenPromises& aBreaches)
{
  INFO(PrintBreaches(aBreaches));
  CHECK(aBreaches.empty());
}

} // namespace

TEST_CASE("a booking sent at two entries while its service is killed")
{
  const auto plan = SmallPlan();
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster,
                  { .mWorks = { { .mAccount = "salon",
                                  .mTarget = "bookings/book",
                                  .mIdempotent = false,
                                  .mTwice = true } } });
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));
  cluster.Upstream("sul-a-bookings").Kill();
  REQUIRE(traffic.WaitForAnswers(kSome / 2));
  cluster.StartUpstream("sul-a-bookings");
  REQUIRE(traffic.WaitForAnswers(kSome / 2));
  CheckKept(CheckHistory(traffic.Finish()));
  // the platform is well: only what each caller had in flight may be unknown
  constexpr int kCallers = 8;
  const auto served = traffic.NonIdempotent();
  CHECK(served.mRequests - served.mAnswered <= kCallers);
}
