#include <figslip/placement/upstream_notices.hpp>

namespace figslip::placement {

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
    return aItem.second.mLastSeen + kRetention < aNow;
  });
}

} // namespace figslip::placement
