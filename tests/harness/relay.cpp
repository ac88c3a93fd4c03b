#include "harness/relay.hpp"

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace figslip::test {

namespace {

/// Interval at which the acceptor looks for another mode.
constexpr std::chrono::milliseconds kPoll{ 2 };

sockaddr_in
LoopbackAddress(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  return address;
}

int
ConnectTo(int aPort)
{
  const int handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = LoopbackAddress(aPort);
  if (connect(handle,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(handle);
    return -1;
  }
  return handle;
}

/// Makes a close send a reset, as a lost peer would cause.
void
ResetOnClose(int aHandle)
{
  const linger now{ .l_onoff = 1, .l_linger = 0 };
  setsockopt(aHandle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

bool
SendAll(int aHandle, const char* aData, ssize_t aCount)
{
  while (aCount > 0) {
    const auto sent =
      send(aHandle, aData, static_cast<std::size_t>(aCount), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aData += sent;
    aCount -= sent;
  }
  return true;
}

} // namespace

struct Relay::Link
{
  int mClient = -1;
  int mServer = -1;
  std::atomic<bool> mSilent{ false };
  int mPumps = 2; ///< directions that still pass bytes

  void Shutdown() const
  {
    shutdown(mClient, SHUT_RDWR);
    shutdown(mServer, SHUT_RDWR);
  }
};

Relay::Relay(int aTargetPort)
  : mTargetPort(aTargetPort)
  , mListener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
  // connections that live on keep the port when it is bound again
  const int on = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  if (bind(mListener, raw, size) != 0 || listen(mListener, SOMAXCONN) != 0 ||
      getsockname(mListener, raw, &size) != 0) {
    throw std::runtime_error("the relay cannot listen");
  }
  mPort = ntohs(address.sin_port);
  mAcceptor = std::thread([this] { Accept(); });
}

Relay::~Relay()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    for (const auto& link : mLinks) {
      link->Shutdown();
    }
  }
  mAcceptor.join();
  for (const int filler : mFillers) {
    close(filler);
  }
  close(mListener);
  std::unique_lock lock(mMutex);
  mAllEnded.wait(lock, [this] { return mLinks.empty(); });
}

Relay::Mode
Relay::CurrentMode()
{
  const std::lock_guard lock(mMutex);
  return mMode;
}

void
Relay::SetMode(Mode aMode)
{
  std::unique_lock lock(mMutex);
  mMode = aMode;
  mListenerSet.wait(lock, [&] { return mListenerMode == aMode; });
  if (aMode == Mode::Hang) {
    for (const auto& link : mLinks) {
      link->mSilent = true;
    }
  }
  if (aMode == Mode::Cut || aMode == Mode::Sever) {
    for (const auto& link : mLinks) {
      ResetOnClose(link->mClient);
      link->Shutdown();
    }
  }
}

void
Relay::SilenceOpenConnections()
{
  const std::lock_guard lock(mMutex);
  for (const auto& link : mLinks) {
    link->mSilent = true;
  }
}

void
Relay::SetListener(Mode aMode)
{
  for (const int filler : mFillers) {
    close(filler);
  }
  mFillers.clear();
  const auto refuses = [](Mode aOther) {
    return aOther == Mode::Refuse || aOther == Mode::Sever;
  };
  if (refuses(aMode)) {
    shutdown(mListener, SHUT_RD); // gives up the port too
    return;
  }
  if (refuses(mListenerMode)) {
    const auto address = LoopbackAddress(mPort);
    const auto* const raw = reinterpret_cast<const sockaddr*>(&address);
    // a port that was bound by its number is kept
    const bool isBound =
      bind(mListener, raw, sizeof(address)) == 0 || errno == EINVAL;
    if (!isBound) {
      throw std::runtime_error("the relay cannot listen again");
    }
  }
  // the kernel ignores connections that find the queue full
  listen(mListener, aMode == Mode::Hang ? 0 : SOMAXCONN);
  if (aMode == Mode::Hang) {
    constexpr int kFillers = 3; // more than the queue holds
    for (int count = 0; count < kFillers; ++count) {
      mFillers.push_back(
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      const auto address = LoopbackAddress(mPort);
      const bool isRefused =
        connect(mFillers.back(),
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0 &&
        errno != EINPROGRESS;
      if (isRefused) {
        throw std::runtime_error("the relay cannot fill its queue");
      }
    }
  }
}

void
Relay::Accept()
{
  while (true) {
    {
      const std::lock_guard lock(mMutex);
      if (mStopping) {
        return;
      }
      if (mListenerMode != mMode) {
        SetListener(mMode);
        mListenerMode = mMode;
        mListenerSet.notify_all();
      }
    }
    const auto mode = CurrentMode();
    pollfd listener{ .fd = mListener, .events = POLLIN, .revents = 0 };
    if (mode == Mode::Refuse || mode == Mode::Sever || mode == Mode::Hang) {
      std::this_thread::sleep_for(kPoll);
      continue;
    }
    if (poll(&listener, 1, static_cast<int>(kPoll.count())) <= 0) {
      continue;
    }
    const int client = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      continue;
    }
    const int server = CurrentMode() == Mode::Cut ? -1 : ConnectTo(mTargetPort);
    const std::lock_guard lock(mMutex);
    if (server < 0 || mStopping) {
      ResetOnClose(client);
      close(client);
      close(server);
      continue;
    }
    const int on = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto& link = *mLinks.emplace_back(std::make_unique<Link>());
    link.mClient = client;
    link.mServer = server;
    // the destructor waits for the links to end
    std::thread([this, &link] { Pump(link, true); }).detach();
    std::thread([this, &link] { Pump(link, false); }).detach();
  }
}

void
Relay::Pump(Link& aLink, bool aToServer)
{
  const int from = aToServer ? aLink.mClient : aLink.mServer;
  const int to = aToServer ? aLink.mServer : aLink.mClient;
  char buffer[16 * 1024];
  while (true) {
    const auto count = recv(from, buffer, sizeof(buffer), 0);
    if (count <= 0) {
      break;
    }
    const auto mode = CurrentMode();
    const bool swallow = aLink.mSilent || (!aToServer && mode == Mode::OneWay);
    if (mode == Mode::Slow) {
      std::this_thread::sleep_for(kDelay);
    }
    if (!swallow && !SendAll(to, buffer, count)) {
      break;
    }
  }
  // a silent connection does not tell one end that the other is gone
  if (!aLink.mSilent) {
    shutdown(to, SHUT_WR);
  }
  // a relay may see thousands of connections in its life
  const std::lock_guard lock(mMutex);
  if (--aLink.mPumps == 0) {
    close(aLink.mClient);
    close(aLink.mServer);
    mLinks.remove_if(
      [&](const auto& aEntry) { return aEntry.get() == &aLink; });
    mAllEnded.notify_all();
  }
}

} // namespace figslip::test
