#include <figslip/json/field_or.hpp>
#include <figslip/json/raw_value.hpp>
#include <figslip/quarantine/crash_records.hpp>
#include <figslip/quarantine/part_records.hpp>
#include <figslip/quarantine/record_batch.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <utility>

namespace figslip::quarantine {

namespace {

constexpr const char* kInstanceField = "instance";
constexpr const char* kReportsField = "crashes";
constexpr const char* kSuspectsField = "suspects";
constexpr const char* kServedField = "served";
constexpr const char* kWithdrawnField = "withdrawn";
constexpr const char* kFingerprintField = "request";
constexpr const char* kUpstreamField = "upstream";
constexpr const char* kInFlightField = "in_flight";

/// Begin of the fingerprint in the name of a crash record, after "crash.".
constexpr std::size_t kRecordStart = 6;

/// Longest name of an instance or upstream; as in the list of the instances.
constexpr std::size_t kMaxNameBytes = 256;

/// Most requests in flight that a report may tell.
constexpr int kMaxInFlight = 1'000'000;

auto
Malformed(const char* aReason)
{
  return Failure(error::ErrorKind::MalformedMessage, "records", aReason);
}

/// Checks that a name may be part of the name of an object in the store.
bool
IsName(std::string_view aText)
{
  constexpr std::string_view kOthers = "-._:@[]";
  const auto isAllowed = [&](char aChar) {
    const bool isLetter =
      (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
    return isLetter || (aChar >= '0' && aChar <= '9') ||
           kOthers.find(aChar) != std::string_view::npos;
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::ranges::all_of(aText, isAllowed);
}

nlohmann::json
FormatReport(const CrashReport& aReport)
{
  return { { kFingerprintField, FormatPart(aReport.mFingerprint) },
           { kUpstreamField, aReport.mUpstream },
           { kInFlightField, aReport.mInFlight } };
}

std::optional<CrashReport>
ReadReport(const nlohmann::json& aValue)
{
  if (!aValue.is_object()) {
    return std::nullopt;
  }
  const auto fingerprint =
    ParsePart(json::TextOr(aValue, kFingerprintField, ""));
  const auto inFlight = json::NumberOr(aValue, kInFlightField, 0.0);
  const bool isValid = fingerprint && inFlight >= 1 && inFlight <= kMaxInFlight;
  if (!isValid) {
    return std::nullopt;
  }
  CrashReport report{ .mFingerprint = *fingerprint,
                      .mUpstream = json::TextOr(aValue, kUpstreamField, ""),
                      .mSeenAt = {},
                      .mInFlight = static_cast<int>(inFlight) };
  return IsName(report.mUpstream) ? std::optional(std::move(report))
                                  : std::nullopt;
}

std::optional<CrashSuspects>
ReadSuspects(const nlohmann::json& aValue)
{
  auto crash = aValue.is_object() ? ReadCrashRecord(aValue) : std::nullopt;
  return crash && IsName(crash->mEndpoint) ? std::move(crash) : std::nullopt;
}

/// Reads the name of a crash record.
std::optional<std::string>
ReadName(const nlohmann::json& aValue)
{
  auto name = aValue.is_string() ? aValue.get<std::string>() : std::string();
  // the fingerprint and two delimiters come on top of an upstream's name
  const bool isValid =
    CrashRecords::IsRecord(name) &&
    IsName(std::string_view(name).substr(name.find('.', kRecordStart) + 1));
  return isValid ? std::optional(std::move(name)) : std::nullopt;
}

/// Reads a list of which each element must be valid.
/// @return nothing if one is not, or the field is no list
template<typename Item>
std::optional<std::vector<Item>>
ReadAll(const nlohmann::json& aMessage,
        const char* aField,
        std::optional<Item> (*aRead)(const nlohmann::json&))
{
  std::vector<Item> items;
  const auto list = aMessage.find(aField);
  if (list == aMessage.end()) {
    return items;
  }
  if (!list->is_array() || list->size() > kMaxMessageRecords) {
    return std::nullopt;
  }
  for (const auto& value : *list) {
    auto item = aRead(value);
    if (!item) {
      return std::nullopt;
    }
    items.push_back(std::move(*item));
  }
  return items;
}

} // namespace

std::size_t
RecordBatch::PartCount() const
{
  auto count = mServed.size();
  for (const auto& crash : mSuspects) {
    count += crash.mParts.size();
  }
  return count;
}

std::string
FormatRecordMessage(const RecordMessage& aMessage)
{
  const auto& batch = aMessage.mBatch;
  nlohmann::json message = { { kInstanceField, aMessage.mInstance } };
  const auto addAll = [&](const char* aField, const auto& aItems, auto aPrint) {
    if (!aItems.empty()) {
      auto list = nlohmann::json::array();
      std::ranges::transform(aItems, std::back_inserter(list), aPrint);
      message[aField] = std::move(list);
    }
  };
  addAll(kReportsField, batch.mReports, FormatReport);
  addAll(kSuspectsField, batch.mSuspects, FormatCrashRecord);
  addAll(kServedField, batch.mServed, FormatPart);
  addAll(kWithdrawnField, batch.mWithdrawn, std::identity{});
  return message.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<RecordMessage>
ParseRecordMessage(std::string_view aText)
{
  if (aText.size() > kMaxRecordMessageBytes) {
    return Malformed("the message is too large");
  }
  const auto parsed = json::ParseValue(aText);
  if (!parsed || !parsed.assume_value().is_object()) {
    return Malformed("the message is no JSON object");
  }
  const auto& fields = parsed.assume_value();
  RecordMessage message{ .mInstance = json::TextOr(fields, kInstanceField, ""),
                         .mBatch = {} };
  auto reports = ReadAll(fields, kReportsField, ReadReport);
  auto suspects = ReadAll(fields, kSuspectsField, ReadSuspects);
  auto withdrawn = ReadAll(fields, kWithdrawnField, ReadName);
  if (message.mInstance.empty() || !reports || !suspects || !withdrawn) {
    return Malformed("a record or the sender is malformed");
  }
  message.mBatch = { .mReports = std::move(*reports),
                     .mSuspects = std::move(*suspects),
                     .mServed = ReadServedRecord(fields),
                     .mWithdrawn = std::move(*withdrawn) };
  const auto& batch = message.mBatch;
  const bool isInBounds = batch.RecordCount() <= kMaxMessageRecords &&
                          batch.PartCount() <= kMaxMessageParts;
  if (batch.IsEmpty() || !isInBounds) {
    return Malformed("there are no records or too many");
  }
  return message;
}

} // namespace figslip::quarantine
