#include <figslip/evidence/evidence_store.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace figslip::evidence {

namespace {

EvidenceCounts
Largest(const EvidenceCounts& aLeft, const EvidenceCounts& aRight)
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

EvidenceStore::EvidenceStore(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

std::int64_t
EvidenceStore::BucketAt(TimePoint aNow) const
{
  return aNow.time_since_epoch() / mOptions.mBucketLength;
}

void
EvidenceStore::Add(const EvidenceKey& aKey,
                   const EvidenceCounts& aCounts,
                   TimePoint aNow)
{
  mCounts[aKey][{ BucketAt(aNow), mOptions.mSelf }] += aCounts;
}

void
EvidenceStore::Merge(const std::vector<EvidenceEntry>& aEntries, TimePoint aNow)
{
  const auto oldest = BucketAt(aNow) - mOptions.mBucketsKept + 1;
  for (const auto& entry : aEntries) {
    if (entry.mBucket >= oldest && entry.mOrigin != mOptions.mSelf) {
      auto& counts = mCounts[entry.mKey][{ entry.mBucket, entry.mOrigin }];
      counts = Largest(counts, entry.mCounts);
    }
  }
}

std::vector<EvidenceEntry>
EvidenceStore::OwnEntries() const
{
  std::vector<EvidenceEntry> entries;
  for (const auto& [key, places] : mCounts) {
    for (const auto& [place, counts] : places) {
      if (place.mOrigin == mOptions.mSelf) {
        entries.push_back({ place.mOrigin, place.mBucket, key, counts });
      }
    }
  }
  return entries;
}

EvidenceCounts
EvidenceStore::Sum(const EvidenceKey& aKey) const
{
  EvidenceCounts sum;
  if (const auto found = mCounts.find(aKey); found != mCounts.end()) {
    for (const auto& [place, counts] : found->second) {
      sum += counts;
    }
  }
  return sum;
}

EvidenceCounts
EvidenceStore::SumOfVersion(std::string_view aVersion) const
{
  EvidenceCounts sum;
  for (const auto& [key, places] : mCounts) {
    if (key.mVersion == aVersion) {
      sum += Sum(key);
    }
  }
  return sum;
}

void
EvidenceStore::Expire(TimePoint aNow)
{
  const auto oldest = BucketAt(aNow) - mOptions.mBucketsKept + 1;
  for (auto& [key, places] : mCounts) {
    std::erase_if(places, [oldest](const auto& aEntry) {
      return aEntry.first.mBucket < oldest;
    });
  }
  std::erase_if(mCounts,
                [](const auto& aEntry) { return aEntry.second.empty(); });
}

} // namespace figslip::evidence
