#include <figslip/net/client_connection.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cstdint>
#include <limits>

namespace figslip::net {

namespace {

/// Bound on the header of a response.
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;

/// Time after which unacknowledged bytes end a connection, milliseconds; a
/// partition shows in no other way.
constexpr int kUserTimeoutMs = 3'000;

void
SetOptions(tcp::socket& aSocket)
{
  error_code ignored; // both options only tune; the connection works without
  ignored = aSocket.set_option(tcp::no_delay(true), ignored);
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
  mParser = std::make_unique<Parser>();
  mParser->header_limit(kMaxHeaderBytes);
  // a number is needed: Beast 1.74 refuses every length without a limit
  mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  asio::async_write(
    *mSocket,
    asio::buffer(mSend->mBytes),
    [state = mSend, socket = mSocket](const error_code& aError, std::size_t) {
      state->mDone = true;
      state->mFailed = static_cast<bool>(aError);
    });
}

Awaitable<StepEnd>
ClientConnection::ReadHead(Milliseconds aLimit)
{
  constexpr unsigned kFirstFinalStatus = 200;
  error_code error;
  mWatchdog.Set(aLimit);
  co_await http::async_read_header(
    *mSocket,
    mBuffer,
    *mParser,
    asio::redirect_error(asio::use_awaitable, error));
  while (!error && mParser->get().result_int() < kFirstFinalStatus) {
    mParser = std::make_unique<Parser>();
    mParser->header_limit(kMaxHeaderBytes);
    mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
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
    co_await http::async_read_some(
      *mSocket,
      mBuffer,
      *mParser,
      asio::redirect_error(asio::use_awaitable, error));
    if (error == http::error::need_buffer) {
      error = {};
    }
    const auto read = mPieceBuffer.size() - mParser->get().body().size;
    mPiece.assign(mPieceBuffer.data(), read);
  }
  mWatchdog.Clear();
  if (error) {
    mBroken = true;
    co_return EndOf(error);
  }
  co_return StepEnd::Done;
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
  return mParser && mParser->is_done();
}

bool
ClientConnection::IsReusable() const
{
  return !mBroken && mSocket->is_open() && mSend->mDone && !mSend->mFailed &&
         BodyIsWhole() && mParser->get().keep_alive() && mBuffer.size() == 0;
}

bool
ClientConnection::IsStale()
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
  const bool isProtocol =
    aError.category() ==
    http::make_error_code(http::error::bad_value).category();
  const bool isEnd = aError == http::error::end_of_stream ||
                     aError == http::error::partial_message;
  return isProtocol && !isEnd ? StepEnd::Malformed : StepEnd::Closed;
}

} // namespace figslip::net
