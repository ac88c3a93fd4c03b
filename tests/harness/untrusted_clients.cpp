#include <harness/untrusted_clients.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <tuple>

namespace figslip::test {

namespace {

using Clock = std::chrono::steady_clock;

/// Returns what the kernel holds for connections at some ports, in MB: bytes
/// that were not read, or not taken by the other side.
double
QueuedMb(const std::vector<int>& aPorts)
{
  constexpr double kBytesPerMb = 1'048'576.0;
  std::ifstream table("/proc/net/tcp");
  std::string line;
  double bytes = 0.0;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> slot >> local >> remote >> state >> queues;
    const auto colon = local.find(':');
    const auto between = queues.find(':');
    constexpr std::string_view kListening = "0A";
    if (colon == std::string::npos || between == std::string::npos ||
        state == kListening) {
      continue;
    }
    const auto port = std::stoi(local.substr(colon + 1), nullptr, 16);
    if (std::ranges::find(aPorts, port) != aPorts.end()) {
      bytes += static_cast<double>(
        std::stoul(queues.substr(0, between), nullptr, 16) +
        std::stoul(queues.substr(between + 1), nullptr, 16));
    }
  }
  return bytes / kBytesPerMb;
}

} // namespace

UntrustedClient::UntrustedClient(int aPort)
  : mDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // a refused connection is as good: nothing is held for it
  std::ignore = ::connect(
    mDescriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  (void)::fcntl(mDescriptor, F_SETFL, O_NONBLOCK);
}

UntrustedClient::~UntrustedClient()
{
  ::close(mDescriptor);
}

void
UntrustedClient::Send(std::string_view aBytes,
                      std::chrono::milliseconds aPatience)
{
  const auto until = Clock::now() + aPatience;
  while (!aBytes.empty() && Clock::now() < until) {
    const auto sent =
      ::send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent >= 0) {
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
      return; // it was closed
    }
    pollfd writable{ .fd = mDescriptor, .events = POLLOUT, .revents = 0 };
    ::poll(&writable, 1, 20);
  }
}

void
UntrustedClient::EndSending()
{
  ::shutdown(mDescriptor, SHUT_WR);
}

std::vector<Door>
DoorsOf(const IngressWorld& aWorld)
{
  const int callers = aWorld.CallerPort(0);
  return { { "route with a body", "POST", "/look/untrusted", callers },
           { "route of streams", "POST", "/chat/untrusted", callers },
           { "route without a body", "GET", "/look/untrusted", callers },
           { "no route", "POST", "/nowhere", callers },
           { "readiness", "POST", "/ready", aWorld.ReadinessPort(0) },
           { "metrics", "POST", "/metrics", aWorld.MetricsPort(0) },
           { "internal", "POST", "/", aWorld.PeersPort(0) } };
}

std::string
FormatHead(const Door& aDoor, const std::string& aFields)
{
  return aDoor.mMethod + " " + aDoor.mPath +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: untrusted\r\n"
         "X-Deadline-Ms: 4000\r\nX-Api-Key: key-1\r\n" +
         aFields + "\r\n";
}

Crowd
Gather(const Door& aDoor, int aSize)
{
  Crowd crowd;
  for (int number = 0; number < aSize; ++number) {
    crowd.push_back(std::make_unique<UntrustedClient>(aDoor.mPort));
  }
  return crowd;
}

Observation
Observe(IngressWorld& aWorld)
{
  std::vector<int> ports;
  for (const auto& door : DoorsOf(aWorld)) {
    ports.push_back(door.mPort);
  }
  const double queued = QueuedMb(ports);
  const int sockets = aWorld.OpenSockets(0);
  constexpr int kTries = 4;
  constexpr auto kPause = std::chrono::milliseconds(300);
  constexpr auto kPatience = std::chrono::seconds(5);
  const std::string body(1000, 'b');
  CallerAnswer answer;
  for (int attempt = 0; attempt < kTries && answer.mStatus != 200; ++attempt) {
    std::this_thread::sleep_for(attempt * kPause);
    answer =
      aWorld.SendRaw(0,
                     "POST /look/ordinary HTTP/1.1\r\nHost: a.example\r\n"
                     "X-Attempt-Id: ordinary\r\nX-Deadline-Ms: 4000\r\n"
                     "X-Api-Key: key-1\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body,
                     kPatience);
  }
  const double memory = aWorld.PeakMemoryMb(0);
  // the figures of each run, for the journal
  std::printf("    peak %.1f MB, queued %.1f MB, sockets %d, status %d\n",
              memory,
              queued,
              sockets,
              answer.mStatus);
  return { .mMemoryMb = memory + queued,
           .mSockets = sockets,
           .mAnswer = std::move(answer) };
}

} // namespace figslip::test
