#include "harness/check_kept.hpp"
#include "harness/traffic.hpp"

#include <doctest/doctest.h>

using namespace figslip::test;

namespace {

constexpr int kSome = 150;
/// Stated before measuring: a caller that repeats elsewhere is always served.
constexpr double kIdempotentShare = 1.0;
constexpr auto kFirst = "entry-sul-a";
constexpr auto kSecond = "entry-sul-b";

} // namespace

TEST_CASE("an entry under load")
{
  auto plan = SmallPlan();
  plan.mRelayed = true;
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, {});
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));
  SUBCASE("that is killed and restarted keeps all promises")
  {
    cluster.Entry(kFirst).Kill();
    REQUIRE(traffic.WaitForAnswers(kSome));
    traffic.RestartEntry(kFirst);
  }

  SUBCASE("that is frozen across a withdrawal keeps all promises")
  {
    traffic.FreezeEntry(kSecond);
    auto manifest = cluster.Manifest();
    manifest.mModels[0].mVersions.push_back({ .mName = "small-2" });
    manifest.mModels[0].mVersions[0].mState =
      figslip::manifest::VersionState::Withdrawn;
    for (auto& upstream : manifest.mUpstreams) {
      if (!upstream.mVersions.empty()) {
        upstream.mVersions.push_back("small-2");
      }
    }
    traffic.Publish(manifest);
    // the promise itself is the bound
    std::this_thread::sleep_for(std::chrono::milliseconds(kChangeBound + 500));
    traffic.ResumeEntry(kSecond);
  }

  REQUIRE(traffic.WaitForAnswers(kSome));
  CheckKept(traffic.Finish());
  CHECK(traffic.Idempotent().Share() >= kIdempotentShare);
}
