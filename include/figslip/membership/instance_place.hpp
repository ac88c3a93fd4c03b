#pragma once

#include <string>

namespace figslip::membership {

/// @brief Tells where an instance runs.
struct InstancePlace
{
  std::string mName;
  std::string mFailureDomain;

  bool operator==(const InstancePlace&) const = default;
};

} // namespace figslip::membership
