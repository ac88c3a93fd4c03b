#include <figslip/json/field_or.hpp>
#include <figslip/quarantine/part_records.hpp>

#include <array>
#include <charconv>
#include <memory>

namespace figslip::quarantine {

namespace {

constexpr std::string_view kNamePrefix = "prompt-parts.";
constexpr const char* kEndpointField = "upstream";
constexpr const char* kTimeField = "at_ms";
constexpr const char* kSuspectsField = "suspects";
constexpr const char* kServedField = "served";
constexpr int kHexBase = 16;

std::optional<PartId>
ReadPart(const nlohmann::json& aValue)
{
  return aValue.is_string() ? ParsePart(aValue.get_ref<const std::string&>())
                            : std::nullopt;
}

template<typename Parts>
nlohmann::json
FormatParts(const Parts& aParts)
{
  auto list = nlohmann::json::array();
  for (const auto part : aParts) {
    list.push_back(FormatPart(part));
  }
  return list;
}

std::vector<PartId>
ReadParts(const nlohmann::json& aRecord, const char* aField)
{
  std::vector<PartId> parts;
  const auto list = aRecord.find(aField);
  if (list == aRecord.end() || !list->is_array()) {
    return parts;
  }
  for (const auto& item : *list) {
    if (const auto part = ReadPart(item)) {
      parts.push_back(*part);
    }
  }
  return parts;
}

} // namespace

bool
IsPartRecord(std::string_view aName)
{
  return aName.starts_with(kNamePrefix);
}

std::string
PartRecordName(std::string_view aInstance, std::int64_t aNumber)
{
  return std::string(kNamePrefix) + std::string(aInstance) + "." +
         std::to_string(aNumber);
}

nlohmann::json
FormatCrashRecord(const CrashSuspects& aCrash)
{
  return { { kEndpointField, aCrash.mEndpoint },
           { kTimeField, aCrash.mAtMs },
           { kSuspectsField, FormatParts(aCrash.mParts) } };
}

nlohmann::json
FormatServedRecord(const std::vector<PartId>& aParts)
{
  return { { kServedField, FormatParts(aParts) } };
}

std::optional<CrashSuspects>
ReadCrashRecord(const nlohmann::json& aRecord)
{
  const auto parts = ReadParts(aRecord, kSuspectsField);
  CrashSuspects crash{ .mEndpoint = json::TextOr(aRecord, kEndpointField, ""),
                       .mAtMs =
                         json::NumberOr<std::int64_t>(aRecord, kTimeField, 0),
                       .mParts = { parts.begin(), parts.end() } };
  const bool isValid = !crash.mEndpoint.empty() && !crash.mParts.empty();
  return isValid ? std::optional(std::move(crash)) : std::nullopt;
}

std::vector<PartId>
ReadServedRecord(const nlohmann::json& aRecord)
{
  return ReadParts(aRecord, kServedField);
}

std::string
FormatPart(PartId aPart)
{
  std::array<char, 17> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aPart, kHexBase);
  return { text.data(), end.ptr };
}

std::optional<PartId>
ParsePart(std::string_view aText)
{
  PartId part = 0;
  const auto* const end = std::to_address(aText.end());
  const auto read =
    std::from_chars(std::to_address(aText.begin()), end, part, kHexBase);
  const bool isValid = read.ec == std::errc{} && read.ptr == end;
  return isValid ? std::optional(part) : std::nullopt;
}

} // namespace figslip::quarantine
