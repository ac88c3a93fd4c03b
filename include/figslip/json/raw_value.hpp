#pragma once

#include <figslip/error/result.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::json {

/// @brief Refers to a value of a JSON text that is not parsed yet.
///
/// Splitting reads brackets and strings only, so that a value that cannot be
/// parsed does not affect its neighbours.
struct RawValue
{
  std::string_view mText;
  std::size_t mDepth = 0; ///< nesting of objects and arrays; 0 for a scalar
};

/// @brief Holds one field of an object that is not parsed yet.
struct RawField
{
  std::string mName; ///< empty if it cannot be parsed
  RawValue mValue;
};

/// @brief Splits a text that holds one value.
/// @return a finding if brackets or quotes do not match
[[nodiscard]] Result<RawValue>
SplitValue(std::string_view aText);

/// @brief Splits the text of an object into its fields.
/// @return a finding if the text is no object
[[nodiscard]] Result<std::vector<RawField>>
SplitObject(std::string_view aText);

/// @brief Splits the text of an array into its elements.
/// @return a finding if the text is no array
[[nodiscard]] Result<std::vector<RawValue>>
SplitArray(std::string_view aText);

/// @brief Parses a value whose nesting and size are bounded.
/// @return a finding if the value is too deep, too large or no JSON
[[nodiscard]] Result<nlohmann::json>
ParseValue(const RawValue& aValue);

/// @brief Parses a text that holds one value, with the bounds of `ParseValue`.
[[nodiscard]] Result<nlohmann::json>
ParseValue(std::string_view aText);

/// @brief Finds the last field of a name.
/// @return null if there is none
[[nodiscard]] const RawValue*
FindField(const std::vector<RawField>& aFields, std::string_view aName);

} // namespace figslip::json
