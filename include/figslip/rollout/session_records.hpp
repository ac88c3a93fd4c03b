#pragma once

#include <figslip/rollout/withdrawn_sessions.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace figslip::rollout {

/// @brief Returns the name of the object in which an instance shares its
/// sessions on withdrawn versions of a service.
[[nodiscard]] std::string
SessionRecordName(std::string_view aService, std::string_view aInstance);

/// @brief Checks whether an object of this name holds sessions.
[[nodiscard]] bool
IsSessionRecord(std::string_view aName);

/// @brief Writes sessions as an object.
[[nodiscard]] nlohmann::json
FormatSessionRecord(const SessionReport& aReport);

/// @brief Reads sessions from an object.
/// @return empty if the object does not name instance, service and target;
/// entries that are no sessions are left out
[[nodiscard]] std::optional<SessionReport>
ReadSessionRecord(const nlohmann::json& aRecord);

} // namespace figslip::rollout
