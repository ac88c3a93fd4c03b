#pragma once

#include <figslip/entry/entry_state.hpp>
#include <figslip/entry/router_service.hpp>
#include <figslip/kernel/control_loop.hpp>
#include <figslip/manifest/manifest_keeper.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/routing/control_snapshot.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace figslip::control {

/// @brief Owns the control state of the daemon.
///
/// All methods but `Snapshot` run on the control thread only.
class ControlService
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
    Duration mTick = std::chrono::milliseconds(200);
    Duration mGrantLength = std::chrono::seconds(2);
  };

  ControlService(Options aOptions,
                 kernel::ControlLoop& aLoop,
                 std::shared_ptr<entry::RouterService> aRouter,
                 std::shared_ptr<entry::EntryState> aState);

  void OnPlatformManifest(const std::string& aText, TimePoint aNow);
  void OnInstances(membership::InstanceList aInstances, TimePoint aNow);

  [[nodiscard]] manifest::ManifestKeeper& Keeper() { return mKeeper; }

  /// @brief Publishes the control state to the traffic threads.
  void Publish(TimePoint aNow);

  /// @brief Returns the state last published; callable on any thread.
  [[nodiscard]] routing::ControlSnapshotPtr Snapshot() const
  {
    return mPublished.load();
  }

private:
  void Tick(TimePoint aNow);
  void GrantColdCapacity(TimePoint aNow);

  Options mOptions;
  std::shared_ptr<entry::RouterService> mRouter;
  std::shared_ptr<entry::EntryState> mState;
  manifest::ManifestKeeper mKeeper;
  membership::InstanceList mInstances;
  std::atomic<routing::ControlSnapshotPtr> mPublished;
};

} // namespace figslip::control
