#pragma once

#include <figslip/http/http_message.hpp>
#include <figslip/time/time_point.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <variant>

namespace figslip::http {

/// @brief Describes why no whole response came.
struct CallFailure
{
  bool mBytesMayHaveLeft = true;  ///< false only if no connection was made
  bool mTimedOut = false;         ///< a step took too long
  bool mReusedConnection = false; ///< the connection had served calls before
};

/// @brief Holds a whole response or the reason for none.
///
/// A response has a final status, 200 or above. "100 Continue" is skipped; any
/// other status below 200 is a failure.
using CallResult = std::variant<ClientResponse, CallFailure>;

/// @brief Sets how one call is made.
struct CallOptions
{
  Duration mConnectTimeout = std::chrono::seconds(1);
  Duration mFirstByteTimeout = std::chrono::seconds(30); ///< until the status
  Duration mNextByteTimeout = std::chrono::seconds(5);   ///< between chunks
  bool mFreshConnection = false; ///< uses no pooled connection
  /// receives the body of a response of status 200; returns false to abandon
  std::function<bool(std::string_view)> mReceiver;
  /// is called with status and headers, before the body
  std::function<void(const ClientResponse&)> mOnHead;
  /// is called right before bytes leave; returns false to cancel
  std::function<bool()> mBeforeSend;
  /// is called when a step has taken its time, with whether the connection had
  /// served calls before; returns false to give the step the same time again.
  /// If empty, the call ends.
  /// @note Runs on another thread.
  std::function<bool(bool)> mMayGiveUp;
  /// end of a call that `mMayGiveUp` has prolonged
  TimePoint mDeadline = TimePoint::max();
};

/// @brief Calls HTTP servers over pooled keep-alive connections.
///
/// Thread-safe. A connection is used by one call at a time, is closed after
/// any failure, and is not used again once it is older than the pool's limit.
class HttpClient
{
public:
  struct Options
  {
    Duration mMaxIdle = std::chrono::seconds(2); ///< idle time in the pool
    Duration mMaxAge = std::chrono::seconds(60); ///< life of a connection
  };

  explicit HttpClient(Options aOptions);
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  ~HttpClient();

  /// @brief Makes one call and waits for its end.
  [[nodiscard]] CallResult Call(const Endpoint& aEndpoint,
                                const ClientRequest& aRequest,
                                const CallOptions& aOptions);

  /// @brief Closes all idle connections to a server.
  void RetireConnections(const Endpoint& aEndpoint);

private:
  class Implementation;
  std::unique_ptr<Implementation> mImplementation;
};

} // namespace figslip::http
