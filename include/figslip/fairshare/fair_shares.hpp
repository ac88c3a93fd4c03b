#pragma once

#include <figslip/time/time_point.hpp>

#include <string_view>

namespace figslip::fairshare {

/// @brief Tells how the capacity of a service is shared among the client
/// accounts of all instances.
class FairShares
{
public:
  /// @brief Returns the weight of an account among the requests that wait at
  /// this instance.
  /// @return > 0; equal for all accounts while nothing is known of others
  [[nodiscard]] double WeightOf(std::string_view /*aService*/,
                                std::string_view /*aAccount*/) const
  {
    return 1.0;
  }

  /// @brief Returns whether an account demands more than its share of a service
  /// that is short of capacity.
  [[nodiscard]] bool IsOverShare(std::string_view /*aService*/,
                                 std::string_view /*aAccount*/) const
  {
    return false;
  }

  /// @brief Records that a request arrived.
  /// @param[in] aCost expected work, in the unit of the account queue
  void OnOffered(std::string_view /*aService*/,
                 std::string_view /*aAccount*/,
                 double /*aCost*/,
                 TimePoint /*aNow*/)
  {
  }

  /// @brief Records that a request was admitted to an upstream.
  void OnAdmitted(std::string_view /*aService*/,
                  std::string_view /*aAccount*/,
                  double /*aCost*/,
                  TimePoint /*aNow*/)
  {
  }

  /// @brief Records that a request of a service has to wait, or was rejected,
  /// for lack of capacity.
  void OnShortage(std::string_view /*aService*/, TimePoint /*aNow*/) {}
};

} // namespace figslip::fairshare
