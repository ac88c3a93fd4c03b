#pragma once

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
  /// answers.
  [[nodiscard]] net::Awaitable<void> Stop();

private:
  using Connection = std::shared_ptr<net::CallerConnection>;
  using Handler = net::Awaitable<void> (Frontend::*)(Connection);

  [[nodiscard]] net::Awaitable<void> ServeCaller(Connection aConnection);
  [[nodiscard]] net::Awaitable<void> ServeReadiness(Connection aConnection);
  [[nodiscard]] net::Awaitable<void> ServeMetrics(Connection aConnection);
  /// Responds with the status for a request that was not read completely.
  [[nodiscard]] net::Awaitable<void> RespondToReadError(Connection aConnection,
                                                        net::ReadEnd aEnd);

  net::asio::io_context& mContext;
  TrafficState& mState;
  std::set<Connection> mCallers;
};

} // namespace figslip::gateway
