#include "harness/cluster.hpp"

#include <figslip/json/field_or.hpp>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

namespace figslip::test {

namespace {

constexpr auto kReadyPatience = std::chrono::seconds(20);
constexpr auto kPoll = std::chrono::milliseconds(20);
constexpr auto kCallPatience = std::chrono::seconds(60);
constexpr int kOk = 200;
constexpr auto kLoopback = "127.0.0.1";

} // namespace

Cluster::Cluster(ClusterPlan aPlan)
  : mPlan(std::move(aPlan))
{
  static std::atomic<int> sClusters{ 0 };
  mNumber = ++sClusters;
  // an earlier process may have had the same id
  for (const auto& plan : mPlan.mUpstreams) {
    std::filesystem::remove(HistoryFile(plan.mUpstream.mName));
  }
}

Cluster::~Cluster() = default;

CallerResponse
Cluster::Call(int aPort, const http::ClientRequest& aRequest)
{
  std::vector<http::Header> headers;
  std::string streamed;
  int status = 0;
  const auto called = mClient.Call({ kLoopback, aPort },
                                   aRequest,
                                   { .mFirstByteTimeout = kCallPatience,
                                     .mNextByteTimeout = kCallPatience,
                                     .mFreshConnection = true,
                                     .mReceiver =
                                       [&](std::string_view aData) {
                                         streamed += aData;
                                         return true;
                                       },
                                     .mOnHead =
                                       [&](const http::ClientResponse& aHead) {
                                         status = aHead.mStatus;
                                         headers = aHead.mHeaders;
                                       } });
  const auto* const response = std::get_if<http::ClientResponse>(&called);
  return { .mWhole = response != nullptr,
           .mStatus = status,
           .mHeaders = headers,
           .mBody = response != nullptr && !response->mBody.empty()
                      ? response->mBody
                      : streamed };
}

CallerResponse
Cluster::Post(const std::string& aEntry,
              const std::string& aPath,
              const nlohmann::json& aBody,
              std::vector<http::Header> aHeaders)
{
  return Call(EntryPort(aEntry),
              { .mMethod = http::Method::Post,
                .mTarget = aPath,
                .mHeaders = std::move(aHeaders),
                .mBody = aBody.dump() });
}

CallerResponse
Cluster::PostToUpstream(const std::string& aUpstream,
                        const std::string& aPath,
                        const nlohmann::json& aBody)
{
  return Call(mUpstreamPorts.at(aUpstream),
              { .mMethod = http::Method::Post,
                .mTarget = aPath,
                .mHeaders = {},
                .mBody = aBody.dump() });
}

CallerResponse
Cluster::Get(const std::string& aEntry, const std::string& aPath)
{
  return Call(EntryPort(aEntry),
              { .mTarget = aPath, .mHeaders = {}, .mBody = {} });
}

void
Cluster::SetPlatformFault(const nlohmann::json& aFault)
{
  (void)Call(mPlatformPort,
             { .mMethod = http::Method::Post,
               .mTarget = "/control/fault",
               .mHeaders = {},
               .mBody = aFault.dump() });
}

void
Cluster::SetUpstreamFault(const std::string& aUpstream,
                          const nlohmann::json& aFault)
{
  (void)Call(mUpstreamPorts.at(aUpstream),
             { .mMethod = http::Method::Post,
               .mTarget = "/control/fault",
               .mHeaders = {},
               .mBody = aFault.dump() });
}

nlohmann::json
Cluster::History(const std::string& aUpstream)
{
  const auto response =
    Call(mUpstreamPorts.at(aUpstream),
         { .mTarget = "/control/history", .mHeaders = {}, .mBody = {} });
  return nlohmann::json::parse(response.mBody);
}

nlohmann::json
Cluster::BillingRecords()
{
  auto records = nlohmann::json::array();
  const auto list =
    Call(mPlatformPort,
         { .mTarget = "/objects/billing", .mHeaders = {}, .mBody = {} });
  const auto names = nlohmann::json::parse(list.mBody).at("names");
  for (const auto& name : names) {
    const auto object =
      Call(mPlatformPort,
           { .mTarget = "/objects/billing/" + name.get<std::string>(),
             .mHeaders = {},
             .mBody = {} });
    const auto value = nlohmann::json::parse(object.mBody);
    const auto batch =
      nlohmann::json::parse(value.at("value").get<std::string>());
    std::ranges::copy(batch.at("records"), std::back_inserter(records));
  }
  return records;
}

void
Cluster::StoreManifest(const manifest::Manifest& aManifest)
{
  const auto path = std::string("/objects/manifest/current");
  const auto current =
    Call(mPlatformPort, { .mTarget = path, .mHeaders = {}, .mBody = {} });
  const auto version = json::NumberOr(
    nlohmann::json::parse(current.mBody), "version", std::int64_t{ 0 });
  const auto written =
    Call(mPlatformPort,
         { .mMethod = http::Method::Put,
           .mTarget = path + "?if_version=" + std::to_string(version),
           .mHeaders = {},
           .mBody = manifest::PrintManifest(aManifest) });
  if (written.mStatus != kOk) {
    throw std::runtime_error("the manifest cannot be published");
  }
}

void
Cluster::Publish(manifest::Manifest aManifest)
{
  aManifest.mGeneration = mPlan.mManifest.mGeneration + 1;
  mPlan.mManifest = std::move(aManifest);
  StoreManifest(mPlan.mManifest);
}

void
Cluster::RestoreManifest(const manifest::Manifest& aManifest)
{
  StoreManifest(aManifest);
}

void
Cluster::PublishInstances(const std::vector<std::string>& aLeavingUpstreams)
{
  auto entries = nlohmann::json::array();
  for (const auto& plan : mPlan.mEntries) {
    const auto found = mEntries.find(plan.mName);
    if (found == mEntries.end() || !found->second->IsRunning()) {
      continue;
    }
    entries.push_back({ { "name", plan.mName },
                        { "failure_domain", plan.mFailureDomain },
                        { "address", kLoopback },
                        { "caller_port", mEntryPorts.at(plan.mName) },
                        { "peer_port", mPeerPorts[plan.mName] },
                        { "state", "live" } });
  }
  const nlohmann::json list = { { "entries", entries },
                                { "leaving_upstreams", aLeavingUpstreams } };
  (void)Call(mPlatformPort,
             { .mMethod = http::Method::Post,
               .mTarget = "/control/instances",
               .mHeaders = {},
               .mBody = list.dump() });
}

void
Cluster::StartUpstream(const std::string& aUpstream)
{
  const auto plan =
    std::ranges::find(mPlan.mUpstreams, aUpstream, [](const auto& aPlan) {
      return aPlan.mUpstream.mName;
    });
  const auto& upstream = plan->mUpstream;
  std::vector<std::string> arguments = {
    upstream.mName,
    "--port",
    std::to_string(mUpstreamPorts[aUpstream]),
    "--concurrency",
    std::to_string(upstream.mConcurrency),
    "--cold-concurrency",
    std::to_string(upstream.mColdConcurrency),
    "--history",
    HistoryFile(aUpstream),
  };
  std::ranges::copy(plan->mArguments, std::back_inserter(arguments));
  auto process = std::make_unique<Process>("standin-upstream", arguments);
  mUpstreamPorts[aUpstream] = process->WaitForPort("port");
  mUpstreams[aUpstream] = std::move(process);
}

std::string
Cluster::SettingsOf(const EntryPlan& aEntry) const
{
  nlohmann::json settings = {
    { "instance", aEntry.mName },
    { "failure_domain", aEntry.mFailureDomain },
    { "address", kLoopback },
    { "platform_address", kLoopback },
    { "platform_port",
      mPlan.mRelayed ? mRelays.at(aEntry.mName)->Port() : mPlatformPort },
    { "session_keys", { { { "id", "k1" }, { "secret", "test secret" } } } },
    { "drain_delay_ms", 100 },
  };
  settings.update(aEntry.mSettings);
  return settings.dump();
}

void
Cluster::StartEntry(const std::string& aEntry)
{
  const auto plan =
    std::ranges::find(mPlan.mEntries, aEntry, &EntryPlan::mName);
  const auto path = WriteTemporaryFile(aEntry + ".json", SettingsOf(*plan));
  auto process =
    std::make_unique<Process>("figslip-entry", std::vector{ path });
  mEntryPorts[aEntry] = process->WaitForPort("caller_port");
  mPeerPorts[aEntry] = process->PortOf("peer_port");
  mEntries[aEntry] = std::move(process);
}

void
Cluster::WaitUntilReady(const std::string& aEntry)
{
  const auto deadline = std::chrono::steady_clock::now() + kReadyPatience;
  while (std::chrono::steady_clock::now() < deadline) {
    if (Get(aEntry, "/readyz").mStatus == kOk) {
      return;
    }
    std::this_thread::sleep_for(kPoll);
  }
  throw std::runtime_error(aEntry + " is not ready in time");
}

void
Cluster::Start()
{
  mPlatform =
    std::make_unique<Process>("standin-platform", std::vector<std::string>{});
  mPlatformPort = mPlatform->WaitForPort("port");
  auto manifest = mPlan.mManifest;
  for (auto& plan : mPlan.mUpstreams) {
    StartUpstream(plan.mUpstream.mName);
    const auto& name = plan.mUpstream.mName;
    plan.mUpstream.mPort = mUpstreamPorts.at(name);
    if (mPlan.mRelayed) {
      mRelays[name] = std::make_unique<Relay>(plan.mUpstream.mPort);
      plan.mUpstream.mPort = mRelays.at(name)->Port();
    }
    manifest.mUpstreams.push_back(plan.mUpstream);
  }
  Publish(std::move(manifest));
  for (const auto& entry : mPlan.mEntries) {
    if (mPlan.mRelayed) {
      mRelays[entry.mName] = std::make_unique<Relay>(mPlatformPort);
    }
    StartEntry(entry.mName);
  }
  PublishInstances();
  for (const auto& entry : mPlan.mEntries) {
    WaitUntilReady(entry.mName);
  }
}

Relay&
Cluster::RelayOf(const std::string& aUpstreamOrEntry)
{
  return *mRelays.at(aUpstreamOrEntry);
}

std::string
Cluster::HistoryFile(const std::string& aUpstream) const
{
  return TemporaryPath(std::to_string(mNumber) + "-" + aUpstream + ".history");
}

Process&
Cluster::Entry(const std::string& aEntry)
{
  return *mEntries.at(aEntry);
}

Process&
Cluster::Upstream(const std::string& aUpstream)
{
  return *mUpstreams.at(aUpstream);
}

ClusterPlan
SmallPlan()
{
  using manifest::UpstreamKind;
  ClusterPlan plan;
  auto& manifest = plan.mManifest;
  manifest.mModels = {
    { "small", { { .mName = "small-1", .mCostPerThousandTokens = 100'000 } } },
    { "large",
      { { .mName = "large-1", .mCostPerThousandTokens = 1'000'000 } } },
  };
  manifest.mCascades = {
    { "chat", 0.8, { { "small", 0.5 }, { "large", 0.0 } } }
  };
  manifest.mServices = { { "bookings",
                           { { "lookup", true }, { "book", false } } } };
  manifest.mClientAccounts = {
    { "salon", 2.0, { "small", "large", "bookings" }, { "chat" } },
    { "school", 1.0, { "small", "bookings" }, { "chat" } },
  };
  manifest.mSlos = { { "salon-latency", "salon", 0.95, 1700, 720 } };
  for (const std::string domain : { "sul-a", "sul-b" }) {
    const auto upstreamName = domain + "-";
    manifest.mFailureDomains.push_back({ .mName = domain, .mRegion = "sul" });
    for (const std::string version : { "small-1", "large-1" }) {
      plan.mUpstreams.push_back(
        { .mUpstream = { .mName = upstreamName + version,
                         .mFailureDomain = domain,
                         .mAddress = kLoopback,
                         .mVersions = { version },
                         .mConcurrency = 8,
                         .mColdConcurrency = 2 } });
    }
    plan.mUpstreams.push_back(
      { .mUpstream = { .mName = upstreamName + "bookings",
                       .mKind = UpstreamKind::Plain,
                       .mFailureDomain = domain,
                       .mAddress = kLoopback,
                       .mService = "bookings",
                       .mConcurrency = 8,
                       .mColdConcurrency = 2 } });
    plan.mEntries.push_back(
      { .mName = "entry-" + domain, .mFailureDomain = domain });
  }
  return plan;
}

} // namespace figslip::test
