#pragma once

#include <figslip/admission/drain_plan.hpp>
#include <figslip/admission/slot_waiters.hpp>
#include <figslip/cascade/latency_scale.hpp>
#include <figslip/cascade/size_policy.hpp>
#include <figslip/fairshare/fair_shares.hpp>
#include <figslip/gateway/request_end.hpp>
#include <figslip/gateway/slot_queue.hpp>
#include <figslip/handover/peer_choice.hpp>
#include <figslip/handover/upstream_contact.hpp>
#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/dialect.hpp>
#include <figslip/ingress/freshness_lease.hpp>
#include <figslip/membership/instance_count.hpp>
#include <figslip/membership/instance_location.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/net/connection_pool.hpp>
#include <figslip/placement/upstream_selector.hpp>
#include <figslip/quarantine/part_quarantine.hpp>
#include <figslip/quarantine/quarantine.hpp>
#include <figslip/retry/retry_budget.hpp>
#include <figslip/rollout/staged_rollout.hpp>
#include <figslip/settings/ingress_settings.hpp>
#include <figslip/stream/buffer_budget.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figslip::gateway {

/// @brief Holds the callbacks that report to the control thread.
struct TrafficReports
{
  std::function<void(const rollout::StatusChange&)> mOnStatusChange;
  std::function<void(const quarantine::CrashReport&)> mOnCrash;
  /// called with the fingerprints of suspected requests that were served
  std::function<void(const std::set<std::uint64_t>&)> mOnExonerated;
  std::function<void(const rollout::EvidenceReport&)> mOnEvidence;
  std::function<void(const rollout::SessionReport&)> mOnSessions;
  std::function<void(const quarantine::CrashSuspects&)> mOnCrashSuspects;
  /// called with suspected parts that were served
  std::function<void(const std::vector<quarantine::PartId>&)> mOnServedParts;
};

/// @brief Holds all state of the traffic thread; used by that thread only.
struct TrafficState
{
  TrafficState(const settings::IngressSettings& aSettings,
               const ingress::Dialect& aDialect,
               ingress::FreshnessLease& aLease,
               metrics::Registry& aMetrics);

  /// @name Control events
  /// @{
  /// @brief Puts a configuration in force; open requests keep their routes.
  void OnConfiguration(ingress::ConfigurationPtr aConfiguration);
  /// @brief Replaces the registered upstreams.
  void OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries);
  /// @brief Replaces the registered instances and divides the common allowances
  /// among them.
  void OnInstances(const std::vector<membership::InstanceLocation>& aInstances);
  /// @brief Applies settings that were changed in place.
  void OnSettings();
  /// @brief Records crashes that other instances have published.
  void OnCrashReports(const std::vector<quarantine::CrashReport>& aReports);
  /// @brief Forgets crashes that other instances have withdrawn.
  void OnCrashesWithdrawn(const std::vector<quarantine::CrashReport>& aReports);
  /// @brief Records what other instances have published about parts of prompts.
  void OnPartRecords(const std::vector<quarantine::CrashSuspects>& aCrashes,
                     const std::vector<quarantine::PartId>& aServed);
  /// @brief Reports due status changes to the control thread and removes
  /// expired entries; called every 100 ms.
  /// @param[in] aLateness by how much the call came too late
  void OnTick(Duration aLateness);
  /// @}

  /// @brief Records what an upstream says of itself in the head of a response.
  /// @param[in] aUpstream as registered when the request was sent
  /// @param[in] aSentAt time at which the request was sent
  void OnResponse(const ingress::UpstreamEntry& aUpstream,
                  const ingress::ResponseMetadata& aResponse,
                  TimePoint aSentAt);

  /// @brief Removes a request from the load of its upstream, so that another
  /// one may be admitted.
  void ReleaseSlot(placement::Reservation& aReservation);
  /// @brief Records that an upstream rejected a request as it is full.
  /// @param[in] aSentAt time at which the request was sent
  void OnRejected(const ingress::UpstreamEntry& aUpstream,
                  const placement::Reservation& aReservation,
                  TimePoint aSentAt);

  /// @name Contact with upstreams
  /// @{
  /// @brief Records that a connection to an upstream was opened.
  void OnConnected();
  /// @brief Records that a connection was refused or not opened in time.
  /// @param[in] aStartedAt begin of the try
  void OnConnectFailed(std::string_view aUpstream, TimePoint aStartedAt);
  /// @}

  /// @brief Checks whether requests of other instances can be taken.
  [[nodiscard]] bool IsBusy() const;

  /// @brief Checks whether callers can be served.
  ///
  /// Requires a configuration, a list of upstreams and a held lease, and that
  /// the instance is not stopping.
  [[nodiscard]] bool IsReady() const;

  /// @brief Checks whether a graceful shutdown has begun.
  [[nodiscard]] bool IsStopping() const { return mDrain.has_value(); }

  const settings::IngressSettings& mSettings;
  const ingress::Dialect& mDialect;
  ingress::FreshnessLease& mLease;
  metrics::Registry& mMetrics;
  ingress::ConfigurationPtr mConfiguration;
  placement::UpstreamSelector mBoard;
  retry::RetryBudget mRetries;
  fairshare::FairShares mShares; ///< of the client accounts
  SlotQueue mQueue; ///< used where the setting `overload_control` is on
  admission::SlotWaiters mSlotWaiters; ///< used where it is off
  rollout::StagedRollout mRollouts;
  cascade::SizePolicy mSizePolicy;
  /// scale of the delays of the largest models beyond the expected ones, by
  /// service
  std::map<std::string, cascade::LatencyScale> mLargestModelDelay;
  net::ConnectionPool mPool;     ///< connections to upstreams
  net::ConnectionPool mPeerPool; ///< to instances that requests are handed to
  handover::UpstreamContact mContact{ {} };
  handover::PeerChoice mPeerChoice;
  stream::BufferBudget mAnswerMemory; ///< of answers that are received
  quarantine::Quarantine mQuarantine;
  quarantine::PartQuarantine mParts;
  TrafficReports mReports;
  membership::InstanceCount mInstances;
  int mInstanceCount = 1; ///< instances that share common limits
  bool mHasUpstreams = false;
  std::optional<admission::DrainPlan> mDrain; ///< empty: not stopping
  int mOpenRequests = 0;
  TimePoint mStartedAt; ///< start of the process

private:
  /// Sets the metrics on the speed of upstreams.
  void ReportSpeeds(TimePoint aNow);
  /// Logs and counts a change of a concurrency limit.
  void RecordLimit(const ingress::UpstreamEntry& aUpstream,
                   placement::LimitChange aChange,
                   TimePoint aNow);
  void RecordMaxRate(const ingress::UpstreamEntry& aUpstream,
                     std::optional<double> aMaxRate,
                     TimePoint aSentAt,
                     TimePoint aNow);
  void RecordPause(const ingress::UpstreamEntry& aUpstream,
                   double aSeconds,
                   TimePoint aNow);
  /// Holds what metrics tell of a service that is short of capacity, cost per
  /// second.
  struct ShareGauges
  {
    double mShare = 0.0; ///< of this instance
    double mPacedRate = 0.0;
  };

  /// Passes the shares of this instance on to the choice of upstreams.
  void UpdateInstanceShares(TimePoint aNow);
  void SetShareGauges(const std::string& aService, const ShareGauges& aGauges);
  /// Calculates the shares of the client accounts and reports their changes.
  void UpdateShares(TimePoint aNow);
  /// Logs the quarantined parts and reports those that were cleared.
  void ReportParts(TimePoint aNow);
  /// Divides the common limits among the instances if their number has changed.
  void UpdateInstanceCount(TimePoint aNow);
  /// Divides the allowances of retries and of requests to new versions among
  /// the registered instances.
  void DivideAllowances();

  /// Logs a change of the contact, and acts on a loss.
  void ReportContact();

  handover::ContactState mReportedContact = handover::ContactState::Held;
  Duration mLateness{}; ///< of the last tick
  TimePoint mTickedAt;
  TimePoint mSpeedsReportedAt;
  std::set<std::string> mPacedServices; ///< as of the last tick
};

} // namespace figslip::gateway
