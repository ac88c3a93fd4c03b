#pragma once

#include <figslip/error/finding.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::json {

/// @brief Pairs an enumerator with its name in JSON texts.
template<typename Enum>
struct EnumName
{
  Enum mValue;
  std::string_view mName;
};

/// @brief Bounds a number, both ends included.
template<typename Number>
struct Range
{
  Number mLow;
  Number mHigh;
};

/// @brief Lists what becomes of fields that nobody reads.
enum class UnknownFields
{
  Report,
  Ignore ///< the writer may have added fields since
};

/// @brief Reads the fields of one JSON object and collects findings.
///
/// A reader never stops at the first fault: each accessor adds a finding and
/// returns the fallback, so that all faults of a document come together. A
/// field without fallback is required. `Finish` reports fields nobody read.
class ObjectReader
{
public:
  /// @param[in] aValue the value that must be an object
  /// @param[in] aPointer the JSON pointer of the value
  /// @param[out] aFindings receives the findings
  /// @param[in] aUnknown holds for the objects in its arrays too
  ObjectReader(const nlohmann::json& aValue,
               std::string aPointer,
               error::Findings& aFindings,
               UnknownFields aUnknown = UnknownFields::Report);

  /// @brief Tells whether the value is an object at all.
  [[nodiscard]] bool IsObject() const { return mValue.is_object(); }

  [[nodiscard]] const std::string& Pointer() const { return mPointer; }

  /// @brief Reads a text field.
  /// @param[in] aField the name of the field
  /// @param[in] aFallback the value of an absent field; none if required
  [[nodiscard]] std::string Text(
    std::string_view aField,
    const std::optional<std::string>& aFallback = std::nullopt);

  /// @brief Reads a text field that must not be empty, without control
  /// characters.
  [[nodiscard]] std::string Name(std::string_view aField);

  /// @brief Reads a whole number.
  [[nodiscard]] std::int64_t Whole(
    std::string_view aField,
    Range<std::int64_t> aRange,
    std::optional<std::int64_t> aFallback = std::nullopt);

  /// @brief Reads a number that may have a fraction.
  [[nodiscard]] double Real(std::string_view aField,
                            Range<double> aRange,
                            std::optional<double> aFallback = std::nullopt);

  /// @brief Reads a truth value.
  [[nodiscard]] bool Flag(std::string_view aField,
                          std::optional<bool> aFallback = std::nullopt);

  /// @brief Reads an enumerator by the name that a table gives it.
  template<typename Enum>
  [[nodiscard]] Enum Choice(std::string_view aField,
                            std::span<const EnumName<Enum>> aNames,
                            std::optional<Enum> aFallback = std::nullopt);

  /// @brief Reads an array of texts; an absent field is an empty array.
  [[nodiscard]] std::vector<std::string> TextArray(std::string_view aField);

  /// @brief Reads an array of objects; an absent field is an empty array.
  /// @param[in] aRead is called with a reader for each element
  void ObjectArray(std::string_view aField,
                   const std::function<void(ObjectReader&)>& aRead);

  /// @brief Reports every field that no accessor asked for.
  void Finish();

  /// @brief Adds a finding at a field of this object.
  void Report(error::ErrorKind aKind,
              std::string_view aField,
              std::string aText);

private:
  const nlohmann::json* Find(std::string_view aField, bool aRequired);
  void ReportChoice(std::string_view aField,
                    std::string_view aSeen,
                    const std::vector<std::string_view>& aAllowed);

  const nlohmann::json& mValue;
  std::string mPointer;
  error::Findings& mFindings;
  UnknownFields mUnknown;
  std::set<std::string, std::less<>> mRead;
};

template<typename Enum>
Enum
ObjectReader::Choice(std::string_view aField,
                     std::span<const EnumName<Enum>> aNames,
                     std::optional<Enum> aFallback)
{
  const auto* const value = Find(aField, !aFallback.has_value());
  const auto fallback = aFallback.value_or(aNames.front().mValue);
  if (value == nullptr) {
    return fallback;
  }
  const auto text =
    value->is_string() ? value->template get<std::string>() : value->dump();
  const auto found = std::ranges::find(aNames, text, &EnumName<Enum>::mName);
  if (found != aNames.end()) {
    return found->mValue;
  }
  std::vector<std::string_view> allowed;
  for (const auto& name : aNames) {
    allowed.push_back(name.mName);
  }
  ReportChoice(aField, text, allowed);
  return fallback;
}

/// @brief Finds the name that a table gives an enumerator.
template<typename Enum>
[[nodiscard]] std::string_view
NameOf(Enum aValue, std::span<const EnumName<Enum>> aNames)
{
  const auto found = std::ranges::find(aNames, aValue, &EnumName<Enum>::mValue);
  return found == aNames.end() ? std::string_view{} : found->mName;
}

} // namespace figslip::json
