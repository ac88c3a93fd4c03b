#include "peer_codec.hpp"

#include <figslip/peer/peer_server.hpp>
#include <figslip/time/wall_clock.hpp>

#include <Peer.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <exception>
#include <future>
#include <thread>
#include <utility>

namespace figslip::peer {

namespace {

using apache::thrift::protocol::TCompactProtocolFactory;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransportFactory;
using apache::thrift::transport::TServerSocket;

/// Time that a call may have been on its way, by the timeout of the client.
constexpr Duration kTransit = std::chrono::milliseconds(300);

int
Millis(Duration aTime)
{
  return static_cast<int>(aTime / std::chrono::milliseconds(1));
}

/// Hands each call over to its handler.
class Handler : public wire::PeerIf
{
public:
  explicit Handler(PeerHandlers aHandlers)
    : mHandlers(std::move(aHandlers))
  {
  }

  // the names are those of the protocol
  // NOLINTBEGIN(readability-identifier-naming)
  void exchange(wire::Digest& aReturn, const wire::Digest& aDigest) override
  {
    // what a digest tells must not seem fresher than it is
    const auto answer =
      mHandlers.mExchange(FromWire(aDigest, ReadClock() - kTransit));
    aReturn = ToWire(answer, ReadClock());
  }

  void fetchManifest(wire::ManifestText& aReturn) override
  {
    aReturn = ToWire(mHandlers.mFetchManifest(), ReadClock());
  }

  void requestGrant(wire::GrantAnswer& aReturn,
                    const wire::GrantRequest& aRequest) override
  {
    aReturn = ToWire(mHandlers.mRequestGrants(FromWire(aRequest)));
  }

  bool holdBilling(const wire::BillingCopies& aCopies) override
  {
    return mHandlers.mHoldBilling(FromWire(aCopies));
  }

  bool releaseBilling(const wire::Incarnation& aOrigin,
                      std::int64_t aUpToSequence) override
  {
    return mHandlers.mReleaseBilling(FromWire(aOrigin), aUpToSequence);
  }
  // NOLINTEND(readability-identifier-naming)

private:
  PeerHandlers mHandlers;
};

/// Tells when the server listens, or why it cannot.
class ListenSignal : public apache::thrift::server::TServerEventHandler
{
public:
  // NOLINTNEXTLINE(readability-identifier-naming)
  void preServe() override { mListening.set_value(); }

  void Fail() { mListening.set_exception(std::current_exception()); }
  void Wait() { mListening.get_future().get(); }

private:
  std::promise<void> mListening;
};

} // namespace

class PeerServer::Implementation
{
public:
  Implementation(const Options& aOptions, PeerHandlers aHandlers)
    : mSocket(
        std::make_shared<TServerSocket>(aOptions.mAddress, aOptions.mPort))
    , mServer(std::make_shared<wire::PeerProcessor>(
                std::make_shared<Handler>(std::move(aHandlers))),
              mSocket,
              std::make_shared<TFramedTransportFactory>(),
              std::make_shared<TCompactProtocolFactory>())
  {
    mSocket->setRecvTimeout(Millis(aOptions.mIdleTimeout));
    mSocket->setSendTimeout(Millis(aOptions.mSendTimeout));
    mServer.setConcurrentClientLimit(aOptions.mMaxConnections);
    const auto signal = std::make_shared<ListenSignal>();
    mServer.setServerEventHandler(signal);
    mThread = std::thread([this, signal] {
      try {
        mServer.serve();
      } catch (const apache::thrift::TException&) {
        signal->Fail();
      }
    });
    try {
      signal->Wait();
    } catch (...) {
      mThread.join();
      throw;
    }
  }

  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  ~Implementation()
  {
    mServer.stop();
    mThread.join();
  }

  [[nodiscard]] int Port() const { return mSocket->getPort(); }

private:
  std::shared_ptr<TServerSocket> mSocket;
  TThreadedServer mServer;
  std::thread mThread;
};

PeerServer::PeerServer(std::unique_ptr<Implementation> aImplementation)
  : mImplementation(std::move(aImplementation))
{
}

PeerServer::~PeerServer() = default;

Result<std::unique_ptr<PeerServer>>
PeerServer::Start(const Options& aOptions, PeerHandlers aHandlers)
{
  try {
    auto implementation =
      std::make_unique<Implementation>(aOptions, std::move(aHandlers));
    return std::unique_ptr<PeerServer>(
      new PeerServer(std::move(implementation)));
  } catch (const apache::thrift::TException& failure) {
    return Failure(error::ErrorKind::ConnectFailed,
                   aOptions.mAddress + ":" + std::to_string(aOptions.mPort),
                   failure.what());
  }
}

int
PeerServer::Port() const
{
  return mImplementation->Port();
}

} // namespace figslip::peer
