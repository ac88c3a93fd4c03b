#pragma once

#include <string_view>

namespace figslip::gateway {

/// @brief Lists how a request can end, for logs and metrics.
enum class RequestEnd
{
  Served,           ///< an upstream's answer went out whole
  Malformed,        ///< not a proper request
  TooLarge,         ///< over a limit of the configuration
  TooSlow,          ///< not whole in time
  NoRoute,          ///< no route for its host and path
  UnknownKey,       ///< no account holds its key
  Stopping,         ///< the instance is about to end
  NotReady,         ///< no configuration or no upstreams are known yet
  StaleKeys,        ///< the configuration is too old to accept a key
  CrashesUpstreams, ///< it crashed upstreams that ran it
  NoUpstream,       ///< none that may run it is registered
  NoCapacity,       ///< no place, and none expected in time
  Rejected,         ///< upstreams refused it without running it
  RouteTimeout,     ///< the route's time passed
  UpstreamFailed,   ///< it may have run and no answer came
  BrokenMidway,     ///< the stream broke off and could not go on
  CallerLeft        ///< the caller closed the connection
};

/// @brief Describes a way to end.
struct EndDescription
{
  RequestEnd mEnd;
  std::string_view mName;
  unsigned mStatus; ///< answer to the caller; 0: none of our own
  /// when the caller should come back, seconds; such a status promises that
  /// the request has not run
  std::string_view mRetryAfter;

  [[nodiscard]] bool PromisesNotRun() const { return !mRetryAfter.empty(); }
};

[[nodiscard]] const EndDescription&
Describe(RequestEnd aEnd);

} // namespace figslip::gateway
