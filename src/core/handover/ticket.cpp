#include <figslip/handover/ticket.hpp>
#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace figslip::handover {

namespace {

constexpr const char* kAgeField = "age_ms";
constexpr const char* kAttemptsField = "attempts";
constexpr const char* kConfigurationField = "configuration";
constexpr const char* kCountedField = "counted";
constexpr const char* kLastEventField = "last_event";

/// Bounds of the numbers of a ticket; an hour is longer than any request runs.
constexpr json::Range<std::int64_t> kAgeMs{ 0, 3'600'000 };
constexpr json::Range<std::int64_t> kAttempts{ 0, 1'000 };
constexpr json::Range<std::int64_t> kVersions{
  0,
  std::numeric_limits<std::int64_t>::max()
};

} // namespace

std::string
FormatTicket(const Ticket& aTicket)
{
  const auto age =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTicket.mAge);
  const nlohmann::json fields = {
    { kAgeField, std::clamp(age.count(), kAgeMs.mLow, kAgeMs.mHigh) },
    { kAttemptsField, aTicket.mAttempts },
    { kConfigurationField, aTicket.mConfiguration },
    { kCountedField, aTicket.mIsCounted },
    { kLastEventField, aTicket.mLastEventId }
  };
  // in ASCII, as the value of a header; an id of another encoding is replaced
  return fields.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

Result<Ticket>
ParseTicket(std::string_view aText)
{
  const auto document = json::ParseDocument(aText);
  if (!document) {
    return outcome::failure(document.assume_error());
  }
  error::Findings findings;
  json::ObjectReader reader(
    document.assume_value(), "", findings, json::UnknownFields::Ignore);
  Ticket ticket;
  if (reader.IsObject()) {
    ticket.mAge = std::chrono::milliseconds(reader.Whole(kAgeField, kAgeMs));
    ticket.mAttempts =
      static_cast<int>(reader.Whole(kAttemptsField, kAttempts));
    ticket.mConfiguration = reader.Whole(kConfigurationField, kVersions);
    ticket.mIsCounted = reader.Flag(kCountedField);
    ticket.mLastEventId = reader.Text(kLastEventField);
  }
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  return ticket;
}

} // namespace figslip::handover
