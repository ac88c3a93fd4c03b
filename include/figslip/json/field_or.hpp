#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace figslip::json {

/// @brief Reads a text field of a lenient document.
/// @return the text, or the fallback where the field is absent or no string
[[nodiscard]] inline std::string
TextOr(const nlohmann::json& aObject,
       std::string_view aField,
       std::string_view aFallback)
{
  const auto found = aObject.find(aField);
  const bool usable = found != aObject.end() && found->is_string();
  return usable ? found->get<std::string>() : std::string(aFallback);
}

/// @brief Reads a number of a lenient document.
/// @return the number, or the fallback where the field is absent or no number
template<typename Number>
[[nodiscard]] Number
NumberOr(const nlohmann::json& aObject,
         std::string_view aField,
         Number aFallback)
{
  const auto found = aObject.find(aField);
  const bool usable = found != aObject.end() && found->is_number();
  return usable ? found->get<Number>() : aFallback;
}

/// @brief Reads a truth value of a lenient document.
/// @return the value, or the fallback where the field is absent or no boolean
[[nodiscard]] inline bool
FlagOr(const nlohmann::json& aObject, std::string_view aField, bool aFallback)
{
  const auto found = aObject.find(aField);
  const bool usable = found != aObject.end() && found->is_boolean();
  return usable ? found->get<bool>() : aFallback;
}

} // namespace figslip::json
