#include "manifest_names.hpp"

#include <figslip/manifest/manifest.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace figslip::manifest {

namespace {

using Json = nlohmann::ordered_json;

constexpr int kIndent = 2;

Json
ToJson(const FailureDomain& aDomain)
{
  return { { "name", aDomain.mName },
           { "region", aDomain.mRegion },
           { "state",
             json::NameOf<DomainState>(aDomain.mState, kDomainStateNames) } };
}

Json
ToJson(const ModelVersion& aVersion)
{
  return { { "name", aVersion.mName },
           { "state",
             json::NameOf<VersionState>(aVersion.mState, kVersionStateNames) },
           { "cost_per_thousand_tokens", aVersion.mCostPerThousandTokens },
           { "initial_share", aVersion.mInitialShare } };
}

Json
ToJson(const Stage& aStage)
{
  return { { "model", aStage.mModel },
           { "accept_score", aStage.mAcceptScore } };
}

Json
ToJson(const Operation& aOperation)
{
  return { { "name", aOperation.mName },
           { "idempotent", aOperation.mIdempotent } };
}

template<typename Items>
Json
ArrayOf(const Items& aItems);

Json
ToJson(const Model& aModel)
{
  return { { "name", aModel.mName },
           { "versions", ArrayOf(aModel.mVersions) } };
}

Json
ToJson(const Cascade& aCascade)
{
  return { { "name", aCascade.mName },
           { "quality_target", aCascade.mQualityTarget },
           { "stages", ArrayOf(aCascade.mStages) } };
}

Json
ToJson(const Service& aService)
{
  return { { "name", aService.mName },
           { "operations", ArrayOf(aService.mOperations) } };
}

Json
ToJson(const Upstream& aUpstream)
{
  Json upstream = {
    { "name", aUpstream.mName },
    { "kind", json::NameOf<UpstreamKind>(aUpstream.mKind, kUpstreamKindNames) },
    { "failure_domain", aUpstream.mFailureDomain },
    { "address", aUpstream.mAddress },
    { "port", aUpstream.mPort },
    { "concurrency", aUpstream.mConcurrency },
    { "cold_concurrency", aUpstream.mColdConcurrency },
    { "checks_fencing", aUpstream.mChecksFencing },
  };
  if (aUpstream.mKind == UpstreamKind::Model) {
    upstream["versions"] = aUpstream.mVersions;
  } else {
    upstream["service"] = aUpstream.mService;
  }
  return upstream;
}

Json
ToJson(const ClientAccount& aAccount)
{
  return { { "name", aAccount.mName },
           { "share", aAccount.mShare },
           { "allow", aAccount.mAllow },
           { "cascades", aAccount.mCascades } };
}

Json
ToJson(const Slo& aSlo)
{
  return { { "name", aSlo.mName },
           { "client_account", aSlo.mClientAccount },
           { "objective", aSlo.mObjective },
           { "latency_ms", aSlo.mLatencyMs },
           { "window_hours", aSlo.mWindowHours } };
}

template<typename Items>
Json
ArrayOf(const Items& aItems)
{
  Json array = Json::array();
  std::ranges::transform(aItems,
                         std::back_inserter(array),
                         [](const auto& aItem) { return ToJson(aItem); });
  return array;
}

} // namespace

std::string
PrintManifest(const Manifest& aManifest)
{
  const Json document = {
    { "format", 1 },
    { "generation", aManifest.mGeneration },
    { "failure_domains", ArrayOf(aManifest.mFailureDomains) },
    { "models", ArrayOf(aManifest.mModels) },
    { "cascades", ArrayOf(aManifest.mCascades) },
    { "services", ArrayOf(aManifest.mServices) },
    { "upstreams", ArrayOf(aManifest.mUpstreams) },
    { "client_accounts", ArrayOf(aManifest.mClientAccounts) },
    { "slos", ArrayOf(aManifest.mSlos) },
  };
  return document.dump(kIndent) + "\n";
}

} // namespace figslip::manifest
