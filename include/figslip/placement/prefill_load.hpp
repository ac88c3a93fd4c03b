#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::placement {

/// @brief Tracks the recent prefill work that an instance sends to its engines.
///
/// The work is an exponentially decaying sum.
class PrefillLoad
{
public:
  /// @brief Adds the prefill of a prompt that is sent.
  /// @param[in] aPrefillMs expected prefill time, ms
  void OnSent(double aPrefillMs, TimePoint aNow);

  /// @brief Returns how many engines the recent prefills keep busy on average.
  [[nodiscard]] double BusyEngines(TimePoint aNow) const;

private:
  /// Returns the sum decayed to the given time, ms.
  [[nodiscard]] double DecayedSumMs(TimePoint aNow) const;

  double mSumMs = 0.0;
  TimePoint mUpdatedAt;
};

} // namespace figslip::placement
