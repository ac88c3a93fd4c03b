#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip {

/// @brief Reads the clock of the instance.
///
/// Counts steadily from the wall-clock time of the first call, so that a step
/// of the system clock never moves deadlines.
[[nodiscard]] TimePoint
ReadClock();

/// @brief Reads a clock that no step moves and that counts while the machine is
/// suspended; its zero is the boot of the machine.
[[nodiscard]] TimePoint
ReadBootClock();

} // namespace figslip
