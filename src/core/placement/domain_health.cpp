#include <figslip/placement/domain_health.hpp>

namespace figslip::placement {

void
DomainHealth::OnTimeout(std::string_view aDomain,
                        std::string_view aUpstream,
                        TimePoint aNow)
{
  auto& state = mStates[std::string(aDomain)];
  std::erase_if(state.mTimeouts, [&](const auto& aEntry) {
    return aNow - aEntry.second > mOptions.mWindow;
  });
  state.mTimeouts[std::string(aUpstream)] = aNow;
  const bool isNewlySuspected =
    !state.mIsSuspected && state.mTimeouts.size() >= mOptions.mMinUpstreams;
  if (isNewlySuspected) {
    state.mIsSuspected = true;
    state.mNextProbe = aNow + mOptions.mProbeInterval;
  }
}

void
DomainHealth::OnResponse(std::string_view aDomain)
{
  const auto found = mStates.find(aDomain);
  if (found != mStates.end()) {
    mStates.erase(found);
  }
}

void
DomainHealth::OnSent(std::string_view aDomain, TimePoint aNow)
{
  const auto found = mStates.find(aDomain);
  if (found != mStates.end() && found->second.mIsSuspected) {
    found->second.mNextProbe = aNow + mOptions.mProbeInterval;
  }
}

bool
DomainHealth::IsSuspected(std::string_view aDomain) const
{
  const auto* const state = Find(aDomain);
  return state != nullptr && state->mIsSuspected;
}

bool
DomainHealth::IsProbeDue(std::string_view aDomain, TimePoint aNow) const
{
  const auto* const state = Find(aDomain);
  return state != nullptr && state->mIsSuspected && aNow >= state->mNextProbe;
}

const DomainHealth::State*
DomainHealth::Find(std::string_view aDomain) const
{
  const auto found = mStates.find(aDomain);
  return found == mStates.end() ? nullptr : &found->second;
}

} // namespace figslip::placement
