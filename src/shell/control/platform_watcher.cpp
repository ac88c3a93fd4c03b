#include <figslip/control/platform_watcher.hpp>
#include <figslip/time/wall_clock.hpp>

#include <utility>

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

void
PlatformWatcher::Pause(Duration aTime)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, aTime, [this] { return mStopping; });
}

void
PlatformWatcher::WatchManifest()
{
  std::int64_t known = 0;
  while (true) {
    {
      const std::lock_guard lock(mMutex);
      if (mStopping) {
        return;
      }
    }
    auto object =
      mServices.mPlatform->Watch(kManifestObject, known, mOptions.mWatchWait);
    if (!object) {
      Pause(mOptions.mRetryAfter);
      continue;
    }
    auto& stored = object.assume_value();
    known = stored.mVersion;
    if (stored.mVersion == 0) {
      Pause(mOptions.mRetryAfter);
      continue;
    }
    mServices.mLoop->Post([control = mServices.mControl,
                           text = std::move(stored.mValue)](TimePoint aNow) {
      control->OnPlatformManifest(text, aNow);
    });
  }
}

void
PlatformWatcher::PollInstances()
{
  while (true) {
    {
      const std::lock_guard lock(mMutex);
      if (mStopping) {
        return;
      }
    }
    auto instances = mServices.mPlatform->Instances();
    if (instances) {
      mServices.mLoop->Post(
        [control = mServices.mControl,
         list = std::move(instances).assume_value()](TimePoint aNow) {
          control->OnInstances(list, aNow);
        });
    }
    Pause(mOptions.mInstancesEvery);
  }
}

void
PlatformWatcher::PollLoad()
{
  while (true) {
    {
      const std::lock_guard lock(mMutex);
      if (mStopping) {
        return;
      }
    }
    const auto snapshot = mServices.mControl->Snapshot();
    if (snapshot->mManifest != nullptr) {
      for (const auto& upstream : snapshot->mManifest->Content().mUpstreams) {
        if (upstream.mFailureDomain != mOptions.mFailureDomain) {
          continue;
        }
        const auto report = mServices.mUpstreams->ReadLoad(
          upstream.mName, { upstream.mAddress, upstream.mPort });
        if (report) {
          mServices.mRouter->With([&](routing::Router& aRouter) {
            aRouter.OnLoadReport(report.assume_value(), ReadClock());
          });
        }
      }
    }
    Pause(mOptions.mLoadEvery);
  }
}

} // namespace figslip::control
