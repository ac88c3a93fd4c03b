#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>

namespace figslip::admission {

/// @brief Measures how fast a backlog is served.
///
/// Counts admissions with a weight that halves with time, so that the rate
/// follows the recent past. Starts empty with each backlog.
class ServiceRate
{
public:
  /// @brief Notes the begin of the backlog.
  void Begin(TimePoint aNow);

  /// @brief Notes one request admitted.
  void OnAdmission(TimePoint aNow);

  /// @brief Returns the admissions per second.
  /// @return nothing before enough requests were admitted to tell
  [[nodiscard]] std::optional<double> PerSecond(TimePoint aNow) const;

private:
  [[nodiscard]] double DecayFactorAt(TimePoint aNow) const;

  double mDecayedAdmissions = 0.0; ///< weighted count
  double mDecayedSeconds = 0.0;    ///< weighted time
  std::uint64_t mAdmissions = 0;
  TimePoint mUpdatedAt;
};

} // namespace figslip::admission
