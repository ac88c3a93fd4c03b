#pragma once

#include <span>
#include <vector>

namespace figslip::fairshare {

/// @brief Holds what one account asks of a capacity.
struct Claim
{
  double mDemand = 0.0; ///< in the unit of the capacity
  double mWeight = 1.0; ///< of the account among the others, > 0
};

/// @brief Holds how a capacity is divided.
struct Shares
{
  std::vector<double> mAllocations; ///< by claim
  /// allocation for a weight of 1 of those that want more than they get;
  /// infinity if all demand fits
  double mLevel = 0.0;
};

/// @brief Divides a capacity among claims by weighted max-min fairness.
///
/// No allocation exceeds its demand. Those that get less than they demand get
/// the same for each unit of weight, and nobody else gets more than that.
/// A demand that is negative or not finite counts as 0, as does a capacity that
/// is negative or NaN. A weight that is not finite or not positive counts as 1.
[[nodiscard]] Shares
ComputeShares(std::span<const Claim> aClaims, double aCapacity);

} // namespace figslip::fairshare
