#include <figslip/net/client_connection.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace figslip::net {

namespace {

/// Bound on the header of a response.
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;

/// Bound on received bytes that are not parsed yet. A chunk's size with its
/// extension and the trailers are parsed as a whole and have no other bound.
constexpr std::size_t kMaxUnparsedBytes = 131'072;

/// Bound on interim responses before the final one.
constexpr int kMaxInterimResponses = 8;

/// Bounds on the bytes of a chunked body beyond its content: a constant and a
/// multiple of the content.
constexpr std::size_t kMaxFramingBytes = 65'536;
constexpr std::size_t kMaxFramingFactor = 16;

/// Size of the kernel's receive buffer, bytes; bounds what an upstream can send
/// while nothing is read.
constexpr int kReceiveBufferBytes = 262'144;

/// Lists what the status of a response says of its place in an exchange.
enum class StatusKind
{
  Interim, ///< another response follows
  Final,   ///< ends the exchange
  Invalid  ///< neither: nothing that follows can be attributed
};

StatusKind
KindOf(unsigned aStatus)
{
  constexpr unsigned kFirstInterim = 100;
  constexpr unsigned kSwitchingProtocols = 101; // no request asks for it
  constexpr unsigned kFirstFinal = 200;
  if (aStatus >= kFirstFinal) {
    return StatusKind::Final;
  }
  return aStatus >= kFirstInterim && aStatus != kSwitchingProtocols
           ? StatusKind::Interim
           : StatusKind::Invalid;
}

void
SetOptions(tcp::socket& aSocket)
{
  error_code ignored; // the connection works without the options
  ignored = aSocket.set_option(tcp::no_delay(true), ignored);
  ignored = aSocket.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  setsockopt(aSocket.native_handle(),
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &kUserTimeoutMs,
             sizeof(kUserTimeoutMs));
}

} // namespace

std::string_view
NameOf(StepEnd aEnd)
{
  switch (aEnd) {
    case StepEnd::Done:
      return "done";
    case StepEnd::TimedOut:
      return "timed_out";
    case StepEnd::Closed:
      return "closed";
    case StepEnd::Malformed:
      return "malformed";
    case StepEnd::Oversized:
      return "oversized";
    case StepEnd::Evicted:
      return "memory_full";
    case StepEnd::Aborted:
      return "aborted";
  }
  return "";
}

ClientConnection::ClientConnection(const asio::any_io_executor& aExecutor)
  : mSocket(std::make_shared<tcp::socket>(aExecutor))
  , mWatchdog(aExecutor,
              [socket = std::weak_ptr(mSocket)] {
                if (const auto open = socket.lock()) {
                  error_code ignored; // closing an open socket cannot fail
                  ignored = open->close(ignored);
                }
              })
  , mZeroWindow(mSocket)
  , mBuffer(kMaxUnparsedBytes)
  , mSend(std::make_shared<SendState>())
{
}

Awaitable<StepEnd>
ClientConnection::Connect(const Endpoint& aEndpoint, Milliseconds aLimit)
{
  error_code error;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
  if (error) {
    co_return StepEnd::Malformed;
  }
  const tcp::endpoint endpoint(address, aEndpoint.mPort);
  mWatchdog.Set(aLimit);
  co_await mSocket->async_connect(
    endpoint, asio::redirect_error(asio::use_awaitable, error));
  mWatchdog.Clear();
  if (error) {
    mBroken = true;
    co_return EndOf(error);
  }
  SetOptions(*mSocket);
  co_return StepEnd::Done;
}

void
ClientConnection::StartSend(std::string aBytes)
{
  mSendStarted = true;
  mSend = std::make_shared<SendState>();
  mSend->mBytes = std::move(aBytes);
  mSend->mDone = false;
  mHead = {};
  mPiece.clear();
  mBodyBytes = 0;
  mFramingBytes = 0;
  BeginResponse();
  asio::async_write(
    *mSocket,
    asio::buffer(mSend->mBytes),
    [state = mSend, socket = mSocket](const error_code& aError, std::size_t) {
      state->mDone = true;
      state->mError = aError;
    });
  mZeroWindow.Start();
}

void
ClientConnection::BeginResponse()
{
  mParser = std::make_unique<Parser>();
  mParser->header_limit(kMaxHeaderBytes);
  // a number is needed: Beast 1.74 refuses every length without a limit
  mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
}

Awaitable<StepEnd>
ClientConnection::ReadHead(Milliseconds aLimit)
{
  error_code error;
  mWatchdog.Set(aLimit);
  co_await http::async_read_header(
    *mSocket,
    mBuffer,
    *mParser,
    asio::redirect_error(asio::use_awaitable, error));
  int interimResponses = 0;
  while (!error && KindOf(mParser->get().result_int()) == StatusKind::Interim) {
    if (++interimResponses > kMaxInterimResponses) {
      co_return Fail(StepEnd::Oversized);
    }
    BeginResponse();
    co_await http::async_read_header(
      *mSocket,
      mBuffer,
      *mParser,
      asio::redirect_error(asio::use_awaitable, error));
  }
  mWatchdog.Clear();
  if (error) {
    mBroken = true;
    co_return EndOf(error);
  }
  if (KindOf(mParser->get().result_int()) == StatusKind::Invalid) {
    co_return Fail(StepEnd::Malformed);
  }
  TakeHead();
  co_return StepEnd::Done;
}

void
ClientConnection::TakeHead()
{
  const auto& message = mParser->get();
  mHead.mStatus = message.result_int();
  for (const auto& field : message) {
    mHead.mHeaders.push_back({ .mName = std::string(field.name_string()),
                               .mValue = std::string(field.value()) });
  }
  mHead.mChunked = message.chunked();
  if (const auto length = mParser->content_length()) {
    mHead.mLength = *length;
  }
}

Awaitable<StepEnd>
ClientConnection::ReadBody(Milliseconds aLimit)
{
  mPiece.clear();
  mWatchdog.Set(aLimit);
  error_code error;
  while (mPiece.empty() && !mParser->is_done() && !error) {
    auto& body = mParser->get().body();
    body.data = mPieceBuffer.data();
    body.size = mPieceBuffer.size();
    body.more = true;
    const auto parsed = co_await http::async_read_some(
      *mSocket,
      mBuffer,
      *mParser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) {
      error = {};
    }
    const auto read = mPieceBuffer.size() - mParser->get().body().size;
    mPiece.assign(mPieceBuffer.data(), read);
    mBodyBytes += read;
    mFramingBytes += parsed - std::min(parsed, read);
    if (mFramingBytes > kMaxFramingBytes + kMaxFramingFactor * mBodyBytes) {
      co_return Fail(StepEnd::Oversized);
    }
  }
  mWatchdog.Clear();
  if (error || IsCutOff()) {
    mBroken = true;
    co_return EndOf(error);
  }
  co_return StepEnd::Done;
}

StepEnd
ClientConnection::Fail(StepEnd aEnd)
{
  mWatchdog.Clear();
  mBroken = true;
  return aEnd;
}

void
ClientConnection::Abort()
{
  mAborted = true;
  mBroken = true;
  error_code ignored; // closing an open socket cannot fail
  ignored = mSocket->close(ignored);
}

bool
ClientConnection::BodyIsWhole() const
{
  return mParser && mParser->is_done() && !IsCutOff();
}

bool
ClientConnection::IsCutOff() const
{
  // the socket reports its error once: if the pending write has received it,
  // the read sees an ordinary end. Broken pipe is the error of a reset that
  // came after the upstream had ended its answer.
  const bool wasReset =
    mSend->mError && mSend->mError != asio::error::broken_pipe;
  return wasReset && mParser->is_done() && mParser->need_eof();
}

std::string
ClientConnection::SendOutcome() const
{
  if (mSend->mError) {
    return mSend->mError.message();
  }
  return mSend->mDone ? "sent" : "unfinished";
}

bool
ClientConnection::IsReusable() const
{
  return !mBroken && mSocket->is_open() && mSend->mDone && !mSend->mError &&
         BodyIsWhole() && mParser->get().keep_alive() && mBuffer.size() == 0;
}

bool
ClientConnection::IsStale()
{
  return HasInput();
}

bool
ClientConnection::HasInput()
{
  char byte = 0;
  const auto read =
    ::recv(mSocket->native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return read >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

StepEnd
ClientConnection::EndOf(const error_code& aError) const
{
  if (mAborted) {
    return StepEnd::Aborted;
  }
  if (mWatchdog.HasExpired()) {
    return StepEnd::TimedOut;
  }
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return StepEnd::Oversized;
  }
  const bool isProtocol =
    aError.category() ==
    http::make_error_code(http::error::bad_value).category();
  const bool isEnd = aError == http::error::end_of_stream ||
                     aError == http::error::partial_message;
  return isProtocol && !isEnd ? StepEnd::Malformed : StepEnd::Closed;
}

} // namespace figslip::net
