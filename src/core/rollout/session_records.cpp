#include <figslip/json/field_or.hpp>
#include <figslip/rollout/session_records.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <utility>

namespace figslip::rollout {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPrefix = "sessions.";
constexpr int kHexBase = 16;

/// Bound on the time that a session may have left.
constexpr std::int64_t kMaxLeftMs = 3'600'000;

constexpr const char* kInstanceField = "instance";
constexpr const char* kServiceField = "service";
constexpr const char* kTargetField = "target";
constexpr const char* kCreatedField = "created";
constexpr const char* kRolledBackField = "rolled_back";
/// Sessions by hash, with the time left in milliseconds; null: in flight.
constexpr const char* kSessionsField = "sessions";

std::string
FormatHash(std::uint64_t aHash)
{
  std::array<char, 17> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aHash, kHexBase);
  return { text.data(), end.ptr };
}

std::optional<SessionState>
ReadSession(const std::string& aHash, const nlohmann::json& aLeft)
{
  SessionState session;
  const auto* const end = aHash.data() + aHash.size();
  const auto read = std::from_chars(aHash.data(), end, session.mHash, kHexBase);
  const bool isHash = read.ec == std::errc{} && read.ptr == end;
  if (!isHash || !(aLeft.is_null() || aLeft.is_number_integer())) {
    return std::nullopt;
  }
  if (aLeft.is_number_integer()) {
    session.mLeft = milliseconds(
      std::clamp<std::int64_t>(aLeft.get<std::int64_t>(), 0, kMaxLeftMs));
  }
  return session;
}

} // namespace

std::string
SessionRecordName(std::string_view aService, std::string_view aInstance)
{
  return std::string(kPrefix) + std::string(aService) + "." +
         std::string(aInstance);
}

bool
IsSessionRecord(std::string_view aName)
{
  return aName.starts_with(kPrefix);
}

nlohmann::json
FormatSessionRecord(const SessionReport& aReport)
{
  auto sessions = nlohmann::json::object();
  for (const auto& session : aReport.mSessions) {
    auto& left = sessions[FormatHash(session.mHash)];
    if (session.mLeft) {
      left = std::chrono::duration_cast<milliseconds>(*session.mLeft).count();
    }
  }
  return { { kInstanceField, aReport.mInstance },
           { kServiceField, aReport.mService },
           { kTargetField, aReport.mWithdrawal.mTarget },
           { kCreatedField, aReport.mWithdrawal.mCreated },
           { kRolledBackField, aReport.mWithdrawal.mIsRolledBack },
           { kSessionsField, std::move(sessions) } };
}

std::optional<SessionReport>
ReadSessionRecord(const nlohmann::json& aRecord)
{
  SessionReport report{
    .mInstance = json::TextOr(aRecord, kInstanceField, ""),
    .mService = json::TextOr(aRecord, kServiceField, ""),
    .mWithdrawal = { .mTarget = json::TextOr(aRecord, kTargetField, ""),
                     .mCreated =
                       json::NumberOr<std::int64_t>(aRecord, kCreatedField, 0),
                     .mIsRolledBack =
                       json::FlagOr(aRecord, kRolledBackField, false) }
  };
  if (report.mInstance.empty() || report.mService.empty() ||
      report.mWithdrawal.mTarget.empty()) {
    return std::nullopt;
  }
  const auto sessions = aRecord.find(kSessionsField);
  if (sessions != aRecord.end() && sessions->is_object()) {
    for (const auto& [hash, left] : sessions->items()) {
      if (const auto session = ReadSession(hash, left)) {
        report.mSessions.push_back(*session);
      }
    }
  }
  return report;
}

} // namespace figslip::rollout
