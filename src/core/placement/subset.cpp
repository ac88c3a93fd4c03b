#include <figslip/placement/subset.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <ranges>
#include <utility>

namespace figslip::placement {

namespace {

std::uint64_t
HashOf(std::string_view aText, std::uint64_t aSeed = 0)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace

std::set<std::string>
SubsetOf(std::string_view aInstance,
         const std::set<std::string>& aInstances,
         const std::vector<std::string>& aUpstreams)
{
  assert(!aInstances.empty());
  if (aUpstreams.size() < aInstances.size()) {
    return { aUpstreams.begin(), aUpstreams.end() };
  }
  // assigns the upstreams in hash order, each to the instance with the highest
  // hash among those below their quota
  std::vector<std::pair<std::uint64_t, std::string_view>> order;
  order.reserve(aUpstreams.size());
  for (const auto& upstream : aUpstreams) {
    order.emplace_back(HashOf(upstream), upstream);
  }
  std::ranges::sort(order);
  std::vector<std::pair<std::string_view, std::size_t>> counts;
  counts.reserve(aInstances.size());
  for (const auto& instance : aInstances) {
    counts.emplace_back(instance, 0);
  }
  const auto quota = order.size() / counts.size();
  auto extras = order.size() % counts.size();
  std::set<std::string> subset;
  for (const auto& [hash, upstream] : order) {
    auto eligible =
      counts | std::views::filter([&](const auto& aCount) {
        return aCount.second < quota || (aCount.second == quota && extras > 0);
      });
    const auto chosen =
      std::ranges::max_element(eligible, {}, [&](const auto& aCount) {
        return HashOf(aCount.first, hash);
      });
    extras -= chosen->second == quota ? 1 : 0;
    ++chosen->second;
    if (chosen->first == aInstance) {
      subset.emplace(upstream);
    }
  }
  return subset;
}

} // namespace figslip::placement
