#include "harness/cluster.hpp"

#include <figslip/manifest/manifest_diff.hpp>

#include <doctest/doctest.h>

#include <algorithm>

using namespace figslip::manifest;

namespace {

Manifest
SmallManifest()
{
  auto plan = figslip::test::SmallPlan();
  plan.mManifest.mGeneration = 1;
  return plan.mManifest;
}

std::vector<ManifestChange>
ChangesTo(const Manifest& aNew)
{
  return DiffManifests(SmallManifest(), aNew);
}

} // namespace

TEST_CASE("the changes between two manifests")
{
  auto changed = SmallManifest();

  SUBCASE("are none where only generation and order differ")
  {
    changed.mGeneration = 9;
    std::ranges::reverse(changed.mModels);
    std::ranges::reverse(changed.mClientAccounts[0].mAllow);
    CHECK(ChangesTo(changed).empty());
  }

  SUBCASE("name a version that is withdrawn")
  {
    changed.mModels[0].mVersions[0].mState = VersionState::Withdrawn;
    CHECK(ChangesTo(changed) == std::vector<ManifestChange>{
                                  { "/models/0/versions/0/state",
                                    "version \"small-1\" is withdrawn" } });
  }

  SUBCASE("name a failure domain that is taken out")
  {
    changed.mFailureDomains[1].mState = DomainState::Out;
    CHECK(ChangesTo(changed) ==
          std::vector<ManifestChange>{
            { "/failure_domains/1/state",
              "failure domain \"sul-b\" is taken out" } });
  }

  SUBCASE("name permissions given and taken")
  {
    changed.mClientAccounts[1].mAllow = { "large", "bookings" };
    CHECK(ChangesTo(changed) ==
          std::vector<ManifestChange>{
            { "/client_accounts/1/allow/0",
              "client account \"school\": permission \"small\" is removed" },
            { "/client_accounts/1/allow/0",
              "client account \"school\": permission \"large\" is added" } });
  }

  SUBCASE("name parts that come and go, and other fields with both values")
  {
    changed.mModels[1].mVersions.push_back({ .mName = "large-2" });
    changed.mServices.clear();
    changed.mSlos[0].mLatencyMs = 900;
    CHECK(ChangesTo(changed) ==
          std::vector<ManifestChange>{
            { "/models/1/versions/1",
              "model \"large\": version \"large-2\" is added" },
            { "/services/0", "service \"bookings\" is removed" },
            { "/slos/0/latency_ms",
              "service level objective \"salon-latency\": latency_ms changes "
              "from 1700 to 900" } });
  }

  SUBCASE("name a new order of stages, which decides what is tried first")
  {
    std::ranges::reverse(changed.mCascades[0].mStages);
    CHECK(ChangesTo(changed) == std::vector<ManifestChange>{
                                  { "/cascades/0/stages",
                                    "cascade \"chat\": the order of the stages "
                                    "changes" } });
  }
}
