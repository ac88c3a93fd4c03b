#pragma once

#include <figslip/control/control_service.hpp>
#include <figslip/kernel/control_loop.hpp>
#include <figslip/peer/peer_service.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/upstream/upstream_adapter.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figslip::control {

/// @brief Reads the platform and the upstreams' load for the control thread.
///
/// Its own threads wait for the network; what they learn is posted to the
/// control loop. Only some entries of a failure domain watch the manifest, and
/// only the home of an upstream reads its load; the others hear of it from
/// their peers and read by themselves while the peers are silent.
class PlatformWatcher
{
public:
  struct Options
  {
    std::string mInstance;
    std::string mFailureDomain;
    std::size_t mWatchers = 2; ///< entries a failure domain that watch, >= 1
    Duration mWatchWait = std::chrono::seconds(1); ///< length of one watch
    /// age of the confirmation from which others watch as well
    Duration mWatchAfter = std::chrono::seconds(3);
    Duration mInstancesEvery = std::chrono::milliseconds(500); ///< at least
    /// more for each entry, so that the reads of all entries stay few
    Duration mInstancesPerEntry = std::chrono::milliseconds(10);
    /// age of an upstream's load from which others than its home read it
    Duration mLoadAfter = std::chrono::seconds(3);
    Duration mLoadEvery = std::chrono::milliseconds(500);
    Duration mRetryAfter = std::chrono::milliseconds(300); ///< after a failure
    /// is told each instance list that the platform gave
    std::function<void(const membership::InstanceList&)> mOnInstances;
  };

  struct Services
  {
    std::shared_ptr<kernel::ControlLoop> mLoop;
    std::shared_ptr<ControlService> mControl;
    std::shared_ptr<entry::RouterService> mRouter;
    std::shared_ptr<platform::PlatformClient> mPlatform;
    std::shared_ptr<upstream::UpstreamAdapter> mUpstreams;
    std::shared_ptr<peer::PeerService> mPeers;
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
  void ReadLoad(const manifest::Upstream& aUpstream);
  [[nodiscard]] bool ShouldWatch() const;
  [[nodiscard]] bool ShouldReadLoad(const manifest::Upstream& aUpstream) const;
  /// @return false once the threads are to end
  [[nodiscard]] bool Pause(Duration aTime);

  Options mOptions;
  Services mServices;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  std::vector<std::thread> mThreads;
};

} // namespace figslip::control
