#pragma once

#include <figslip/metrics/registry.hpp>
#include <figslip/net/connection_pool.hpp>
#include <figslip/store/store_dialect.hpp>

#include <chrono>
#include <string>
#include <string_view>

namespace figslip::store {

/// @brief Lists how a call to the store can end.
enum class CallOutcome
{
  Answered,    ///< with the status and body given
  Unavailable, ///< refused as busy, or never sent: nothing was done
  Unknown      ///< no whole answer: it may have been done
};

/// @brief Holds what came of a call.
struct CallResult
{
  CallOutcome mOutcome = CallOutcome::Unavailable;
  unsigned mStatus = 0;
  std::string mBody;
  std::string mReason; ///< where there was no answer
};

/// @brief Calls the platform's store, or another instance that passes its copy
/// on, over kept connections.
class StoreClient
{
public:
  using Milliseconds = std::chrono::milliseconds;

  /// @param[in] aCounter name of the counter of calls
  StoreClient(const net::asio::any_io_executor& aExecutor,
              net::Endpoint aEndpoint,
              metrics::Registry& aMetrics,
              std::string aCounter = "figslip_store_calls_total");

  /// @brief Makes one call.
  /// @param[in] aName of the call, for metrics
  /// @param[in] aTimeout time for the whole answer
  [[nodiscard]] net::Awaitable<CallResult> Call(net::RequestMessage aRequest,
                                                std::string aName,
                                                Milliseconds aTimeout);

  [[nodiscard]] const net::asio::any_io_executor& Executor() const
  {
    return mExecutor;
  }

  /// @brief Changes where the store is; kept connections are closed.
  void SetEndpoint(net::Endpoint aEndpoint);

private:
  [[nodiscard]] net::Awaitable<CallResult> Exchange(std::string aBytes,
                                                    Milliseconds aTimeout);

  net::asio::any_io_executor mExecutor;
  net::Endpoint mEndpoint;
  metrics::Registry& mMetrics;
  std::string mCounter;
  net::ConnectionPool mPool;
};

} // namespace figslip::store
