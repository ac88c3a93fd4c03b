#include <figslip/gateway/traffic_state.hpp>
#include <figslip/log/log.hpp>
#include <figslip/quarantine/part_records.hpp>
#include <figslip/time/wall_clock.hpp>

#include <xxhash.h>

#include <cmath>
#include <random>
#include <ranges>
#include <utility>

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

/// Fraction of the memory of the process that answers of upstreams may occupy.
/// A buffer that grows holds its old bytes too until they are copied.
constexpr double kAnswerMemoryFraction = 0.25;
constexpr double kBytesPerMegabyte = 1024.0 * 1024.0;

/// Fraction of the memory of the process that the bodies of requests which wait
/// for a slot may occupy. Each is copied once when it is sent.
constexpr double kWaitingMemoryFraction = 0.1;

/// Time from the end of a process until its successor is registered.
constexpr auto kRestartTime = std::chrono::seconds(2);

/// Time for which a crash counts against a request; also the maximum time for
/// which a wrongly quarantined request is refused.
constexpr auto kCrashRetention = std::chrono::seconds(60);

/// Accounts over their share that a log line names, those with the most demand.
constexpr std::size_t kMaxLoggedAccounts = 8;

/// Formats accounts as `name demand/allocation`, separated by commas.
std::string
FormatOverShare(const std::vector<fairshare::OverShare>& aAccounts)
{
  std::string text;
  for (const auto& account : aAccounts | std::views::take(kMaxLoggedAccounts)) {
    text += text.empty() ? "" : ", ";
    text += account.mAccount + " " + std::to_string(account.mDemand) + "/" +
            std::to_string(account.mAllocation);
  }
  return text;
}

/// Lateness of a tick above which no requests of other instances are taken. An
/// instance whose processor time is divided into slots of 100 ms is late by
/// less in ordinary operation.
constexpr auto kMaxLateness = std::chrono::milliseconds(150);

/// Interval of the ticks; see `OnTick`.
constexpr auto kTickInterval = std::chrono::milliseconds(100);

/// Interval of the metrics on the speed of upstreams; they are read less often.
constexpr auto kSpeedReportInterval = std::chrono::seconds(1);

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
             .mOverloadControl = aSettings.mOverloadControl,
             .mSeed = std::random_device{}() })
  , mRetries({ .mRetryRatio = aSettings.mRetryShare * kRetryShareFraction,
               .mAllowance = 0.0,
               .mWindow = aSettings.mRetryWindow })
  , mShares({ .mInstance = aSettings.mInstance,
              .mFailureDomain = aSettings.mFailureDomain,
              .mIsEnabled = aSettings.mOverloadControl,
              .mFirstSequence = ReadClock().time_since_epoch().count() })
  , mQueue(
      aMetrics,
      { .mMaxBytes = static_cast<std::size_t>(
          aSettings.mMemoryMb * kBytesPerMegabyte * kWaitingMemoryFraction),
        .mIsStopping = [this] { return IsStopping(); },
        .mIsOverShare =
          [this](std::string_view aService, std::string_view aAccount) {
            return mShares.IsOverShare(aService, aAccount);
          } })
  , mRollouts(
      { .mInstance = aSettings.mInstance,
        .mSessionTtl = aSettings.mSessionTtl,
        .mWriteDelay = std::chrono::milliseconds(
          XXH3_64bits(aSettings.mInstance.data(), aSettings.mInstance.size()) %
          kMaxWriteDelayMs) })
  , mSizePolicy({})
  , mPool({})
  , mPeerPool({})
  , mPeerChoice({ .mInstance = aSettings.mInstance,
                  .mDomain = aSettings.mFailureDomain,
                  .mRegions = aSettings.mRegions,
                  .mSeed = std::random_device{}() })
  , mAnswerMemory(static_cast<std::size_t>(
      aSettings.mMemoryMb * kBytesPerMegabyte * kAnswerMemoryFraction))
  , mQuarantine({ .mRetention = kCrashRetention })
  , mParts({ .mSeed = XXH3_64bits(aSettings.mInstance.data(),
                                  aSettings.mInstance.size()) })
  , mInstances(aSettings.mGrace + kRestartTime)
  , mStartedAt(ReadBootClock())
{
  DivideAllowances();
}

void
TrafficState::OnConfiguration(ingress::ConfigurationPtr aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
  mBoard.OnConfiguration(mConfiguration);
  mQueue.ReplanAll();
}

void
TrafficState::OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries)
{
  mHasUpstreams = true;
  mBoard.OnUpstreams(aEntries, ReadBootClock());
  std::map<std::string, std::string, std::less<>> domains;
  for (const auto& entry : aEntries) {
    domains.emplace(entry.mId, entry.mDomain);
  }
  mContact.OnUpstreams(std::move(domains));
  mQueue.OnCapacityChange();
}

void
TrafficState::ReleaseSlot(placement::Reservation& aReservation)
{
  mBoard.Release(aReservation);
  mQueue.OnCapacityChange();
}

void
TrafficState::OnInstances(
  const std::vector<membership::InstanceLocation>& aInstances)
{
  const auto now = ReadBootClock();
  mBoard.SetInstances(aInstances);
  mShares.OnInstances(aInstances);
  mPeerChoice.OnInstances(aInstances);
  mInstances.OnRegistered(static_cast<int>(aInstances.size()), now);
  UpdateInstanceCount(now);
}

void
TrafficState::UpdateInstanceCount(TimePoint aNow)
{
  const int count = mInstances.At(aNow);
  if (count == mInstanceCount) {
    return;
  }
  mInstanceCount = count;
  mBoard.SetInstanceCount(count);
  mRollouts.SetInstanceCount(count);
  mParts.SetInstanceCount(count);
  DivideAllowances();
}

void
TrafficState::OnSettings()
{
  mRetries.SetRetryRatio(mSettings.mRetryShare * kRetryShareFraction);
  DivideAllowances();
}

void
TrafficState::DivideAllowances()
{
  mRetries.SetAllowance(mSettings.mRetrySlack * kRetryAllowanceFraction /
                        mInstanceCount);
  mRollouts.SetExposureLimit(
    { .mShare = mSettings.mExposureShare,
      .mSlack = mSettings.mExposureSlack / mInstanceCount });
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
TrafficState::OnCrashesWithdrawn(
  const std::vector<quarantine::CrashReport>& aReports)
{
  for (const auto& report : aReports) {
    mQuarantine.OnWithdrawn(report.mFingerprint, report.mUpstream);
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
TrafficState::OnTick(Duration aLateness)
{
  const auto now = ReadBootClock();
  mLateness = aLateness;
  mTickedAt = now;
  mContact.OnTick(mOpenRequests > 0, now);
  ReportContact();
  for (const auto& change : mRollouts.DueChanges(now)) {
    mReports.mOnStatusChange(change);
  }
  for (const auto& report : mRollouts.DueReports(now)) {
    mReports.mOnEvidence(report);
  }
  for (const auto& report : mRollouts.DueSessionReports(now)) {
    mReports.mOnSessions(report);
  }
  UpdateInstanceCount(now);
  mPool.Expire();
  mPeerPool.Expire();
  mQuarantine.Expire(now);
  const auto exonerated = mQuarantine.TakeExonerated();
  if (!exonerated.empty()) {
    mReports.mOnExonerated(exonerated);
  }
  mParts.OnTick(now);
  ReportParts(now);
  UpdateShares(now);
  ReportSpeeds(now);
}

void
TrafficState::UpdateInstanceShares(TimePoint aNow)
{
  std::vector<placement::InstanceShare> shares;
  for (const auto& service : mShares.ScarceServices()) {
    const auto share = mShares.InstanceShare(service);
    shares.push_back(
      { .mService = service, .mPerSecond = share.value_or(0.0) });
  }
  mBoard.SetInstanceShares(shares, aNow);
  std::set<std::string> paced;
  for (const auto& share : shares) {
    paced.insert(share.mService);
    SetShareGauges(
      share.mService,
      { .mShare = share.mPerSecond,
        .mPacedRate = mBoard.PacedRate(share.mService, aNow).value_or(0.0) });
  }
  for (const auto& service : mPacedServices) {
    if (!paced.contains(service)) {
      SetShareGauges(service, {});
    }
  }
  mPacedServices = std::move(paced);
}

void
TrafficState::SetShareGauges(const std::string& aService,
                             const ShareGauges& aGauges)
{
  mMetrics.GaugeOf("figslip_instance_share", { { "service", aService } })
    .Set(aGauges.mShare);
  mMetrics.GaugeOf("figslip_paced_rate", { { "service", aService } })
    .Set(aGauges.mPacedRate);
}

void
TrafficState::UpdateShares(TimePoint aNow)
{
  mShares.OnTick(aNow);
  UpdateInstanceShares(aNow);
  for (const auto& change : mShares.TakeChanges(aNow)) {
    mMetrics
      .GaugeOf("figslip_share_accounts_over",
               { { "service", change.mService } })
      .Set(static_cast<double>(change.mAccounts.size()));
    log::Write(log::Level::Info,
               "shares_changed",
               { { "service", change.mService },
                 { "capacity_per_s", std::to_string(change.mCapacity) },
                 { "instance_share_per_s",
                   std::to_string(
                     mShares.InstanceShare(change.mService).value_or(0.0)) },
                 { "over_share", std::to_string(change.mAccounts.size()) },
                 { "accounts", FormatOverShare(change.mAccounts) } });
  }
}

void
TrafficState::ReportSpeeds(TimePoint aNow)
{
  if (aNow < mSpeedsReportedAt + kSpeedReportInterval) {
    return;
  }
  mSpeedsReportedAt = aNow;
  for (const auto& summary : mBoard.SpeedSummaries(aNow)) {
    const auto set = [&](const char* aStatistic, double aValue) {
      mMetrics
        .GaugeOf(
          "figslip_upstream_speed",
          { { "service", summary.mService }, { "statistic", aStatistic } })
        .Set(aValue);
    };
    set("min", summary.mMin);
    set("median", summary.mMedian);
    set("max", summary.mMax);
  }
}

void
TrafficState::OnResponse(const ingress::UpstreamEntry& aUpstream,
                         const ingress::ResponseMetadata& aResponse,
                         TimePoint aSentAt)
{
  const auto now = ReadBootClock();
  if (aResponse.mLoad) {
    RecordLimit(
      aUpstream,
      mBoard.OnReportedLoad(aUpstream.mId, *aResponse.mLoad, aSentAt, now),
      now);
    mQueue.OnCapacityChange();
  }
  if (aResponse.mIsLeaving && mBoard.OnLeaving(aUpstream, now)) {
    mPool.Drop({ .mAddress = aUpstream.mAddress, .mPort = aUpstream.mPort });
    mMetrics
      .CounterOf("figslip_upstreams_leaving_total",
                 { { "service", aUpstream.mService } })
      .Add();
    log::Write(log::Level::Info,
               "upstream_leaving",
               { { "upstream", aUpstream.mId },
                 { "service", aUpstream.mService },
                 { "version", aUpstream.mVersion } });
  }
  if (aResponse.mPauseSeconds) {
    RecordPause(aUpstream, *aResponse.mPauseSeconds, now);
  }
  if (!aResponse.mIsMisdirected) {
    RecordMaxRate(aUpstream, aResponse.mMaxRate, aSentAt, now);
  }
}

void
TrafficState::OnRejected(const ingress::UpstreamEntry& aUpstream,
                         const placement::Reservation& aReservation,
                         TimePoint aSentAt)
{
  const auto now = ReadBootClock();
  RecordLimit(aUpstream, mBoard.OnRejected(aUpstream.mId, aSentAt, now), now);
  if (mBoard.OnPacedRejection(aReservation, now)) {
    mMetrics
      .CounterOf("figslip_pacing_slowed_total",
                 { { "service", aUpstream.mService } })
      .Add();
    log::Write(
      log::Level::Info,
      "pacing_slowed",
      { { "service", aUpstream.mService },
        { "upstream", aUpstream.mId },
        { "paced_per_s",
          std::to_string(
            mBoard.PacedRate(aUpstream.mService, now).value_or(0.0)) } });
  }
}

void
TrafficState::RecordLimit(const ingress::UpstreamEntry& aUpstream,
                          placement::LimitChange aChange,
                          TimePoint aNow)
{
  if (aChange == placement::LimitChange::None) {
    return;
  }
  const std::string reason(placement::NameOf(aChange));
  mMetrics
    .CounterOf("figslip_upstream_limit_total",
               { { "service", aUpstream.mService }, { "reason", reason } })
    .Add();
  if (aChange == placement::LimitChange::Grown) {
    return; // with nearly each answer under load
  }
  log::Write(log::Level::Info,
             "upstream_limit",
             { { "service", aUpstream.mService },
               { "upstream", aUpstream.mId },
               { "limit", std::to_string(mBoard.LimitOf(aUpstream.mId, aNow)) },
               { "reason", reason } });
}

void
TrafficState::RecordMaxRate(const ingress::UpstreamEntry& aUpstream,
                            std::optional<double> aMaxRate,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  if (aMaxRate && std::isnan(*aMaxRate)) {
    log::Write(
      log::Level::Warning,
      "upstream_rate_unreadable",
      { { "upstream", aUpstream.mId }, { "service", aUpstream.mService } });
    return; // a limit that is in force stays
  }
  if (!mBoard.OnMaxRate(aUpstream, aMaxRate, aSentAt, aNow)) {
    return;
  }
  mMetrics
    .CounterOf("figslip_upstream_rate_changes_total",
               { { "service", aUpstream.mService } })
    .Add();
  log::Write(log::Level::Info,
             "upstream_rate",
             { { "upstream", aUpstream.mId },
               { "service", aUpstream.mService },
               { "version", aUpstream.mVersion },
               // empty: no longer limited
               { "per_s", aMaxRate ? std::to_string(*aMaxRate) : "" },
               { "instances", std::to_string(mInstanceCount) } });
}

void
TrafficState::RecordPause(const ingress::UpstreamEntry& aUpstream,
                          double aSeconds,
                          TimePoint aNow)
{
  const auto pause = mBoard.OnPause(aUpstream, aSeconds, aNow);
  const auto time = std::chrono::duration<double>(pause.mBounded.mTime);
  if (pause.mBounded.mIsBounded) {
    log::Write(log::Level::Warning,
               "upstream_pause_bounded",
               { { "upstream", aUpstream.mId },
                 { "asked_s", std::to_string(aSeconds) },
                 { "seconds", std::to_string(time.count()) } });
  }
  if (pause.mIsBegun) {
    mMetrics
      .CounterOf("figslip_upstream_pauses_total",
                 { { "service", aUpstream.mService } })
      .Add();
    log::Write(log::Level::Info,
               "upstream_pauses",
               { { "upstream", aUpstream.mId },
                 { "service", aUpstream.mService },
                 { "version", aUpstream.mVersion },
                 { "seconds", std::to_string(time.count()) } });
  }
}

void
TrafficState::OnConnected()
{
  mContact.OnConnected(ReadBootClock());
  ReportContact();
}

void
TrafficState::OnConnectFailed(std::string_view aUpstream, TimePoint aStartedAt)
{
  mContact.OnConnectFailed(aUpstream, aStartedAt, ReadBootClock());
  ReportContact();
}

void
TrafficState::ReportContact()
{
  const auto state = mContact.State();
  const auto before = std::exchange(mReportedContact, state);
  if (state == before) {
    return;
  }
  mMetrics.GaugeOf("figslip_upstream_contact_lost", {})
    .Set(mContact.IsLost() ? 1.0 : 0.0);
  log::Write(mContact.IsLost() ? log::Level::Warning : log::Level::Info,
             "upstream_contact",
             { { "state", std::string(handover::NameOf(state)) },
               { "before", std::string(handover::NameOf(before)) },
               { "failed", std::to_string(mContact.FailedCount()) },
               { "open_requests", std::to_string(mOpenRequests) } });
  if (mContact.IsLost()) {
    mPool.Clear(); // idle connections may hang too
    mQueue.ReplanAll();
  }
}

bool
TrafficState::IsBusy() const
{
  // after a suspension the next tick is still to come
  return mLateness > kMaxLateness ||
         ReadBootClock() - mTickedAt > kTickInterval + kMaxLateness;
}

bool
TrafficState::IsReady() const
{
  return !IsStopping() && mConfiguration && mHasUpstreams &&
         mLease.IsHeld(ReadBootClock());
}

} // namespace figslip::gateway
