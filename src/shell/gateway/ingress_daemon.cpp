#include <figslip/gateway/contact_probe.hpp>
#include <figslip/gateway/ingress_daemon.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/time/wall_clock.hpp>

#include <malloc.h>

#include <csignal>
#include <thread>

namespace figslip::gateway {

namespace {

using std::chrono::milliseconds;

constexpr auto kHousekeepingInterval = milliseconds(100);

/// Housekeeping intervals between two checks of the settings, which may change
/// without a signal.
constexpr int kTicksPerReload = 10;

/// Subtracted from the time for which a revoked key may still work, to allow
/// for clock error: the lease is checked when a request is forwarded, later
/// than the caller sent it.
constexpr auto kLeaseMargin = milliseconds(150);

/// Size from which memory is returned to the system as soon as it is freed,
/// bytes. By default the bound grows with the blocks that are freed, so that
/// the process would keep the memory of large bodies. Ordinary bodies are
/// smaller.
constexpr int kReturnedBytes = 131'072;

void
BoundFreeMemory()
{
  const bool isSet = mallopt(M_MMAP_THRESHOLD, kReturnedBytes) == 1 &&
                     mallopt(M_TRIM_THRESHOLD, kReturnedBytes) == 1;
  if (!isSet) {
    log::Write(log::Level::Warning, "free_memory_unbounded", {});
  }
}

} // namespace

IngressDaemon::IngressDaemon(Options aOptions)
  : mOptions(std::move(aOptions))
  , mLastSettings(mOptions.mSettings)
  , mLease(mOptions.mSettings.mRevocation - kLeaseMargin)
  , mTraffic(std::make_shared<TrafficState>(mOptions.mSettings,
                                            mOptions.mHttpDialect,
                                            mLease,
                                            mMetrics))
  , mControl(std::make_shared<ControlPlane>(
      mControlContext,
      mOptions.mSettings,
      mOptions.mStoreDialect,
      mLease,
      mMetrics,
      [this](std::function<void(TrafficState&)> aTask) {
        net::asio::post(mTrafficContext,
                        [this, task = std::move(aTask)] { task(*mTraffic); });
      }))
  , mFrontend(std::make_shared<Frontend>(mTrafficContext, *mTraffic))
{
  mTraffic->mReports = {
    .mOnStatusChange =
      [this](const rollout::StatusChange& aChange) {
        net::asio::post(mControlContext, [control = mControl, aChange] {
          control->WriteStatus(aChange);
        });
      },
    .mOnCrash =
      [this](const quarantine::CrashReport& aReport) {
        net::asio::post(mControlContext, [control = mControl, aReport] {
          control->ReportCrash(aReport);
        });
      },
    .mOnExonerated =
      [this](const std::set<std::uint64_t>& aFingerprints) {
        net::asio::post(mControlContext, [control = mControl, aFingerprints] {
          control->WithdrawCrashes(aFingerprints);
        });
      },
    .mOnEvidence =
      [this](const rollout::EvidenceReport& aReport) {
        net::asio::post(mControlContext, [control = mControl, aReport] {
          control->ShareEvidence(aReport);
        });
      },
    .mOnSessions =
      [this](const rollout::SessionReport& aReport) {
        net::asio::post(mControlContext, [control = mControl, aReport] {
          control->ShareSessions(aReport);
        });
      },
    .mOnCrashSuspects =
      [this](const quarantine::CrashSuspects& aCrash) {
        net::asio::post(mControlContext, [control = mControl, aCrash] {
          control->ReportSuspects(aCrash);
        });
      },
    .mOnServedParts =
      [this](const std::vector<quarantine::PartId>& aParts) {
        net::asio::post(mControlContext, [control = mControl, aParts] {
          control->ReportServed(aParts);
        });
      }
  };
  RegisterServices();
}

void
IngressDaemon::RegisterServices()
{
  mKernel.Register({ .mName = "control",
                     .mDependsOn = { "frontend" },
                     .mStart = [this] { return mControl->Start(); } },
                   mControl);
  mKernel.Register(
    { .mName = "frontend", .mStart = [this] { return mFrontend->Start(); } },
    mFrontend);
  const auto& settings = mOptions.mSettings;
  if (settings.mOverloadControl && settings.mDemandExchange) {
    mDemandExchange = std::make_shared<fairshare::DemandExchange>(
      mTrafficContext, mTraffic->mShares, mMetrics, *settings.mDemandExchange);
    mKernel.Register(
      { .mName = "demand_exchange",
        .mStart =
          [this] {
            const auto& current = mOptions.mSettings;
            return mDemandExchange->Start(
              admission::DivideConnectionLimits(current.mMemoryMb,
                                                current.mMaxDescriptors,
                                                current.mCallerMemoryShare));
          } },
      mDemandExchange);
  }
}

Result<void>
IngressDaemon::Run()
{
  std::signal(SIGPIPE, SIG_IGN);
  BoundFreeMemory();
  // installed before callers can connect: a signal without a handler ends the
  // process
  mSignals.add(SIGTERM);
  mSignals.add(SIGINT);
  mSignals.add(SIGHUP);
  auto started = mKernel.Start();
  if (!started) {
    return started;
  }
  net::asio::co_spawn(mTrafficContext, RunHousekeeping(), net::asio::detached);
  net::asio::co_spawn(mTrafficContext, AwaitStopSignal(), net::asio::detached);
  log::Write(log::Level::Info,
             "started",
             { { "failure_domain", mOptions.mSettings.mFailureDomain } });
  const auto work = net::asio::make_work_guard(mControlContext);
  std::thread control([this] { mControlContext.run(); });
  mTrafficContext.run();
  mControlContext.stop();
  control.join();
  mKernel.Stop();
  return outcome::success();
}

net::Awaitable<void>
IngressDaemon::RunHousekeeping()
{
  int ticks = 0;
  while (true) {
    const auto dueAt = ReadBootClock() + kHousekeepingInterval;
    co_await net::Sleep(kHousekeepingInterval);
    mTraffic->OnTick(ReadBootClock() - dueAt);
    StartContactProbes(mTrafficContext.get_executor(), *mTraffic);
    log::Flush();
    if (++ticks % kTicksPerReload == 0) {
      Reload(false);
    }
  }
}

net::Awaitable<void>
IngressDaemon::AwaitStopSignal()
{
  while (true) {
    net::error_code error;
    const int signal = co_await mSignals.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, error));
    if (!error && signal != SIGHUP) {
      break;
    }
    Reload(true);
  }
  net::asio::co_spawn(
    mControlContext, mControl->Deregister(), net::asio::detached);
  co_await mFrontend->Stop();
}

void
IngressDaemon::Reload(bool aIsRequested)
{
  const auto read = mOptions.mReadSettings();
  if (!read) {
    const auto findings = error::JoinMessages(read.assume_error(), "; ");
    if (aIsRequested || findings != mLastFindings) {
      log::Write(
        log::Level::Error, "settings_rejected", { { "findings", findings } });
    }
    mLastFindings = findings;
    return;
  }
  mLastFindings.clear();
  const auto& settings = read.assume_value();
  const bool hasChanged = !(settings == mLastSettings);
  mLastSettings = settings;
  if (hasChanged) {
    Apply(settings);
  } else if (aIsRequested) {
    log::Write(log::Level::Info, "settings_reloaded", { { "changed", "no" } });
  }
}

void
IngressDaemon::Apply(const settings::IngressSettings& aSettings)
{
  auto& current = mOptions.mSettings;
  const bool hasMoved = current.mStore != aSettings.mStore;
  current.mStore = aSettings.mStore;
  current.mGrace = aSettings.mGrace;
  current.mRevocation = aSettings.mRevocation;
  current.mRetryShare = aSettings.mRetryShare;
  current.mRetrySlack = aSettings.mRetrySlack;
  current.mExposureShare = aSettings.mExposureShare;
  current.mExposureSlack = aSettings.mExposureSlack;
  mLease.SetLength(current.mRevocation - kLeaseMargin);
  mTraffic->OnSettings();
  if (hasMoved) {
    net::asio::post(mControlContext,
                    [control = mControl, store = current.mStore] {
                      control->SetStoreEndpoint(store);
                    });
  }
  const bool needsRestart = !(current == aSettings);
  log::Write(
    needsRestart ? log::Level::Warning : log::Level::Info,
    "settings_reloaded",
    { { "changed", "yes" },
      { "store",
        current.mStore.mAddress + ":" + std::to_string(current.mStore.mPort) },
      { "needs_restart", needsRestart ? "yes" : "no" } });
}

} // namespace figslip::gateway
