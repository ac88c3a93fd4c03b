#include <figslip/quarantine/record_tracker.hpp>

namespace figslip::quarantine {

bool
RecordTracker::OnOwnRecord(std::string_view aName, TimePoint aNow)
{
  return mRecords
    .emplace(std::string(aName), Record{ .mFirstSeenAt = aNow, .mIsOwn = true })
    .second;
}

std::vector<std::string>
RecordTracker::OnRecords(const std::set<std::string, std::less<>>& aNames,
                         TimePoint aNow)
{
  mRemoved.clear();
  std::erase_if(mRecords, [&](const auto& aEntry) {
    const auto& record = aEntry.second;
    const bool mayBeUnwritten =
      record.mIsOwn && !record.mIsRemovalRequested && !record.mWasListed &&
      aNow - record.mFirstSeenAt < mOptions.mMaxWriteTime;
    const bool isGone = !aNames.contains(aEntry.first) && !mayBeUnwritten;
    if (isGone) {
      mRemoved.push_back(aEntry.first);
    }
    return isGone;
  });
  std::vector<std::string> added;
  for (const auto& name : aNames) {
    const auto [entry, isNew] =
      mRecords.emplace(name, Record{ .mFirstSeenAt = aNow });
    entry->second.mWasListed = true;
    if (isNew) {
      added.push_back(name);
    }
  }
  return added;
}

bool
RecordTracker::HasPrefix(std::string_view aPrefix) const
{
  const auto found = mRecords.lower_bound(aPrefix);
  return found != mRecords.end() && found->first.starts_with(aPrefix);
}

std::vector<std::string>
RecordTracker::TakeIf(const std::function<bool(const std::string&)>& aMatches)
{
  std::vector<std::string> taken;
  for (auto& [name, record] : mRecords) {
    if (!record.mIsRemovalRequested && aMatches(name)) {
      record.mIsRemovalRequested = true;
      taken.push_back(name);
    }
  }
  return taken;
}

std::vector<std::string>
RecordTracker::TakeExpired(bool aFollowsStore, TimePoint aNow)
{
  const auto lostAfter = mOptions.mRetention * (aFollowsStore ? 2 : 4);
  std::vector<std::string> expired;
  for (auto& [name, record] : mRecords) {
    const auto age = aNow - record.mFirstSeenAt;
    const bool isExpired =
      age >= (record.mIsOwn ? mOptions.mRetention : lostAfter);
    if (isExpired && !record.mIsRemovalRequested) {
      record.mIsRemovalRequested = true;
      expired.push_back(name);
    }
  }
  return expired;
}

} // namespace figslip::quarantine
