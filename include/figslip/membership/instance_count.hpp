#pragma once

#include <figslip/time/time_point.hpp>

#include <deque>

namespace figslip::membership {

/// @brief Counts the instances that common limits are divided among.
///
/// An instance that stops is no longer registered but still serves open
/// requests and connections. It is counted until it has ended, so that the
/// limits of all instances do not add up to more than the common one.
class InstanceCount
{
public:
  /// @param[in] aHold time for which an instance may serve after it was
  ///            registered last
  explicit InstanceCount(Duration aHold)
    : mHold(aHold)
  {
  }

  /// @brief Records the number of registered instances.
  void OnRegistered(int aCount, TimePoint aNow);

  /// @brief Returns the most instances that may have been serving within the
  /// hold time, at least 1.
  [[nodiscard]] int At(TimePoint aNow) const;

private:
  struct Span
  {
    int mCount = 0;
    TimePoint mEndedAt; ///< meaningless for the last span
  };

  Duration mHold;
  std::deque<Span> mSpans; ///< in order; the last one has not ended
};

} // namespace figslip::membership
