#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>

namespace figslip::admission {

/// @brief Measures how fast a backlog is served.
///
/// Admissions and elapsed time decay exponentially, so that the rate follows
/// the recent past. A new backlog starts a new measurement.
class ServiceRate
{
public:
  /// @brief Starts the measurement when the backlog begins.
  void Begin(TimePoint aNow);

  /// @brief Counts one admitted request.
  /// @param[in] aWork of the request, in the unit of `PerSecond`
  void OnAdmission(TimePoint aNow, double aWork = 1.0);

  /// @brief Takes back an admission that an upstream has rejected.
  void OnRejection(double aWork);

  /// @brief Returns the work admitted per second.
  /// @return nothing until enough requests were admitted for an estimate
  [[nodiscard]] std::optional<double> PerSecond(TimePoint aNow) const;

private:
  /// Returns the factor by which the sums have decayed since the last update.
  [[nodiscard]] double DecayFactorAt(TimePoint aNow) const;

  double mDecayedWork = 0.0;
  double mDecayedSeconds = 0.0;
  std::uint64_t mAdmissions = 0; ///< without decay
  TimePoint mUpdatedAt;
};

} // namespace figslip::admission
