#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/net/client_connection.hpp>

namespace figslip::gateway {

/// @brief Blames a request for the crash of its upstream, if there was one.
///
/// A connection that breaks tells a crash from a lost answer in no way; an
/// upstream that crashed accepts no connection for a while.
/// @param[in] aUpstream where the upstream listens
/// @param[in] aReport blame if it crashed
[[nodiscard]] net::Awaitable<void>
CheckCrash(TrafficState& aState,
           net::Endpoint aUpstream,
           quarantine::CrashReport aReport);

} // namespace figslip::gateway
