#include <figslip/error/error_kind.hpp>
#include <figslip/error/finding.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace figslip::error {

namespace {

constexpr auto kDescriptions = std::to_array<ErrorDescription>({
  { ErrorKind::MalformedJson, 101, "manifest", "malformed_json" },
  { ErrorKind::WrongType, 102, "manifest", "wrong_type" },
  { ErrorKind::UnknownField, 103, "manifest", "unknown_field" },
  { ErrorKind::DuplicateName, 104, "manifest", "duplicate_name" },
  { ErrorKind::DuplicateField, 105, "manifest", "duplicate_field" },
  { ErrorKind::DanglingReference, 106, "manifest", "dangling_reference" },
  { ErrorKind::OutOfRange, 107, "manifest", "out_of_range" },
  { ErrorKind::MissingField, 108, "manifest", "missing_field" },
  { ErrorKind::UnknownName, 109, "manifest", "unknown_name" },
  { ErrorKind::LowerGeneration, 110, "manifest", "lower_generation" },
  { ErrorKind::UnreadableFile, 201, "settings", "unreadable_file" },
  { ErrorKind::BadSetting, 202, "settings", "bad_setting" },
  { ErrorKind::MalformedBody, 301, "request", "malformed_body" },
  { ErrorKind::UnknownAccount, 302, "request", "unknown_account" },
  { ErrorKind::NotAllowed, 303, "request", "not_allowed" },
  { ErrorKind::UnknownTarget, 304, "request", "unknown_target" },
  { ErrorKind::ForgedSession, 305, "request", "forged_session" },
  { ErrorKind::BodyTooLarge, 306, "request", "body_too_large" },
  { ErrorKind::DeadlineExpired, 307, "request", "deadline_expired" },
  { ErrorKind::MissingHeader, 308, "request", "missing_header" },
  { ErrorKind::BadHeader, 309, "request", "bad_header" },
  { ErrorKind::NoCapacity, 310, "request", "no_capacity" },
  { ErrorKind::Quarantined, 311, "request", "quarantined" },
  { ErrorKind::UpstreamFailed, 312, "request", "upstream_failed" },
  { ErrorKind::KeyExpired, 313, "request", "key_expired" },
  { ErrorKind::KeyInUse, 314, "request", "key_in_use" },
  { ErrorKind::ClaimUnavailable, 315, "request", "claim_unavailable" },
  { ErrorKind::NotReady, 316, "request", "not_ready" },
  { ErrorKind::Draining, 317, "request", "draining" },
  { ErrorKind::VersionWithdrawn, 318, "request", "version_withdrawn" },
  { ErrorKind::NoUpstream, 319, "request", "no_upstream" },
  { ErrorKind::WrongMethod, 330, "request", "wrong_method" },
  { ErrorKind::PlatformUnavailable, 401, "platform", "unavailable" },
  { ErrorKind::PlatformConflict, 402, "platform", "conflict" },
  { ErrorKind::PlatformOutcomeUnknown, 403, "platform", "outcome_unknown" },
  { ErrorKind::PlatformMalformed, 404, "platform", "malformed" },
  { ErrorKind::ConnectFailed, 501, "transport", "connect_failed" },
  { ErrorKind::ReadFailed, 502, "transport", "read_failed" },
  { ErrorKind::TimedOut, 503, "transport", "timed_out" },
  { ErrorKind::MalformedMessage, 504, "transport", "malformed_message" },
  { ErrorKind::MalformedRecord, 601, "ledger", "malformed_record" },
});

} // namespace

std::span<const ErrorDescription>
AllErrors()
{
  return kDescriptions;
}

const ErrorDescription&
Describe(ErrorKind aKind)
{
  const auto* const found =
    std::ranges::find(kDescriptions, aKind, &ErrorDescription::mKind);
  assert(found != kDescriptions.end());
  return *found;
}

std::optional<ErrorDescription>
FindErrorByNumber(int aNumber)
{
  const auto* const found =
    std::ranges::find(kDescriptions, aNumber, &ErrorDescription::mNumber);
  if (found == kDescriptions.end()) {
    return std::nullopt;
  }
  return *found;
}

std::string
Finding::Message() const
{
  const auto& description = Describe(mKind);
  std::string message = "[";
  message += description.mTopic;
  message += '.';
  message += description.mName;
  message += '.';
  message += std::to_string(description.mNumber);
  message += "] ";
  message += mPlace;
  message += ": ";
  message += mText;
  return message;
}

std::string
JoinMessages(const Findings& aFindings, std::string_view aSeparator)
{
  std::string joined;
  for (const auto& finding : aFindings) {
    if (!joined.empty()) {
      joined += aSeparator;
    }
    joined += finding.Message();
  }
  return joined;
}

} // namespace figslip::error
