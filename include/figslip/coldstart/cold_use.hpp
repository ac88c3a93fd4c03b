#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>

namespace figslip::coldstart {

/// @brief Tells a home how an entry uses one upstream in cold start.
struct ColdUse
{
  std::string mUpstream;
  int mHeld = 0;     ///< slots that the entry may use until the answer, >= 0
  int mInFlight = 0; ///< requests of the entry running there, >= 0
  int mWanted = 0;   ///< slots that it could use, >= 0
  std::int64_t mToken = 0; ///< token of the home's last answer; 0: none

  bool operator==(const ColdUse&) const = default;
};

/// @brief Answers one use.
struct ColdGrant
{
  std::string mUpstream;
  std::int64_t mToken = 0; ///< for the next ask; 0: the receiver is no home
  int mSlots = 0;
  Duration mDuration{}; ///< counted from the sending of the request

  bool operator==(const ColdGrant&) const = default;
};

} // namespace figslip::coldstart
