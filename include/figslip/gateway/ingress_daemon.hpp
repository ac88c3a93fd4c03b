#pragma once

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
/// One thread has the control state, the calling one serves the traffic.
class IngressDaemon
{
public:
  struct Options
  {
    settings::IngressSettings mSettings;
    ingress::Dialect mHttpDialect;
    store::StoreDialect mStoreDialect;
    /// reads the settings anew
    std::function<Result<settings::IngressSettings>()> mReadSettings;
  };

  explicit IngressDaemon(Options aOptions);

  /// @brief Serves until a signal asks to stop.
  [[nodiscard]] Result<void> Run();

private:
  void RegisterServices();
  [[nodiscard]] net::Awaitable<void> RunHousekeeping();
  [[nodiscard]] net::Awaitable<void> AwaitStopSignal();
  /// Reads the settings again, as a signal asked for or as they may change
  /// without one.
  void Reload(bool aIsRequested);
  /// Puts into force what can change while the process runs.
  void Apply(const settings::IngressSettings& aSettings);

  Options mOptions;
  settings::IngressSettings mLastSettings; ///< in force, but for a restart
  std::string mLastFindings;               ///< findings of the last read
  // the contexts outlive all sockets and timers, those of the kernel's too
  net::asio::io_context mTrafficContext{ 1 };
  net::asio::io_context mControlContext{ 1 };
  net::asio::signal_set mSignals{ mTrafficContext };
  metrics::Registry mMetrics;
  ingress::FreshnessLease mLease;
  std::shared_ptr<TrafficState> mTraffic;
  std::shared_ptr<ControlPlane> mControl;
  std::shared_ptr<Frontend> mFrontend;
  kernel::Kernel mKernel;
};

} // namespace figslip::gateway
