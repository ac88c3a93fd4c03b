#pragma once

#include <figslip/net/asio.hpp>
#include <figslip/net/message.hpp>
#include <figslip/net/watchdog.hpp>
#include <figslip/net/zero_window_monitor.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::net {

/// @brief Names a TCP endpoint.
struct Endpoint
{
  std::string mAddress; ///< IP number
  std::uint16_t mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief Lists how a step of an exchange can end.
enum class StepEnd
{
  Done,
  TimedOut,  ///< the watchdog expired
  Closed,    ///< the other side closed or reset the connection
  Malformed, ///< bytes that are no HTTP/1.1 response
  Oversized, ///< more bytes than a response may have
  Evicted,   ///< received bytes were given up to free memory
  Aborted    ///< `Abort` was called
};

/// @brief Returns the name of an end, as logs and metrics have it.
[[nodiscard]] std::string_view
NameOf(StepEnd aEnd);

/// @brief Runs requests over one connection, one at a time.
///
/// Every step has its own deadline. A connection that saw anything but a whole
/// and well-formed response is not reusable.
class ClientConnection
{
public:
  using Milliseconds = std::chrono::milliseconds;

  explicit ClientConnection(const asio::any_io_executor& aExecutor);

  /// @brief Opens the connection.
  [[nodiscard]] Awaitable<StepEnd> Connect(const Endpoint& aEndpoint,
                                           Milliseconds aLimit);

  /// @brief Starts to send a request; reading may begin at once.
  ///
  /// An upstream may answer before it has read the whole request.
  void StartSend(std::string aBytes);

  /// @brief Reads the head of the final response, after those of interim ones.
  ///
  /// A status below 100, or 101 to a request that asked for no other protocol,
  /// is malformed: it is no answer, and does not announce one.
  [[nodiscard]] Awaitable<StepEnd> ReadHead(Milliseconds aLimit);

  /// @brief Reads more of the body into `Piece`, which is empty at its end.
  [[nodiscard]] Awaitable<StepEnd> ReadBody(Milliseconds aLimit);

  /// @brief Ends whatever runs; the connection is closed.
  void Abort();

  [[nodiscard]] const ResponseHead& Head() const { return mHead; }
  [[nodiscard]] const std::string& Piece() const { return mPiece; }
  /// @brief Tells whether the whole response has been read.
  ///
  /// A body without a length ends with the connection, and is whole only if the
  /// upstream ended it: a reset that interrupts the sending of the request does
  /// not complete the response.
  [[nodiscard]] bool BodyIsWhole() const;
  /// @brief Returns how far the request was sent, for logs: `sent`,
  /// `unfinished` or the error of the socket.
  [[nodiscard]] std::string SendOutcome() const;
  [[nodiscard]] asio::any_io_executor Executor()
  {
    return mSocket->get_executor();
  }
  /// @brief Tells whether any byte of the request may have left.
  [[nodiscard]] bool HasSent() const { return mSendStarted; }
  /// @brief Tells whether another request may follow.
  [[nodiscard]] bool IsReusable() const;
  /// @brief Returns whether bytes or the end of the connection can be read.
  [[nodiscard]] bool HasInput();
  /// @brief Tells whether an idle connection has been closed or has got bytes
  /// that belong to no request.
  [[nodiscard]] bool IsStale();

private:
  using Parser = http::response_parser<http::buffer_body>;

  struct SendState
  {
    std::string mBytes;
    bool mDone = true;
    error_code mError; ///< that ended the write; none: sent or under way
  };

  [[nodiscard]] StepEnd EndOf(const error_code& aError) const;
  /// Tells whether the connection failed at what reads as the end of a body
  /// without a length.
  [[nodiscard]] bool IsCutOff() const;
  void BeginResponse();
  void TakeHead();
  /// Ends a step on a response that is refused; returns the end.
  StepEnd Fail(StepEnd aEnd);

  std::shared_ptr<tcp::socket> mSocket;
  Watchdog mWatchdog;
  ZeroWindowMonitor mZeroWindow;
  boost::beast::flat_buffer mBuffer;
  std::unique_ptr<Parser> mParser; ///< null before the first request
  std::shared_ptr<SendState> mSend;
  std::array<char, 8192> mPieceBuffer{};
  ResponseHead mHead;
  std::string mPiece;
  std::size_t mBodyBytes = 0;    ///< of the response so far
  std::size_t mFramingBytes = 0; ///< chunk sizes, extensions and trailers
  bool mSendStarted = false;
  bool mBroken = false;
  bool mAborted = false;
};

} // namespace figslip::net
