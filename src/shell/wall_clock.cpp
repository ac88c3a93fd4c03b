#include <figslip/time/wall_clock.hpp>

namespace figslip {

TimePoint
ReadClock()
{
  using std::chrono::duration_cast;
  using std::chrono::steady_clock;
  using std::chrono::system_clock;
  static const auto sSteadyStart = steady_clock::now();
  static const auto sWallStart = system_clock::now().time_since_epoch();
  return TimePoint(duration_cast<Duration>(sWallStart) +
                   duration_cast<Duration>(steady_clock::now() - sSteadyStart));
}

} // namespace figslip
