#pragma once

#include <figslip/metrics/registry.hpp>
#include <figslip/net/connection_pool.hpp>
#include <figslip/store/store_dialect.hpp>
#include <figslip/time/time_point.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::store {

/// @brief Classifies the outcome of a call to the store.
enum class CallOutcome
{
  Answered,    ///< response received, with status and body
  Unavailable, ///< refused as busy, or never sent: not executed
  Unknown      ///< no complete response: it may have been executed
};

/// @brief Holds the outcome of a call and the response, if any.
struct CallResult
{
  CallOutcome mOutcome = CallOutcome::Unavailable;
  unsigned mStatus = 0;
  net::Headers mHeaders; ///< if `Answered`
  std::string mBody;
  std::string mReason;       ///< of the failure, unless `Answered`
  bool mIsOversized = false; ///< the answer was larger than accepted
  bool mHasTimedOut = false; ///< nothing came in the time for the next step
};

/// @brief Calls the platform's store, or another instance that relays its copy,
/// over pooled connections.
class StoreClient
{
public:
  using Milliseconds = std::chrono::milliseconds;

  /// @param[in] aExecutor runs the connections
  /// @param[in] aEndpoint address of the store or of the other instance
  /// @param[in] aMetrics must outlive the client
  /// @param[in] aCounter name of the metric that counts calls by outcome
  StoreClient(const net::asio::any_io_executor& aExecutor,
              net::Endpoint aEndpoint,
              metrics::Registry& aMetrics,
              std::string aCounter = "figslip_store_calls_total");

  /// @brief Sends a request and waits for the response; does not retry.
  /// @param[in] aRequest sent with a `Host` header added
  /// @param[in] aName label of the call in metrics
  /// @param[in] aTimeout for the response head; restarts for each read of the
  ///            body
  /// @param[in] aResendAfter time without a response head after which a call on
  ///            a connection that was used before is sent again on a new one;
  ///            only for calls that may be executed twice; none: never
  /// @note After a call without a response all idle connections are closed, as
  ///       they may be silent too. A quick response on the new connection shows
  ///       that they are: other calls on connections opened before end.
  [[nodiscard]] net::Awaitable<CallResult> Call(
    net::RequestMessage aRequest,
    std::string aName,
    Milliseconds aTimeout,
    std::optional<Milliseconds> aResendAfter = std::nullopt);

  /// @brief Returns the executor that runs the connections.
  [[nodiscard]] const net::asio::any_io_executor& Executor() const
  {
    return mExecutor;
  }

  /// @brief Sets the endpoint for further calls and closes the pooled
  /// connections to the previous one.
  void SetEndpoint(net::Endpoint aEndpoint);

private:
  using Connection = std::shared_ptr<net::ClientConnection>;

  [[nodiscard]] net::Awaitable<CallResult> Exchange(
    std::string aBytes,
    Milliseconds aTimeout,
    std::optional<Milliseconds> aResendAfter);
  [[nodiscard]] net::Awaitable<CallResult> ExchangeOnNew(std::string aBytes,
                                                         Milliseconds aTimeout);
  [[nodiscard]] net::Awaitable<CallResult> ExchangeOn(Connection aConnection,
                                                      net::Endpoint aEndpoint,
                                                      std::string aBytes,
                                                      Milliseconds aTimeout);
  /// Ends the calls that run on connections opened before a time.
  void AbortCallsOnOlder(TimePoint aOpenedAt);

  net::asio::any_io_executor mExecutor;
  net::Endpoint mEndpoint;
  metrics::Registry& mMetrics;
  std::string mCounter;
  net::ConnectionPool mPool;
  /// opening of the connections that calls run on; the epoch: used before
  std::map<Connection, TimePoint> mInUse;
};

} // namespace figslip::store
