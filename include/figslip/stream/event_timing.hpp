#pragma once

#include <figslip/time/time_point.hpp>

#include <algorithm>
#include <optional>
#include <string_view>

namespace figslip::stream {

/// @brief Lists the ways in which an answer can be late.
enum class Lateness
{
  OnTime,
  FirstEvent, ///< the first event exceeded the target latency
  Pause       ///< a pause between events exceeded the target gap
};

/// @brief Returns the name of a lateness in the log; empty if on time.
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

/// @brief Records when the events of an answer are delivered to the caller.
class EventTiming
{
public:
  /// @brief Records a delivery of events, or of an answer that is not streamed.
  void OnEvents(TimePoint aNow)
  {
    if (mFirstEventAt) {
      mLongestPause = std::max(mLongestPause, aNow - mLastEventAt);
    } else {
      mFirstEventAt = aNow;
    }
    mLastEventAt = aNow;
  }

  /// @return the delivery time of the first event; nothing before it
  [[nodiscard]] std::optional<TimePoint> FirstEventAt() const
  {
    return mFirstEventAt;
  }
  /// @return the longest pause between two deliveries; zero before the second
  [[nodiscard]] Duration LongestPause() const { return mLongestPause; }

  /// @brief Compares the delivery times with the targets.
  /// @param[in] aDue time at which the first event is due
  /// @param[in] aTargetGap maximum pause that is on time; zero: unlimited
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
