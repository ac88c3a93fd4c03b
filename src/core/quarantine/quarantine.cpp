#include <figslip/quarantine/quarantine.hpp>

#include <algorithm>
#include <iterator>

namespace figslip::quarantine {

namespace {

TimePoint
LatestOf(const std::map<std::string, TimePoint, std::less<>>& aCrashes)
{
  TimePoint latest{};
  for (const auto& [upstream, seenAt] : aCrashes) {
    latest = std::max(latest, seenAt);
  }
  return latest;
}

} // namespace

Quarantine::Quarantine(Options aOptions)
  : mOptions(aOptions)
{
}

void
Quarantine::OnCrash(const CrashReport& aReport)
{
  auto& seenAt = mCrashes[aReport.mFingerprint][aReport.mUpstream];
  seenAt = std::max(seenAt, aReport.mSeenAt);
  if (mCrashes.size() > mOptions.mMaxFingerprints) {
    DropOldest();
  }
}

void
Quarantine::DropOldest()
{
  mCrashes.erase(std::ranges::min_element(
    mCrashes, {}, [](const auto& aEntry) { return LatestOf(aEntry.second); }));
}

bool
Quarantine::IsQuarantined(std::uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = mCrashes.find(aFingerprint);
  if (found == mCrashes.end()) {
    return false;
  }
  const auto fresh =
    std::ranges::count_if(found->second, [&](const auto& aEntry) {
      return aNow - aEntry.second < mOptions.mMemory;
    });
  return static_cast<std::size_t>(fresh) >= mOptions.mUpstreams;
}

std::vector<CrashReport>
Quarantine::Reports(TimePoint aNow) const
{
  std::vector<CrashReport> reports;
  for (const auto& [fingerprint, crashes] : mCrashes) {
    for (const auto& [upstream, seenAt] : crashes) {
      if (aNow - seenAt < mOptions.mMemory) {
        reports.push_back({ fingerprint, upstream, seenAt });
      }
    }
  }
  return reports;
}

void
Quarantine::Expire(TimePoint aNow)
{
  for (auto& [fingerprint, crashes] : mCrashes) {
    std::erase_if(crashes, [&](const auto& aEntry) {
      return aNow - aEntry.second >= mOptions.mMemory;
    });
  }
  std::erase_if(mCrashes,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace figslip::quarantine
