#include <figslip/claim/claim_record.hpp>
#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace figslip::claim {

namespace {

constexpr json::EnumName<ClaimState> kStateNames[] = {
  { ClaimState::Claimed, "claimed" },
  { ClaimState::Answered, "answered" },
  { ClaimState::Released, "released" },
};

constexpr json::Range<std::int64_t> kNonNegative{
  0,
  std::numeric_limits<std::int64_t>::max()
};

constexpr int kHexBase = 16;
constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidVersionIndex = 14;

/// Prints a hash as hex digits, because not every JSON parser reads numbers
/// of 64 bits exactly.
std::string
ToHex(std::uint64_t aNumber)
{
  char text[kHexBase];
  const auto end = std::to_chars(text, text + sizeof(text), aNumber, kHexBase);
  return { text, end.ptr };
}

std::optional<std::uint64_t>
FromHex(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto* const end = aText.end();
  const auto parsed = std::from_chars(aText.begin(), end, number, kHexBase);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::string
PrintClaim(const ClaimRecord& aRecord)
{
  const nlohmann::json document = {
    { "holder", aRecord.mHolder.mInstance },
    { "started_at_ms", aRecord.mHolder.mStartedAt },
    { "ticket", aRecord.mTicket },
    { "fingerprint", ToHex(aRecord.mFingerprint) },
    { "state", json::NameOf<ClaimState>(aRecord.mState, kStateNames) },
    { "answer", aRecord.mAnswer },
    { "billing_record", aRecord.mBillingRecord },
  };
  return document.dump(
    -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<ClaimRecord>
ParseClaim(std::string_view aText)
{
  auto document = json::ParseDocument(aText);
  if (!document) {
    return outcome::failure(std::move(document).assume_error());
  }
  error::Findings findings;
  json::ObjectReader reader(document.assume_value(), "", findings);
  ClaimRecord record{
    .mHolder = { .mInstance = reader.Name("holder"),
                 .mStartedAt = reader.Whole("started_at_ms", kNonNegative) },
    .mTicket = static_cast<std::uint64_t>(reader.Whole("ticket", kNonNegative)),
  };
  const auto fingerprint = FromHex(reader.Name("fingerprint"));
  if (!fingerprint && findings.empty()) {
    reader.Report(
      error::ErrorKind::WrongType, "fingerprint", "expected hex digits");
  }
  record.mFingerprint = fingerprint.value_or(0);
  record.mState = reader.Choice<ClaimState>("state", kStateNames);
  record.mAnswer = reader.Text("answer", "");
  record.mBillingRecord = reader.Text("billing_record", "");
  reader.Finish();
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  return record;
}

std::optional<TimePoint>
TimeOfKey(std::string_view aKey)
{
  if (aKey.size() != kUuidLength || aKey[kUuidVersionIndex] != '7') {
    return std::nullopt;
  }
  std::string digits(aKey.substr(0, 8));
  digits += aKey.substr(9, 4);
  const auto millis = FromHex(digits);
  if (!millis) {
    return std::nullopt;
  }
  return TimePoint(std::chrono::milliseconds(*millis));
}

} // namespace figslip::claim
