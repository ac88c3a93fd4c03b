#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figslip::ingress {

/// @brief Lists the states in which an upstream registers itself.
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
  std::string mAddress; ///< IP number
  std::uint16_t mPort = 0;
  std::string mDomain;  ///< failure domain
  std::string mVersion; ///< of its software
  int mSlots = 1;       ///< requests it runs at a time
  UpstreamState mState = UpstreamState::Ready;
  Duration mColdRemaining{};     ///< when the entry was written
  std::int64_t mStartedAtMs = 0; ///< Unix time; tells incarnations apart
  std::int64_t mSequence = 0;    ///< rises within an incarnation

  bool operator==(const UpstreamEntry&) const = default;
};

} // namespace figslip::ingress
