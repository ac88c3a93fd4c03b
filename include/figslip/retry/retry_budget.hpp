#pragma once

#include <figslip/time/time_point.hpp>

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace figslip::retry {

/// @brief Bounds the repeats that one instance sends to a service.
///
/// A window slides over buckets: repeats may not exceed a share of the first
/// sends in it plus a fixed allowance, which all instances divide.
class RetryBudget
{
public:
  struct Options
  {
    double mRetryRatio = 0.5; ///< repeats per first send, >= 0
    double mAllowance = 0.0;  ///< repeats beyond, of this instance, >= 0
    Duration mWindow = std::chrono::seconds(10);
  };

  explicit RetryBudget(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Changes the repeats per first send.
  void SetRetryRatio(double aShare) { mOptions.mRetryRatio = aShare; }

  /// @brief Changes the part of the allowance that this instance may use.
  void SetAllowance(double aAllowance) { mOptions.mAllowance = aAllowance; }

  void OnFirstAttempt(std::string_view aService, TimePoint aNow);

  /// @brief Takes one repeat out of the budget.
  /// @return false where the budget is used up
  [[nodiscard]] bool TryConsume(std::string_view aService, TimePoint aNow);

private:
  static constexpr std::size_t kBuckets = 10;

  struct Bucket
  {
    std::int64_t mIndex = -1; ///< time in buckets since the epoch
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
