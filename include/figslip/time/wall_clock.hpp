#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip {

/// @brief Reads the clock of the instance.
///
/// Counts steadily from the wall-clock time of the first call, so that a step
/// of the system clock never moves deadlines.
[[nodiscard]] TimePoint
ReadClock();

} // namespace figslip
