#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::log {

/// @brief Bounds how many lines of an event are written.
///
/// Each event has a budget of its own, so that a frequent one never crowds out
/// another. A line that follows lines left out tells how many these were.
class LineBudget
{
public:
  struct Options
  {
    double mLinesPerSecond = 20.0; ///< of one event, > 0
    double mBurst = 40.0;          ///< lines that may be saved up, >= 1
    std::size_t mMaxEvents = 200;  ///< bound on memory; further share a budget
  };

  explicit LineBudget(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Takes one line out of the budget of an event.
  /// @return lines left out since the last one written, or nothing where this
  /// line is to be left out
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
