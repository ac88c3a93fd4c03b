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
  const auto oldest =
    BucketIndexAt(aNow) - static_cast<std::int64_t>(kBuckets) + 1;
  int first = 0;
  int repeats = 0;
  for (const auto& bucket : mWindows.find(aService)->second) {
    if (bucket.mIndex >= oldest) {
      first += bucket.mFirstAttempts;
      repeats += bucket.mRetries;
    }
  }
  if (repeats + 1 > mOptions.mRetryRatio * first + mOptions.mAllowance) {
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
  const auto number = BucketIndexAt(aNow);
  auto& bucket = found->second[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.mIndex != number) {
    bucket = { .mIndex = number };
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
