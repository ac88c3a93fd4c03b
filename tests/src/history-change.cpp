#include "harness/check_kept.hpp"
#include "harness/traffic.hpp"

#include <doctest/doctest.h>

using namespace figslip::test;
using figslip::manifest::DomainState;
using figslip::manifest::Manifest;
using figslip::manifest::VersionState;

namespace {

constexpr int kSome = 150;
/// Stated before measuring: a change under traffic costs no request.
constexpr double kShare = 1.0;
constexpr auto kFirst = "entry-sul-a";
constexpr auto kSecond = "entry-sul-b";

/// Adds a version to the model "small" that every engine serves.
Manifest
WithVersion(Manifest aManifest, const std::string& aName, VersionState aState)
{
  aManifest.mModels[0].mVersions.push_back(
    { .mName = aName, .mState = aState, .mInitialShare = 0.5 });
  for (auto& upstream : aManifest.mUpstreams) {
    if (!upstream.mVersions.empty()) {
      upstream.mVersions.push_back(aName);
    }
  }
  return aManifest;
}

/// Lets the bound of a change pass under traffic, and some more requests.
void
PassBound(Traffic& aTraffic)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(kChangeBound));
  REQUIRE(aTraffic.WaitForAnswers(kSome));
}

} // namespace

TEST_CASE("changes under load")
{
  auto plan = SmallPlan();
  plan.mRelayed = true;
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, {});
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));
  auto manifest =
    WithVersion(cluster.Manifest(), "small-2", VersionState::Stable);

  SUBCASE("withdraw a version")
  {
    manifest.mModels[0].mVersions[0].mState = VersionState::Withdrawn;
    traffic.Publish(manifest);
    PassBound(traffic);
    CheckKept(traffic.Finish());
  }

  SUBCASE("withdraw a version in roll-out while a domain is cut off")
  {
    manifest = WithVersion(manifest, "small-3", VersionState::RollOut);
    traffic.Publish(manifest);
    PassBound(traffic);
    cluster.RelayOf(kSecond).SetMode(Relay::Mode::Cut);
    traffic.NoteCut(kSecond);
    manifest.mModels[0].mVersions.back().mState = VersionState::Withdrawn;
    traffic.Publish(manifest);
    PassBound(traffic);
    cluster.RelayOf(kSecond).SetMode(Relay::Mode::Open);
    traffic.NoteCutHealed(kSecond);
    PassBound(traffic);
    CheckKept(traffic.Finish());
  }

  SUBCASE("drain a failure domain and bring it back")
  {
    manifest.mFailureDomains[0].mState = DomainState::Out;
    traffic.Publish(manifest);
    PassBound(traffic);
    manifest.mFailureDomains[0].mState = DomainState::In;
    traffic.Publish(manifest);
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
    CHECK(traffic.NonIdempotent().Share() >= kShare);
  }

  SUBCASE("take an upstream out by the instance list")
  {
    traffic.Leave("sul-a-small-1");
    PassBound(traffic);
    CheckKept(traffic.Finish());
    CHECK(traffic.NonIdempotent().Share() >= kShare);
  }

  SUBCASE("come from operators who race one another")
  {
    auto other = manifest;
    other.mClientAccounts[0].mShare = 3.0;
    other.mGeneration = cluster.Manifest().mGeneration + 1;
    traffic.Publish(manifest);
    // the loser has the same generation, and writes without a version check
    cluster.RestoreManifest(other);
    traffic.Publish(manifest);
    PassBound(traffic);
    CheckKept(traffic.Finish());
  }

  SUBCASE("are followed by a kill of an entry")
  {
    manifest.mModels[0].mVersions[0].mState = VersionState::Withdrawn;
    traffic.Publish(manifest);
    cluster.Entry(kFirst).Kill();
    traffic.RestartEntry(kFirst);
    PassBound(traffic);
    const auto history = traffic.Finish();
    CHECK(PrintBreaches(CheckWithdrawn(history)).empty());
    CHECK(PrintBreaches(CheckGeneration(history)).empty());
    CHECK(PrintBreaches(CheckAtMostOnce(history)).empty());
    CHECK(PrintBreaches(CheckNotRunIsTrue(history)).empty());
  }

  CHECK(traffic.Idempotent().Share() >= kShare);
}
