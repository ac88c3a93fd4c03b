#include <figslip/placement/prefix_cache.hpp>

#include <xxhash.h>

#include <ranges>

namespace figslip::placement {

std::vector<ingress::PromptPart>
PrefixHashesOf(const std::vector<ingress::PromptPart>& aPrompt,
               std::string_view aModel)
{
  std::vector<ingress::PromptPart> prefixes;
  prefixes.reserve(aPrompt.size());
  auto hash = XXH3_64bits(aModel.data(), aModel.size());
  for (const auto& part : aPrompt) {
    hash = XXH3_64bits_withSeed(&part.mId, sizeof(part.mId), hash);
    prefixes.push_back({ .mId = hash, .mTokens = part.mTokens });
  }
  return prefixes;
}

std::int64_t
PrefixCache::CachedTokens(
  const std::vector<ingress::PromptPart>& aPrefixes) const
{
  std::int64_t tokens = 0;
  for (const auto& part : aPrefixes) {
    if (!mEntries.contains(part.mId)) {
      break;
    }
    tokens += part.mTokens;
  }
  return tokens;
}

void
PrefixCache::Touch(const std::vector<ingress::PromptPart>& aPrefixes)
{
  // the first part is touched last, so that the end of a prompt is evicted
  // before its beginning
  for (const auto& part : aPrefixes | std::views::reverse) {
    const auto entry = mEntries.find(part.mId);
    if (entry != mEntries.end()) {
      mRecency.splice(mRecency.begin(), mRecency, entry->second);
      continue;
    }
    mRecency.push_front(part);
    mEntries.emplace(part.mId, mRecency.begin());
    mUsedTokens += part.mTokens;
  }
  while (mUsedTokens > mCapacityTokens && !mRecency.empty()) {
    mUsedTokens -= mRecency.back().mTokens;
    mEntries.erase(mRecency.back().mId);
    mRecency.pop_back();
  }
}

void
PrefixCache::Clear()
{
  mRecency.clear();
  mEntries.clear();
  mUsedTokens = 0;
}

} // namespace figslip::placement
