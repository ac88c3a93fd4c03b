#pragma once

#include <figslip/error/result.hpp>
#include <figslip/http/http_client.hpp>
#include <figslip/orders/order_planner.hpp>
#include <figslip/routing/attempt_outcome.hpp>
#include <figslip/routing/decision.hpp>
#include <figslip/routing/request.hpp>
#include <figslip/routing/upstream_table.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace figslip::upstream {

/// @brief Holds what an upstream is sent.
struct UpstreamCall
{
  std::string mRequestId;
  std::string mAttemptId; ///< unique over all instances; echoed by upstreams
  routing::Target mTarget;
  std::string mIdempotencyKey;
  std::string mBody; ///< JSON text of the caller's request
};

/// @brief Reports how an attempt ended and what it brought.
struct AttemptResult
{
  routing::AttemptOutcome mOutcome;
  std::string mAnswer; ///< text of a chat, JSON of a plain service
};

/// @brief Speaks with model engines and plain services.
///
/// Thread-safe. Only an answer that names the attempt and is complete counts
/// as whole.
class UpstreamAdapter
{
public:
  struct Options
  {
    Duration mFirstTokenTimeout = std::chrono::seconds(10);
    Duration mNextTokenTimeout = std::chrono::seconds(2);
    Duration mServiceTimeout = std::chrono::seconds(2); ///< of idempotent calls
  };

  /// @brief Receives parts of a streamed answer; returns false to abandon it.
  using TokenSink = std::function<bool(std::string_view)>;

  UpstreamAdapter(Options aOptions, std::shared_ptr<http::HttpClient> aClient);

  /// @brief Holds the checks that an attempt asks for while it runs.
  struct AttemptChecks
  {
    std::function<bool()> mBeforeSend; ///< last check before bytes leave
    /// returns whether a silent attempt may end before its deadline; receives
    /// whether its connection had served calls before. Runs on another thread.
    std::function<bool(bool)> mMayGiveUp;
  };

  /// @brief Makes one attempt and waits for its end.
  ///
  /// An attempt whose upstream is silent for longer than the timeouts ends only
  /// if no token has reached the caller and `mMayGiveUp` agrees.
  /// @param[in] aSink receives tokens if the dispatch delivers directly
  [[nodiscard]] AttemptResult Run(const routing::Dispatch& aDispatch,
                                  const UpstreamCall& aCall,
                                  const AttemptChecks& aChecks,
                                  const TokenSink& aSink) const;

  /// @brief Reads the load of an upstream.
  [[nodiscard]] Result<routing::LoadReport> ReadLoad(
    const std::string& aUpstream,
    const http::Endpoint& aEndpoint) const;

  /// @brief Sends an order to an engine and waits for its word.
  /// @return whether the engine has taken it
  [[nodiscard]] bool SendOrder(const orders::Order& aOrder,
                               const http::Endpoint& aEndpoint) const;

private:
  [[nodiscard]] http::CallOptions OptionsOf(const routing::Dispatch& aDispatch,
                                            const UpstreamCall& aCall,
                                            TimePoint aNow) const;

  Options mOptions;
  std::shared_ptr<http::HttpClient> mClient;
};

} // namespace figslip::upstream
