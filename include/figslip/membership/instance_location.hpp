#pragma once

#include <string>

namespace figslip::membership {

/// @brief Holds the failure domain in which an instance runs.
struct InstanceLocation
{
  std::string mName;
  std::string mFailureDomain;

  bool operator==(const InstanceLocation&) const = default;
};

} // namespace figslip::membership
