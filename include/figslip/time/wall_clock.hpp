#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip {

/// @brief Returns the time of the instance since the Unix epoch.
///
/// The wall clock is read once, on the first call; later times advance with the
/// monotonic clock, so that a step of the system clock never moves deadlines.
[[nodiscard]] TimePoint
ReadClock();

/// @brief Returns the time since the boot of the machine.
///
/// Steps of the system clock do not affect it, and it advances while the
/// machine is suspended.
[[nodiscard]] TimePoint
ReadBootClock();

} // namespace figslip
