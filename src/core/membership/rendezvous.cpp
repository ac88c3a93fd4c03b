#include <figslip/membership/rendezvous.hpp>

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace figslip::membership {

namespace {

std::uint64_t
Weight(std::string_view aKey, std::string_view aCandidate)
{
  const auto seed = XXH3_64bits(aCandidate.data(), aCandidate.size());
  return XXH3_64bits_withSeed(aKey.data(), aKey.size(), seed);
}

} // namespace

std::vector<std::string_view>
RankByRendezvous(std::string_view aKey,
                 std::span<const std::string_view> aCandidates)
{
  using Weighted = std::pair<std::uint64_t, std::string_view>;
  std::vector<Weighted> weighted;
  weighted.reserve(aCandidates.size());
  for (const auto candidate : aCandidates) {
    weighted.emplace_back(Weight(aKey, candidate), candidate);
  }
  std::ranges::sort(weighted, std::greater<>{});
  std::vector<std::string_view> ranked;
  ranked.reserve(weighted.size());
  std::ranges::transform(
    weighted, std::back_inserter(ranked), &Weighted::second);
  return ranked;
}

std::string_view
OwnerOf(const InstanceList& aInstances,
        std::string_view aDomain,
        std::string_view aUpstream)
{
  std::string_view owner;
  std::uint64_t best = 0;
  for (const auto& entry : aInstances.mEntries) {
    if (entry.mFailureDomain != aDomain ||
        entry.mState != InstanceState::Live) {
      continue;
    }
    const auto weight = Weight(aUpstream, entry.mName);
    if (owner.empty() || std::pair(weight, std::string_view(entry.mName)) >
                           std::pair(best, owner)) {
      owner = entry.mName;
      best = weight;
    }
  }
  return owner;
}

} // namespace figslip::membership
