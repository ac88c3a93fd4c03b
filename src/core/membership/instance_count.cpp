#include <figslip/membership/instance_count.hpp>

#include <algorithm>

namespace figslip::membership {

void
InstanceCount::OnRegistered(int aCount, TimePoint aNow)
{
  if (!mSpans.empty()) {
    mSpans.back().mEndedAt = aNow;
  }
  std::erase_if(
    mSpans, [&](const Span& aSpan) { return aSpan.mEndedAt + mHold <= aNow; });
  mSpans.push_back({ .mCount = aCount });
}

int
InstanceCount::At(TimePoint aNow) const
{
  int count = mSpans.empty() ? 1 : std::max(1, mSpans.back().mCount);
  for (std::size_t index = 0; index + 1 < mSpans.size(); ++index) {
    const auto& span = mSpans[index];
    if (aNow < span.mEndedAt + mHold) {
      count = std::max(count, span.mCount);
    }
  }
  return count;
}

} // namespace figslip::membership
