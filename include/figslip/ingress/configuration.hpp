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

/// @brief Lists how often a request of a route may be executed.
enum class RouteKind
{
  Idempotent,    ///< any number of times
  NonIdempotent, ///< at most once for each client attempt
  Streaming      ///< at most once, unless the route is resumable
};

/// @brief Names a service and its weight in the traffic of a route.
struct WeightedService
{
  std::string mService;
  double mWeight = 1.0; ///< >= 0
};

/// @brief Maps requests by host and path prefix to services.
struct Route
{
  std::string mName;
  std::string mHost;
  std::string mPathPrefix; ///< begins and ends with a slash
  RouteKind mKind = RouteKind::NonIdempotent;
  std::vector<WeightedService> mServices; ///< at least one
  /// models to choose from, smallest first; if empty, the caller names one
  std::vector<std::string> mModels;
  std::vector<std::string> mAllowedRegions; ///< empty: all
  Duration mTimeout{};                      ///< of a request, over all attempts
  Duration mTargetLatency{}; ///< to the response; of streams, to first event
  Duration mTargetGap{};     ///< max pause between events; 0: no target
  int mPriority = 0;         ///< 0 is the most urgent
  int mMaxAttempts = 1;      ///< upstreams to which a request may be sent
  bool mPublic = false;      ///< needs no API key
  bool mResumable = false;   ///< streams may resume on another upstream

  /// @brief Checks whether a request that may already have been executed may
  /// be sent to another upstream.
  [[nodiscard]] bool IsRetryable() const
  {
    return mKind == RouteKind::Idempotent ||
           (mKind == RouteKind::Streaming && mResumable);
  }
};

/// @brief Describes a language model that an engine serves.
struct EngineModel
{
  std::string mName;
  double mCost = 0.0; ///< per 1,000 generated tokens
};

/// @brief Describes the engines of a language-model service.
struct EngineLimits
{
  int mSlots = 1; ///< concurrent requests of an engine
  /// tokens that the running requests and cached prefixes may occupy
  std::int64_t mCapacityTokens = 0;
  std::vector<EngineModel> mModels;
};

/// @brief Describes a service and the limits of its upstreams.
struct Service
{
  std::string mName;
  int mMaxConnections = 0; ///< per upstream, summed over all instances
  /// length of the cold phase of an upstream that starts under traffic
  Duration mColdStart{};
  /// requests that an upstream tolerates while cold; 0: no limit
  double mMaxColdRequestsPerSecond = 0.0;
  std::optional<EngineLimits> mEngine; ///< nothing for a plain service
};

/// @brief Holds a client account and its API keys.
struct ClientAccount
{
  std::string mName;
  std::vector<std::string> mKeys;
  std::optional<int> mPriority;             ///< overrides that of the route
  std::vector<std::string> mAllowedRegions; ///< empty: all
};

/// @brief Limits the size and the duration of callers' requests.
struct CallerLimits
{
  std::size_t mMaxHeaderBytes = 16'384;
  std::size_t mMaxBodyBytes = 4'194'304;
  Duration mHeaderTimeout = std::chrono::seconds(3);
  Duration mIdleTimeout = std::chrono::seconds(15);
};

/// @brief Holds one version of the configuration that operators publish.
struct Configuration
{
  std::int64_t mVersion = 0;
  std::vector<Route> mRoutes;
  std::vector<Service> mServices;
  std::vector<ClientAccount> mAccounts; ///< empty: no API key is required
  CallerLimits mLimits;
};

/// @brief Lists what became of the key of a request since its admission.
enum class KeyState
{
  Valid,
  Revoked,   ///< no client account has the key
  Reassigned ///< belongs to another client account, or no account is needed
};

/// @brief Indexes the routes, accounts and services of a configuration.
class ConfigurationIndex
{
public:
  explicit ConfigurationIndex(Configuration aConfiguration);

  [[nodiscard]] const Configuration& Content() const { return mConfiguration; }
  [[nodiscard]] std::int64_t Version() const { return mConfiguration.mVersion; }

  /// @brief Finds the route of the host with the longest matching prefix.
  /// @param[in] aHost the `Host` header, with or without a port
  /// @param[in] aPath path without the query
  /// @return null if no route matches
  [[nodiscard]] const Route* MatchRoute(std::string_view aHost,
                                        std::string_view aPath) const;

  /// @brief Finds the client account of an API key.
  /// @return null if no account has the key
  [[nodiscard]] const ClientAccount* FindAccount(std::string_view aKey) const;

  /// @brief Compares the account of a key with the account at the admission of
  /// its request.
  /// @param[in] aAccount name of the account at the admission
  [[nodiscard]] KeyState StateOfKey(std::string_view aKey,
                                    std::string_view aAccount) const;

  /// @return null if there is no such service
  [[nodiscard]] const Service* FindService(std::string_view aName) const;

private:
  Configuration mConfiguration;
  std::map<std::string, std::vector<const Route*>, std::less<>> mRoutesByHost;
  std::map<std::string, const ClientAccount*, std::less<>> mAccountsByKey;
  std::map<std::string, const Service*, std::less<>> mServicesByName;
};

using ConfigurationPtr = std::shared_ptr<const ConfigurationIndex>;

/// @brief Chooses a service of a route by weight.
/// @param[in] aHash distributes the requests; equal hashes get the same service
/// @note The route must have at least one service.
[[nodiscard]] const std::string&
ChooseService(const Route& aRoute, std::uint64_t aHash);

} // namespace figslip::ingress
