#pragma once

#include <figslip/ingress/dialect.hpp>

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace figslip::placement {

/// @brief Computes a chained hash for each prefix of a prompt.
/// @param[in] aPrompt parts of the prompt, first to last
/// @param[in] aModel model that processes the prompt; models share no prefixes
/// @return one part for each part of the prompt: the id identifies the prefix
///         that ends with it, the tokens are those of the part alone
[[nodiscard]] std::vector<ingress::PromptPart>
PrefixHashesOf(const std::vector<ingress::PromptPart>& aPrompt,
               std::string_view aModel);

/// @brief Models the prefix cache of an engine.
///
/// Estimates the contents from the prompts sent to the engine, with eviction of
/// the least recently used prefixes.
class PrefixCache
{
public:
  /// @param[in] aCapacityTokens capacity of the engine's cache, >= 0
  explicit PrefixCache(std::int64_t aCapacityTokens = 0)
    : mCapacityTokens(aCapacityTokens)
  {
  }

  /// @brief Returns the tokens of a prompt whose prefill the cache saves.
  /// @param[in] aPrefixes from `PrefixHashesOf`
  [[nodiscard]] std::int64_t CachedTokens(
    const std::vector<ingress::PromptPart>& aPrefixes) const;

  /// @brief Marks the prefixes of a prompt as most recently used and evicts
  /// what exceeds the capacity.
  /// @param[in] aPrefixes from `PrefixHashesOf`
  void Touch(const std::vector<ingress::PromptPart>& aPrefixes);

  void Clear();
  /// @brief Sets the capacity.
  /// @note A smaller capacity evicts with the next `Touch`.
  void SetCapacity(std::int64_t aTokens) { mCapacityTokens = aTokens; }

private:
  using RecencyList = std::list<ingress::PromptPart>;

  std::int64_t mCapacityTokens;
  std::int64_t mUsedTokens = 0;
  RecencyList mRecency; ///< most recently used first
  std::unordered_map<std::uint64_t, RecencyList::iterator> mEntries;
};

} // namespace figslip::placement
