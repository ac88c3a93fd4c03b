#include <figslip/handover/upstream_contact.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace figslip::handover {

std::string_view
NameOf(ContactState aState)
{
  const auto* const found = std::ranges::find(
    kContactStates, aState, &std::pair<ContactState, std::string_view>::first);
  return found->second;
}

void
UpstreamContact::OnUpstreams(
  std::map<std::string, std::string, std::less<>> aDomains)
{
  mDomains = std::move(aDomains);
  std::erase_if(mFailed, [&](const auto& aFailure) {
    return !mDomains.contains(aFailure.first);
  });
}

void
UpstreamContact::OnConnected(TimePoint aNow)
{
  mConnectedAt = aNow;
  mState = ContactState::Held;
  mFailed.clear();
}

void
UpstreamContact::OnConnectFailed(std::string_view aUpstream,
                                 TimePoint aStartedAt,
                                 TimePoint aNow)
{
  if (aStartedAt < mConnectedAt || !mDomains.contains(aUpstream)) {
    return;
  }
  std::erase_if(mFailed, [&](const auto& aFailure) {
    return aNow - aFailure.second > mOptions.mWindow;
  });
  mFailed[std::string(aUpstream)] = aNow;
  // sound upstreams may be served from connections that are open: only probes
  // of others tell that they are gone too
  if (HasLostAll() && mProbeRounds > 0 && mState != ContactState::Held) {
    mState = ContactState::Lost;
  } else if (mFailed.size() >=
             std::min(mOptions.mMinSuspicious, mDomains.size())) {
    Suspect(aNow);
  }
}

std::set<std::string_view>
UpstreamContact::FailedDomains() const
{
  std::set<std::string_view> domains;
  for (const auto& upstream : mFailed | std::views::keys) {
    domains.insert(mDomains.find(upstream)->second);
  }
  return domains;
}

bool
UpstreamContact::HasLostAll() const
{
  const auto failedDomains = FailedDomains();
  return mFailed.size() >= std::min(mOptions.mMinUpstreams, mDomains.size()) &&
         std::ranges::all_of(mDomains | std::views::values,
                             [&](const auto& aDomain) {
                               return failedDomains.contains(aDomain);
                             });
}

void
UpstreamContact::Suspect(TimePoint aNow)
{
  const bool isNew =
    mState == ContactState::Held &&
    (HasLostAll() || aNow - mConnectedAt >= mOptions.mMinHeldTime);
  if (isNew) {
    mState = ContactState::Suspected;
    mNextProbeAt = aNow;
    mProbeRounds = 0;
  }
}

void
UpstreamContact::OnTick(bool aHasOpenRequests, TimePoint aNow)
{
  if (aHasOpenRequests && !mWasActive) {
    mActiveSince = aNow;
  }
  mWasActive = aHasOpenRequests;
  const auto heardAt = std::max({ mActiveSince, mReceivedAt, mConnectedAt });
  if (aHasOpenRequests && aNow - heardAt >= mOptions.mMaxSilence) {
    Suspect(aNow);
  }
}

std::vector<std::string>
UpstreamContact::TakeDueProbes(TimePoint aNow)
{
  if (mState == ContactState::Held || aNow < mNextProbeAt) {
    return {};
  }
  mNextProbeAt = aNow + mOptions.mProbeInterval;
  // mostly the first answer ends a suspicion
  const bool isOne = mState == ContactState::Lost || mProbeRounds == 0;
  ++mProbeRounds;
  std::set<std::string_view> domains;
  for (const auto& domain : mDomains | std::views::values) {
    domains.insert(domain);
  }
  return NextProbes(isOne ? 1
                          : std::max(mOptions.mMinUpstreams, domains.size()));
}

std::vector<std::string>
UpstreamContact::NextProbes(std::size_t aCount)
{
  std::vector<std::string_view> order;
  const auto from = mDomains.upper_bound(mLastProbed);
  const auto append = [&](const auto& aEntry) {
    order.push_back(aEntry.first);
  };
  std::ranges::for_each(from, mDomains.end(), append);
  std::ranges::for_each(mDomains.begin(), from, append);
  if (mState == ContactState::Lost) {
    // in turn, as any of them shows the end of a cut
    order.resize(std::min(aCount, order.size()));
    if (!order.empty()) {
      mLastProbed = order.back();
    }
    return { order.begin(), order.end() };
  }
  auto covered = FailedDomains();
  std::vector<std::string_view> probes;
  std::vector<std::string_view> others;
  for (const auto& upstream : order) {
    const bool isFirst = covered.insert(mDomains.find(upstream)->second).second;
    if (isFirst) {
      probes.push_back(upstream);
    } else {
      others.push_back(upstream);
    }
  }
  // a further probe of an upstream that failed tells nothing new
  const auto hasFailed = [&](const auto& aUpstream) {
    return mFailed.contains(aUpstream);
  };
  std::ranges::remove_copy_if(others, std::back_inserter(probes), hasFailed);
  std::ranges::copy_if(others, std::back_inserter(probes), hasFailed);
  probes.resize(std::min(aCount, probes.size()));
  if (!probes.empty()) {
    mLastProbed = probes.back();
  }
  return { probes.begin(), probes.end() };
}

} // namespace figslip::handover
