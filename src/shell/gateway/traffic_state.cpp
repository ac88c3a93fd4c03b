#include <figslip/gateway/traffic_state.hpp>
#include <figslip/log/log.hpp>
#include <figslip/quarantine/part_records.hpp>
#include <figslip/time/wall_clock.hpp>

#include <xxhash.h>

#include <random>

namespace figslip::gateway {

namespace {

/// Fraction of the configured share of retries that is used; the budget counts
/// the requests of this instance only.
constexpr double kRetryShareFraction = 0.85;

/// Fraction of the common allowance that is used, so that instances that have
/// not discovered each other yet stay within it too.
constexpr double kRetryAllowanceFraction = 0.6;

/// Maximum delay before an instance writes a status that any instance may
/// write.
constexpr std::uint64_t kMaxWriteDelayMs = 600;

/// Time for which a crash counts against a request; also the maximum time for
/// which a wrongly quarantined request is refused.
constexpr auto kCrashRetention = std::chrono::seconds(60);

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
  , mRetries({ .mRetryRatio = aSettings.mRetryShare * kRetryShareFraction,
               .mAllowance = 0.0,
               .mWindow = aSettings.mRetryWindow })
  , mRollouts(
      { .mSessionTtl = aSettings.mSessionTtl,
        .mWriteDelay = std::chrono::milliseconds(
          XXH3_64bits(aSettings.mInstance.data(), aSettings.mInstance.size()) %
          kMaxWriteDelayMs) })
  , mSizePolicy({})
  , mPool({})
  , mQuarantine({ .mRetention = kCrashRetention })
  , mParts({ .mSeed = XXH3_64bits(aSettings.mInstance.data(),
                                  aSettings.mInstance.size()) })
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
  mInstanceCount = std::max(static_cast<int>(aInstances.size()), 1);
  mBoard.SetInstances(aInstances);
  mRollouts.SetInstanceCount(mInstanceCount);
  DivideRetryAllowance();
}

void
TrafficState::OnSettings()
{
  mRetries.SetRetryRatio(mSettings.mRetryShare * kRetryShareFraction);
  DivideRetryAllowance();
}

void
TrafficState::DivideRetryAllowance()
{
  mRetries.SetAllowance(mSettings.mRetrySlack * kRetryAllowanceFraction /
                        mInstanceCount);
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
TrafficState::OnPartRecords(
  const std::vector<quarantine::CrashSuspects>& aCrashes,
  const std::vector<quarantine::PartId>& aServed)
{
  const auto now = ReadBootClock();
  mParts.OnPeerServed(aServed, now);
  for (const auto& crash : aCrashes) {
    mParts.OnCrash(crash, now);
  }
}

void
TrafficState::ReportParts(TimePoint aNow)
{
  for (const auto part : mParts.TakeQuarantined()) {
    mMetrics.CounterOf("figslip_parts_quarantined_total", {}).Add();
    log::Write(log::Level::Warning,
               "part_quarantined",
               { { "part", quarantine::FormatPart(part) } });
  }
  const auto served = mParts.TakeCleared(aNow);
  if (!served.empty()) {
    mReports.mOnServedParts(served);
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
  mParts.OnTick(ReadBootClock());
  ReportParts(ReadBootClock());
}

bool
TrafficState::IsReady() const
{
  return !mIsStopping && mConfiguration && mHasUpstreams &&
         mLease.IsHeld(ReadBootClock());
}

} // namespace figslip::gateway
