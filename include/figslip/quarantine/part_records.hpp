#pragma once

#include <figslip/quarantine/part_quarantine.hpp>

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::quarantine {

/// @brief Checks whether a name is that of a record about parts of prompts.
[[nodiscard]] bool
IsPartRecord(std::string_view aName);

/// @brief Returns the name of a record that an instance writes.
/// @param[in] aInstance name of the instance
/// @param[in] aNumber different for each record of the instance, also of an
///            earlier process
[[nodiscard]] std::string
PartRecordName(std::string_view aInstance, std::int64_t aNumber);

/// @brief Formats the record of a crash.
[[nodiscard]] nlohmann::json
FormatCrashRecord(const CrashSuspects& aCrash);

/// @brief Formats the record of parts that were served.
[[nodiscard]] nlohmann::json
FormatServedRecord(const std::vector<PartId>& aParts);

/// @brief Reads the record of a crash.
/// @return nothing if it is not a valid one
[[nodiscard]] std::optional<CrashSuspects>
ReadCrashRecord(const nlohmann::json& aRecord);

/// @brief Reads the record of parts that were served.
/// @return empty if it is not a valid one
[[nodiscard]] std::vector<PartId>
ReadServedRecord(const nlohmann::json& aRecord);

/// @brief Formats the identity of a part as callers write it.
[[nodiscard]] std::string
FormatPart(PartId aPart);

/// @brief Parses the identity of a part, which is hexadecimal.
/// @return nothing if it is not one
[[nodiscard]] std::optional<PartId>
ParsePart(std::string_view aText);

} // namespace figslip::quarantine
