#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/net/asio.hpp>

namespace figslip::gateway {

/// @brief Starts to connect to the upstreams that are due to be probed, while
/// contact with upstreams is suspected or known to be lost.
void
StartContactProbes(const net::asio::any_io_executor& aExecutor,
                   TrafficState& aState);

} // namespace figslip::gateway
