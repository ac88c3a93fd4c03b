#include "links.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <memory>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

/// Idle time after which a server closes a connection.
constexpr auto kIdleTime = std::chrono::seconds(30);

sockaddr_in
AddressOf(const std::string& aAddress, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  ::inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

std::string
Lower(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return lower;
}

} // namespace

std::string
Message::Header(std::string_view aName) const
{
  const auto found =
    std::ranges::find(mHeaders, Lower(aName), [](const auto& aHeader) {
      return Lower(aHeader.first);
    });
  return found == mHeaders.end() ? std::string() : found->second;
}

std::string
Message::Word(int aIndex) const
{
  std::istringstream words(mStart);
  std::string word;
  for (int index = 0; index <= aIndex; ++index) {
    word.clear();
    words >> word;
  }
  return word;
}

int
Message::Status() const
{
  return std::atoi(Word(1).c_str());
}

std::string
FormatAnswer(int aStatus,
             const std::vector<std::pair<std::string, std::string>>& aHeaders,
             const std::string& aBody)
{
  auto text = "HTTP/1.1 " + std::to_string(aStatus) + " Status\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

Link::~Link()
{
  if (mDescriptor >= 0) {
    ::close(mDescriptor);
  }
}

std::unique_ptr<Link>
Link::Connect(const std::string& aAddress, int aPort)
{
  int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = AddressOf(aAddress, aPort);
  if (::connect(descriptor,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(descriptor);
    descriptor = -1;
  }
  return std::make_unique<Link>(descriptor);
}

bool
Link::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto size = ::send(
      mDescriptor, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

bool
Link::Receive(Clock::time_point aUntil)
{
  const auto left =
    std::chrono::duration_cast<milliseconds>(aUntil - Clock::now()).count();
  pollfd descriptor{ .fd = mDescriptor, .events = POLLIN, .revents = 0 };
  if (left <= 0 || ::poll(&descriptor, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  std::array<char, 65'536> bytes; // filled by recv
  const auto size = ::recv(mDescriptor, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  mInput.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<Message>
Link::Read(milliseconds aPatience, bool aHasBody)
{
  const auto until = Clock::now() + aPatience;
  auto end = mInput.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!Receive(until)) {
      return std::nullopt;
    }
    end = mInput.find("\r\n\r\n");
  }
  Message message;
  std::istringstream lines(mInput.substr(0, end + 2));
  mInput.erase(0, end + 4);
  std::string line;
  while (std::getline(lines, line)) {
    line.erase(line.find_last_not_of('\r') + 1);
    const auto colon = line.find(':');
    if (message.mStart.empty()) {
      message.mStart = line;
    } else if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.mHeaders.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
  }
  if (!aHasBody) {
    return message;
  }
  if (Lower(message.Header("Transfer-Encoding")) == "chunked") {
    return ReadChunks(message, until) ? std::optional(message) : std::nullopt;
  }
  const auto size =
    std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
  while (mInput.size() < size) {
    if (!Receive(until)) {
      return std::nullopt;
    }
  }
  message.mBody = mInput.substr(0, size);
  mInput.erase(0, size);
  return message;
}

bool
Link::ReadChunks(Message& aMessage, Clock::time_point aUntil)
{
  while (true) {
    const auto end = mInput.find("\r\n");
    const auto size = std::strtoul(mInput.c_str(), nullptr, 16);
    if (end == std::string::npos || mInput.size() < end + 2 + size + 2) {
      if (!Receive(aUntil)) {
        return false;
      }
      continue;
    }
    aMessage.mBody += mInput.substr(end + 2, size);
    mInput.erase(0, end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

void
Link::ResetAtEnd()
{
  const linger option{ .l_onoff = 1, .l_linger = 0 };
  ::setsockopt(mDescriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

Server::Server(std::string aAddress, int aPort, Handler aHandler)
  : mHandler(std::move(aHandler))
  , mListener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const int on = 1;
  ::setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = AddressOf(aAddress, aPort);
  auto* const name = reinterpret_cast<sockaddr*>(&address);
  socklen_t size = sizeof(address);
  constexpr int kBacklog = 256;
  if (::bind(mListener, name, size) != 0 ||
      ::listen(mListener, kBacklog) != 0 ||
      ::getsockname(mListener, name, &size) != 0) {
    throw std::runtime_error("cannot listen at " + aAddress);
  }
  mPort = ntohs(address.sin_port);
  mThread = std::thread([this] { Accept(); });
}

Server::~Server()
{
  mIsEnding = true;
  SetUp(false);
  mThread.join();
  ::close(mListener);
  while (mServing > 0) {
    std::this_thread::sleep_for(milliseconds(2));
  }
}

void
Server::SetUp(bool aIsUp)
{
  mIsUp = aIsUp;
  const std::scoped_lock lock(mMutex);
  if (!aIsUp) {
    for (const int descriptor : mOpen) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }
}

void
Server::Accept()
{
  constexpr int kPollMs = 20;
  while (!mIsEnding) {
    pollfd listener{ .fd = mListener, .events = POLLIN, .revents = 0 };
    if (::poll(&listener, 1, kPollMs) <= 0) {
      continue;
    }
    const int descriptor = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    if (!mIsUp) {
      Link(descriptor).ResetAtEnd();
      continue;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++mServing;
    std::thread([this, descriptor] {
      Serve(descriptor);
      --mServing;
    }).detach();
  }
}

void
Server::Serve(int aDescriptor)
{
  Link link(aDescriptor);
  {
    const std::scoped_lock lock(mMutex);
    mOpen.insert(aDescriptor);
  }
  bool goesOn = true;
  while (goesOn && mIsUp) {
    const auto request = link.Read(kIdleTime);
    goesOn = request.has_value();
    if (goesOn) {
      const auto answer = mHandler(*request);
      goesOn = mIsUp && !answer.empty() && link.Send(answer);
    }
  }
  if (!mIsUp) {
    link.ResetAtEnd();
  }
  const std::scoped_lock lock(mMutex);
  mOpen.erase(aDescriptor);
}

} // namespace review
