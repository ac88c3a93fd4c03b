#pragma once

#include <figslip/time/time_point.hpp>

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace figslip::retry {

/// @brief Limits the retries that one instance sends to a service.
///
/// Within a sliding window of buckets, the retries may not exceed a ratio of
/// the first attempts plus a fixed allowance. The allowance is divided between
/// all instances.
class RetryBudget
{
public:
  struct Options
  {
    double mRetryRatio = 0.5; ///< retries per first attempt, >= 0
    /// additional retries that this instance may send in a window, >= 0
    double mAllowance = 0.0;
    Duration mWindow = std::chrono::seconds(10);
  };

  explicit RetryBudget(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Changes the number of retries per first attempt.
  void SetRetryRatio(double aRatio) { mOptions.mRetryRatio = aRatio; }

  /// @brief Changes this instance's fraction of the fixed allowance.
  /// @param[in] aAllowance retries in a window, >= 0
  void SetAllowance(double aAllowance) { mOptions.mAllowance = aAllowance; }

  /// @brief Counts a first attempt, which increases the budget of a service.
  void OnFirstAttempt(std::string_view aService, TimePoint aNow);

  /// @brief Consumes one retry of the budget of a service.
  /// @return false if the budget is exhausted
  [[nodiscard]] bool TryConsume(std::string_view aService, TimePoint aNow);

private:
  static constexpr std::size_t kBuckets = 10;

  struct Bucket
  {
    std::int64_t mIndex = -1; ///< number of bucket lengths since the epoch
    int mFirstAttempts = 0;
    int mRetries = 0;
  };

  using Window = std::array<Bucket, kBuckets>;

  [[nodiscard]] Bucket& CurrentBucket(std::string_view aService,
                                      TimePoint aNow);
  [[nodiscard]] std::int64_t BucketIndexAt(TimePoint aNow) const;

  Options mOptions;
  std::map<std::string, Window, std::less<>> mWindows;
};

} // namespace figslip::retry
