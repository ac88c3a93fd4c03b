#pragma once

#include <figslip/billing/billing_service.hpp>
#include <figslip/control/control_service.hpp>
#include <figslip/entry/entry_state.hpp>
#include <figslip/entry/router_service.hpp>
#include <figslip/http/http_server.hpp>
#include <figslip/metrics/registry.hpp>

#include <memory>
#include <string>
#include <vector>

namespace figslip::entry {

/// @brief Serves the read-only administration API.
///
/// `/healthz` tells that the process runs, `/readyz` whether it takes new
/// work, `/metrics` the counters, `/status` the control state as JSON.
class AdminApi
{
public:
  struct Services
  {
    std::shared_ptr<EntryState> mState;
    std::shared_ptr<control::ControlService> mControl;
    std::shared_ptr<RouterService> mRouter;
    std::shared_ptr<billing::BillingService> mBilling;
    std::shared_ptr<metrics::Registry> mMetrics;
  };

  AdminApi(std::string aInstance, Services aServices);

  [[nodiscard]] std::vector<http::HttpServer::Route> Routes();

private:
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] std::string PrintStatus();

  std::string mInstance;
  Services mServices;
};

} // namespace figslip::entry
