#pragma once

#include <figslip/ingress/dialect.hpp>

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figslip::placement {

/// @brief Names each beginning of a prompt by a hash over its parts.
/// @param[in] aModel model by which the prompt is read
[[nodiscard]] std::vector<ingress::PromptPart>
PrefixHashesOf(const std::vector<ingress::PromptPart>& aPrompt,
               std::string_view aModel);

/// @brief Estimates which beginnings of prompts an engine keeps.
///
/// Follows from what was sent to it; the least recently used yield first.
class PrefixCache
{
public:
  /// @param[in] aCapacityTokens tokens that the engine keeps, >= 0
  explicit PrefixCache(std::int64_t aCapacityTokens = 0)
    : mCapacityTokens(aCapacityTokens)
  {
  }

  /// @brief Returns how many tokens of a prompt need not be read again.
  /// @param[in] aPrefixes from `ChainOf`
  [[nodiscard]] std::int64_t CachedTokens(
    const std::vector<ingress::PromptPart>& aPrefixes) const;

  /// @brief Notes that the engine reads a prompt.
  void Touch(const std::vector<ingress::PromptPart>& aPrefixes);

  void Clear();
  void SetCapacity(std::int64_t aTokens) { mCapacityTokens = aTokens; }

private:
  using RecencyList = std::list<ingress::PromptPart>;

  std::int64_t mCapacityTokens;
  std::int64_t mUsedTokens = 0;
  RecencyList mRecency; ///< the most recently used first
  std::unordered_map<std::uint64_t, RecencyList::iterator> mEntries;
};

} // namespace figslip::placement
