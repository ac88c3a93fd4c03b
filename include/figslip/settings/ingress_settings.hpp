#pragma once

#include <figslip/error/result.hpp>
#include <figslip/net/client_connection.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::settings {

/// @brief Holds the settings of an instance that serves callers' HTTP requests.
struct IngressSettings
{
  std::string mInstance;      ///< unique name of the instance
  std::string mFailureDomain; ///< failure domain of the instance
  std::map<std::string, std::string> mRegions; ///< by failure domain
  net::Endpoint mCallers;                      ///< where callers are served
  net::Endpoint mReadiness; ///< where the balancer asks for readiness
  net::Endpoint mMetrics;   ///< where metrics are served
  net::Endpoint mPeers;     ///< where other instances ask
  net::Endpoint mStore;     ///< the platform's store
  int mMemoryMb = 256;      ///< memory of the process, MB
  int mMaxDescriptors = 1024;
  Duration mGrace{}; ///< from SIGTERM to the end of the process
  /// interval at which upstreams renew their entries in the store
  Duration mUpstreamHeartbeat = std::chrono::milliseconds(1'200);
  Duration mRevocation{};   ///< a key taken away works no longer than this
  double mRetryShare = 0.0; ///< repeats per request that all instances share
  double mRetrySlack = 0.0; ///< repeats beyond, of all instances together
  Duration mRetryWindow{};  ///< over which both count
  Duration mSessionTtl{};   ///< pause that ends a session
  /// share of a service's requests that a new version may receive in its
  /// roll-out
  double mExposureShare = 0.0;
  double mExposureSlack = 0.0; ///< requests beyond, of all instances together
  /// whether requests wait in fair order and upstreams have limits of
  /// concurrency, for callers that compete for too little capacity
  bool mOverloadControl = false;
  /// where other instances exchange the demand of accounts; empty: no exchange
  std::optional<net::Endpoint> mDemandExchange;
  /// where instances that are cut off from all upstreams hand requests over;
  /// all instances use the same port. Empty: requests are not handed over
  std::optional<net::Endpoint> mHandOver;
  /// registered instances up to which each publishes its records about crashes
  /// itself; with more, those that follow another instance send them to it
  int mMaxDirectPublishers = 10;

  /// part of the memory for what callers send and for what they have not taken
  /// of whole answers
  double mCallerMemoryShare = 0.375;
  /// time after which a caller that takes none of a stream is given up, as its
  /// upstream would abort the stream
  Duration mUnreadStreamTimeout = std::chrono::seconds(3);

  bool operator==(const IngressSettings&) const = default;
};

/// @brief Parses and checks the settings.
/// @param[in] aText the JSON text
/// @return the settings, or all findings, each with its JSON pointer
[[nodiscard]] Result<IngressSettings>
ParseIngressSettings(std::string_view aText);

} // namespace figslip::settings
