#pragma once

#include <figslip/time/time_point.hpp>

#include <algorithm>
#include <optional>
#include <string_view>

namespace figslip::stream {

/// @brief Lists in what way an answer was late.
enum class Lateness
{
  OnTime,
  FirstEvent, ///< the first event came after the target latency
  Pause       ///< a pause between two events was over the target gap
};

/// @brief Returns the name that logs use.
[[nodiscard]] constexpr std::string_view
NameOf(Lateness aLateness)
{
  switch (aLateness) {
    case Lateness::OnTime:
      return "";
    case Lateness::FirstEvent:
      return "first_event";
    case Lateness::Pause:
      return "pause";
  }
  return "unknown";
}

/// @brief Measures when the events of an answer reached the caller.
class EventPace
{
public:
  /// @brief Notes that events came; also for the whole of a plain answer.
  void OnEvents(TimePoint aNow)
  {
    if (mFirst) {
      mLongestPause = std::max(mLongestPause, aNow - mLast);
    } else {
      mFirst = aNow;
    }
    mLast = aNow;
  }

  /// @return nothing before the first event
  [[nodiscard]] std::optional<TimePoint> First() const { return mFirst; }
  [[nodiscard]] Duration LongestPause() const { return mLongestPause; }

  /// @brief Judges the answer.
  /// @param[in] aDue when the first event was due
  /// @param[in] aTargetGap longest pause that is on time; zero: any
  [[nodiscard]] Lateness Judge(TimePoint aDue, Duration aTargetGap) const
  {
    if (!mFirst || *mFirst > aDue) {
      return Lateness::FirstEvent;
    }
    const bool isPaused =
      aTargetGap > Duration::zero() && mLongestPause > aTargetGap;
    return isPaused ? Lateness::Pause : Lateness::OnTime;
  }

private:
  std::optional<TimePoint> mFirst;
  TimePoint mLast;
  Duration mLongestPause{};
};

} // namespace figslip::stream
