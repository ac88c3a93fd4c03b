#include "peer_codec.hpp"

#include <figslip/log/log.hpp>
#include <figslip/peer/peer_client.hpp>
#include <figslip/time/wall_clock.hpp>

#include <Peer.h>
#include <thrift/TOutput.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <deque>
#include <map>
#include <mutex>
#include <utility>

namespace figslip::peer {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

int
Millis(Duration aTime)
{
  return static_cast<int>(aTime / std::chrono::milliseconds(1));
}

/// One connection to a peer.
struct Connection
{
  Connection(const membership::EntryInstance& aPeer, Duration aTimeout)
    : mSocket(std::make_shared<TSocket>(aPeer.mAddress, aPeer.mPeerPort))
    , mTransport(std::make_shared<TFramedTransport>(mSocket))
    , mClient(std::make_shared<TCompactProtocol>(mTransport))
    , mOpenedAt(ReadClock())
    , mUsedAt(mOpenedAt)
  {
    mSocket->setConnTimeout(Millis(aTimeout));
    mSocket->setRecvTimeout(Millis(aTimeout));
    mSocket->setSendTimeout(Millis(aTimeout));
    mTransport->open();
  }

  std::shared_ptr<TSocket> mSocket;
  std::shared_ptr<TFramedTransport> mTransport;
  wire::PeerClient mClient;
  TimePoint mOpenedAt;
  TimePoint mUsedAt;
};

} // namespace

/// Keeps idle connections, those used last first.
class PeerClient::Pool
{
public:
  explicit Pool(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// Makes one call; a connection goes back to the pool only after success.
  template<typename Call>
  auto With(const membership::EntryInstance& aPeer, Call aCall)
    -> Result<decltype(aCall(std::declval<wire::PeerClient&>()))>
  {
    const auto place = aPeer.mAddress + ":" + std::to_string(aPeer.mPeerPort);
    auto connection = Take(place);
    try {
      if (connection == nullptr) {
        connection = std::make_unique<Connection>(aPeer, mOptions.mTimeout);
      }
    } catch (const apache::thrift::TException& failure) {
      return Failure(error::ErrorKind::ConnectFailed, place, failure.what());
    }
    try {
      auto result = aCall(connection->mClient);
      Return(place, std::move(connection));
      return result;
    } catch (const apache::thrift::TException& failure) {
      // the older connections may be silent for the same reason
      Drop(place);
      return Failure(error::ErrorKind::ReadFailed, place, failure.what());
    }
  }

private:
  using Idle = std::deque<std::unique_ptr<Connection>>;

  [[nodiscard]] bool IsTooOld(const Connection& aConnection,
                              TimePoint aNow) const
  {
    return aNow - aConnection.mUsedAt >= mOptions.mMaxIdle ||
           aNow - aConnection.mOpenedAt >= mOptions.mMaxAge;
  }

  std::unique_ptr<Connection> Take(const std::string& aPlace)
  {
    const std::lock_guard lock(mMutex);
    const auto now = ReadClock();
    for (auto& [place, idle] : mIdle) {
      std::erase_if(idle, [&](const auto& aConnection) {
        return IsTooOld(*aConnection, now);
      });
    }
    std::erase_if(mIdle,
                  [](const auto& aItem) { return aItem.second.empty(); });
    const auto found = mIdle.find(aPlace);
    if (found == mIdle.end()) {
      return nullptr;
    }
    auto connection = std::move(found->second.back());
    found->second.pop_back();
    return connection;
  }

  void Return(const std::string& aPlace,
              std::unique_ptr<Connection> aConnection)
  {
    aConnection->mUsedAt = ReadClock();
    const std::lock_guard lock(mMutex);
    auto& idle = mIdle[aPlace];
    idle.push_back(std::move(aConnection));
    if (idle.size() > mOptions.mMaxIdlePerPeer) {
      idle.pop_front();
    }
  }

  void Drop(const std::string& aPlace)
  {
    const std::lock_guard lock(mMutex);
    mIdle.erase(aPlace);
  }

  Options mOptions;
  std::mutex mMutex;
  std::map<std::string, Idle, std::less<>> mIdle;
};

PeerClient::PeerClient(Options aOptions)
  : mPool(std::make_unique<Pool>(aOptions))
{
  // the library would write to the standard error stream; failures are returned
  apache::thrift::GlobalOutput.setOutputFunction(+[](const char* aText) {
    log::Write(log::Level::Debug, "thrift", { { "text", aText } });
  });
}

PeerClient::~PeerClient() = default;

Result<Digest>
PeerClient::Exchange(const membership::EntryInstance& aPeer,
                     const Digest& aDigest)
{
  return mPool->With(aPeer, [&](wire::PeerClient& aClient) {
    // ages of the answer count from here: the answer may lie on its way for
    // long, and what it tells must not seem fresher than it is
    const auto sentAt = ReadClock();
    wire::Digest answer;
    aClient.exchange(answer, ToWire(aDigest, sentAt));
    return FromWire(answer, sentAt);
  });
}

Result<ManifestText>
PeerClient::FetchManifest(const membership::EntryInstance& aPeer)
{
  return mPool->With(aPeer, [&](wire::PeerClient& aClient) {
    const auto sentAt = ReadClock();
    wire::ManifestText manifest;
    aClient.fetchManifest(manifest);
    return FromWire(manifest, sentAt);
  });
}

Result<std::vector<coldstart::ColdGrant>>
PeerClient::RequestGrants(const membership::EntryInstance& aPeer,
                          const GrantRequest& aRequest)
{
  return mPool->With(aPeer, [&](wire::PeerClient& aClient) {
    wire::GrantAnswer answer;
    aClient.requestGrant(answer, ToWire(aRequest));
    return FromWire(answer);
  });
}

Result<bool>
PeerClient::HoldBilling(const membership::EntryInstance& aPeer,
                        const BillingCopies& aCopies)
{
  return mPool->With(aPeer, [&](wire::PeerClient& aClient) {
    return aClient.holdBilling(ToWire(aCopies));
  });
}

Result<bool>
PeerClient::ReleaseBilling(const membership::EntryInstance& aPeer,
                           const membership::Incarnation& aOrigin,
                           std::int64_t aUpToSequence)
{
  return mPool->With(aPeer, [&](wire::PeerClient& aClient) {
    return aClient.releaseBilling(ToWire(aOrigin), aUpToSequence);
  });
}

} // namespace figslip::peer
