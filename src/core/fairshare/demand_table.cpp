#include <figslip/fairshare/demand_table.hpp>

#include <algorithm>
#include <utility>

namespace figslip::fairshare {

void
DemandTable::OnInstances(std::set<std::string> aInstances)
{
  mInstances = std::move(aInstances);
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aEntry.first != mInstance && !mInstances.contains(aEntry.first);
  });
}

void
DemandTable::PutOwn(DemandReport aReport, TimePoint aNow)
{
  mEntries.insert_or_assign(
    mInstance, Entry{ .mReport = std::move(aReport), .mMeasuredAt = aNow });
}

ReportOutcome
DemandTable::Merge(AgedReport aReport, TimePoint aReceivedAt, TimePoint aNow)
{
  auto& report = aReport.mReport;
  if (!CheckReport(report)) {
    return ReportOutcome::Invalid;
  }
  if (report.mInstance == mInstance) {
    return ReportOutcome::Own;
  }
  if (!mInstances.contains(report.mInstance)) {
    return ReportOutcome::Stranger;
  }
  // an age is compared before it is subtracted, which could overflow
  const bool isPossible =
    aReport.mAge >= Duration::zero() && aReport.mAge < kReportLifetime;
  if (!isPossible || aNow - (aReceivedAt - aReport.mAge) >= kReportLifetime) {
    return ReportOutcome::Expired;
  }
  const auto known = mEntries.find(report.mInstance);
  const bool isKnown = known != mEntries.end() &&
                       known->second.mReport.mSequence >= report.mSequence &&
                       aNow - known->second.mMeasuredAt < kReportLifetime;
  if (isKnown) {
    return ReportOutcome::Known;
  }
  auto name = report.mInstance;
  mEntries.insert_or_assign(
    std::move(name),
    Entry{ .mReport = std::move(report),
           .mMeasuredAt = std::min(aNow, aReceivedAt - aReport.mAge) });
  return ReportOutcome::Accepted;
}

void
DemandTable::Expire(TimePoint aNow)
{
  std::erase_if(mEntries, [&](const auto& aEntry) {
    return aNow - aEntry.second.mMeasuredAt >= kReportLifetime;
  });
}

DemandTable::Digest
DemandTable::Sequences() const
{
  Digest digest;
  for (const auto& [name, entry] : mEntries) {
    digest.emplace(name, entry.mReport.mSequence);
  }
  return digest;
}

std::vector<AgedReport>
DemandTable::NewerThan(const Digest& aKnown,
                       const MaxAgeOf& aMaxAgeOf,
                       std::size_t aMaxBytes,
                       TimePoint aNow) const
{
  std::vector<const Entry*> entries;
  for (const auto& [name, entry] : mEntries) {
    const auto known = aKnown.find(name);
    const bool isNewer =
      known == aKnown.end() || known->second < entry.mReport.mSequence;
    const auto age = aNow - entry.mMeasuredAt;
    const bool isYoung = name == mInstance || age <= aMaxAgeOf(name);
    if (isNewer && isYoung && age < kReportLifetime) {
      entries.push_back(&entry);
    }
  }
  std::ranges::sort(entries, std::ranges::greater{}, [&](const Entry* aEntry) {
    return std::pair(aEntry->mReport.mInstance == mInstance,
                     aEntry->mMeasuredAt);
  });
  std::vector<AgedReport> reports;
  std::size_t bytes = 0;
  for (const auto* const entry : entries) {
    bytes += MaxEncodedSize(entry->mReport);
    if (bytes > aMaxBytes) {
      break;
    }
    reports.push_back(
      { .mReport = entry->mReport,
        .mAge = std::max(Duration::zero(), aNow - entry->mMeasuredAt) });
  }
  return reports;
}

} // namespace figslip::fairshare
