#include <figslip/quarantine/crash_records.hpp>

#include <array>
#include <charconv>
#include <optional>
#include <ranges>
#include <set>

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

std::vector<CrashReport>
CrashRecords::OnRecords(const std::map<std::string, int>& aRecords,
                        TimePoint aNow)
{
  std::set<std::string, std::less<>> names;
  for (const auto& name : aRecords | std::views::keys) {
    names.insert(name);
  }
  std::vector<CrashReport> reports;
  for (const auto& name : mTracker.OnRecords(names, aNow)) {
    if (auto report = Parse(name)) {
      report->mSeenAt = aNow;
      report->mInFlight = aRecords.at(name);
      reports.push_back(std::move(*report));
    }
  }
  return reports;
}

std::vector<CrashReport>
CrashRecords::Withdrawn() const
{
  std::vector<CrashReport> reports;
  for (const auto& name : mTracker.Removed()) {
    if (auto report = Parse(name)) {
      reports.push_back(std::move(*report));
    }
  }
  return reports;
}

std::vector<std::string>
CrashRecords::TakeRecordsOf(const std::set<std::uint64_t>& aFingerprints)
{
  return mTracker.TakeIf([&](const std::string& aName) {
    const auto report = Parse(aName);
    return report && aFingerprints.contains(report->mFingerprint);
  });
}

} // namespace figslip::quarantine
