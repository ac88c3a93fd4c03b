#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>

namespace figslip::coldstart {

/// @brief Use report of an instance to the owner of an upstream in cold start.
struct ColdUse
{
  std::string mUpstream;
  int mHeld = 0;           ///< slots usable until the response, >= 0
  int mInFlight = 0;       ///< requests of the instance in flight, >= 0
  int mWanted = 0;         ///< slots the instance could use, >= 0
  std::int64_t mToken = 0; ///< token of the owner's last response; 0: none

  bool operator==(const ColdUse&) const = default;
};

/// @brief Response of the owner to one use report.
struct ColdGrant
{
  std::string mUpstream;
  std::int64_t mToken = 0; ///< for the next report; 0: not the owner
  int mSlots = 0;          ///< granted slots, >= 0
  Duration mDuration{};    ///< from the time the use report was sent

  bool operator==(const ColdGrant&) const = default;
};

} // namespace figslip::coldstart
