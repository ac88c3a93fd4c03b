#include <figslip/http/detail/bounded_client.hpp>

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

namespace figslip::http::detail {

namespace {

using std::chrono::milliseconds;

/// Longest wait until the server takes more of a request.
constexpr auto kWriteTimeout = std::chrono::seconds(5);

/// Bytes that are taken off the socket at once.
constexpr std::size_t kReadBytes = 4096;

/// Waits until a socket can be read or written.
bool
WaitFor(int aSocket, short aEvents, Duration aTimeout)
{
  pollfd waited{ .fd = aSocket, .events = aEvents, .revents = 0 };
  const auto timeout = static_cast<int>(
    std::chrono::duration_cast<milliseconds>(aTimeout).count());
  int count = 0;
  do {
    count = poll(&waited, 1, timeout);
  } while (count < 0 && errno == EINTR);
  return count > 0;
}

/// Reads one answer from a socket, up to a number of bytes.
class BoundedStream : public httplib::Stream
{
public:
  /// Returns how many bytes of the answer may be read by now.
  using Limit = std::function<std::size_t()>;

  BoundedStream(int aSocket, Duration aReadTimeout, Limit aLimit)
    : mSocket(aSocket)
    , mReadTimeout(aReadTimeout)
    , mLimit(std::move(aLimit))
  {
  }

  [[nodiscard]] bool is_readable() const override
  {
    return mBegin < mEnd || WaitFor(mSocket, POLLIN, mReadTimeout);
  }

  [[nodiscard]] bool is_writable() const override
  {
    return WaitFor(mSocket, POLLOUT, kWriteTimeout);
  }

  ssize_t read(char* aInto, size_t aSize) override
  {
    if (mBegin == mEnd && !Fill()) {
      return mFailure;
    }
    const auto count = std::min(aSize, mEnd - mBegin);
    std::memcpy(aInto, mBuffer.data() + mBegin, count);
    mBegin += count;
    mTaken += count;
    if (mTaken > mLimit()) {
      return -1;
    }
    return static_cast<ssize_t>(count);
  }

  ssize_t write(const char* aFrom, size_t aSize) override
  {
    return is_writable() ? send(mSocket, aFrom, aSize, MSG_NOSIGNAL) : -1;
  }

  void get_remote_ip_and_port(std::string& aIp, int& aPort) const override
  {
    aIp.clear();
    aPort = 0;
  }

  void get_local_ip_and_port(std::string& aIp, int& aPort) const override
  {
    aIp.clear();
    aPort = 0;
  }

  [[nodiscard]] int socket() const override { return mSocket; }

private:
  /// Takes bytes off the socket; on failure sets what a read returns.
  bool Fill()
  {
    if (!is_readable()) {
      mFailure = -1;
      return false;
    }
    ssize_t count = 0;
    do {
      count = recv(mSocket, mBuffer.data(), mBuffer.size(), 0);
    } while (count < 0 && errno == EINTR);
    mFailure = count;
    mBegin = 0;
    mEnd = static_cast<std::size_t>(std::max<ssize_t>(0, count));
    return count > 0;
  }

  int mSocket;
  Duration mReadTimeout;
  Limit mLimit;
  std::array<char, kReadBytes> mBuffer{};
  std::size_t mBegin = 0;
  std::size_t mEnd = 0;
  std::size_t mTaken = 0;
  ssize_t mFailure = -1; ///< 0: the server has closed
};

} // namespace

BoundedClient::BoundedClient(const std::string& aAddress,
                             int aPort,
                             AnswerLimits aLimits)
  : httplib::ClientImpl(aAddress, aPort)
  , mLimits(aLimits)
{
}

bool
BoundedClient::process_socket(
  const Socket& aSocket,
  std::function<bool(httplib::Stream& aStream)> aCallback)
{
  mIsHeadRead = false;
  BoundedStream stream(aSocket.sock, mReadTimeout, [this] {
    return mIsHeadRead ? mLimits.mBytes : mLimits.mHeadBytes;
  });
  return aCallback(stream);
}

} // namespace figslip::http::detail
