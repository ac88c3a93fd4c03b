#pragma once

#include <compare>
#include <cstdint>

namespace figslip::store {

/// @brief Numbers the periods in which the store's revisions only rise.
///
/// A store that is restored from an older copy begins the next era: it lacks
/// the latest changes and gives out their revisions again.
enum class StoreEra : std::int64_t
{
};

/// @brief Holds a revision of the store with the era in which it was given out.
///
/// Revisions of different eras are neither equal nor ordered, because the same
/// number stands for different changes there. @ref IsBehind compares copies of
/// the store across eras.
class StoreRevision
{
public:
  /// @brief Makes the revision before the first change of the first era.
  constexpr StoreRevision() = default;

  constexpr StoreRevision(StoreEra aEra, std::int64_t aNumber)
    : mEra(aEra)
    , mNumber(aNumber)
  {
  }

  [[nodiscard]] constexpr StoreEra Era() const { return mEra; }

  /// @brief Returns the number, which means nothing outside of its era.
  [[nodiscard]] constexpr std::int64_t Number() const { return mNumber; }

  constexpr bool operator==(const StoreRevision&) const = default;

  /// @return unordered, if the eras differ
  constexpr std::partial_ordering operator<=>(const StoreRevision& aOther) const
  {
    return mEra == aOther.mEra ? mNumber <=> aOther.mNumber
                               : std::partial_ordering::unordered;
  }

private:
  StoreEra mEra{};
  std::int64_t mNumber = 0;
};

/// @brief Checks whether a copy of the store must not replace another one.
/// @param[in] aRevision revision of the copy
/// @param[in] aOther revision of the other copy
/// @return whether `aRevision` is of an earlier era, or lower in the same era
[[nodiscard]] constexpr bool
IsBehind(const StoreRevision& aRevision, const StoreRevision& aOther)
{
  return aRevision.Era() < aOther.Era() || aRevision < aOther;
}

} // namespace figslip::store
