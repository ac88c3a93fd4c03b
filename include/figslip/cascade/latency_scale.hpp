#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::cascade {

/// @brief Learns how much longer answers take than expected.
///
/// Answers engines that are short for the load: what other instances send is
/// not in the expectation. Without new samples the estimate falls back, so that
/// a model that is no longer asked is tried again.
class LatencyScale
{
public:
  void OnSample(Duration aTook, Duration aExpected, TimePoint aNow);

  /// @brief Returns an expected time, corrected by what was learned.
  [[nodiscard]] Duration Apply(Duration aExpected, TimePoint aNow) const;

private:
  /// Returns the learned logarithm of the factor at a time.
  [[nodiscard]] double LogFactorAt(TimePoint aNow) const;

  double mLogFactor = 0.0; ///< logarithm of the factor, >= 0
  TimePoint mUpdatedAt;
};

} // namespace figslip::cascade
