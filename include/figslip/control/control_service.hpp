#pragma once

#include <figslip/control/pause_guard.hpp>
#include <figslip/entry/entry_state.hpp>
#include <figslip/entry/router_service.hpp>
#include <figslip/kernel/control_loop.hpp>
#include <figslip/kernel/published_value.hpp>
#include <figslip/manifest/manifest_keeper.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/peer/gossip.hpp>
#include <figslip/routing/control_snapshot.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

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
    PauseGuard::Options mPause;
    std::size_t mStableStopVotes = 2; ///< entries that stop a stable version
  };

  ControlService(Options aOptions,
                 kernel::ControlLoop& aLoop,
                 std::shared_ptr<entry::RouterService> aRouter,
                 std::shared_ptr<entry::EntryState> aState);

  /// @brief Takes what the platform answered.
  /// @param[in] aAskedAt when the call was begun; the platform had this
  /// manifest then or later
  void OnPlatformManifest(const std::string& aText,
                          TimePoint aAskedAt,
                          TimePoint aNow);
  void OnInstances(membership::InstanceList aInstances, TimePoint aNow);

  /// @name What peers tell
  /// @{
  void OnPeerManifest(const std::string& aText,
                      TimePoint aConfirmedAt,
                      TimePoint aNow);
  void OnPeerConfirmation(std::int64_t aGeneration,
                          TimePoint aConfirmedAt,
                          TimePoint aNow);
  void OnPeerNews(const peer::Learned& aLearned, TimePoint aNow);
  /// @}

  /// @brief Collects what peers should know of this instance.
  [[nodiscard]] peer::LocalNews CollectNews(TimePoint aNow);

  [[nodiscard]] manifest::ManifestKeeper& Keeper() { return mKeeper; }

  /// @brief Publishes the control state to the traffic threads.
  void Publish(TimePoint aNow);

  /// @brief Returns the state last published; callable on any thread.
  [[nodiscard]] routing::ControlSnapshotPtr Snapshot() const
  {
    return mPublished.Load();
  }

private:
  void Tick(TimePoint aNow);
  void Report(manifest::OfferResult aResult, TimePoint aNow);
  void StopByVotes(const std::vector<peer::StopVotes>& aVotes, TimePoint aNow);

  Options mOptions;
  std::shared_ptr<entry::RouterService> mRouter;
  std::shared_ptr<entry::EntryState> mState;
  manifest::ManifestKeeper mKeeper;
  std::shared_ptr<const std::string> mText; ///< of the manifest in force
  PauseGuard mPauseGuard;
  membership::InstanceList mInstances;
  kernel::PublishedValue<routing::ControlSnapshot> mPublished;
};

} // namespace figslip::control
