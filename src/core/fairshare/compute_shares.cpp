#include <figslip/fairshare/compute_shares.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace figslip::fairshare {

namespace {

/// Bounds of a weight; sums and quotients of weights stay finite.
constexpr double kMinWeight = 1e-6;
constexpr double kMaxWeight = 1e6;

Claim
Sanitize(const Claim& aClaim)
{
  const bool hasDemand = std::isfinite(aClaim.mDemand) && aClaim.mDemand > 0.0;
  const bool hasWeight = std::isfinite(aClaim.mWeight) && aClaim.mWeight > 0.0;
  return { .mDemand = hasDemand ? aClaim.mDemand : 0.0,
           .mWeight = hasWeight
                        ? std::clamp(aClaim.mWeight, kMinWeight, kMaxWeight)
                        : 1.0 };
}

} // namespace

Shares
ComputeShares(std::span<const Claim> aClaims, double aCapacity)
{
  std::vector<Claim> claims(aClaims.size());
  std::ranges::transform(aClaims, claims.begin(), Sanitize);
  std::vector<std::size_t> order(claims.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::ranges::sort(order, {}, [&](std::size_t aIndex) {
    return claims[aIndex].mDemand / claims[aIndex].mWeight;
  });
  double capacity = aCapacity > 0.0 ? aCapacity : 0.0;
  double weight = std::accumulate(
    claims.begin(), claims.end(), 0.0, [](double aSum, const Claim& aClaim) {
      return aSum + aClaim.mWeight;
    });
  Shares shares{ .mAllocations = std::vector<double>(claims.size()),
                 .mLevel = std::numeric_limits<double>::infinity() };
  // those that ask for the least per weight are satisfied first; the first one
  // that cannot be is followed by others that cannot be either
  for (const auto index : order) {
    const auto& claim = claims[index];
    const bool isShort = std::isfinite(shares.mLevel);
    // rounding may leave a weight of 0 to the last one
    const double level = capacity / std::max(weight, claim.mWeight);
    if (!isShort && claim.mDemand > level * claim.mWeight) {
      shares.mLevel = level;
    }
    shares.mAllocations[index] =
      std::min(claim.mDemand, shares.mLevel * claim.mWeight);
    capacity = std::max(0.0, capacity - shares.mAllocations[index]);
    weight -= claim.mWeight;
  }
  return shares;
}

} // namespace figslip::fairshare
