#include <figslip/quarantine/crash_records.hpp>

#include <array>
#include <charconv>

namespace figslip::quarantine {

namespace {

constexpr std::string_view kNamePrefix = "crash.";
constexpr int kHexBase = 16;

std::string
ToHex(std::uint64_t aNumber)
{
  std::array<char, 17> text{};
  const auto end =
    std::to_chars(text.data(), text.data() + text.size(), aNumber, kHexBase);
  return { text.data(), end.ptr };
}

/// Parses a name of the form crash.FINGERPRINT.UPSTREAM.
std::optional<CrashReport>
Parse(std::string_view aName)
{
  if (!aName.starts_with(kNamePrefix)) {
    return std::nullopt;
  }
  const auto rest = aName.substr(kNamePrefix.size());
  CrashReport report;
  const auto read = std::from_chars(
    rest.data(), rest.data() + rest.size(), report.mFingerprint, kHexBase);
  const auto digits = static_cast<std::size_t>(read.ptr - rest.data());
  const bool isComplete =
    read.ec == std::errc{} && digits + 1 < rest.size() && rest[digits] == '.';
  if (!isComplete) {
    return std::nullopt;
  }
  report.mUpstream = rest.substr(digits + 1);
  return report;
}

} // namespace

std::string
CrashRecords::NameOf(const CrashReport& aReport)
{
  return std::string(kNamePrefix) + ToHex(aReport.mFingerprint) + "." +
         aReport.mUpstream;
}

bool
CrashRecords::IsRecord(std::string_view aName)
{
  return Parse(aName).has_value();
}

bool
CrashRecords::OnOwnRecord(std::string_view aName, TimePoint aNow)
{
  return mRecords
    .emplace(std::string(aName), Record{ .mFirstSeenAt = aNow, .mIsOwn = true })
    .second;
}

std::vector<CrashReport>
CrashRecords::OnRecords(const std::map<std::string, int>& aRecords,
                        TimePoint aNow)
{
  // a write of an own record may not have reached the store yet
  std::erase_if(mRecords, [&](const auto& aEntry) {
    return !aRecords.contains(aEntry.first) &&
           (!aEntry.second.mIsOwn || aEntry.second.mIsRemovalRequested);
  });
  std::vector<CrashReport> reports;
  for (const auto& [name, inFlight] : aRecords) {
    auto report = Parse(name);
    const bool isNew =
      report && mRecords.emplace(name, Record{ .mFirstSeenAt = aNow }).second;
    if (isNew) {
      report->mSeenAt = aNow;
      report->mInFlight = inFlight;
      reports.push_back(std::move(*report));
    }
  }
  return reports;
}

std::vector<std::string>
CrashRecords::TakeExpired(TimePoint aNow)
{
  std::vector<std::string> expired;
  for (auto& [name, record] : mRecords) {
    const auto age = aNow - record.mFirstSeenAt;
    const bool isExpired =
      age >= (record.mIsOwn ? mOptions.mRetention : mOptions.mRetention * 2);
    if (isExpired && !record.mIsRemovalRequested) {
      record.mIsRemovalRequested = true;
      expired.push_back(name);
    }
  }
  return expired;
}

} // namespace figslip::quarantine
