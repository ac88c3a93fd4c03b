#include <figslip/retry/retry_budget.hpp>

namespace figslip::retry {

void
RetryBudget::OnFirstAttempt(std::string_view aService, TimePoint aNow)
{
  ++CurrentBucket(aService, aNow).mFirstAttempts;
}

bool
RetryBudget::TryConsume(std::string_view aService, TimePoint aNow)
{
  auto& current = CurrentBucket(aService, aNow);
  const auto oldestIndex =
    BucketIndexAt(aNow) - static_cast<std::int64_t>(kBuckets) + 1;
  int firstAttempts = 0;
  int retries = 0;
  for (const auto& bucket : mWindows.find(aService)->second) {
    if (bucket.mIndex >= oldestIndex) {
      firstAttempts += bucket.mFirstAttempts;
      retries += bucket.mRetries;
    }
  }
  if (retries + 1 >
      mOptions.mRetryRatio * firstAttempts + mOptions.mAllowance) {
    return false;
  }
  ++current.mRetries;
  return true;
}

RetryBudget::Bucket&
RetryBudget::CurrentBucket(std::string_view aService, TimePoint aNow)
{
  auto found = mWindows.find(aService);
  if (found == mWindows.end()) {
    found = mWindows.emplace(aService, Window{}).first;
  }
  const auto index = BucketIndexAt(aNow);
  auto& bucket = found->second[static_cast<std::size_t>(index) % kBuckets];
  if (bucket.mIndex != index) {
    bucket = { .mIndex = index };
  }
  return bucket;
}

std::int64_t
RetryBudget::BucketIndexAt(TimePoint aNow) const
{
  return aNow.time_since_epoch() /
         (mOptions.mWindow / static_cast<std::int64_t>(kBuckets));
}

} // namespace figslip::retry
