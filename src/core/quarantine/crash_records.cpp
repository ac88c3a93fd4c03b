#include <figslip/quarantine/crash_records.hpp>

#include <array>
#include <charconv>

namespace figslip::quarantine {

namespace {

constexpr std::string_view kPrefix = "crash.";
constexpr int kHexadecimal = 16;

std::string
ToHex(std::uint64_t aNumber)
{
  std::array<char, 17> text{};
  const auto end = std::to_chars(
    text.data(), text.data() + text.size(), aNumber, kHexadecimal);
  return { text.data(), end.ptr };
}

/// Reads a name of the form crash.FINGERPRINT.UPSTREAM.
std::optional<CrashReport>
Parse(std::string_view aName)
{
  if (!aName.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const auto rest = aName.substr(kPrefix.size());
  CrashReport report;
  const auto read = std::from_chars(
    rest.data(), rest.data() + rest.size(), report.mFingerprint, kHexadecimal);
  const auto digits = static_cast<std::size_t>(read.ptr - rest.data());
  const bool isWhole =
    read.ec == std::errc{} && digits + 1 < rest.size() && rest[digits] == '.';
  if (!isWhole) {
    return std::nullopt;
  }
  report.mUpstream = rest.substr(digits + 1);
  return report;
}

} // namespace

std::string
CrashRecords::NameOf(const CrashReport& aReport)
{
  return std::string(kPrefix) + ToHex(aReport.mFingerprint) + "." +
         aReport.mUpstream;
}

bool
CrashRecords::IsRecord(std::string_view aName)
{
  return Parse(aName).has_value();
}

bool
CrashRecords::OnOwn(std::string_view aName, TimePoint aNow)
{
  return mKnown
    .emplace(std::string(aName), Known{ .mSince = aNow, .mIsOwn = true })
    .second;
}

std::vector<CrashReport>
CrashRecords::OnRecords(const std::map<std::string, int>& aRecords,
                        TimePoint aNow)
{
  // an own record may not have arrived there yet
  std::erase_if(mKnown, [&](const auto& aEntry) {
    return !aRecords.contains(aEntry.first) &&
           (!aEntry.second.mIsOwn || aEntry.second.mIsRemoved);
  });
  std::vector<CrashReport> reports;
  for (const auto& [name, inFlight] : aRecords) {
    auto report = Parse(name);
    const bool isNew =
      report && mKnown.emplace(name, Known{ .mSince = aNow }).second;
    if (isNew) {
      report->mSeenAt = aNow;
      report->mInFlight = inFlight;
      reports.push_back(std::move(*report));
    }
  }
  return reports;
}

std::vector<std::string>
CrashRecords::TakeDue(TimePoint aNow)
{
  std::vector<std::string> due;
  for (auto& [name, known] : mKnown) {
    const auto age = aNow - known.mSince;
    const bool isDue =
      age >= (known.mIsOwn ? mOptions.mKeep : mOptions.mKeep * 2);
    if (isDue && !known.mIsRemoved) {
      known.mIsRemoved = true;
      due.push_back(name);
    }
  }
  return due;
}

} // namespace figslip::quarantine
