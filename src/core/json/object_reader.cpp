#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <utility>

namespace figslip::json {

using error::ErrorKind;

namespace {

constexpr bool
IsControl(unsigned char aLetter)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7F;
  return aLetter < kFirstPrintable || aLetter == kDelete;
}

template<typename Number>
std::string
RangeText(const Range<Number>& aRange, const nlohmann::json& aSeen)
{
  std::ostringstream text;
  text << aSeen.dump() << " is not between " << aRange.mLow << " and "
       << aRange.mHigh;
  return text.str();
}

std::string
TypeText(std::string_view aWanted, const nlohmann::json& aSeen)
{
  std::string text = "expected ";
  text += aWanted;
  text += ", found ";
  text += aSeen.type_name();
  return text;
}

} // namespace

ObjectReader::ObjectReader(const nlohmann::json& aValue,
                           std::string aPointer,
                           error::Findings& aFindings,
                           UnknownFields aUnknown)
  : mValue(aValue)
  , mPointer(std::move(aPointer))
  , mFindings(aFindings)
  , mUnknown(aUnknown)
{
  if (!mValue.is_object()) {
    mFindings.push_back(
      { ErrorKind::WrongType, mPointer, TypeText("an object", mValue) });
  }
}

const nlohmann::json*
ObjectReader::Find(std::string_view aField, bool aRequired)
{
  mRead.emplace(aField);
  if (!mValue.is_object()) {
    return nullptr;
  }
  const auto found = mValue.find(aField);
  if (found != mValue.end()) {
    return &*found;
  }
  if (aRequired) {
    Report(ErrorKind::MissingField, aField, "the field is required");
  }
  return nullptr;
}

void
ObjectReader::Report(ErrorKind aKind,
                     std::string_view aField,
                     std::string aText)
{
  mFindings.push_back({ aKind, PointerTo(mPointer, aField), std::move(aText) });
}

std::string
ObjectReader::Text(std::string_view aField,
                   const std::optional<std::string>& aFallback)
{
  const auto* const value = Find(aField, !aFallback.has_value());
  if (value == nullptr) {
    return aFallback.value_or("");
  }
  if (!value->is_string()) {
    Report(ErrorKind::WrongType, aField, TypeText("a string", *value));
    return aFallback.value_or("");
  }
  return value->get<std::string>();
}

std::string
ObjectReader::Name(std::string_view aField)
{
  const auto findingsBefore = mFindings.size();
  auto text = Text(aField);
  if (text.empty() && mFindings.size() == findingsBefore &&
      mValue.is_object()) {
    Report(ErrorKind::OutOfRange, aField, "the text must not be empty");
  }
  // names go into headers, logs and tokens
  if (std::ranges::any_of(text, IsControl)) {
    Report(ErrorKind::OutOfRange,
           aField,
           "the text must not hold control characters");
  }
  return text;
}

std::int64_t
ObjectReader::Whole(std::string_view aField,
                    Range<std::int64_t> aRange,
                    std::optional<std::int64_t> aFallback)
{
  const auto* const value = Find(aField, !aFallback.has_value());
  const auto fallback = aFallback.value_or(aRange.mLow);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number_integer()) {
    Report(ErrorKind::WrongType, aField, TypeText("a whole number", *value));
    return fallback;
  }
  const bool tooLarge =
    value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX;
  const auto number = value->get<std::int64_t>();
  if (tooLarge || number < aRange.mLow || number > aRange.mHigh) {
    Report(ErrorKind::OutOfRange, aField, RangeText(aRange, *value));
    return fallback;
  }
  return number;
}

double
ObjectReader::Real(std::string_view aField,
                   Range<double> aRange,
                   std::optional<double> aFallback)
{
  const auto* const value = Find(aField, !aFallback.has_value());
  const auto fallback = aFallback.value_or(aRange.mLow);
  if (value == nullptr) {
    return fallback;
  }
  if (!value->is_number()) {
    Report(ErrorKind::WrongType, aField, TypeText("a number", *value));
    return fallback;
  }
  const auto number = value->get<double>();
  if (!std::isfinite(number) || number < aRange.mLow || number > aRange.mHigh) {
    Report(ErrorKind::OutOfRange, aField, RangeText(aRange, *value));
    return fallback;
  }
  return number;
}

bool
ObjectReader::Flag(std::string_view aField, std::optional<bool> aFallback)
{
  const auto* const value = Find(aField, !aFallback.has_value());
  if (value == nullptr) {
    return aFallback.value_or(false);
  }
  if (!value->is_boolean()) {
    Report(ErrorKind::WrongType, aField, TypeText("true or false", *value));
    return aFallback.value_or(false);
  }
  return value->get<bool>();
}

std::vector<std::string>
ObjectReader::TextArray(std::string_view aField)
{
  std::vector<std::string> texts;
  const auto* const value = Find(aField, false);
  if (value == nullptr) {
    return texts;
  }
  if (!value->is_array()) {
    Report(ErrorKind::WrongType, aField, TypeText("an array", *value));
    return texts;
  }
  const auto pointer = PointerTo(mPointer, aField);
  for (std::size_t index = 0; index < value->size(); ++index) {
    const auto& element = (*value)[index];
    if (element.is_string()) {
      texts.push_back(element.get<std::string>());
    } else {
      mFindings.push_back({ ErrorKind::WrongType,
                            PointerTo(pointer, index),
                            TypeText("a string", element) });
    }
  }
  return texts;
}

void
ObjectReader::ObjectArray(std::string_view aField,
                          const std::function<void(ObjectReader&)>& aRead)
{
  const auto* const value = Find(aField, false);
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    Report(ErrorKind::WrongType, aField, TypeText("an array", *value));
    return;
  }
  const auto pointer = PointerTo(mPointer, aField);
  for (std::size_t index = 0; index < value->size(); ++index) {
    ObjectReader element(
      (*value)[index], PointerTo(pointer, index), mFindings, mUnknown);
    if (element.IsObject()) {
      aRead(element);
      element.Finish();
    }
  }
}

void
ObjectReader::Finish()
{
  if (!mValue.is_object() || mUnknown == UnknownFields::Ignore) {
    return;
  }
  for (const auto& [field, value] : mValue.items()) {
    if (!mRead.contains(field)) {
      Report(ErrorKind::UnknownField, field, "the field is not known");
    }
  }
}

void
ObjectReader::ReportChoice(std::string_view aField,
                           std::string_view aSeen,
                           const std::vector<std::string_view>& aAllowed)
{
  std::string text = "\"";
  text += aSeen;
  text += "\" is none of";
  for (const auto& name : aAllowed) {
    text += ' ';
    text += name;
  }
  Report(ErrorKind::UnknownName, aField, std::move(text));
}

} // namespace figslip::json
