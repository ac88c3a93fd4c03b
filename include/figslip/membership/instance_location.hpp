#pragma once

#include <string>

namespace figslip::membership {

/// @brief Holds where an instance runs.
struct InstanceLocation
{
  std::string mName;
  std::string mFailureDomain;
  /// IP number and port at which it serves other instances; empty: unknown
  std::string mAddress;

  bool operator==(const InstanceLocation&) const = default;
};

} // namespace figslip::membership
