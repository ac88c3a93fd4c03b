#include <figslip/evidence/evidence_store.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace figslip::evidence {

namespace {

EvidenceCounts
MaxCounts(const EvidenceCounts& aLeft, const EvidenceCounts& aRight)
{
  return {
    .mAnswered = std::max(aLeft.mAnswered, aRight.mAnswered),
    .mErrors = std::max(aLeft.mErrors, aRight.mErrors),
    .mAccepted = std::max(aLeft.mAccepted, aRight.mAccepted),
    .mEscalated = std::max(aLeft.mEscalated, aRight.mEscalated),
    .mGood = std::max(aLeft.mGood, aRight.mGood),
    .mBad = std::max(aLeft.mBad, aRight.mBad),
  };
}

} // namespace

EvidenceCounts&
EvidenceCounts::operator+=(const EvidenceCounts& aOther)
{
  mAnswered += aOther.mAnswered;
  mErrors += aOther.mErrors;
  mAccepted += aOther.mAccepted;
  mEscalated += aOther.mEscalated;
  mGood += aOther.mGood;
  mBad += aOther.mBad;
  return *this;
}

EvidenceCounts&
EvidenceCounts::operator-=(const EvidenceCounts& aOther)
{
  mAnswered -= aOther.mAnswered;
  mErrors -= aOther.mErrors;
  mAccepted -= aOther.mAccepted;
  mEscalated -= aOther.mEscalated;
  mGood -= aOther.mGood;
  mBad -= aOther.mBad;
  return *this;
}

EvidenceStore::EvidenceStore(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

std::int64_t
EvidenceStore::BucketAt(TimePoint aTime) const
{
  return aTime.time_since_epoch() / mOptions.mBucketLength;
}

EvidenceStore::KeyState*
EvidenceStore::FindOrAdd(const EvidenceKey& aKey)
{
  const auto found = mStates.find(aKey);
  if (found != mStates.end()) {
    return &found->second;
  }
  return mStates.size() < mOptions.mMaxKeys ? &mStates[aKey] : nullptr;
}

void
EvidenceStore::SetCounts(KeyState& aState,
                         const CellKey& aCellKey,
                         const EvidenceCounts& aCounts,
                         TimePoint aNow)
{
  auto& cell = aState.mCells[aCellKey];
  if (cell.mCounts == aCounts) {
    return;
  }
  auto& sum = aState.mSeries[aCellKey.mBucket];
  (sum -= cell.mCounts) += aCounts;
  (aState.mTotal -= cell.mCounts) += aCounts;
  cell = { .mCounts = aCounts, .mChangedAt = aNow };
}

void
EvidenceStore::Add(const EvidenceKey& aKey,
                   const EvidenceCounts& aCounts,
                   TimePoint aNow)
{
  if (auto* const state = FindOrAdd(aKey)) {
    const CellKey cellKey{ BucketAt(aNow), mOptions.mSelf };
    auto counts = state->mCells[cellKey].mCounts;
    SetCounts(*state, cellKey, counts += aCounts, aNow);
  }
}

void
EvidenceStore::Merge(const std::vector<EvidenceEntry>& aEntries, TimePoint aNow)
{
  // one bucket in the future is accepted, because clocks of instances differ
  const auto newest = BucketAt(aNow) + 1;
  const auto oldest = BucketAt(aNow) - mOptions.mBucketsKept + 1;
  for (const auto& entry : aEntries) {
    if (entry.mBucket < oldest || entry.mBucket > newest ||
        entry.mOrigin == mOptions.mSelf) {
      continue;
    }
    if (auto* const state = FindOrAdd(entry.mKey)) {
      const CellKey cellKey{ entry.mBucket, entry.mOrigin };
      const auto& before = state->mCells[cellKey].mCounts;
      SetCounts(*state, cellKey, MaxCounts(before, entry.mCounts), aNow);
    }
  }
}

std::vector<EvidenceEntry>
EvidenceStore::OwnEntries() const
{
  return OwnEntries(TimePoint::min());
}

std::vector<EvidenceEntry>
EvidenceStore::OwnEntries(TimePoint aSince) const
{
  std::vector<EvidenceEntry> entries;
  for (const auto& [key, state] : mStates) {
    for (const auto& [cellKey, cell] : state.mCells) {
      if (cellKey.mOrigin == mOptions.mSelf && cell.mChangedAt >= aSince) {
        entries.push_back(
          { cellKey.mOrigin, cellKey.mBucket, key, cell.mCounts });
      }
    }
  }
  return entries;
}

EvidenceCounts
EvidenceStore::Sum(const EvidenceKey& aKey) const
{
  const auto found = mStates.find(aKey);
  return found == mStates.end() ? EvidenceCounts{} : found->second.mTotal;
}

EvidenceStore::States::const_iterator
EvidenceStore::FirstKeyOf(std::string_view aVersion) const
{
  return mStates.lower_bound({ std::string(aVersion), {} });
}

EvidenceCounts
EvidenceStore::SumOfVersion(std::string_view aVersion) const
{
  EvidenceCounts sum;
  for (auto position = FirstKeyOf(aVersion);
       position != mStates.end() && position->first.mVersion == aVersion;
       ++position) {
    sum += position->second.mTotal;
  }
  return sum;
}

std::vector<std::pair<std::string_view, const EvidenceSeries*>>
EvidenceStore::SeriesOfVersion(std::string_view aVersion) const
{
  std::vector<std::pair<std::string_view, const EvidenceSeries*>> series;
  for (auto position = FirstKeyOf(aVersion);
       position != mStates.end() && position->first.mVersion == aVersion;
       ++position) {
    series.emplace_back(position->first.mTaskKind, &position->second.mSeries);
  }
  return series;
}

void
EvidenceStore::DropBefore(KeyState& aState, std::int64_t aOldest)
{
  const auto end = aState.mCells.lower_bound({ aOldest, {} });
  for (auto cell = aState.mCells.begin(); cell != end; ++cell) {
    aState.mTotal -= cell->second.mCounts;
  }
  aState.mCells.erase(aState.mCells.begin(), end);
  aState.mSeries.erase(aState.mSeries.begin(),
                       aState.mSeries.lower_bound(aOldest));
}

void
EvidenceStore::Expire(TimePoint aNow)
{
  const auto oldest = BucketAt(aNow) - mOptions.mBucketsKept + 1;
  for (auto& [key, state] : mStates) {
    DropBefore(state, oldest);
  }
  std::erase_if(
    mStates, [](const auto& aEntry) { return aEntry.second.mCells.empty(); });
}

} // namespace figslip::evidence
