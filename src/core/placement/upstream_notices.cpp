#include <figslip/placement/upstream_notices.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace figslip::placement {

namespace {

/// The return after a pause is spread over the pause divided by this.
constexpr int kReturnSpreadDivisor = 4;
constexpr Duration kMaxReturnSpread = std::chrono::seconds(1);

} // namespace

BoundedPause
BoundPause(double aSeconds)
{
  using Seconds = std::chrono::duration<double>;
  if (!(aSeconds >= 0.0)) { // also NaN
    return { .mTime = Duration::zero(), .mIsBounded = true };
  }
  const Seconds asked(aSeconds);
  if (asked > Seconds(kMaxPause)) {
    return { .mTime = kMaxPause, .mIsBounded = true };
  }
  return { .mTime = std::chrono::ceil<Duration>(asked) };
}

Duration
ReturnOffset(Duration aPause, std::uint64_t aHash)
{
  const auto spread = std::clamp(
    aPause / kReturnSpreadDivisor, Duration::zero(), kMaxReturnSpread);
  return Duration(static_cast<Duration::rep>(
    aHash % static_cast<std::uint64_t>(spread.count() + 1)));
}

UpstreamNotices::UpstreamNotices(std::string_view aInstance)
  : mInstanceHash(XXH3_64bits(aInstance.data(), aInstance.size()))
{
}

UpstreamNotice
UpstreamNotices::Of(const ingress::UpstreamEntry& aUpstream) const
{
  const auto found = mNotices.find({ aUpstream.mId, aUpstream.mStartedAtMs });
  return found == mNotices.end() ? UpstreamNotice{} : found->second.mNotice;
}

UpstreamNotices::Record&
UpstreamNotices::RecordOf(const ingress::UpstreamEntry& aUpstream,
                          TimePoint aNow)
{
  auto& record = mNotices[{ aUpstream.mId, aUpstream.mStartedAtMs }];
  record.mLastSeen = aNow;
  return record;
}

bool
UpstreamNotices::OnLeaving(const ingress::UpstreamEntry& aUpstream,
                           TimePoint aNow)
{
  auto& notice = RecordOf(aUpstream, aNow).mNotice;
  return !std::exchange(notice.mIsLeaving, true);
}

UpstreamNotices::Pause
UpstreamNotices::OnPause(const ingress::UpstreamEntry& aUpstream,
                         double aSeconds,
                         TimePoint aNow)
{
  const auto bounded = BoundPause(aSeconds);
  if (bounded.mTime == Duration::zero()) {
    return { .mBounded = bounded };
  }
  auto& until = RecordOf(aUpstream, aNow).mNotice.mPausedUntil;
  const bool isBegun = until <= aNow;
  const auto hash = XXH3_64bits_withSeed(
    aUpstream.mId.data(), aUpstream.mId.size(), mInstanceHash);
  until =
    std::max(until, aNow + bounded.mTime + ReturnOffset(bounded.mTime, hash));
  return { .mBounded = bounded, .mIsBegun = isBegun };
}

bool
UpstreamNotices::OnMaxRate(const ingress::UpstreamEntry& aUpstream,
                           std::optional<double> aMaxRate,
                           TimePoint aSentAt,
                           TimePoint aNow)
{
  if (!aMaxRate) {
    const auto found = mNotices.find({ aUpstream.mId, aUpstream.mStartedAtMs });
    if (found == mNotices.end()) {
      return false;
    }
    auto& notice = found->second.mNotice;
    const bool isOver =
      notice.mMaxRate.has_value() && aSentAt > notice.mMaxRateNamedAt;
    if (isOver) {
      notice.mMaxRate.reset();
    }
    return isOver;
  }
  auto& notice = RecordOf(aUpstream, aNow).mNotice;
  const auto rate = std::max(kMinMaxRate, *aMaxRate);
  notice.mMaxRateNamedAt = aNow;
  return std::exchange(notice.mMaxRate, rate) != rate;
}

void
UpstreamNotices::OnUpstreams(
  const std::vector<ingress::UpstreamEntry>& aEntries,
  TimePoint aNow)
{
  for (const auto& entry : aEntries) {
    const auto found = mNotices.find({ entry.mId, entry.mStartedAtMs });
    if (found != mNotices.end()) {
      found->second.mLastSeen = aNow;
    }
  }
  std::erase_if(mNotices, [&](const auto& aItem) {
    const auto& [notice, lastSeen] = aItem.second;
    const bool isOver =
      !notice.mIsLeaving && notice.mPausedUntil <= aNow && !notice.mMaxRate;
    return isOver || lastSeen + kRetention < aNow;
  });
}

} // namespace figslip::placement
