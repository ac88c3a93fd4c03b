#pragma once

#include <figslip/membership/instance.hpp>

#include <span>
#include <string_view>
#include <vector>

namespace figslip::membership {

/// @brief Ranks names for a key by rendezvous hashing (highest random weight).
///
/// Every instance with the same candidates computes the same order, and
/// removing one candidate moves only the keys for which it ranked first.
/// @param[in] aKey the key to place
/// @param[in] aCandidates the names to rank
/// @return the candidates, the owner of the key first; O(n log n)
[[nodiscard]] std::vector<std::string_view>
RankByRendezvous(std::string_view aKey,
                 std::span<const std::string_view> aCandidates);

/// @brief Returns the live entry instance that owns an upstream.
/// @param[in] aInstances the instance list
/// @param[in] aDomain failure domain of the upstream
/// @param[in] aUpstream name of the upstream
/// @return the name of the owner, empty if the domain has no live instance
[[nodiscard]] std::string_view
OwnerOf(const InstanceList& aInstances,
        std::string_view aDomain,
        std::string_view aUpstream);

} // namespace figslip::membership
