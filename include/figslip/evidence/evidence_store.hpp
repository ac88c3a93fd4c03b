#pragma once

#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
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

/// @brief Merges monotone counts of all instances.
///
/// Counts are kept for each origin, span of time and key, and merge by taking
/// the larger of two counts. Merging is commutative, associative and
/// idempotent, so peers may repeat and reorder. Old spans are forgotten, which
/// bounds memory also while instances come and go.
class EvidenceStore
{
public:
  struct Options
  {
    membership::Incarnation mSelf; ///< origin of own counts
    Duration mBucketLength = std::chrono::minutes(1);
    int mBucketsKept = 30; ///< spans kept, the present one included, >= 1
  };

  explicit EvidenceStore(Options aOptions);

  /// @brief Adds counts of this instance.
  void Add(const EvidenceKey& aKey,
           const EvidenceCounts& aCounts,
           TimePoint aNow);

  /// @brief Merges entries of peers.
  void Merge(const std::vector<EvidenceEntry>& aEntries, TimePoint aNow);

  /// @brief Returns all entries of this instance that are still kept.
  [[nodiscard]] std::vector<EvidenceEntry> OwnEntries() const;

  /// @brief Sums a key over all instances and spans kept.
  [[nodiscard]] EvidenceCounts Sum(const EvidenceKey& aKey) const;

  /// @brief Sums a version over all task kinds, instances and spans kept.
  [[nodiscard]] EvidenceCounts SumOfVersion(std::string_view aVersion) const;

  /// @brief Forgets spans that are too old.
  void Expire(TimePoint aNow);

private:
  struct Place
  {
    std::int64_t mBucket;
    membership::Incarnation mOrigin;

    auto operator<=>(const Place&) const = default;
  };

  [[nodiscard]] std::int64_t BucketAt(TimePoint aNow) const;

  Options mOptions;
  std::map<EvidenceKey, std::map<Place, EvidenceCounts>> mCounts;
};

} // namespace figslip::evidence
