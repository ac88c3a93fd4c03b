#pragma once

#include <figslip/time/time_point.hpp>

#include <algorithm>
#include <atomic>

namespace figslip::ingress {

/// @brief Bounds the age of the configuration on which keys are accepted.
///
/// A read proves what was in force when it was *sent*, not when its answer
/// came. All times are of a clock that counts while the machine is suspended.
/// Written by the control thread, read by the traffic thread.
class FreshnessLease
{
public:
  /// @param[in] aDuration time for which a confirmation is good
  explicit FreshnessLease(Duration aDuration)
    : mDuration(aDuration)
  {
  }

  /// @brief Notes that a read sent at a time saw the newest configuration.
  void Confirm(TimePoint aSentAt)
  {
    const auto sent = aSentAt.time_since_epoch().count();
    mConfirmed.store(std::max(mConfirmed.load(std::memory_order_relaxed), sent),
                     std::memory_order_release);
  }

  /// @brief Changes the time for which a confirmation is good.
  void SetLength(Duration aDuration) { mDuration = aDuration; }

  [[nodiscard]] bool IsHeld(TimePoint aNow) const
  {
    return aNow < ConfirmedAt() + Length();
  }

  /// @brief Tells whether a confirmation was ever noted.
  [[nodiscard]] bool WasConfirmed() const
  {
    return ConfirmedAt() != TimePoint{};
  }

  [[nodiscard]] TimePoint ConfirmedAt() const
  {
    return TimePoint(Duration(mConfirmed.load(std::memory_order_acquire)));
  }

  [[nodiscard]] Duration Length() const { return mDuration; }

private:
  std::atomic<Duration> mDuration;
  std::atomic<Duration::rep> mConfirmed{ 0 };
};

} // namespace figslip::ingress
