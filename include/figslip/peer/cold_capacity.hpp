#pragma once

#include <figslip/coldstart/grant_allocator.hpp>
#include <figslip/coldstart/grant_holder.hpp>
#include <figslip/entry/router_service.hpp>
#include <figslip/peer/peer_client.hpp>
#include <figslip/peer/peer_messages.hpp>
#include <figslip/routing/control_snapshot.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::peer {

/// @brief Grants and asks for the cold capacity of upstreams.
///
/// Thread-safe; `Ask` waits for peers and runs on one thread only.
class ColdCapacity
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
    coldstart::GrantAllocator::Options mBook;
  };

  ColdCapacity(Options aOptions,
               std::shared_ptr<entry::RouterService> aRouter,
               std::shared_ptr<PeerClient> aClient);

  /// @brief Answers the uses of another entry.
  [[nodiscard]] std::vector<coldstart::ColdGrant> Serve(
    const GrantRequest& aRequest,
    const routing::ControlSnapshot& aSnapshot);

  /// @brief Asks the homes of all cold upstreams of the own failure domain.
  void Ask(const routing::ControlSnapshot& aSnapshot);

  /// @brief Takes a load report of an upstream.
  void OnLoadReport(const routing::LoadReport& aReport, TimePoint aNow);

private:
  /// Uses by the name of the home that they go to.
  using UsesByHome =
    std::map<std::string, std::vector<coldstart::ColdUse>, std::less<>>;

  [[nodiscard]] UsesByHome CollectUses(
    const routing::ControlSnapshot& aSnapshot);
  [[nodiscard]] std::vector<coldstart::ColdGrant> ServeLocked(
    const GrantRequest& aRequest,
    const routing::ControlSnapshot& aSnapshot);
  void Apply(const std::vector<coldstart::ColdGrant>& aGrants,
             TimePoint aSentAt);

  Options mOptions;
  std::shared_ptr<entry::RouterService> mRouter;
  std::shared_ptr<PeerClient> mClient;
  std::mutex mMutex;
  coldstart::GrantAllocator mBook;
  coldstart::GrantHolder mHolder;
  std::int64_t mSequence = 0;
};

} // namespace figslip::peer
