#pragma once

#include <figslip/billing/billing_service.hpp>
#include <figslip/control/control_service.hpp>
#include <figslip/entry/entry_state.hpp>
#include <figslip/entry/request_runner.hpp>
#include <figslip/http/http_server.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/ratings/rating_service.hpp>
#include <figslip/session/session_token.hpp>
#include <figslip/settings/entry_settings.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace figslip::caller {

/// @brief Serves callers over HTTP and JSON.
class CallerApi
{
public:
  struct Services
  {
    std::shared_ptr<entry::EntryState> mState;
    std::shared_ptr<entry::RequestRunner> mRunner;
    std::shared_ptr<control::ControlService> mControl;
    std::shared_ptr<billing::BillingService> mBilling;
    std::shared_ptr<ratings::RatingService> mRatings;
    std::shared_ptr<metrics::Registry> mMetrics;
  };

  CallerApi(const settings::EntrySettings& aSettings,
            const membership::Incarnation& aSelf,
            Services aServices);

  /// @brief Returns the routes that callers use.
  [[nodiscard]] std::vector<http::HttpServer::Route> Routes();

private:
  class Exchange;

  void Serve(const http::ServerRequest& aRequest,
             http::ResponseWriter& aWriter);

  session::SessionSigner mSigner;
  Duration mDefaultDeadline;
  double mRatingShare;
  std::string mIdPrefix;
  std::atomic<std::uint64_t> mLastId{ 0 };
  Services mServices;
};

} // namespace figslip::caller
