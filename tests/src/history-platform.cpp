#include "harness/check_kept.hpp"
#include "harness/traffic.hpp"

#include <doctest/doctest.h>

using namespace figslip::test;

namespace {

constexpr int kSome = 100;
/// Stated before measuring: idempotent work needs no platform.
constexpr double kIdempotentShare = 1.0;

} // namespace

TEST_CASE("the platform under load")
{
  auto plan = SmallPlan();
  plan.mRelayed = true;
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, {});
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));

  SUBCASE("is down for a while")
  {
    traffic.NoteCut("");
    cluster.SetPlatformFault({ { "down", true } });
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.SetPlatformFault(nlohmann::json::object());
    traffic.NoteCutHealed("");
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
  }

  SUBCASE("loses answers after they took effect")
  {
    cluster.SetPlatformFault({ { "lose_answers", true } });
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.SetPlatformFault(nlohmann::json::object());
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
    CHECK(traffic.NonIdempotent().Share() == 1.0);
  }

  SUBCASE("is slow")
  {
    cluster.SetPlatformFault({ { "delay_ms", 300 } });
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.SetPlatformFault(nlohmann::json::object());
    CheckKept(traffic.Finish());
    CHECK(traffic.NonIdempotent().Share() == 1.0);
  }

  SUBCASE("is cut off one way, so that answers vanish")
  {
    traffic.NoteCut("entry-sul-a");
    cluster.RelayOf("entry-sul-a").SetMode(Relay::Mode::OneWay);
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.RelayOf("entry-sul-a").SetMode(Relay::Mode::Open);
    traffic.NoteCutHealed("entry-sul-a");
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
  }

  SUBCASE("serves stale reads and a restored older manifest")
  {
    auto manifest = cluster.Manifest();
    const auto older = manifest;
    manifest.mClientAccounts[0].mShare = 3.0;
    traffic.Publish(manifest);
    manifest.mClientAccounts[1].mAllow = { "small" };
    traffic.Publish(manifest);
    std::this_thread::sleep_for(std::chrono::milliseconds(kChangeBound));
    cluster.SetPlatformFault({ { "stale_reads", true } });
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.SetPlatformFault(nlohmann::json::object());
    cluster.RestoreManifest(older);
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
    return; // the school's bookings are refused from now on
  }

  CHECK(traffic.Idempotent().Share() >= kIdempotentShare);
}
