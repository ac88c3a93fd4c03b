#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/ingress/configuration_recovery.hpp>
#include <figslip/ingress/freshness_lease.hpp>
#include <figslip/membership/upstream_entry_cache.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/quarantine/crash_records.hpp>
#include <figslip/quarantine/part_records.hpp>
#include <figslip/quarantine/record_forwarder.hpp>
#include <figslip/quarantine/record_tracker.hpp>
#include <figslip/quarantine/served_reports.hpp>
#include <figslip/quarantine/suspect_reports.hpp>
#include <figslip/relay/relay_follower.hpp>
#include <figslip/relay/relay_server.hpp>
#include <figslip/retry/write_backoff.hpp>
#include <figslip/settings/ingress_settings.hpp>
#include <figslip/store/lost_kinds.hpp>
#include <figslip/store/object_follower.hpp>
#include <figslip/store/store_client.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace figslip::gateway {

/// @brief Follows the store and passes its state to the traffic thread.
///
/// Runs on the control thread. Parsed state is posted to the traffic thread as
/// immutable values; reports of the traffic thread are written to the store.
class ControlPlane
{
public:
  /// Posts a task to the traffic thread.
  using PostTask = std::function<void(std::function<void(TrafficState&)>)>;

  ControlPlane(net::asio::io_context& aContext,
               const settings::IngressSettings& aSettings,
               const store::StoreDialect& aDialect,
               ingress::FreshnessLease& aLease,
               metrics::Registry& aMetrics,
               PostTask aPost);

  /// @brief Starts to follow all kinds of objects and to serve peers.
  /// @return findings if the address for peers cannot be listened on
  [[nodiscard]] Result<void> Start();

  /// @brief Writes the status of a roll-out; called on the control thread.
  void WriteStatus(const rollout::StatusChange& aChange);

  /// @brief Publishes to all instances that a request ran on an upstream when
  /// the upstream crashed.
  /// @note Not published if many requests were in flight there, or if another
  /// instance publishes it first.
  void ReportCrash(const quarantine::CrashReport& aReport);

  /// @brief Publishes this instance's counts on a roll-out to all instances.
  /// @note One attempt: counts that were not written are shared again later.
  void ShareEvidence(const rollout::EvidenceReport& aReport);

  /// @brief Publishes this instance's sessions on withdrawn versions to all
  /// instances, in place of earlier ones.
  void ShareSessions(const rollout::SessionReport& aReport);

  /// @brief Publishes to all instances which parts may have caused a crash.
  /// @note Reports of one crash are published together, after a short delay,
  /// without the parts that another instance has published by then.
  void ReportSuspects(const quarantine::CrashSuspects& aCrash);

  /// @brief Removes the published crashes of requests that were served.
  void WithdrawCrashes(const std::set<std::uint64_t>& aFingerprints);

  /// @brief Publishes to all instances that suspected parts were served.
  void ReportServed(const std::vector<quarantine::PartId>& aParts);

  /// @brief Sends subsequent calls to the store at another address.
  void SetStoreEndpoint(const net::Endpoint& aStore);

  /// @brief Removes this instance from the list of instances.
  [[nodiscard]] net::Awaitable<void> Deregister();

private:
  void Follow(store::ObjectFollower::Options aOptions,
              store::ObjectFollower::Callbacks aCallbacks);
  [[nodiscard]] store::ObjectFollower::Callbacks MakeCallbacks(
    store::ObjectKind aKind,
    std::function<void(const store::ObjectFollower::Objects&)> aOnObjects);
  void OnConfiguration(const store::ObjectFollower::Objects& aObjects);
  /// Extends the lease on keys; logs it if the lease was over.
  void ConfirmLease(TimePoint aSentAt);
  /// Returns `store`, or the process whose copy is followed.
  [[nodiscard]] std::string ConfigurationSource() const;
  /// Holds where a configuration was read.
  struct ConfigurationOrigin
  {
    /// `store`, the process that relayed it, or `record`; see
    /// `ConfigurationRecovery`
    std::string mSource;
    store::StoreRevision mRevision;
  };
  /// Puts a newer configuration in force.
  void Adopt(ingress::Configuration aConfiguration,
             const ConfigurationOrigin& aOrigin);
  /// Keeps a configuration that is put in force, as the store may lose it.
  void KeepForRecovery(const store::Object& aObject);
  /// Holds a configuration and the object that it was read from.
  struct ConfigurationCopy
  {
    store::Object mObject;
    ingress::Configuration mContent;
  };
  /// Reads a configuration that another instance has published.
  /// @return nothing if it is unreadable or of another version
  [[nodiscard]] std::optional<ConfigurationCopy> ReadRecord(
    const store::Object& aRecord,
    std::int64_t aVersion);
  /// Puts a configuration in force that another instance has published.
  void RecoverConfiguration(const store::ObjectFollower::Objects& aShared);
  /// Publishes the configuration in force if the store has lost it, and removes
  /// records of those that it holds again.
  void PublishConfiguration();
  void LogConfiguration(std::string_view aEvent,
                        const ingress::Configuration& aConfiguration,
                        const ConfigurationOrigin& aOrigin) const;
  void OnUpstreams(const store::ObjectFollower::Objects& aObjects);
  void OnRollouts(const store::ObjectFollower::Objects& aObjects);
  void OnDrains(const store::ObjectFollower::Objects& aObjects);
  void OnSharedObjects(const store::ObjectFollower::Objects& aObjects);
  void PublishUpstreams();
  [[nodiscard]] net::Awaitable<void> RunHousekeeping();
  /// Records that the store answered a call, or another instance's call.
  void OnStoreAnswered(TimePoint aSentAt);
  void DropExpiredUpstreams();
  void RemoveDueRecords();
  [[nodiscard]] net::Awaitable<void> WriteEvidence(
    rollout::EvidenceReport aReport);
  /// Replaces an object of this instance, or creates it, with retries.
  [[nodiscard]] net::Awaitable<void> WriteShared(std::string aName,
                                                 nlohmann::json aSpec,
                                                 std::string aCall);
  /// Reads the sessions that an instance has published, if they have changed.
  [[nodiscard]] std::optional<rollout::SessionReport> ReadSessions(
    const store::Object& aObject);
  /// Removes this instance's counts of roll-outs that are decided or gone.
  void RemoveOldEvidence();
  /// Passes records to the instance that this one follows, or publishes them.
  void Forward(const quarantine::RecordBatch& aRecords);
  /// Forwards until nothing is held any more.
  [[nodiscard]] net::Awaitable<void> RunForwarding();
  /// Does what the forwarding has due now.
  void StepForwarding();
  [[nodiscard]] net::Awaitable<void> SendRecords(
    quarantine::RecordForwarder::Message aMessage);
  /// Merges records with those that this instance is to publish.
  /// @return false: there was no room for all
  bool Merge(const quarantine::RecordBatch& aRecords);
  /// Takes records that a follower has sent.
  /// @param[in] aBody empty: it was too large
  /// @return status of the answer
  [[nodiscard]] unsigned OnForwardedRecords(std::string_view aBody);
  /// Passes records of a follower to the traffic thread: this instance tracks
  /// them as its own, so that its lists do not bring them back.
  void ApplyForwarded(const quarantine::RecordBatch& aRecords);
  void PublishCrashes();
  void PublishParts();
  void CreatePartRecord(const nlohmann::json& aRecord);
  [[nodiscard]] net::Awaitable<void> Register();
  [[nodiscard]] nlohmann::json Registration() const;
  using WriteStatePtr = std::shared_ptr<retry::WriteState>;

  /// Writes with retries until the store accepts the write.
  /// @param[in] aState may be replaced meanwhile; the write then ends
  /// @return the status of the answer; 0: not written
  [[nodiscard]] net::Awaitable<unsigned> WriteWithRetries(
    net::RequestMessage aRequest,
    std::string aName,
    WriteStatePtr aState,
    retry::WriteUrgency aUrgency = retry::WriteUrgency::Background);
  /// Waits until the store has answered a call that was sent later, as seen by
  /// this instance or its source.
  [[nodiscard]] net::Awaitable<void> AwaitStore(TimePoint aFailedAt,
                                                TimePoint aStartedAt);
  /// Creates an object with retries in the background.
  void StartCreation(const std::string& aObject,
                     const nlohmann::json& aSpec,
                     std::string aCall);
  /// Removes an object with retries in the background.
  void StartRemoval(const std::string& aObject, std::string aCall);
  /// Removes an object, unless it was not written in the end.
  [[nodiscard]] net::Awaitable<void> Remove(std::string aObject,
                                            std::string aCall,
                                            WriteStatePtr aState,
                                            WriteStatePtr aEarlier);
  /// Makes a write the latest one of an object.
  /// @return state of the write, and of the one that it replaces, if any
  std::pair<WriteStatePtr, WriteStatePtr> ReplaceWrite(
    const std::string& aObject,
    bool aIsCreation);
  /// Forgets a write that has ended.
  void EndWrite(const std::string& aObject, const WriteStatePtr& aState);
  /// Returns a random number in [0, 1).
  [[nodiscard]] double Random();
  void LogUnreadable(const store::Object& aObject,
                     std::string_view aKind,
                     const error::Findings& aFindings);

  net::asio::io_context& mContext;
  const settings::IngressSettings mSettings; ///< as of the start
  const store::StoreDialect& mDialect;
  ingress::FreshnessLease& mLease;
  PostTask mPost;
  metrics::Registry& mMetrics;
  store::StoreClient mClient;
  store::StoreClient mRecordClient; ///< calls the instance that is followed
  std::vector<std::unique_ptr<store::ObjectFollower>> mFollowers;
  relay::RelayServer mRelayServer;
  relay::RelayFollower mRelayFollower;
  membership::UpstreamEntryCache mRegisteredUpstreams;
  /// logged revisions of unreadable objects, by kind and name
  std::map<std::string, store::StoreRevision> mLoggedRevisions;
  std::int64_t mNewestVersion = -1; ///< of the configuration
  /// of the configuration that was read last; empty: none yet
  std::optional<store::StoreRevision> mLastReadRevision;
  quarantine::CrashRecords mCrashes;
  std::set<std::string> mOwnEvidence; ///< services with counts in the store
  /// of own counts seen in lists; empty: none yet
  std::optional<store::StoreRevision> mLastEvidenceRevision;
  /// services with an undecided roll-out; unknown before the first list
  std::optional<std::set<std::string>> mOpenRollouts;
  std::set<std::string> mOwnSessions; ///< objects with own sessions
  store::LostKinds mLostKinds;
  /// revisions of the sessions of other instances, by object
  std::map<std::string, store::StoreRevision> mSessionRevisions;
  quarantine::RecordTracker mPartRecords{ {} };
  std::int64_t mLastPartRecord = 0; ///< number in its name
  quarantine::SuspectReports mSuspects;
  retry::WriteBackoff mWriteBackoff{ {} };
  /// writes that have not ended, by object
  std::map<std::string, WriteStatePtr> mWrites;
  int mInstanceCount = 1; ///< registered instances
  /// a call that was sent then has been answered
  TimePoint mStoreAnsweredAt;
  std::minstd_rand mRandom{ std::random_device{}() };
  quarantine::ServedReports mServedParts;
  ingress::ConfigurationRecovery mRecovery;
  std::string mConfigurationRecord; ///< JSON text of the one in force
  quarantine::RecordForwarder mForwarder;
  std::string mRecordTarget;          ///< process that `mRecordClient` calls
  bool mIsForwarding = false;         ///< `RunForwarding` runs
  std::set<std::string> mDomainPeers; ///< instances of the own failure domain
};

} // namespace figslip::gateway
