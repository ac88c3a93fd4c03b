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

/// @brief Names what a count is about: one version on one kind of task.
struct EvidenceKey
{
  std::string mVersion;
  std::string mTaskKind;

  auto operator<=>(const EvidenceKey&) const = default;
};

/// @brief Counts what was seen of a version; every count only grows.
struct EvidenceCounts
{
  std::uint64_t mAnswered = 0;  ///< whole answers
  std::uint64_t mErrors = 0;    ///< attempts that failed by the upstream
  std::uint64_t mAccepted = 0;  ///< answers whose score reached the stage
  std::uint64_t mEscalated = 0; ///< answers whose score did not
  std::uint64_t mGood = 0;      ///< answers rated good
  std::uint64_t mBad = 0;       ///< answers rated bad

  EvidenceCounts& operator+=(const EvidenceCounts& aOther);
  EvidenceCounts& operator-=(const EvidenceCounts& aOther);
  bool operator==(const EvidenceCounts&) const = default;
};

/// @brief Counts of one incarnation in one span of time, as peers exchange.
struct EvidenceEntry
{
  membership::Incarnation mOrigin;
  std::int64_t mBucket = 0; ///< index of the span of time
  EvidenceKey mKey;
  EvidenceCounts mCounts;
};

/// @brief Counts of all instances in one span of time.
using EvidenceSeries = std::map<std::int64_t, EvidenceCounts>;

/// @brief Merges monotone counts of all instances.
///
/// Counts are kept for each origin, span of time and key, and merge by taking
/// the larger of two counts. Merging is commutative, associative and
/// idempotent, so peers may repeat and reorder. Old spans are forgotten, which
/// bounds memory also while instances come and go; the number of keys is
/// bounded too, since callers name the task kinds.
class EvidenceStore
{
public:
  struct Options
  {
    membership::Incarnation mSelf; ///< origin of own counts
    Duration mBucketLength = std::chrono::minutes(1);
    int mBucketsKept = 30;       ///< spans kept, the present one included, >= 1
    std::size_t mMaxKeys = 4096; ///< keys kept, >= 1
  };

  explicit EvidenceStore(Options aOptions);

  /// @brief Adds counts of this instance.
  ///
  /// Where no further key fits, the counts are lost.
  void Add(const EvidenceKey& aKey,
           const EvidenceCounts& aCounts,
           TimePoint aNow);

  /// @brief Merges entries of peers.
  ///
  /// Entries of this instance, of old spans, of spans that have not begun by
  /// any fair clock, and of keys beyond the bound are ignored.
  void Merge(const std::vector<EvidenceEntry>& aEntries, TimePoint aNow);

  /// @brief Returns all entries of this instance that are still kept.
  [[nodiscard]] std::vector<EvidenceEntry> OwnEntries() const;

  /// @brief Returns the own entries that changed at or after a time.
  [[nodiscard]] std::vector<EvidenceEntry> OwnEntries(TimePoint aSince) const;

  /// @brief Sums a key over all instances and spans kept; O(log keys).
  [[nodiscard]] EvidenceCounts Sum(const EvidenceKey& aKey) const;

  /// @brief Sums a version over all task kinds, instances and spans kept.
  [[nodiscard]] EvidenceCounts SumOfVersion(std::string_view aVersion) const;

  /// @brief Returns the spans of each task kind of a version.
  /// @return pointers into the store, valid until it is changed
  [[nodiscard]] std::vector<std::pair<std::string_view, const EvidenceSeries*>>
  SeriesOfVersion(std::string_view aVersion) const;

  /// @brief Returns the index of the span of time that a time is in.
  [[nodiscard]] std::int64_t BucketAt(TimePoint aTime) const;

  /// @brief Forgets spans that are too old.
  void Expire(TimePoint aNow);

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
    EvidenceSeries mSeries; ///< sums of the cells over the origins
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
