#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Opens a listener; returns -1 if the port is taken.
inline int
TryListen(int aPort)
{
  constexpr int kBacklog = 512;
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int yes = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  const auto address = Loopback(aPort);
  const bool isOpen = ::bind(handle,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0 &&
                      ::listen(handle, kBacklog) == 0;
  if (!isOpen) {
    ::close(handle);
    return -1;
  }
  return handle;
}

/// Finds a free port outside the range of outgoing connections.
inline int
FreePort()
{
  static std::mt19937 sRandom(std::random_device{}());
  std::uniform_int_distribution ports(16'000, 30'000);
  for (int attempt = 0; attempt < 200; ++attempt) {
    const int port = ports(sRandom);
    const int handle = TryListen(port);
    if (handle >= 0) {
      ::close(handle);
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

/// Connects to a port on loopback; returns -1 on failure.
inline int
Connect(int aPort)
{
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(aPort);
  if (::connect(handle,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(handle);
    return -1;
  }
  const int yes = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
  return handle;
}

inline bool
SendAll(int aHandle, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const auto sent =
      ::send(aHandle, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    aBytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

struct Message
{
  std::string mStart;                          ///< request line or status line
  std::map<std::string, std::string> mHeaders; ///< names in lower case
  std::string mBody;
  bool mIsWhole = false;

  [[nodiscard]] std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? std::string() : found->second;
  }
  [[nodiscard]] int Status() const
  {
    return mStart.size() > 9 ? std::atoi(mStart.c_str() + 9) : 0;
  }
  [[nodiscard]] std::string Method() const
  {
    return mStart.substr(0, mStart.find(' '));
  }
  [[nodiscard]] std::string Target() const
  {
    const auto from = mStart.find(' ') + 1;
    return mStart.substr(from, mStart.find(' ', from) - from);
  }
};

/// Reads messages with a length from a connection.
class Reader
{
public:
  explicit Reader(int aHandle)
    : mHandle(aHandle)
  {
  }

  /// Reads one message; a start line is empty if nothing came until the time.
  Message Read(Clock::time_point aUntil)
  {
    Message message;
    auto end = mBuffer.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (!Receive(aUntil)) {
        return message;
      }
      end = mBuffer.find("\r\n\r\n");
    }
    ParseHead(mBuffer.substr(0, end + 2), message);
    mBuffer.erase(0, end + 4);
    const auto length = message.Header("content-length");
    const auto size = std::strtoul(length.c_str(), nullptr, 10);
    while (mBuffer.size() < size) {
      if (!Receive(aUntil)) {
        message.mBody = mBuffer;
        return message;
      }
    }
    message.mBody = mBuffer.substr(0, size);
    mBuffer.erase(0, size);
    message.mIsWhole = true;
    return message;
  }

private:
  static void ParseHead(const std::string& aHead, Message& aMessage)
  {
    std::size_t from = 0;
    while (from < aHead.size()) {
      const auto end = aHead.find("\r\n", from);
      const auto line = aHead.substr(from, end - from);
      from = end + 2;
      const auto colon = line.find(':');
      if (aMessage.mStart.empty()) {
        aMessage.mStart = line;
      } else if (colon != std::string::npos) {
        auto name = line.substr(0, colon);
        std::ranges::transform(name, name.begin(), [](unsigned char aLetter) {
          return static_cast<char>(std::tolower(aLetter));
        });
        const auto value = line.find_first_not_of(' ', colon + 1);
        aMessage.mHeaders[name] =
          value == std::string::npos ? std::string() : line.substr(value);
      }
    }
  }

  bool Receive(Clock::time_point aUntil)
  {
    while (true) {
      const auto left =
        std::chrono::duration_cast<milliseconds>(aUntil - Clock::now());
      if (left.count() <= 0) {
        return false;
      }
      pollfd handle{ .fd = mHandle, .events = POLLIN, .revents = 0 };
      if (::poll(&handle, 1, static_cast<int>(left.count())) > 0) {
        break;
      }
    }
    std::array<char, 16'384> bytes{};
    const auto size = ::recv(mHandle, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return false;
    }
    mBuffer.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  int mHandle;
  std::string mBuffer;
};

} // namespace review
