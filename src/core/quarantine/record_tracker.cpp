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
  // a write of an own record may not have reached the store yet
  std::erase_if(mRecords, [&](const auto& aEntry) {
    return !aNames.contains(aEntry.first) &&
           (!aEntry.second.mIsOwn || aEntry.second.mIsRemovalRequested);
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
