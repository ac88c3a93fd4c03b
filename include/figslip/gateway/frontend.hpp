#pragma once

#include <figslip/admission/connection_budget.hpp>
#include <figslip/admission/drain_plan.hpp>
#include <figslip/gateway/request_flow.hpp>
#include <figslip/gateway/traffic_state.hpp>
#include <figslip/net/caller_connection.hpp>

#include <memory>
#include <set>

namespace figslip::gateway {

/// @brief Serves callers, the readiness probes of the load balancer and
/// metrics.
class Frontend
{
public:
  Frontend(net::asio::io_context& aContext, TrafficState& aState);

  /// @brief Listens on all addresses of the settings.
  /// @return findings for addresses that cannot be listened on
  [[nodiscard]] Result<void> Start();

  /// @brief Shuts down gracefully and then stops the traffic thread.
  ///
  /// The readiness probe fails, so that the load balancer sends no more
  /// callers; open requests are completed; connections are closed after their
  /// answers. Requests that are still open at the end get a final answer.
  [[nodiscard]] net::Awaitable<void> Stop();

private:
  using Connection = std::shared_ptr<net::CallerConnection>;
  using Budget = std::shared_ptr<admission::ConnectionBudget>;
  using Handler = net::Awaitable<void> (Frontend::*)(Connection);

  [[nodiscard]] net::Awaitable<void> ServeCaller(Connection aConnection);
  /// Serves an instance that hands requests over.
  [[nodiscard]] net::Awaitable<void> ServeInstance(Connection aConnection);
  /// Lists whom a connection with requests belongs to.
  enum class Origin
  {
    Caller,
    Instance
  };
  [[nodiscard]] net::Awaitable<void> ServeRequests(Connection aConnection,
                                                   Origin aOrigin);
  [[nodiscard]] net::Awaitable<void> ServeReadiness(Connection aConnection);
  [[nodiscard]] net::Awaitable<void> ServeMetrics(Connection aConnection);
  /// Responds with the status for a request that was not read completely.
  [[nodiscard]] net::Awaitable<void> RespondToReadError(
    Connection aConnection,
    net::ReadEnd aEnd,
    Origin aOrigin = Origin::Caller);

  /// Waits until no request is open, and interrupts those that remain at the
  /// end of the drain.
  [[nodiscard]] net::Awaitable<void> Drain(admission::DrainPlan aPlan);
  /// Returns whether a request has arrived in part.
  [[nodiscard]] bool IsReading() const;
  void InterruptRequests();

  /// Creates a budget whose yielding connections are logged and counted.
  /// @param[in] aPlace where they are served, for logs and metrics
  [[nodiscard]] Budget MakeBudget(
    const std::string& aPlace,
    admission::ConnectionBudget::Options aOptions);
  void OnYielded(const std::string& aPlace,
                 const admission::YieldedConnection& aConnection);

  net::asio::io_context& mContext;
  TrafficState& mState;
  std::set<Connection> mCallers;
  std::set<std::shared_ptr<RequestFlow>> mFlows; ///< open requests
};

} // namespace figslip::gateway
