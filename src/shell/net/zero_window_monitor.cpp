#include <figslip/net/zero_window_monitor.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace figslip::net {

namespace {

/// Interval of the checks, well below `kUserTimeoutMs`.
constexpr auto kInterval = std::chrono::seconds(1);

/// Unacknowledged window probes from which the path counts as lost. The last
/// one may still be on its way.
constexpr int kLostProbes = 2;

/// Lists what keeps bytes from being acknowledged.
enum class SendState
{
  Acknowledged, ///< nothing is waiting
  InFlight,     ///< sent, and not acknowledged yet; or unknown
  ZeroWindow    ///< the peer does not read, and acknowledges the probes
};

SendState
StateOf(int aSocket)
{
  int queuedBytes = 0;
  if (ioctl(aSocket, SIOCOUTQ, &queuedBytes) != 0) {
    return SendState::InFlight;
  }
  if (queuedBytes == 0) {
    return SendState::Acknowledged;
  }
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool isKnown =
    getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
    info.tcpi_snd_mss > 0;
  const bool isZeroWindow =
    isKnown && info.tcpi_unacked == 0 && info.tcpi_probes < kLostProbes;
  return isZeroWindow ? SendState::ZeroWindow : SendState::InFlight;
}

} // namespace

ZeroWindowMonitor::ZeroWindowMonitor(
  const std::shared_ptr<tcp::socket>& aSocket)
  : mSocket(aSocket)
  , mInterval(aSocket->get_executor(), [this] { OnInterval(); })
{
}

void
ZeroWindowMonitor::Start()
{
  mInterval.Set(kInterval);
}

void
ZeroWindowMonitor::OnInterval()
{
  if (Check()) {
    Start();
  }
}

bool
ZeroWindowMonitor::Check()
{
  const auto socket = mSocket.lock();
  if (!socket || !socket->is_open()) {
    return false;
  }
  const int handle = socket->native_handle();
  const auto state = StateOf(handle);
  const bool isSuspended = state == SendState::ZeroWindow;
  if (isSuspended != mIsSuspended) {
    mIsSuspended = isSuspended;
    const int timeoutMs = isSuspended ? 0 : kUserTimeoutMs;
    setsockopt(
      handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
  }
  return state != SendState::Acknowledged;
}

} // namespace figslip::net
