#include <figslip/retry/write_backoff.hpp>

#include <algorithm>

namespace figslip::retry {

namespace {

Duration
Scale(Duration aTime, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aTime * aFactor);
}

} // namespace

bool
WriteBackoff::MayRetry(WriteUrgency aUrgency,
                       int aAttempts,
                       Duration aElapsed) const
{
  if (aUrgency == WriteUrgency::Prompt) {
    return aAttempts < mOptions.mMaxPromptAttempts;
  }
  return aAttempts < mOptions.mMaxAttempts && aElapsed < mOptions.mMaxTime;
}

Duration
WriteBackoff::Before(WriteUrgency aUrgency,
                     int aAttempts,
                     int aInstances,
                     double aRandom) const
{
  if (aUrgency == WriteUrgency::Prompt) {
    return mOptions.mInitial * aAttempts;
  }
  constexpr int kMaxDoublings = 10;
  const Duration doubled =
    mOptions.mInitial * (1 << std::min(aAttempts - 1, kMaxDoublings));
  const auto longest =
    std::min(doubled, mOptions.mMax) + mOptions.mPerInstance * aInstances;
  // shortened by up to half
  return Scale(longest, (1.0 + aRandom) / 2);
}

Duration
WriteBackoff::AfterOutage(int aInstances, double aRandom) const
{
  return Scale(mOptions.mPerInstance * aInstances, aRandom);
}

} // namespace figslip::retry
