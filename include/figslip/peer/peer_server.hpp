#pragma once

#include <figslip/coldstart/cold_use.hpp>
#include <figslip/error/result.hpp>
#include <figslip/peer/digest.hpp>
#include <figslip/peer/peer_messages.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace figslip::peer {

/// @brief Holds what a server does with each call; all are called on the
/// threads of the server and must be set.
struct PeerHandlers
{
  std::function<Digest(const Digest&)> mExchange;
  std::function<ManifestText()> mFetchManifest;
  std::function<std::vector<coldstart::ColdGrant>(const GrantRequest&)>
    mRequestGrants;
  std::function<bool(const BillingCopies&)> mHoldBilling;
  std::function<bool(const membership::Incarnation&, std::int64_t)>
    mReleaseBilling;
};

/// @brief Answers other entry instances over Thrift.
class PeerServer
{
public:
  struct Options
  {
    std::string mAddress; ///< IP number to listen on
    int mPort = 0;        ///< TCP port; 0: system's choice
    Duration mIdleTimeout = std::chrono::seconds(10); ///< of a connection
    Duration mSendTimeout = std::chrono::milliseconds(300);
    int mMaxConnections = 512; ///< served at a time, one thread each
  };

  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;
  ~PeerServer();

  /// @brief Listens and starts to answer.
  /// @return failure `ConnectFailed` where the address cannot be used
  [[nodiscard]] static Result<std::unique_ptr<PeerServer>> Start(
    const Options& aOptions,
    PeerHandlers aHandlers);

  [[nodiscard]] int Port() const;

private:
  class Implementation;

  explicit PeerServer(std::unique_ptr<Implementation> aImplementation);

  std::unique_ptr<Implementation> mImplementation;
};

} // namespace figslip::peer
