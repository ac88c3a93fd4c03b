#pragma once

#include <chrono>

namespace figslip {

/// @brief Spans of time, in microseconds.
using Duration = std::chrono::microseconds;

/// @brief Tags time points that the shell passes into the decisions.
///
/// The decisions never read a clock. The shell passes the wall clock of the
/// instance; tests and measurements pass virtual time.
struct CoreClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<CoreClock, Duration>;
  static constexpr bool is_steady = false;
};

/// @brief Points in time, in microseconds since the Unix epoch.
using TimePoint = CoreClock::time_point;

/// @brief Converts a time point to whole milliseconds since the Unix epoch.
/// @param[in] aTime the time point
/// @return milliseconds, rounded down
[[nodiscard]] constexpr std::int64_t
ToUnixMillis(TimePoint aTime)
{
  return std::chrono::floor<std::chrono::milliseconds>(aTime.time_since_epoch())
    .count();
}

} // namespace figslip
