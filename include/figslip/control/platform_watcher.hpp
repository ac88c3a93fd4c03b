#pragma once

#include <figslip/control/control_service.hpp>
#include <figslip/kernel/control_loop.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/upstream/upstream_adapter.hpp>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

namespace figslip::control {

/// @brief Reads the platform and the upstreams' load for the control thread.
///
/// Its own threads wait for the network; what they learn is posted to the
/// control loop.
class PlatformWatcher
{
public:
  struct Options
  {
    std::string mFailureDomain;
    Duration mWatchWait = std::chrono::seconds(2); ///< length of one watch
    Duration mInstancesEvery = std::chrono::milliseconds(500);
    Duration mLoadEvery = std::chrono::milliseconds(500);
    Duration mRetryAfter = std::chrono::milliseconds(300); ///< after a failure
  };

  struct Services
  {
    std::shared_ptr<kernel::ControlLoop> mLoop;
    std::shared_ptr<ControlService> mControl;
    std::shared_ptr<entry::RouterService> mRouter;
    std::shared_ptr<platform::PlatformClient> mPlatform;
    std::shared_ptr<upstream::UpstreamAdapter> mUpstreams;
  };

  PlatformWatcher(Options aOptions, Services aServices);
  PlatformWatcher(const PlatformWatcher&) = delete;
  PlatformWatcher& operator=(const PlatformWatcher&) = delete;
  ~PlatformWatcher() { Stop(); }

  void Start();

  /// @brief Ends all threads, after the calls under way; may be repeated.
  void Stop();

private:
  void WatchManifest();
  void PollInstances();
  void PollLoad();
  void Pause(Duration aTime);

  Options mOptions;
  Services mServices;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace figslip::control
