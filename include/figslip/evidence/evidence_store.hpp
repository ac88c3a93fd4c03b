#pragma once

#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figslip::evidence {

/// @brief Identifies a set of counts: one version on one task key.
struct EvidenceKey
{
  std::string mVersion;
  std::string mTaskKind; ///< task key, see TaskKey()

  auto operator<=>(const EvidenceKey&) const = default;
};

/// @brief Counters of the results of a version; they only increase.
struct EvidenceCounts
{
  std::uint64_t mAnswered = 0;  ///< complete answers
  std::uint64_t mErrors = 0;    ///< attempts that failed at the upstream
  std::uint64_t mAccepted = 0;  ///< answers scored at or above the threshold
  std::uint64_t mEscalated = 0; ///< answers scored below the threshold
  std::uint64_t mGood = 0;      ///< answers rated good
  std::uint64_t mBad = 0;       ///< answers rated bad

  EvidenceCounts& operator+=(const EvidenceCounts& aOther);
  EvidenceCounts& operator-=(const EvidenceCounts& aOther);
  bool operator==(const EvidenceCounts&) const = default;
};

/// @brief Counters of one incarnation in one time bucket, exchanged by peers.
struct EvidenceEntry
{
  membership::Incarnation mOrigin;
  std::int64_t mBucket = 0; ///< index of the time bucket
  EvidenceKey mKey;
  EvidenceCounts mCounts;
};

/// @brief Sums over all instances, by the index of the time bucket.
using EvidenceSeries = std::map<std::int64_t, EvidenceCounts>;

/// @brief Merges monotone counters of all instances.
///
/// There is a set of counters for each origin, time bucket and key. Merging
/// takes the larger value of each counter, as in a grow-only counter CRDT. It
/// is commutative, associative and idempotent, so peers may repeat and reorder
/// entries. Old buckets are removed, which bounds memory also while instances
/// come and go. The number of keys is bounded as well, because callers choose
/// the task kinds.
class EvidenceStore
{
public:
  struct Options
  {
    membership::Incarnation mSelf; ///< origin of the own counters
    Duration mBucketLength = std::chrono::minutes(1);
    int mBucketsKept = 30;       ///< including the current one, >= 1
    std::size_t mMaxKeys = 4096; ///< keys stored, >= 1
  };

  explicit EvidenceStore(Options aOptions);

  /// @brief Adds counts of this instance to the current bucket.
  /// @note The counts of a new key are dropped if the maximum number of keys is
  /// reached.
  void Add(const EvidenceKey& aKey,
           const EvidenceCounts& aCounts,
           TimePoint aNow);

  /// @brief Merges entries of peers.
  ///
  /// Ignores entries of this instance, of expired buckets, of buckets more than
  /// one in the future (clocks differ), and of keys beyond the maximum.
  void Merge(const std::vector<EvidenceEntry>& aEntries, TimePoint aNow);

  /// @brief Returns all stored entries of this instance.
  [[nodiscard]] std::vector<EvidenceEntry> OwnEntries() const;

  /// @brief Returns the entries of this instance changed at or after a time.
  [[nodiscard]] std::vector<EvidenceEntry> OwnEntries(TimePoint aSince) const;

  /// @brief Returns the sum of a key over all instances and buckets, in
  /// O(log keys).
  [[nodiscard]] EvidenceCounts Sum(const EvidenceKey& aKey) const;

  /// @brief Returns the sum of a version over all task keys, instances and
  /// buckets.
  [[nodiscard]] EvidenceCounts SumOfVersion(std::string_view aVersion) const;

  /// @brief Returns the buckets of each task key of a version.
  /// @return views and pointers into the store, valid until it is modified
  [[nodiscard]] std::vector<std::pair<std::string_view, const EvidenceSeries*>>
  SeriesOfVersion(std::string_view aVersion) const;

  /// @brief Returns the index of the time bucket that contains a time.
  [[nodiscard]] std::int64_t BucketAt(TimePoint aTime) const;

  /// @brief Removes expired buckets, and keys without buckets.
  void Expire(TimePoint aNow);

  /// @brief Returns the number of stored keys.
  [[nodiscard]] std::size_t KeyCount() const { return mStates.size(); }

private:
  struct CellKey
  {
    std::int64_t mBucket;
    membership::Incarnation mOrigin;

    auto operator<=>(const CellKey&) const = default;
  };

  struct Cell
  {
    EvidenceCounts mCounts;
    TimePoint mChangedAt;
  };

  struct KeyState
  {
    std::map<CellKey, Cell> mCells;
    EvidenceSeries mSeries; ///< sums over the origins, by bucket
    EvidenceCounts mTotal;  ///< sum of all cells
  };

  using States = std::map<EvidenceKey, KeyState>;

  [[nodiscard]] KeyState* FindOrAdd(const EvidenceKey& aKey);
  [[nodiscard]] States::const_iterator FirstKeyOf(
    std::string_view aVersion) const;
  static void SetCounts(KeyState& aState,
                        const CellKey& aCellKey,
                        const EvidenceCounts& aCounts,
                        TimePoint aNow);
  static void DropBefore(KeyState& aState, std::int64_t aOldest);

  Options mOptions;
  States mStates;
};

} // namespace figslip::evidence
