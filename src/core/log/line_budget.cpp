#include <figslip/log/line_budget.hpp>

#include <algorithm>
#include <utility>

namespace figslip::log {

std::optional<std::uint64_t>
LineBudget::TryConsume(std::string_view aEvent, TimePoint aNow)
{
  auto found = mBuckets.find(aEvent);
  if (found == mBuckets.end()) {
    // events beyond the limit share the bucket "other"
    const std::string name(mBuckets.size() < mOptions.mMaxEvents
                             ? aEvent
                             : std::string_view("other"));
    found = mBuckets
              .try_emplace(
                name, Bucket{ .mTokens = mOptions.mBurst, .mRefilledAt = aNow })
              .first;
  }
  auto& bucket = found->second;
  const std::chrono::duration<double> elapsed = aNow - bucket.mRefilledAt;
  bucket.mTokens =
    std::min(mOptions.mBurst,
             bucket.mTokens + elapsed.count() * mOptions.mLinesPerSecond);
  bucket.mRefilledAt = aNow;
  if (bucket.mTokens < 1.0) {
    ++bucket.mSuppressed;
    return std::nullopt;
  }
  bucket.mTokens -= 1.0;
  return std::exchange(bucket.mSuppressed, 0);
}

} // namespace figslip::log
