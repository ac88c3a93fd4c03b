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
class EventTiming
{
public:
  /// @brief Notes that events came; also for the whole of a plain answer.
  void OnEvents(TimePoint aNow)
  {
    if (mFirstEventAt) {
      mLongestPause = std::max(mLongestPause, aNow - mLastEventAt);
    } else {
      mFirstEventAt = aNow;
    }
    mLastEventAt = aNow;
  }

  /// @return nothing before the first event
  [[nodiscard]] std::optional<TimePoint> FirstEventAt() const
  {
    return mFirstEventAt;
  }
  [[nodiscard]] Duration LongestPause() const { return mLongestPause; }

  /// @brief Judges the answer.
  /// @param[in] aDue when the first event was due
  /// @param[in] aTargetGap longest pause that is on time; zero: any
  [[nodiscard]] Lateness LatenessOf(TimePoint aDue, Duration aTargetGap) const
  {
    if (!mFirstEventAt || *mFirstEventAt > aDue) {
      return Lateness::FirstEvent;
    }
    const bool hasLongPause =
      aTargetGap > Duration::zero() && mLongestPause > aTargetGap;
    return hasLongPause ? Lateness::Pause : Lateness::OnTime;
  }

private:
  std::optional<TimePoint> mFirstEventAt;
  TimePoint mLastEventAt;
  Duration mLongestPause{};
};

} // namespace figslip::stream
