#pragma once

#include <figslip/coldstart/cold_use.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <string>
#include <string_view>

namespace figslip::coldstart {

/// @brief Tracks the grants that this instance holds.
/// @note The caller sends use reports for an upstream to one owner at a time,
/// and discards a response that arrives after the call has timed out.
class GrantHolder
{
public:
  /// @brief Creates the use report for an owner; returns slots that are no
  /// longer wanted.
  /// @param[in] aOwner name of the owner by this instance's list of instances
  /// @param[in] aInFlight requests of this instance on the upstream
  /// @param[in] aWanted slots that this instance could use
  [[nodiscard]] ColdUse PrepareUse(std::string_view aUpstream,
                                   std::string_view aOwner,
                                   int aInFlight,
                                   int aWanted,
                                   TimePoint aNow);

  /// @brief Stores the owner's response.
  /// @param[in] aSentAt time the use report was sent; the grant starts then
  void OnAnswer(const ColdGrant& aGrant, TimePoint aSentAt);

  /// @brief Returns the slots that may be used now.
  [[nodiscard]] int Slots(std::string_view aUpstream, TimePoint aNow) const;

  /// @brief Returns when the current grant expires.
  [[nodiscard]] TimePoint Expiry(std::string_view aUpstream) const;

private:
  struct State
  {
    std::string mOwner;
    std::int64_t mToken = 0;
    int mSlots = 0;
    TimePoint mExpiry;
  };

  std::map<std::string, State, std::less<>> mStates;
};

} // namespace figslip::coldstart
