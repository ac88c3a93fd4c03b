#include <figslip/time/wall_clock.hpp>

#include <ctime>

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

TimePoint
ReadBootClock()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(
    std::chrono::seconds(time.tv_sec) +
    std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace figslip
