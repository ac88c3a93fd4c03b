#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/net/caller_connection.hpp>

#include <memory>
#include <set>

namespace figslip::gateway {

/// @brief Accepts callers, the balancer's questions and readers of metrics.
class Frontend
{
public:
  Frontend(net::asio::io_context& aContext, TrafficState& aState);

  /// @brief Opens all addresses of the settings.
  /// @return findings for addresses that cannot be listened on
  [[nodiscard]] Result<void> Start();

  /// @brief Stops gracefully and then ends the traffic thread.
  ///
  /// The balancer learns that the instance leaves, and sends no more callers;
  /// open requests end; connections close after their answers.
  [[nodiscard]] net::Awaitable<void> Stop();

private:
  using Connection = std::shared_ptr<net::CallerConnection>;
  using Handler = net::Awaitable<void> (Frontend::*)(Connection);

  [[nodiscard]] net::Awaitable<void> ServeCaller(Connection aConnection);
  [[nodiscard]] net::Awaitable<void> ServeReadiness(Connection aConnection);
  [[nodiscard]] net::Awaitable<void> ServeMetrics(Connection aConnection);
  [[nodiscard]] net::Awaitable<void> RespondToReadError(Connection aConnection,
                                                        net::ReadEnd aEnd);

  net::asio::io_context& mContext;
  TrafficState& mState;
  std::set<Connection> mCallers;
};

} // namespace figslip::gateway
