#include "harness/check_kept.hpp"
#include "harness/traffic.hpp"

#include <doctest/doctest.h>

using namespace figslip::test;

namespace {

constexpr int kSome = 60;
constexpr auto kFirst = "entry-sul-a";

} // namespace

TEST_CASE("a booking sent at two entries at once")
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

  SUBCASE("is served while its service is killed and restarted")
  {
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

  SUBCASE("runs once and is answered")
  {
    CheckKept(CheckHistory(traffic.Finish()));
    CHECK(traffic.NonIdempotent().Share() == 1.0);
  }

  SUBCASE("runs at most once when an entry is killed and restarted")
  {
    cluster.Entry(kFirst).Kill();
    REQUIRE(traffic.WaitForAnswers(kSome / 2));
    traffic.RestartEntry(kFirst);
    REQUIRE(traffic.WaitForAnswers(kSome / 2));
    const auto history = traffic.Finish();
    CheckKept(CheckAtMostOnce(history));
    CheckKept(CheckNotRunIsTrue(history));
    CheckKept(CheckWholeAnswer(history));
  }

  SUBCASE("runs at most once when an entry is frozen and resumed")
  {
    traffic.FreezeEntry(kFirst);
    REQUIRE(traffic.WaitForAnswers(kSome / 4));
    traffic.ResumeEntry(kFirst);
    REQUIRE(traffic.WaitForAnswers(kSome / 2));
    CheckKept(CheckHistory(traffic.Finish()));
  }

  SUBCASE("runs at most once when the platform loses answers")
  {
    cluster.SetPlatformFault({ { "lose_answers", true } });
    REQUIRE(traffic.WaitForAnswers(kSome / 2));
    cluster.SetPlatformFault(nlohmann::json::object());
    CheckKept(CheckHistory(traffic.Finish()));
  }
}
