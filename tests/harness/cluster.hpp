#pragma once

#include "harness/process.hpp"
#include "harness/relay.hpp"

#include <figslip/http/http_client.hpp>
#include <figslip/manifest/manifest.hpp>

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figslip::test {

/// Describes an upstream stand-in of a test.
struct UpstreamPlan
{
  manifest::Upstream mUpstream;        ///< the port is filled in
  std::vector<std::string> mArguments; ///< further options of the program
};

/// Describes an entry instance of a test.
struct EntryPlan
{
  std::string mName;
  std::string mFailureDomain;
  nlohmann::json mSettings = nlohmann::json::object(); ///< added or replaced
};

/// Describes a deployment of a test.
struct ClusterPlan
{
  manifest::Manifest mManifest; ///< without upstreams
  std::vector<UpstreamPlan> mUpstreams;
  std::vector<EntryPlan> mEntries;
  /// puts a relay before each upstream, and one before the platform per entry
  bool mRelayed = false;
};

/// Holds what a caller got.
struct CallerResponse
{
  bool mWhole = false; ///< a whole response came
  int mStatus = 0;
  std::vector<http::Header> mHeaders;
  std::string mBody;

  [[nodiscard]] std::string Header(std::string_view aName) const
  {
    return std::string(http::FindHeader(mHeaders, aName));
  }
};

/// Runs a whole deployment as processes on loopback.
class Cluster
{
public:
  explicit Cluster(ClusterPlan aPlan);
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;
  ~Cluster();

  /// Starts everything and waits until all entries are ready.
  void Start();

  /// Sends a POST to an entry, as a caller does.
  [[nodiscard]] CallerResponse Post(const std::string& aEntry,
                                    const std::string& aPath,
                                    const nlohmann::json& aBody,
                                    std::vector<http::Header> aHeaders);

  /// Sends a POST to an upstream itself, as an entry does.
  [[nodiscard]] CallerResponse PostToUpstream(const std::string& aUpstream,
                                              const std::string& aPath,
                                              const nlohmann::json& aBody);

  /// Sends a GET to an entry.
  [[nodiscard]] CallerResponse Get(const std::string& aEntry,
                                   const std::string& aPath);

  /// Publishes a manifest with the next generation.
  void Publish(manifest::Manifest aManifest);

  /// Overwrites the stored manifest, as a restored backup does.
  void RestoreManifest(const manifest::Manifest& aManifest);

  /// Sets a fault of the platform or of an upstream.
  void SetPlatformFault(const nlohmann::json& aFault);
  void SetUpstreamFault(const std::string& aUpstream,
                        const nlohmann::json& aFault);

  /// Sets the instance list to the entries that run, and leaving upstreams.
  void PublishInstances(const std::vector<std::string>& aLeavingUpstreams = {});

  /// Reads what an upstream recorded.
  [[nodiscard]] nlohmann::json History(const std::string& aUpstream);

  /// Reads all billing records from the platform.
  [[nodiscard]] nlohmann::json BillingRecords();

  /// Starts an entry, again if it was killed before.
  void StartEntry(const std::string& aEntry);
  void StartUpstream(const std::string& aUpstream);
  void WaitUntilReady(const std::string& aEntry);

  /// Returns the relay before an upstream, or between an entry and the
  /// platform.
  [[nodiscard]] Relay& RelayOf(const std::string& aUpstreamOrEntry);

  /// Returns the file to which an upstream appends each request started.
  [[nodiscard]] std::string HistoryFile(const std::string& aUpstream) const;

  [[nodiscard]] Process& Entry(const std::string& aEntry);
  [[nodiscard]] Process& Upstream(const std::string& aUpstream);
  [[nodiscard]] const manifest::Manifest& Manifest() const
  {
    return mPlan.mManifest;
  }
  [[nodiscard]] const ClusterPlan& Plan() const { return mPlan; }
  [[nodiscard]] int PlatformPort() const { return mPlatformPort; }
  [[nodiscard]] int EntryPort(const std::string& aEntry) const
  {
    return mEntryPorts.at(aEntry);
  }

private:
  void StoreManifest(const manifest::Manifest& aManifest);
  CallerResponse Call(int aPort, const http::ClientRequest& aRequest);
  [[nodiscard]] std::string SettingsOf(const EntryPlan& aEntry) const;

  ClusterPlan mPlan;
  int mNumber = 0; ///< among the clusters of this process
  http::HttpClient mClient{ {} };
  std::unique_ptr<Process> mPlatform;
  int mPlatformPort = 0;
  std::map<std::string, std::unique_ptr<Process>> mUpstreams;
  std::map<std::string, std::unique_ptr<Process>> mEntries;
  std::map<std::string, int> mUpstreamPorts;
  std::map<std::string, int> mEntryPorts;
  std::map<std::string, int> mPeerPorts;
  std::map<std::string, std::unique_ptr<Relay>> mRelays;
};

/// Makes the small deployment that the demo and most tests use: two failure
/// domains with an entry, two model engines and a booking service each.
[[nodiscard]] ClusterPlan
SmallPlan();

} // namespace figslip::test
