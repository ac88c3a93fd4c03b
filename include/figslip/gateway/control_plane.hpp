#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/ingress/freshness_lease.hpp>
#include <figslip/membership/lapse_guard.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/quarantine/crash_records.hpp>
#include <figslip/relay/relay_follower.hpp>
#include <figslip/relay/relay_server.hpp>
#include <figslip/settings/ingress_settings.hpp>
#include <figslip/store/object_follower.hpp>
#include <figslip/store/store_client.hpp>

#include <map>
#include <memory>
#include <string>

namespace figslip::gateway {

/// @brief Follows the store and keeps the traffic thread informed.
///
/// Lives on the control thread. Decoded state is handed to the traffic thread
/// as immutable values; reports of the traffic thread become writes.
class ControlPlane
{
public:
  /// Runs a task on the traffic thread.
  using PostTask = std::function<void(std::function<void(TrafficState&)>)>;

  ControlPlane(net::asio::io_context& aContext,
               const settings::IngressSettings& aSettings,
               const store::StoreDialect& aDialect,
               ingress::FreshnessLease& aLease,
               metrics::Registry& aMetrics,
               PostTask aPost);

  /// @brief Starts to follow all kinds.
  /// @return a finding where the address for other instances cannot be used
  [[nodiscard]] Result<void> Start();

  /// @brief Writes a status of a roll-out; on the control thread.
  void WriteStatus(const rollout::StatusChange& aChange);

  /// @brief Tells all instances of a request that was running on an upstream
  /// when it crashed.
  void ReportCrash(const quarantine::CrashReport& aReport);

  /// @brief Calls the store at another address from now on.
  void SetStoreEndpoint(const net::Endpoint& aStore);

  /// @brief Takes this instance off the list of instances.
  [[nodiscard]] net::Awaitable<void> Deregister();

private:
  void Follow(store::ObjectFollower::Options aOptions,
              store::ObjectFollower::Callbacks aCallbacks);
  [[nodiscard]] store::ObjectFollower::Callbacks MakeCallbacks(
    store::ObjectKind aKind,
    std::function<void(const store::ObjectFollower::Objects&)> aOnObjects);
  void OnConfiguration(const store::ObjectFollower::Objects& aObjects);
  void OnUpstreams(const store::ObjectFollower::Objects& aObjects);
  void OnRollouts(const store::ObjectFollower::Objects& aObjects);
  void OnDrains(const store::ObjectFollower::Objects& aObjects);
  void OnSharedObjects(const store::ObjectFollower::Objects& aObjects);
  void PublishUpstreams();
  [[nodiscard]] net::Awaitable<void> RunHousekeeping();
  void DropExpiredUpstreams();
  void RemoveDueCrashRecords();
  [[nodiscard]] net::Awaitable<void> Register();
  [[nodiscard]] nlohmann::json Registration() const;
  /// Writes until the store has answered.
  /// @return the status of the answer; 0: none
  [[nodiscard]] net::Awaitable<unsigned> WriteWithRetries(
    net::RequestMessage aRequest,
    std::string aName);
  /// Writes in the background.
  void StartWrite(net::RequestMessage aRequest, std::string aName);
  void LogUnreadable(const store::Object& aObject,
                     std::string_view aKind,
                     const error::Findings& aFindings);

  net::asio::io_context& mContext;
  const settings::IngressSettings mSettings; ///< as at the start
  const store::StoreDialect& mDialect;
  ingress::FreshnessLease& mLease;
  PostTask mPost;
  store::StoreClient mClient;
  std::vector<std::unique_ptr<store::ObjectFollower>> mFollowers;
  relay::RelayServer mRelayServer;
  relay::RelayFollower mRelayFollower;
  membership::LapseGuard mRegisteredUpstreams;
  std::map<std::string, std::int64_t> mLoggedRevisions; ///< revisions logged
  std::int64_t mNewestVersion = -1;    ///< newest configuration seen
  std::int64_t mLastReadRevision = -1; ///< read last
  quarantine::CrashRecords mCrashes{ {} };
};

} // namespace figslip::gateway
