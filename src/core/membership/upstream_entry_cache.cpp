#include <figslip/membership/upstream_entry_cache.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <string_view>

namespace figslip::membership {

namespace {

/// Checks whether an entry was written before another of the same upstream.
bool
IsOlder(const ingress::UpstreamEntry& aEntry,
        const ingress::UpstreamEntry& aOther)
{
  return aEntry.mStartedAtMs < aOther.mStartedAtMs ||
         (aEntry.mStartedAtMs == aOther.mStartedAtMs &&
          aEntry.mSequence < aOther.mSequence);
}

} // namespace

void
UpstreamEntryCache::OnStoreLost(TimePoint aSince)
{
  const auto since = std::max(aSince, mAnsweredAt);
  mLostSince = std::min(mLostSince.value_or(since), since);
}

void
UpstreamEntryCache::OnStoreAnswered(TimePoint aSentAt)
{
  mAnsweredAt = std::max(mAnsweredAt, aSentAt);
  const bool isBack = mLostSince && aSentAt >= *mLostSince;
  if (!isBack) {
    return;
  }
  if (aSentAt - *mLostSince >= mOptions.mMinOutage) {
    mGraceUntil = aSentAt + mOptions.mGracePeriod;
  }
  mLostSince.reset();
}

void
UpstreamEntryCache::OnEntries(
  const std::vector<ingress::UpstreamEntry>& aEntries,
  TimePoint aNow)
{
  std::set<std::string_view> present;
  for (const auto& entry : aEntries) {
    present.insert(entry.mId);
    auto& cached = mCachedEntries[entry.mId];
    if (cached.mEntry.mId.empty() || !IsOlder(entry, cached.mEntry)) {
      cached.mEntry = entry;
    }
    cached.mIsMissing = false;
  }
  for (auto& [id, cached] : mCachedEntries) {
    cached.mIsMissing = !present.contains(id);
  }
  Expire(aNow);
}

bool
UpstreamEntryCache::Expire(TimePoint aNow)
{
  const bool retainMissing = mLostSince || (mGraceUntil && aNow < *mGraceUntil);
  if (retainMissing) {
    return false;
  }
  return std::erase_if(mCachedEntries, [](const auto& aEntry) {
           return aEntry.second.mIsMissing;
         }) > 0;
}

std::vector<ingress::UpstreamEntry>
UpstreamEntryCache::Entries() const
{
  std::vector<ingress::UpstreamEntry> entries;
  std::ranges::transform(mCachedEntries | std::views::values,
                         std::back_inserter(entries),
                         &CachedEntry::mEntry);
  return entries;
}

std::size_t
UpstreamEntryCache::RetainedCount() const
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mCachedEntries | std::views::values, &CachedEntry::mIsMissing));
}

} // namespace figslip::membership
