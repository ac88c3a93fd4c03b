#include <figslip/membership/lapse_guard.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <string_view>

namespace figslip::membership {

namespace {

/// Tells whether an entry was written before another of the same upstream.
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
LapseGuard::OnStoreRegained(TimePoint aNow)
{
  mIsLost = false;
  mRegainedAt = aNow;
}

void
LapseGuard::OnEntries(const std::vector<ingress::UpstreamEntry>& aEntries,
                      TimePoint aNow)
{
  std::set<std::string_view> present;
  for (const auto& entry : aEntries) {
    present.insert(entry.mId);
    auto& known = mKnown[entry.mId];
    if (known.mEntry.mId.empty() || !IsOlder(entry, known.mEntry)) {
      known.mEntry = entry;
    }
    known.mIsMissing = false;
  }
  for (auto& [id, known] : mKnown) {
    known.mIsMissing = !present.contains(id);
  }
  Expire(aNow);
}

bool
LapseGuard::Expire(TimePoint aNow)
{
  const bool keeps =
    mIsLost || (mRegainedAt && aNow < *mRegainedAt + mOptions.mReturnTime);
  if (keeps) {
    return false;
  }
  return std::erase_if(mKnown, [](const auto& aEntry) {
           return aEntry.second.mIsMissing;
         }) > 0;
}

std::vector<ingress::UpstreamEntry>
LapseGuard::Entries() const
{
  std::vector<ingress::UpstreamEntry> entries;
  std::ranges::transform(
    mKnown | std::views::values, std::back_inserter(entries), &Known::mEntry);
  return entries;
}

std::size_t
LapseGuard::Kept() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(mKnown | std::views::values, &Known::mIsMissing));
}

} // namespace figslip::membership
