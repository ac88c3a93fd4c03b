#pragma once

#include <chrono>

namespace figslip {

/// @brief Duration with microsecond resolution.
using Duration = std::chrono::microseconds;

/// @brief Clock type of the time points that the shell passes to the core.
///
/// The core never reads a clock, hence there is no `now()`. The shell passes
/// the time of the instance; tests and measurements pass virtual time.
struct CoreClock
{
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<CoreClock, Duration>;
  static constexpr bool is_steady = false;
};

/// @brief Time point in microseconds since the Unix epoch.
/// @note Time points of `ReadBootClock` count from the boot of the machine
/// instead and cannot be compared with those of `ReadClock`.
using TimePoint = CoreClock::time_point;

/// @brief Converts a time point to whole milliseconds since the Unix epoch.
/// @return milliseconds, rounded towards negative infinity
[[nodiscard]] constexpr std::int64_t
ToUnixMillis(TimePoint aTime)
{
  return std::chrono::floor<std::chrono::milliseconds>(aTime.time_since_epoch())
    .count();
}

} // namespace figslip
