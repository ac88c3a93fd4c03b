#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::placement {

/// @brief Divides the upstreams of a failure domain among its instances.
///
/// All instances that know the same names agree without messages. Each
/// instance gets as many upstreams as any other, or one more. When a name comes
/// or goes, most upstreams stay where they are.
///
/// @param[in] aInstance one of the instances
/// @param[in] aInstances names of all instances of the failure domain, >= 1
/// @param[in] aUpstreams ids of the upstreams of the failure domain
/// @return the upstreams of this instance; all where there are fewer upstreams
///         than instances, as some would get none
///
/// @note complexity: instances times upstreams
[[nodiscard]] std::set<std::string>
SubsetOf(std::string_view aInstance,
         const std::set<std::string>& aInstances,
         const std::vector<std::string>& aUpstreams);

} // namespace figslip::placement
