#pragma once

#include <figslip/store/store_dialect.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
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
/// behind than the removals that are remembered gets all objects.
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
  /// @return whether anything has changed; always at the first call
  bool Update(const Objects& aObjects);

  /// @brief Returns the changes after a sequence number.
  /// @param[in] aSequence 0: everything
  [[nodiscard]] Delta Since(std::uint64_t aSequence) const;

  [[nodiscard]] std::uint64_t Sequence() const { return mSequence; }

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
  std::map<std::string, Entry, std::less<>> mEntries;
  std::deque<Removal> mRemovals;
};

} // namespace figslip::relay
