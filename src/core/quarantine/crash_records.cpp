#include <figslip/quarantine/crash_records.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <ranges>
#include <set>
#include <utility>

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

/// Returns the first part of the names of all records of a request.
std::string
PrefixOf(std::uint64_t aFingerprint)
{
  return std::string(kNamePrefix) + ToHex(aFingerprint) + ".";
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
  return PrefixOf(aReport.mFingerprint) + aReport.mUpstream;
}

bool
CrashRecords::OnOwnReport(const CrashReport& aReport, TimePoint aNow)
{
  if (IsKnown(aReport)) {
    return true;
  }
  auto name = NameOf(aReport);
  if (mPending.size() >= mOptions.mMaxPending) {
    return false;
  }
  bool isRepeated = mTracker.HasPrefix(PrefixOf(aReport.mFingerprint));
  for (auto& pending : mPending | std::views::values) {
    if (pending.mReport.mFingerprint == aReport.mFingerprint) {
      pending.mDueAt = aNow;
      isRepeated = true;
    }
  }
  const auto dueAt = isRepeated ? aNow : aNow + mSpread.DelayOf(name);
  mPending.emplace(std::move(name),
                   Pending{ .mReport = aReport, .mDueAt = dueAt });
  return true;
}

void
CrashRecords::OnCounted(const CrashReport& aReport, TimePoint aNow)
{
  std::erase_if(mCounted, [&](const auto& aItem) {
    return aNow - aItem.second >= mOptions.mRetention;
  });
  if (mCounted.size() < mOptions.mMaxCounted) {
    mCounted.insert_or_assign(NameOf(aReport), aNow);
  }
}

std::vector<CrashReport>
CrashRecords::WithoutCounted(std::vector<CrashReport> aReports,
                             TimePoint aNow) const
{
  std::erase_if(aReports, [&](const CrashReport& aReport) {
    const auto found = mCounted.find(NameOf(aReport));
    return found != mCounted.end() &&
           aNow - found->second < mOptions.mRetention;
  });
  return aReports;
}

std::vector<CrashReport>
CrashRecords::TakeDue(TimePoint aNow)
{
  std::vector<CrashReport> due;
  std::erase_if(mPending, [&](const auto& aItem) {
    const auto& [name, pending] = aItem;
    if (mTracker.Contains(name)) {
      return true; // another instance has published it
    }
    if (pending.mDueAt > aNow) {
      return false;
    }
    mTracker.OnOwnRecord(name, aNow);
    due.push_back(pending.mReport);
    return true;
  });
  return due;
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
  const auto added = mTracker.OnRecords(names, aNow);
  for (const auto& name : mTracker.Removed()) {
    mCounted.erase(name);
  }
  std::vector<CrashReport> reports;
  for (const auto& name : added) {
    if (auto report = Parse(name)) {
      report->mSeenAt = aNow;
      report->mInFlight = aRecords.at(name);
      for (auto& pending : mPending | std::views::values) {
        if (pending.mReport.mFingerprint == report->mFingerprint) {
          pending.mDueAt = std::min(pending.mDueAt, aNow);
        }
      }
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
  std::erase_if(mPending, [&](const auto& aItem) {
    return aFingerprints.contains(aItem.second.mReport.mFingerprint);
  });
  return mTracker.TakeIf([&](const std::string& aName) {
    const auto report = Parse(aName);
    return report && aFingerprints.contains(report->mFingerprint);
  });
}

} // namespace figslip::quarantine
