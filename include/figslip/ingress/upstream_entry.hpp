#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figslip::ingress {

/// @brief Lists the states that an upstream registers.
enum class UpstreamState
{
  Ready,
  Draining
};

/// @brief Holds what an upstream has registered about itself.
struct UpstreamEntry
{
  std::string mId;
  std::string mService;
  std::string mAddress; ///< IP address
  std::uint16_t mPort = 0;
  std::string mDomain;  ///< failure domain
  std::string mVersion; ///< version of its software
  int mSlots = 1;       ///< concurrent requests
  UpstreamState mState = UpstreamState::Ready;
  Duration mColdRemaining{};     ///< cold phase left at the time of writing
  std::int64_t mStartedAtMs = 0; ///< Unix time; identifies the incarnation
  std::int64_t mSequence = 0;    ///< increases within an incarnation

  bool operator==(const UpstreamEntry&) const = default;
};

} // namespace figslip::ingress
