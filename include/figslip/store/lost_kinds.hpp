#pragma once

#include <figslip/store/store_dialect.hpp>

#include <set>

namespace figslip::store {

/// @brief Knows which kinds of objects are not received from the store.
///
/// The other kinds are not polled while the configuration is lost, so that
/// their loss is never noticed. The store is in reach if no kind is lost.
class LostKinds
{
public:
  /// @brief Records that a kind is lost.
  /// @return whether the store was in reach before
  bool OnLost(ObjectKind aKind)
  {
    const bool wasInReach = mLost.empty();
    mLost.insert(aKind);
    return wasInReach;
  }

  /// @brief Records that a kind is received again.
  /// @return whether the store is in reach again
  bool OnRegained(ObjectKind aKind)
  {
    return mLost.erase(aKind) > 0 && mLost.empty();
  }

private:
  std::set<ObjectKind> mLost;
};

} // namespace figslip::store
