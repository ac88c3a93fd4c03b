#pragma once

#include <figslip/cascade/delay_scale.hpp>
#include <figslip/cascade/size_policy.hpp>
#include <figslip/gateway/request_end.hpp>
#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/dialect.hpp>
#include <figslip/ingress/freshness_lease.hpp>
#include <figslip/membership/instance_place.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/net/connection_pool.hpp>
#include <figslip/placement/upstream_board.hpp>
#include <figslip/quarantine/quarantine.hpp>
#include <figslip/retry/retry_budget.hpp>
#include <figslip/rollout/staged_rollout.hpp>
#include <figslip/settings/ingress_settings.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace figslip::gateway {

/// @brief Holds what the traffic thread tells the control thread.
struct TrafficReports
{
  std::function<void(const rollout::StatusChange&)> mOnStatusChange;
  std::function<void(const quarantine::CrashReport&)> mOnCrash;
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
  void OnConfiguration(ingress::ConfigurationPtr aConfiguration);
  void OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries);
  void OnInstances(const std::vector<membership::InstancePlace>& aInstances);
  /// @brief Takes settings that were changed in place.
  void OnSettings();
  void OnCrashReports(const std::vector<quarantine::CrashReport>& aReports);
  /// @brief Hands due status changes to the control thread; every 100 ms.
  void OnTick();
  /// @}

  /// @brief Tells whether callers can be served.
  [[nodiscard]] bool IsReady() const;

  const settings::IngressSettings& mSettings;
  const ingress::Dialect& mDialect;
  ingress::FreshnessLease& mLease;
  metrics::Registry& mMetrics;
  ingress::ConfigurationPtr mConfiguration;
  placement::UpstreamBoard mBoard;
  retry::RetryBudget mRetries;
  rollout::StagedRollout mRollouts;
  cascade::SizePolicy mSizePolicy;
  /// how much later than expected the largest models answer, by service
  std::map<std::string, cascade::DelayScale> mLargestModelDelay;
  net::ConnectionPool mPool;
  quarantine::Quarantine mQuarantine;
  TrafficReports mReports;
  int mInstanceCount = 1; ///< registered
  bool mHasUpstreams = false;
  bool mIsStopping = false;      ///< not ready any more; serves what comes
  bool mRefusesRequests = false; ///< what came now would be cut off
  int mOpenRequests = 0;
  TimePoint mStartedAt; ///< start of the process

private:
  /// Takes this instance's part of the allowance of repeats.
  void DivideRetryAllowance();
};

} // namespace figslip::gateway
