#include <figslip/placement/prefix_cache.hpp>

#include <xxhash.h>

#include <ranges>

namespace figslip::placement {

std::vector<ingress::PromptPart>
ChainOf(const std::vector<ingress::PromptPart>& aPrompt,
        std::string_view aModel)
{
  std::vector<ingress::PromptPart> chain;
  chain.reserve(aPrompt.size());
  auto hash = XXH3_64bits(aModel.data(), aModel.size());
  for (const auto& part : aPrompt) {
    hash = XXH3_64bits_withSeed(&part.mId, sizeof(part.mId), hash);
    chain.push_back({ .mId = hash, .mTokens = part.mTokens });
  }
  return chain;
}

std::int64_t
PrefixCache::CachedTokens(const std::vector<ingress::PromptPart>& aChain) const
{
  std::int64_t tokens = 0;
  for (const auto& part : aChain) {
    if (!mPlaces.contains(part.mId)) {
      break;
    }
    tokens += part.mTokens;
  }
  return tokens;
}

void
PrefixCache::Touch(const std::vector<ingress::PromptPart>& aChain)
{
  // the beginning of a prompt is used last, so that its end yields first
  for (const auto& part : aChain | std::views::reverse) {
    const auto place = mPlaces.find(part.mId);
    if (place != mPlaces.end()) {
      mOrder.splice(mOrder.begin(), mOrder, place->second);
      continue;
    }
    mOrder.push_front(part);
    mPlaces.emplace(part.mId, mOrder.begin());
    mUsed += part.mTokens;
  }
  while (mUsed > mCapacity && !mOrder.empty()) {
    mUsed -= mOrder.back().mTokens;
    mPlaces.erase(mOrder.back().mId);
    mOrder.pop_back();
  }
}

void
PrefixCache::Clear()
{
  mOrder.clear();
  mPlaces.clear();
  mUsed = 0;
}

} // namespace figslip::placement
