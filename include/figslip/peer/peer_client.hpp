#pragma once

#include <figslip/coldstart/cold_use.hpp>
#include <figslip/error/result.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/peer/digest.hpp>
#include <figslip/peer/peer_messages.hpp>
#include <figslip/time/time_point.hpp>

#include <memory>
#include <string>
#include <vector>

namespace figslip::peer {

/// @brief Calls other entry instances over Thrift.
///
/// Thread-safe. Every call has a timeout for each step; a connection on which
/// a call failed is closed, so that a late answer is never read. Idle
/// connections age out. Failures have the kinds `ConnectFailed` (nothing was
/// sent) and `ReadFailed` (the peer may have taken the call).
class PeerClient
{
public:
  struct Options
  {
    Duration mTimeout = std::chrono::milliseconds(300); ///< of each step
    Duration mMaxIdle = std::chrono::seconds(5); ///< of a pooled connection
    Duration mMaxAge = std::chrono::seconds(60); ///< of a pooled connection
    std::size_t mMaxIdlePerPeer = 2;             ///< pooled connections
  };

  explicit PeerClient(Options aOptions);
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;
  ~PeerClient();

  [[nodiscard]] Result<Digest> Exchange(const membership::EntryInstance& aPeer,
                                        const Digest& aDigest);
  [[nodiscard]] Result<ManifestText> FetchManifest(
    const membership::EntryInstance& aPeer);
  [[nodiscard]] Result<std::vector<coldstart::ColdGrant>> RequestGrants(
    const membership::EntryInstance& aPeer,
    const GrantRequest& aRequest);
  /// @return whether the peer keeps the copies
  [[nodiscard]] Result<bool> HoldBilling(const membership::EntryInstance& aPeer,
                                         const BillingCopies& aCopies);
  [[nodiscard]] Result<bool> ReleaseBilling(
    const membership::EntryInstance& aPeer,
    const membership::Incarnation& aOrigin,
    std::int64_t aUpToSequence);

private:
  class Pool;

  std::unique_ptr<Pool> mPool;
};

} // namespace figslip::peer
