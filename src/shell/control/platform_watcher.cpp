#include <figslip/control/platform_watcher.hpp>
#include <figslip/membership/rendezvous.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace figslip::control {

namespace {

const platform::ObjectName kManifestObject{ "manifest", "current" };

} // namespace

PlatformWatcher::PlatformWatcher(Options aOptions, Services aServices)
  : mOptions(std::move(aOptions))
  , mServices(std::move(aServices))
{
}

void
PlatformWatcher::Start()
{
  mThreads.emplace_back([this] { WatchManifest(); });
  mThreads.emplace_back([this] { PollInstances(); });
  mThreads.emplace_back([this] { PollLoad(); });
}

void
PlatformWatcher::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

bool
PlatformWatcher::Pause(Duration aTime)
{
  std::unique_lock lock(mMutex);
  return !mChanged.wait_for(lock, aTime, [this] { return mStopping; });
}

bool
PlatformWatcher::ShouldWatch() const
{
  const auto snapshot = mServices.mControl->Snapshot();
  if (ReadClock() - snapshot->mConfirmedAt >= mOptions.mWatchAfter) {
    return true;
  }
  std::vector<std::string_view> entries;
  for (const auto& entry : snapshot->mInstances.mEntries) {
    if (entry.mFailureDomain == mOptions.mFailureDomain &&
        entry.mState == membership::InstanceState::Live) {
      entries.push_back(entry.mName);
    }
  }
  const auto ranked =
    membership::RankByRendezvous(kManifestObject.mKind, entries);
  const auto end =
    ranked.begin() +
    static_cast<std::ptrdiff_t>(std::min(mOptions.mWatchers, ranked.size()));
  return std::find(ranked.begin(), end, mOptions.mInstance) != end;
}

void
PlatformWatcher::WatchManifest()
{
  std::int64_t known = 0;
  Duration pause{};
  do {
    pause = mOptions.mRetryAfter;
    if (!ShouldWatch()) {
      continue;
    }
    const auto askedAt = ReadClock();
    auto object =
      mServices.mPlatform->Watch(kManifestObject, known, mOptions.mWatchWait);
    if (!object || object.assume_value().mVersion == 0) {
      continue;
    }
    auto& stored = object.assume_value();
    known = stored.mVersion;
    mServices.mLoop->Post(
      [control = mServices.mControl, askedAt, text = std::move(stored.mValue)](
        TimePoint aNow) { control->OnPlatformManifest(text, askedAt, aNow); });
    // the next watch follows at once
    pause = Duration::zero();
  } while (Pause(pause));
}

void
PlatformWatcher::PollInstances()
{
  Duration pause{};
  do {
    auto instances = mServices.mPlatform->Instances();
    pause = mOptions.mInstancesEvery;
    if (!instances) {
      continue;
    }
    if (mOptions.mOnInstances) {
      mOptions.mOnInstances(instances.assume_value());
    }
    const auto count = instances.assume_value().mEntries.size();
    pause = std::max(
      pause, static_cast<Duration::rep>(count) * mOptions.mInstancesPerEntry);
    mServices.mLoop->Post(
      [control = mServices.mControl,
       list = std::move(instances).assume_value()](TimePoint aNow) {
        control->OnInstances(list, aNow);
      });
  } while (Pause(pause));
}

bool
PlatformWatcher::ShouldReadLoad(const manifest::Upstream& aUpstream) const
{
  if (aUpstream.mFailureDomain != mOptions.mFailureDomain) {
    return false;
  }
  const auto snapshot = mServices.mControl->Snapshot();
  const auto home = membership::OwnerOf(
    snapshot->mInstances, mOptions.mFailureDomain, aUpstream.mName);
  return home == mOptions.mInstance ||
         ReadClock() - mServices.mPeers->LoadReportedAt(aUpstream.mName) >=
           mOptions.mLoadAfter;
}

void
PlatformWatcher::ReadLoad(const manifest::Upstream& aUpstream)
{
  const auto report = mServices.mUpstreams->ReadLoad(
    aUpstream.mName, { aUpstream.mAddress, aUpstream.mPort });
  if (!report) {
    return;
  }
  mServices.mPeers->OnLoadReport(report.assume_value());
  mServices.mRouter->With([&](routing::Router& aRouter) {
    aRouter.OnLoadReport(report.assume_value(), ReadClock());
  });
}

void
PlatformWatcher::PollLoad()
{
  do {
    const auto snapshot = mServices.mControl->Snapshot();
    if (snapshot->mManifest == nullptr) {
      continue;
    }
    for (const auto& upstream : snapshot->mManifest->Content().mUpstreams) {
      if (ShouldReadLoad(upstream)) {
        ReadLoad(upstream);
      }
    }
  } while (Pause(mOptions.mLoadEvery));
}

} // namespace figslip::control
