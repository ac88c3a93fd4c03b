#include <figslip/retry/retry_budget.hpp>

namespace figslip::retry {

void
RetryBudget::OnFirstSend(std::string_view aService, TimePoint aNow)
{
  ++Current(aService, aNow).mFirst;
}

bool
RetryBudget::TryRepeat(std::string_view aService, TimePoint aNow)
{
  auto& current = Current(aService, aNow);
  const auto oldest = NumberAt(aNow) - static_cast<std::int64_t>(kBuckets) + 1;
  int first = 0;
  int repeats = 0;
  for (const auto& bucket : mWindows.find(aService)->second) {
    if (bucket.mNumber >= oldest) {
      first += bucket.mFirst;
      repeats += bucket.mRepeats;
    }
  }
  if (repeats + 1 > mOptions.mShare * first + mOptions.mAllowance) {
    return false;
  }
  ++current.mRepeats;
  return true;
}

RetryBudget::Bucket&
RetryBudget::Current(std::string_view aService, TimePoint aNow)
{
  auto found = mWindows.find(aService);
  if (found == mWindows.end()) {
    found = mWindows.emplace(aService, Window{}).first;
  }
  const auto number = NumberAt(aNow);
  auto& bucket = found->second[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.mNumber != number) {
    bucket = { .mNumber = number };
  }
  return bucket;
}

std::int64_t
RetryBudget::NumberAt(TimePoint aNow) const
{
  return aNow.time_since_epoch() /
         (mOptions.mWindow / static_cast<std::int64_t>(kBuckets));
}

} // namespace figslip::retry
