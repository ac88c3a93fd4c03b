#include <figslip/entry/admin_api.hpp>

#include <nlohmann/json.hpp>

#include <utility>

namespace figslip::entry {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusMethodNotAllowed = 405;

std::string_view
NameOf(Phase aPhase)
{
  switch (aPhase) {
    case Phase::Starting:
      return "starting";
    case Phase::Serving:
      return "serving";
    case Phase::Draining:
      return "draining";
    case Phase::Stopping:
      break;
  }
  return "stopping";
}

std::string_view
NameOf(coldstart::WarmupState aWarmth)
{
  return aWarmth == coldstart::WarmupState::Warm ? "warm" : "cold";
}

void
SendText(http::ResponseWriter& aWriter,
         int aStatus,
         std::string_view aType,
         std::string_view aText)
{
  (void)aWriter.Send(
    aStatus, { { "Content-Type", std::string(aType) } }, aText);
}

nlohmann::ordered_json
UpstreamStatus(const manifest::Upstream& aUpstream,
               const routing::UpstreamTable& aTable)
{
  return { { "name", aUpstream.mName },
           { "failure_domain", aUpstream.mFailureDomain },
           { "state",
             NameOf(aTable.ColdStart().WarmupStateOf(aUpstream.mName)) },
           { "in_flight", aTable.InFlight(aUpstream.mName) } };
}

} // namespace

AdminApi::AdminApi(std::string aInstance, Services aServices)
  : mInstance(std::move(aInstance))
  , mServices(std::move(aServices))
{
}

bool
AdminApi::IsReady() const
{
  return mServices.mState->Now() == Phase::Serving;
}

std::string
AdminApi::PrintStatus()
{
  const auto snapshot = mServices.mControl->Snapshot();
  nlohmann::ordered_json status = {
    { "instance", mInstance },
    { "phase", NameOf(mServices.mState->Now()) },
    { "generation", 0 },
    { "confirmed_at_ms", ToUnixMillis(snapshot->mConfirmedAt) },
    { "open_requests", mServices.mState->OpenRequests() },
    { "unbilled_records", mServices.mBilling->Pending() },
  };
  auto peers = nlohmann::ordered_json::array();
  for (const auto& entry : snapshot->mInstances.mEntries) {
    peers.push_back(
      { { "name", entry.mName }, { "failure_domain", entry.mFailureDomain } });
  }
  status["entries"] = std::move(peers);
  auto findings = nlohmann::ordered_json::array();
  for (const auto& finding : snapshot->mManifestFindings) {
    findings.push_back(finding.Message());
  }
  status["manifest_findings"] = std::move(findings);
  auto upstreams = nlohmann::ordered_json::array();
  mServices.mRouter->With([&](const routing::Router& aRouter) {
    status["waiting_requests"] = aRouter.WaitingRequests();
    status["stopped_versions"] = aRouter.Versions().StoppedVersions();
    if (snapshot->mManifest != nullptr) {
      status["generation"] = snapshot->mManifest->Generation();
      for (const auto& upstream : snapshot->mManifest->Content().mUpstreams) {
        upstreams.push_back(UpstreamStatus(upstream, aRouter.Upstreams()));
      }
    }
  });
  status["upstreams"] = std::move(upstreams);
  return status.dump(2) + "\n";
}

std::vector<http::HttpServer::Route>
AdminApi::Routes()
{
  using http::ResponseWriter;
  using http::ServerRequest;
  const auto readOnly = [](auto aHandler) {
    return [aHandler](const ServerRequest& aRequest, ResponseWriter& aWriter) {
      if (aRequest.mMethod != "GET") {
        SendText(aWriter,
                 kStatusMethodNotAllowed,
                 "text/plain",
                 "the administration API is read-only\n");
        return;
      }
      aHandler(aWriter);
    };
  };
  return {
    { "/healthz", readOnly([](ResponseWriter& aWriter) {
        SendText(aWriter, kStatusOk, "text/plain", "ok\n");
      }) },
    { "/readyz", readOnly([this](ResponseWriter& aWriter) {
        const bool ready = IsReady();
        SendText(aWriter,
                 ready ? kStatusOk : kStatusUnavailable,
                 "text/plain",
                 ready ? "ready\n" : "not ready\n");
      }) },
    { "/metrics", readOnly([this](ResponseWriter& aWriter) {
        SendText(aWriter,
                 kStatusOk,
                 "text/plain; version=0.0.4",
                 mServices.mMetrics->Print());
      }) },
    { "/status", readOnly([this](ResponseWriter& aWriter) {
        SendText(aWriter, kStatusOk, "application/json", PrintStatus());
      }) },
  };
}

} // namespace figslip::entry
