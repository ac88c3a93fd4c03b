#include <figslip/gateway/traffic_state.hpp>
#include <figslip/time/wall_clock.hpp>

namespace figslip::gateway {

namespace {

/// Part of the shared retry budget that is used, so that instances which do
/// not know of each other yet stay within it too.
constexpr double kUsedBudget = 0.6;

/// Requests that crash upstreams and are remembered.
constexpr std::size_t kMaxCrashing = 10'000;

} // namespace

TrafficState::TrafficState(const settings::IngressSettings& aSettings,
                           const ingress::Dialect& aDialect,
                           ingress::FreshnessLease& aLease,
                           metrics::Registry& aMetrics)
  : mSettings(aSettings)
  , mDialect(aDialect)
  , mLease(aLease)
  , mMetrics(aMetrics)
  , mBoard(
      { .mDomain = aSettings.mFailureDomain, .mRegions = aSettings.mRegions })
  , mRetries({ .mShare = aSettings.mRetryShare * kUsedBudget,
               .mAllowance = 0.0,
               .mWindow = aSettings.mRetryWindow })
  , mRollouts({ .mSessionTtl = aSettings.mSessionTtl })
  , mSizes({})
  , mPool({})
{
}

void
TrafficState::OnConfiguration(ingress::ConfigurationPtr aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
  mBoard.OnConfiguration(mConfiguration);
}

void
TrafficState::OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries)
{
  mHasUpstreams = true;
  mBoard.OnUpstreams(aEntries, ReadBootClock());
}

void
TrafficState::OnInstances(int aInstances)
{
  mBoard.SetInstances(aInstances);
  mRetries.SetAllowance(mSettings.mRetrySlack * kUsedBudget / aInstances);
}

void
TrafficState::OnCrashingRequests(const std::set<std::uint64_t>& aFingerprints)
{
  if (mCrashing.size() > kMaxCrashing) {
    mCrashing.clear();
  }
  mCrashing.insert(aFingerprints.begin(), aFingerprints.end());
}

void
TrafficState::OnTick()
{
  for (const auto& change : mRollouts.Due(ReadBootClock())) {
    mReports.mOnStatusChange(change);
  }
  mPool.Expire();
}

bool
TrafficState::IsReady() const
{
  return !mIsStopping && mConfiguration && mHasUpstreams &&
         mLease.IsHeld(ReadBootClock());
}

} // namespace figslip::gateway
