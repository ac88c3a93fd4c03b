#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::ingress {

/// @brief Lists how often the requests of a route may run.
enum class RouteKind
{
  Idempotent,    ///< any number of times
  NonIdempotent, ///< at most once for each client attempt
  Streaming      ///< at most once, unless the route is resumable
};

/// @brief Names a service and the share of a route's traffic it gets.
struct WeightedService
{
  std::string mService;
  double mWeight = 1.0; ///< >= 0
};

/// @brief Describes one route of callers to services.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< begins and ends with a slash
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<WeightedService> mServices; ///< at least one
  std::vector<std::string> mModels; ///< to choose from, smallest first; may be
                                    ///< empty: the caller names the model
  std::vector<std::string> mAllowedRegions; ///< empty: all
  Duration mTimeout{};       ///< a request is answered within this time
  Duration mTargetLatency{}; ///< until the answer, of streams the first event
  Duration mTargetGap{};     ///< longest good pause between events
  int mPriority = 0;         ///< 0 is the most urgent
  int mMaxAttempts = 1;      ///< upstreams that one request may be sent to
  bool mPublic = false;      ///< needs no API key
  bool mResumable = false;   ///< a stream may go on at another upstream

  /// @brief Tells whether a request may run on a second upstream after it may
  /// have run on a first one.
  [[nodiscard]] bool IsRetryable() const
  {
    return mKind == RouteKind::Idempotent ||
           (mKind == RouteKind::Streaming && mResumable);
  }
};

/// @brief Describes one model of an engine.
struct EngineModel
{
  std::string mName;
  double mCost = 0.0; ///< per 1,000 tokens generated
};

/// @brief Describes the engines of a service of language models.
struct EngineLimits
{
  int mSlots = 1;                   ///< requests run at a time
  std::int64_t mCapacityTokens = 0; ///< of running requests and cached prefixes
  std::vector<EngineModel> mModels;
};

/// @brief Describes a service and what its upstreams bear.
struct Service
{
  std::string mName;
  int mMaxConnections = 0; ///< per upstream, of all instances together
  Duration mColdStart{};   ///< time after a start during traffic
  double mMaxColdRequestsPerSecond =
    0.0; ///< requests borne while cold; 0: no limit
  std::optional<EngineLimits> mEngine; ///< none: a plain service
};

/// @brief Holds a client account and its API keys.
struct ClientAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<int> mPriority;             ///< goes before that of the route
  std::vector<std::string> mAllowedRegions; ///< empty: all
};

/// @brief Bounds what callers may send, and how slowly.
struct CallerLimits
{
  std::size_t mMaxHeaderBytes = 16'384;
  std::size_t mMaxBodyBytes = 4'194'304;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

/// @brief Holds one version of the operators' configuration.
struct Configuration
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<Service> mServices;
  std::vector<ClientAccount> mAccounts; ///< empty: no keys are asked for
  CallerLimits mLimits;
};

/// @brief Finds routes, accounts and services of a configuration.
class ConfigurationIndex
{
public:
  explicit ConfigurationIndex(Configuration aConfiguration);

  [[nodiscard]] const Configuration& Content() const { return mConfiguration; }
  [[nodiscard]] std::int64_t Version() const { return mConfiguration.mVersion; }

  /// @brief Finds the route of the host with the longest matching prefix.
  /// @param[in] aHost the `Host` header, with or without a port
  /// @param[in] aPath path without the query
  /// @return null where no route matches
  [[nodiscard]] const Route* MatchRoute(std::string_view aHost,
                                        std::string_view aPath) const;

  /// @return null where no account holds the key
  [[nodiscard]] const ClientAccount* FindAccount(std::string_view aKey) const;

  [[nodiscard]] const Service* FindService(std::string_view aName) const;

private:
  Configuration mConfiguration;
  std::map<std::string, std::vector<const Route*>, std::less<>> mRoutesByHost;
  std::map<std::string, const ClientAccount*, std::less<>> mAccountsByKey;
  std::map<std::string, const Service*, std::less<>> mServicesByName;
};

using ConfigurationPtr = std::shared_ptr<const ConfigurationIndex>;

/// @brief Chooses a service of a route by weight.
/// @param[in] aHash spreads requests; equal hashes get the same service
[[nodiscard]] const std::string&
ChooseService(const Route& aRoute, std::uint64_t aHash);

} // namespace figslip::ingress
