#pragma once

#include <figslip/error/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace figslip::json {

/// @brief Parses JSON text and refuses objects with duplicate fields.
/// @param[in] aText the text to parse
/// @return the document
/// @throws nothing; failures are findings of the kinds `MalformedJson` (with
/// the byte offset as its place) and `DuplicateField` (with a JSON pointer)
[[nodiscard]] Result<nlohmann::json>
ParseDocument(std::string_view aText);

/// @brief Appends one step to a JSON pointer, escaped as RFC 6901 demands.
/// @param[in] aPointer the pointer of the parent, empty for the root
/// @param[in] aStep a field name
/// @return the pointer of the child
[[nodiscard]] std::string
PointerTo(std::string_view aPointer, std::string_view aStep);

/// @brief Appends an array index to a JSON pointer.
[[nodiscard]] std::string
PointerTo(std::string_view aPointer, std::size_t aIndex);

} // namespace figslip::json
