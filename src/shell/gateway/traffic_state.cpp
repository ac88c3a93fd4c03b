#include <figslip/gateway/traffic_state.hpp>
#include <figslip/time/wall_clock.hpp>

#include <xxhash.h>

#include <random>

namespace figslip::gateway {

namespace {

/// Part of the share of repeats that is used; it counts own requests only.
constexpr double kUsedShare = 0.85;

/// Part of the common allowance that is used, so that instances which do not
/// know of each other yet stay within it too.
constexpr double kUsedAllowance = 0.6;

/// Longest delay before an instance writes a status that any could write.
constexpr std::uint64_t kMaxWriteDelayMs = 600;

/// Time for which a crash counts against a request; also the longest time for
/// which a request that was blamed wrongly is refused.
constexpr auto kCrashMemory = std::chrono::seconds(60);

} // namespace

TrafficState::TrafficState(const settings::IngressSettings& aSettings,
                           const ingress::Dialect& aDialect,
                           ingress::FreshnessLease& aLease,
                           metrics::Registry& aMetrics)
  : mSettings(aSettings)
  , mDialect(aDialect)
  , mLease(aLease)
  , mMetrics(aMetrics)
  , mBoard({ .mInstance = aSettings.mInstance,
             .mDomain = aSettings.mFailureDomain,
             .mRegions = aSettings.mRegions,
             .mSeed = std::random_device{}() })
  , mRetries({ .mRetryRatio = aSettings.mRetryShare * kUsedShare,
               .mAllowance = 0.0,
               .mWindow = aSettings.mRetryWindow })
  , mRollouts(
      { .mSessionTtl = aSettings.mSessionTtl,
        .mWriteDelay = std::chrono::milliseconds(
          XXH3_64bits(aSettings.mInstance.data(), aSettings.mInstance.size()) %
          kMaxWriteDelayMs) })
  , mSizes({})
  , mPool({})
  , mQuarantine({ .mRetention = kCrashMemory })
  , mStartedAt(ReadBootClock())
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
TrafficState::OnInstances(
  const std::vector<membership::InstanceLocation>& aInstances)
{
  mInstances = std::max(static_cast<int>(aInstances.size()), 1);
  mBoard.SetInstances(aInstances);
  mRollouts.SetInstanceCount(mInstances);
  DivideAllowance();
}

void
TrafficState::OnSettings()
{
  mRetries.SetRetryRatio(mSettings.mRetryShare * kUsedShare);
  DivideAllowance();
}

void
TrafficState::DivideAllowance()
{
  mRetries.SetAllowance(mSettings.mRetrySlack * kUsedAllowance / mInstances);
}

void
TrafficState::OnCrashReports(
  const std::vector<quarantine::CrashReport>& aReports)
{
  for (const auto& report : aReports) {
    mQuarantine.OnCrash(report);
  }
}

void
TrafficState::OnTick()
{
  for (const auto& change : mRollouts.DueChanges(ReadBootClock())) {
    mReports.mOnStatusChange(change);
  }
  mPool.Expire();
  mQuarantine.Expire(ReadBootClock());
}

bool
TrafficState::IsReady() const
{
  return !mIsStopping && mConfiguration && mHasUpstreams &&
         mLease.IsHeld(ReadBootClock());
}

} // namespace figslip::gateway
