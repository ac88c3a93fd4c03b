#pragma once

#include <figslip/fairshare/demand_exchange.hpp>
#include <figslip/gateway/control_plane.hpp>
#include <figslip/gateway/frontend.hpp>
#include <figslip/gateway/traffic_state.hpp>
#include <figslip/kernel/kernel.hpp>

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>

namespace figslip::gateway {

/// @brief Composes an instance that serves callers' HTTP requests.
///
/// A separate thread runs the control plane; the thread that calls Run() serves
/// the traffic.
class IngressDaemon
{
public:
  struct Options
  {
    settings::IngressSettings mSettings;
    ingress::Dialect mHttpDialect;
    store::StoreDialect mStoreDialect;
    /// reads the current settings
    std::function<Result<settings::IngressSettings>()> mReadSettings;
  };

  explicit IngressDaemon(Options aOptions);

  /// @brief Serves until SIGTERM or SIGINT requests a shutdown.
  /// @return findings if a service cannot be started
  [[nodiscard]] Result<void> Run();

private:
  void RegisterServices();
  [[nodiscard]] net::Awaitable<void> RunHousekeeping();
  [[nodiscard]] net::Awaitable<void> AwaitStopSignal();
  /// Reads the settings again and applies changes.
  /// @param[in] aIsRequested whether SIGHUP requested it; otherwise a periodic
  /// check, which logs only changes
  void Reload(bool aIsRequested);
  /// Applies the settings that can change while the process runs.
  void Apply(const settings::IngressSettings& aSettings);

  Options mOptions;
  /// read last; in force, except those that need a restart
  settings::IngressSettings mLastSettings;
  std::string mLastFindings; ///< of the last read; empty: valid
  // the contexts must outlive all sockets and timers, including those of the
  // services in the kernel
  net::asio::io_context mTrafficContext{ 1 };
  net::asio::io_context mControlContext{ 1 };
  net::asio::signal_set mSignals{ mTrafficContext };
  metrics::Registry mMetrics;
  ingress::FreshnessLease mLease;
  std::shared_ptr<TrafficState> mTraffic;
  std::shared_ptr<ControlPlane> mControl;
  std::shared_ptr<Frontend> mFrontend;
  std::shared_ptr<fairshare::DemandExchange> mDemandExchange; ///< null: none
  kernel::Kernel mKernel;
};

} // namespace figslip::gateway
