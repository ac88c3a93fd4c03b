#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/net/client_connection.hpp>

#include <vector>

namespace figslip::gateway {

/// @brief Checks whether an upstream crashed and reports the crash.
///
/// A broken connection alone does not distinguish a crash from a lost answer,
/// so the check opens a new one: a crashed upstream accepts no connection for a
/// while.
/// @param[in] aState traffic state, which records the crash
/// @param[in] aUpstream address on which the upstream listens
/// @param[in] aReport recorded and published if the upstream crashed
/// @param[in] aParts shared parts of the request's prompt; those that were not
///            served lately are recorded and published as suspects
[[nodiscard]] net::Awaitable<void>
CheckCrash(TrafficState& aState,
           net::Endpoint aUpstream,
           quarantine::CrashReport aReport,
           std::vector<quarantine::PartId> aParts);

} // namespace figslip::gateway
