#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/net/client_connection.hpp>

namespace figslip::gateway {

/// @brief Checks whether an upstream crashed and reports the crash.
///
/// A broken connection alone does not distinguish a crash from a lost answer,
/// so the check opens a new one: a crashed upstream accepts no connection for a
/// while.
/// @param[in] aState traffic state, which records the crash
/// @param[in] aUpstream address on which the upstream listens
/// @param[in] aReport recorded and published if the upstream crashed
[[nodiscard]] net::Awaitable<void>
CheckCrash(TrafficState& aState,
           net::Endpoint aUpstream,
           quarantine::CrashReport aReport);

} // namespace figslip::gateway
