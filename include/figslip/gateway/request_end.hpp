#pragma once

#include <optional>
#include <string_view>

namespace figslip::gateway {

/// @brief Lists the outcomes of a request, for responses, logs and metrics.
enum class RequestEnd
{
  Served,           ///< an upstream's answer was relayed completely
  Malformed,        ///< the request cannot be parsed
  TooLarge,         ///< exceeds a limit of the configuration
  TooSlow,          ///< not received completely in time
  NoRoute,          ///< no route matches its host and path
  UnknownKey,       ///< its key belongs to no client account
  Stopping,         ///< the instance is shutting down
  NotReady,         ///< configuration or upstreams not received yet
  StaleKeys,        ///< the configuration is too old to accept a key
  CrashesUpstreams, ///< quarantined: upstreams crashed on it
  VersionWithdrawn, ///< the version of its session is withdrawn, and another
                    ///< one is allowed only after the session has expired
  NoUpstream,       ///< no eligible upstream is registered
  NoCapacity,       ///< no slot was free, and none expected in time
  Rejected,         ///< upstreams refused it without running it
  NoContact,        ///< handed over to an instance that reaches no upstream
  Busy,             ///< handed over to an instance that is too busy to take it
  OlderConfiguration, ///< handed over to an instance with an older
                      ///< configuration than the first one's
  RouteTimeout,       ///< the timeout of the route expired
  UpstreamFailed,     ///< it may have run, without an answer
  BrokenMidway,       ///< the stream broke and could not be resumed
  CallerLeft          ///< the caller closed the connection
};

/// @brief Describes the response to, and the name of, an outcome.
struct EndDescription
{
  RequestEnd mEnd;
  std::string_view mName;
  unsigned mStatus; ///< sent to the caller; 0: no own status
  /// Retry-After header, seconds; if not empty, the request has not run
  std::string_view mRetryAfter;

  /// @brief Checks whether the status promises that the request has not run, so
  /// that the caller can safely send it again.
  [[nodiscard]] bool PromisesNotRun() const { return !mRetryAfter.empty(); }
};

/// @brief Returns the status, name and Retry-After value of an outcome.
[[nodiscard]] const EndDescription&
Describe(RequestEnd aEnd);

/// @brief Returns the outcome of a name; nothing if no outcome has it.
[[nodiscard]] std::optional<RequestEnd>
EndNamed(std::string_view aName);

} // namespace figslip::gateway
