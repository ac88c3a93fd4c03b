#pragma once

#include <figslip/billing/billing_service.hpp>
#include <figslip/control/control_service.hpp>
#include <figslip/peer/peer_service.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace figslip::entry {

/// @brief Carries billing copies between the billing service and the peers.
///
/// Thread-safe. The instance list names the peers; their own messages tell
/// which run of theirs is the present one.
class BillingPeers
{
public:
  BillingPeers(std::string aSelf,
               std::shared_ptr<control::ControlService> aControl,
               std::shared_ptr<peer::PeerClient> aClient);

  /// @brief Returns the calls that the billing service makes.
  [[nodiscard]] billing::BillingPeerCalls Calls();

  /// @brief Notes the run that a peer's message came from.
  void OnIncarnation(const membership::Incarnation& aRun);

private:
  [[nodiscard]] std::vector<billing::BillingPeer> Peers();
  [[nodiscard]] std::optional<membership::EntryInstance> Find(
    const std::string& aInstance) const;
  [[nodiscard]] bool Hold(const billing::HandOverOrder& aOrder);
  [[nodiscard]] bool Release(const billing::ReleaseOrder& aOrder,
                             const membership::Incarnation& aOrigin);

  std::string mSelf;
  std::shared_ptr<control::ControlService> mControl;
  std::shared_ptr<peer::PeerClient> mClient;
  std::mutex mMutex;
  std::map<std::string, std::int64_t> mStartedAt; ///< by instance
};

} // namespace figslip::entry
