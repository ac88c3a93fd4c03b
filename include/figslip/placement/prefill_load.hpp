#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::placement {

/// @brief Measures how much reading of prompts an instance has its engines do.
class PrefillLoad
{
public:
  /// @brief Notes that a prompt is sent.
  /// @param[in] aPrefillMs expected time to read it, ms
  void OnSent(double aPrefillMs, TimePoint aNow);

  /// @brief Returns the engines that the reading keeps busy, lately.
  [[nodiscard]] double BusyEngines(TimePoint aNow) const;

private:
  /// Returns the reading that counts still, ms.
  [[nodiscard]] double DecayedSumMs(TimePoint aNow) const;

  double mSumMs = 0.0;
  TimePoint mUpdatedAt;
};

} // namespace figslip::placement
