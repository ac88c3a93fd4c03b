#pragma once

#include <figslip/coldstart/cold_use.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <string>
#include <string_view>

namespace figslip::coldstart {

/// @brief Follows the grants that this entry holds.
///
/// The shell asks one home at a time for each upstream and drops an answer
/// that comes after the call has timed out.
class GrantHolder
{
public:
  /// @brief Says what to tell the home; gives back slots not wanted any more.
  /// @param[in] aOwner name of the home by this entry's instance list
  [[nodiscard]] ColdUse PrepareUse(std::string_view aUpstream,
                                   std::string_view aOwner,
                                   int aInFlight,
                                   int aWanted,
                                   TimePoint aNow);

  /// @brief Takes the answer.
  /// @param[in] aSentAt when the request was sent; the grant counts from then
  void OnAnswer(const ColdGrant& aGrant, TimePoint aSentAt);

  /// @brief Returns the slots that may be used now.
  [[nodiscard]] int Slots(std::string_view aUpstream, TimePoint aNow) const;

  /// @brief Returns when the present grant ends.
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
