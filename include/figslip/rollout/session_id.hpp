#pragma once

#include <cstdint>

namespace figslip::rollout {

/// @brief Identifies the session that a request belongs to.
struct SessionId
{
  std::uint64_t mHash = 0;
  /// the request belongs to no session, and no other request depends on its
  /// version
  bool mIsSingle = false;
};

} // namespace figslip::rollout
