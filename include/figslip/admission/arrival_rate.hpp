#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::admission {

/// @brief Measures the work that arrives per second, with exponential decay.
///
/// Reads too low until it has run for a few half-lives.
class ArrivalRate
{
public:
  /// @brief Counts a request.
  void OnArrival(TimePoint aNow, double aWork);

  /// @brief Returns the work per second.
  [[nodiscard]] double PerSecond(TimePoint aNow) const;

private:
  [[nodiscard]] double WorkAt(TimePoint aNow) const;

  double mDecayedWork = 0.0;
  TimePoint mUpdatedAt;
};

} // namespace figslip::admission
