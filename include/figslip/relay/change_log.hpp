#pragma once

#include <figslip/store/store_dialect.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figslip::relay {

/// @brief Holds the objects of one kind that changed since a sequence number.
struct Delta
{
  std::uint64_t mSequence = 0; ///< to ask from the next time
  bool mIsWhole = false;       ///< the objects are all there are
  std::vector<store::Object> mObjects;
  std::vector<std::string> mRemoved;

  [[nodiscard]] bool HasNews() const
  {
    return mIsWhole || !mObjects.empty() || !mRemoved.empty();
  }
};

/// @brief Numbers the changes of a copy of the store's objects of one kind.
///
/// The numbers are those of this process alone. A follower that is further
/// behind than the removals that are remembered gets all objects. One that
/// comes from another source, or from the store, gets the changes after the
/// store's revision of its copy, so that a change of source costs no whole
/// copy; unless that revision is of another era of the store.
class ChangeLog
{
public:
  using Objects = std::map<std::string, store::Object, std::less<>>;

  struct Options
  {
    std::size_t mMaxRemovals = 1'000; ///< removals that are remembered
  };

  explicit ChangeLog(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Takes the objects that there are now.
  /// @param[in] aRevision revision of the store that they are of
  /// @return whether anything has changed; always at the first call
  bool Update(const Objects& aObjects, const store::StoreRevision& aRevision);

  /// @brief Returns the changes after a sequence number.
  /// @param[in] aSequence 0: everything
  [[nodiscard]] Delta Since(std::uint64_t aSequence) const;

  /// @brief Returns the changes after a revision of the store.
  ///
  /// All removals that are remembered are repeated: an object that left while
  /// its kind was listed page by page has no known revision.
  /// @return empty: the removals since then may not all be known
  [[nodiscard]] std::optional<Delta> SinceRevision(
    const store::StoreRevision& aRevision) const;

  [[nodiscard]] std::uint64_t Sequence() const { return mSequence; }
  [[nodiscard]] std::size_t Size() const { return mEntries.size(); }

private:
  struct Entry
  {
    store::Object mObject;
    std::uint64_t mChangedAt = 0;
  };

  struct Removal
  {
    std::uint64_t mAt = 0;
    std::string mName;
  };

  Options mOptions;
  std::uint64_t mSequence = 0;
  std::uint64_t mFloor = 0; ///< removals up to this number are forgotten
  /// of the first copy of this era
  std::optional<store::StoreRevision> mFirstRevision;
  /// removals up to this revision of the store may not be known. The pages of
  /// the first copy may be newer than its revision, so a later one is needed.
  std::optional<store::StoreRevision> mRevisionFloor;
  std::map<std::string, Entry, std::less<>> mEntries;
  std::deque<Removal> mRemovals;
};

} // namespace figslip::relay
