#include <figslip/relay/change_log.hpp>

#include <ranges>

namespace figslip::relay {

bool
ChangeLog::Update(const Objects& aObjects,
                  const store::StoreRevision& aRevision)
{
  // removals of an earlier era have no place among the revisions of this one
  if (!mFirstRevision || mFirstRevision->Era() != aRevision.Era()) {
    mFirstRevision = aRevision;
    mRevisionFloor.reset();
  }
  if (!mRevisionFloor && aRevision > *mFirstRevision) {
    mRevisionFloor = aRevision;
  }
  const auto next = mSequence + 1;
  bool hasChanged = mSequence == 0;
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    if (aObjects.contains(entry->first)) {
      ++entry;
      continue;
    }
    mRemovals.push_back({ .mAt = next, .mName = entry->first });
    entry = mEntries.erase(entry);
    hasChanged = true;
  }
  for (const auto& [name, object] : aObjects) {
    auto& entry = mEntries[name];
    const bool isNew = entry.mChangedAt == 0 ||
                       entry.mObject.mRevision != object.mRevision ||
                       entry.mObject.mCreated != object.mCreated;
    if (isNew) {
      entry = { .mObject = object, .mChangedAt = next };
      hasChanged = true;
    }
  }
  while (mRemovals.size() > mOptions.mMaxRemovals) {
    mFloor = mRemovals.front().mAt;
    mRevisionFloor = aRevision;
    mRemovals.pop_front();
  }
  if (hasChanged) {
    mSequence = next;
  }
  return hasChanged;
}

Delta
ChangeLog::Since(std::uint64_t aSequence) const
{
  Delta delta{ .mSequence = mSequence,
               .mIsWhole = aSequence == 0 || aSequence < mFloor ||
                           aSequence > mSequence };
  for (const auto& entry : mEntries | std::views::values) {
    if (delta.mIsWhole || entry.mChangedAt > aSequence) {
      delta.mObjects.push_back(entry.mObject);
    }
  }
  if (!delta.mIsWhole) {
    for (const auto& removal : mRemovals) {
      // an object of this name may be there again
      if (removal.mAt > aSequence && !mEntries.contains(removal.mName)) {
        delta.mRemoved.push_back(removal.mName);
      }
    }
  }
  return delta;
}

std::optional<Delta>
ChangeLog::SinceRevision(const store::StoreRevision& aRevision) const
{
  const bool isKnown = mRevisionFloor && aRevision >= *mRevisionFloor;
  if (!isKnown) {
    return std::nullopt;
  }
  Delta delta{ .mSequence = mSequence };
  for (const auto& entry : mEntries | std::views::values) {
    // an object that cannot be read may lack its revision
    const bool isUnreadable = !entry.mObject.mFindings.empty();
    if (entry.mObject.mRevision > aRevision || isUnreadable) {
      delta.mObjects.push_back(entry.mObject);
    }
  }
  for (const auto& removal : mRemovals) {
    if (!mEntries.contains(removal.mName)) {
      delta.mRemoved.push_back(removal.mName);
    }
  }
  return delta;
}

} // namespace figslip::relay
