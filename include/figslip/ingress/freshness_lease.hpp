#pragma once

#include <figslip/time/time_point.hpp>

#include <algorithm>
#include <atomic>

namespace figslip::ingress {

/// @brief Bounds the age of the configuration by which API keys are accepted.
///
/// A read proves which configuration was in force when the read was *sent*, not
/// when its response arrived. All times are those of a clock that also advances
/// while the machine is suspended. Written by the control thread, read by the
/// traffic thread.
class FreshnessLease
{
public:
  /// @param[in] aDuration time for which a confirmation is valid
  explicit FreshnessLease(Duration aDuration)
    : mDuration(aDuration)
  {
  }

  /// @brief Extends the lease after a read of the newest configuration.
  /// @param[in] aSentAt time at which the read was sent
  /// @note An earlier time than that of the last confirmation has no effect.
  void Confirm(TimePoint aSentAt)
  {
    const auto sent = aSentAt.time_since_epoch().count();
    mConfirmed.store(std::max(mConfirmed.load(std::memory_order_relaxed), sent),
                     std::memory_order_release);
  }

  /// @brief Changes the time for which a confirmation is valid.
  void SetLength(Duration aDuration) { mDuration = aDuration; }

  /// @brief Checks whether the last confirmation is still valid.
  [[nodiscard]] bool IsHeld(TimePoint aNow) const
  {
    return aNow < ConfirmedAt() + Length();
  }

  /// @brief Checks whether the lease was ever confirmed.
  [[nodiscard]] bool WasConfirmed() const
  {
    return ConfirmedAt() != TimePoint{};
  }

  /// @brief Returns when the read of the last confirmation was sent.
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
