#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::placement {

/// @brief Returns the subset of upstreams that belongs to an instance.
///
/// Partitions the upstreams of a failure domain among its instances by
/// rendezvous hashing with a quota. Instances that have the same lists compute
/// the same partition without communication. Subset sizes differ by one at
/// most. When an instance or an upstream is added or removed, most upstreams
/// keep their owner.
///
/// @param[in] aInstance one of the instances
/// @param[in] aInstances names of all instances of the failure domain, >= 1
/// @param[in] aUpstreams ids of the upstreams of the failure domain
/// @return the upstreams of this instance; all upstreams where there are fewer
///         of them than instances, as some subsets would be empty
///
/// @note Complexity: linear in instances times upstreams.
[[nodiscard]] std::set<std::string>
SubsetOf(std::string_view aInstance,
         const std::set<std::string>& aInstances,
         const std::vector<std::string>& aUpstreams);

} // namespace figslip::placement
