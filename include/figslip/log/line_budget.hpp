#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::log {

/// @brief Limits the rate of log lines per event with token buckets.
///
/// Each event has a bucket of its own, so that a frequent event never
/// suppresses the lines of another. The next line that is written after
/// suppressed lines reports how many were suppressed.
/// @note Not thread-safe; the caller serializes access.
class LineBudget
{
public:
  struct Options
  {
    double mLinesPerSecond = 20.0; ///< refill rate per event, > 0
    double mBurst = 40.0;          ///< capacity of a bucket in lines, >= 1
    /// events with a bucket of their own, which bounds memory; all further
    /// events share one more bucket
    std::size_t mMaxEvents = 200;
  };

  /// @brief Creates a limiter without buckets; the first line of an event
  /// creates its bucket, which starts full.
  explicit LineBudget(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Consumes one token of the bucket of an event.
  /// @param[in] aEvent name of the event
  /// @param[in] aNow current time; refills the bucket for the time since the
  /// previous call that used it
  /// @return the number of lines suppressed since the last one written, or
  /// `std::nullopt` if the bucket is empty and this line must be suppressed
  [[nodiscard]] std::optional<std::uint64_t> TryConsume(std::string_view aEvent,
                                                        TimePoint aNow);

private:
  struct Bucket
  {
    double mTokens = 0.0;
    TimePoint mRefilledAt;
    std::uint64_t mSuppressed = 0;
  };

  Options mOptions;
  std::map<std::string, Bucket, std::less<>> mBuckets;
};

} // namespace figslip::log
