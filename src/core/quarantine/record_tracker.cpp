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
  // a write of an own record may not have reached the store yet
  std::erase_if(mRecords, [&](const auto& aEntry) {
    const bool isGone =
      !aNames.contains(aEntry.first) &&
      (!aEntry.second.mIsOwn || aEntry.second.mIsRemovalRequested);
    if (isGone) {
      mRemoved.push_back(aEntry.first);
    }
    return isGone;
  });
  std::vector<std::string> added;
  for (const auto& name : aNames) {
    if (mRecords.emplace(name, Record{ .mFirstSeenAt = aNow }).second) {
      added.push_back(name);
    }
  }
  return added;
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
RecordTracker::TakeExpired(TimePoint aNow)
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
