#include <figslip/json/raw_value.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <ranges>
#include <utility>

namespace figslip::json {

namespace {

using error::ErrorKind;

/// Bounds of a value that is parsed. Copies, prints and comparisons of a value
/// recurse on its depth.
constexpr std::size_t kMaxDepth = 64;
constexpr std::size_t kMaxValueBytes = 2 << 20;

constexpr std::string_view kSpace = " \t\r\n";

/// Moves through a text; fails at its end.
class Scanner
{
public:
  explicit Scanner(std::string_view aText)
    : mText(aText)
  {
    SkipSpace();
  }

  [[nodiscard]] std::size_t Position() const { return mPosition; }

  [[nodiscard]] bool IsAtEnd() const { return mPosition == mText.size(); }

  /// Skips a character and the space after it.
  bool Skip(char aLetter)
  {
    const bool isThere = !IsAtEnd() && mText[mPosition] == aLetter;
    if (isThere) {
      ++mPosition;
      SkipSpace();
    }
    return isThere;
  }

  /// Skips a value and the space after it.
  std::optional<RawValue> SkipValue()
  {
    const auto begin = mPosition;
    std::size_t depth = 0;
    std::size_t open = 0;
    do {
      if (IsAtEnd()) {
        return std::nullopt;
      }
      const char letter = mText[mPosition];
      if (letter == '"') {
        if (!SkipText()) {
          return std::nullopt;
        }
        continue;
      }
      if (letter == '{' || letter == '[') {
        depth = std::max(depth, ++open);
      } else if (letter == '}' || letter == ']') {
        if (open == 0) {
          return std::nullopt;
        }
        --open;
      } else if (open == 0) {
        SkipScalar();
        continue;
      }
      ++mPosition;
    } while (open > 0);
    const RawValue value{ .mText = mText.substr(begin, mPosition - begin),
                          .mDepth = depth };
    SkipSpace();
    return value.mText.empty() ? std::nullopt : std::optional(value);
  }

private:
  void SkipSpace()
  {
    mPosition =
      std::min(mText.find_first_not_of(kSpace, mPosition), mText.size());
  }

  void SkipScalar()
  {
    mPosition =
      std::min(mText.find_first_of(" \t\r\n,:]}[{\"", mPosition), mText.size());
  }

  bool SkipText()
  {
    ++mPosition;
    while (true) {
      mPosition =
        std::min(mText.find_first_of("\"\\", mPosition), mText.size());
      if (IsAtEnd()) {
        return false;
      }
      const bool isEscape = mText[mPosition] == '\\';
      mPosition = std::min(mPosition + (isEscape ? 2 : 1), mText.size());
      if (!isEscape) {
        return true;
      }
    }
  }

  std::string_view mText;
  std::size_t mPosition = 0;
};

auto
Unsplittable(const Scanner& aScanner, std::string_view aWanted)
{
  return Failure(ErrorKind::MalformedJson,
                 "byte " + std::to_string(aScanner.Position() + 1),
                 "expected " + std::string(aWanted));
}

std::string
ParseName(std::string_view aText)
{
  const auto parsed = nlohmann::json::parse(aText, nullptr, false);
  return parsed.is_string() ? parsed.get<std::string>() : std::string();
}

/// Skips the values between two brackets.
/// @param[in] aSkipItem skips one and returns whether it could
template<typename SkipItem>
bool
SkipList(Scanner& aScanner, char aOpen, char aClose, SkipItem aSkipItem)
{
  if (!aScanner.Skip(aOpen)) {
    return false;
  }
  if (aScanner.Skip(aClose)) {
    return aScanner.IsAtEnd();
  }
  do {
    if (!aSkipItem()) {
      return false;
    }
  } while (aScanner.Skip(','));
  return aScanner.Skip(aClose) && aScanner.IsAtEnd();
}

} // namespace

Result<RawValue>
SplitValue(std::string_view aText)
{
  Scanner scanner(aText);
  const auto value = scanner.SkipValue();
  if (!value || !scanner.IsAtEnd()) {
    return Unsplittable(scanner, "one value");
  }
  return *value;
}

Result<std::vector<RawField>>
SplitObject(std::string_view aText)
{
  std::vector<RawField> fields;
  Scanner scanner(aText);
  const bool isWhole = SkipList(scanner, '{', '}', [&] {
    const auto name = scanner.SkipValue();
    if (!name || !scanner.Skip(':')) {
      return false;
    }
    const auto value = scanner.SkipValue();
    if (value) {
      fields.push_back({ .mName = ParseName(name->mText), .mValue = *value });
    }
    return value.has_value();
  });
  if (!isWhole) {
    return Unsplittable(scanner, "an object");
  }
  return fields;
}

Result<std::vector<RawValue>>
SplitArray(std::string_view aText)
{
  std::vector<RawValue> elements;
  Scanner scanner(aText);
  const bool isWhole = SkipList(scanner, '[', ']', [&] {
    const auto value = scanner.SkipValue();
    if (value) {
      elements.push_back(*value);
    }
    return value.has_value();
  });
  if (!isWhole) {
    return Unsplittable(scanner, "an array");
  }
  return elements;
}

Result<nlohmann::json>
ParseValue(const RawValue& aValue)
{
  if (aValue.mText.size() > kMaxValueBytes) {
    return Failure(ErrorKind::MalformedJson,
                   "",
                   "the value is larger than " +
                     std::to_string(kMaxValueBytes) + " bytes");
  }
  if (aValue.mDepth > kMaxDepth) {
    return Failure(ErrorKind::MalformedJson,
                   "",
                   "the value is nested deeper than " +
                     std::to_string(kMaxDepth) + " levels");
  }
  auto parsed = nlohmann::json::parse(aValue.mText, nullptr, false);
  if (parsed.is_discarded()) {
    return Failure(
      ErrorKind::MalformedJson,
      "",
      "the value is no JSON, or holds a number that is out of range");
  }
  return parsed;
}

Result<nlohmann::json>
ParseValue(std::string_view aText)
{
  const auto value = SplitValue(aText);
  if (!value) {
    return outcome::failure(value.assume_error());
  }
  return ParseValue(value.assume_value());
}

const RawValue*
FindField(const std::vector<RawField>& aFields, std::string_view aName)
{
  const auto found =
    std::ranges::find(aFields | std::views::reverse, aName, &RawField::mName);
  return found == aFields.rend() ? nullptr : &found->mValue;
}

} // namespace figslip::json
