#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::cascade {

/// @brief Learns the factor by which latencies exceed their expected values.
///
/// Handles overloaded engines: the expected latency does not include the
/// requests of other instances. Without new samples the factor decays to 1, so
/// that a model that is no longer used is tried again.
class LatencyScale
{
public:
  /// @brief Adds a measured latency.
  void OnSample(Duration aTook, Duration aExpected, TimePoint aNow);

  /// @brief Returns an expected latency multiplied by the learned factor.
  [[nodiscard]] Duration Apply(Duration aExpected, TimePoint aNow) const;

private:
  /// Returns the logarithm of the factor, decayed to the given time.
  [[nodiscard]] double LogFactorAt(TimePoint aNow) const;

  double mLogFactor = 0.0; ///< logarithm of the factor, >= 0
  TimePoint mUpdatedAt;
};

} // namespace figslip::cascade
