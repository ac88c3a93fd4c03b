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
  void OnAdmission(TimePoint aNow);

  /// @brief Returns the admissions per second.
  /// @return nothing until enough requests were admitted for an estimate
  [[nodiscard]] std::optional<double> PerSecond(TimePoint aNow) const;

private:
  /// Returns the factor by which the sums have decayed since the last update.
  [[nodiscard]] double DecayFactorAt(TimePoint aNow) const;

  double mDecayedAdmissions = 0.0;
  double mDecayedSeconds = 0.0;
  std::uint64_t mAdmissions = 0; ///< without decay
  TimePoint mUpdatedAt;
};

} // namespace figslip::admission
