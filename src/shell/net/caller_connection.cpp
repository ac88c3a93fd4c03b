#include <figslip/net/caller_connection.hpp>

#include <sys/socket.h>

#include <array>
#include <limits>

namespace figslip::net {

namespace {

/// Time for a caller to take the bytes of one write.
constexpr auto kWriteLimit = std::chrono::seconds(10);

/// Time to read what a caller still sends after the last response.
constexpr auto kLingerLimit = std::chrono::seconds(1);

std::string_view
ToStd(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

bool
IsAmbiguous(const http::fields& aFields)
{
  const bool hasLength = aFields.count(http::field::content_length) > 0;
  const auto encodings = aFields.count(http::field::transfer_encoding);
  const bool isChunked =
    encodings == 1 &&
    EqualNames(ToStd(aFields[http::field::transfer_encoding]), "chunked");
  return (encodings > 0 && (hasLength || !isChunked)) ||
         aFields.count(http::field::content_length) > 1 ||
         aFields.count(http::field::host) != 1;
}

void
AppendHead(std::string& aText,
           unsigned aStatus,
           const Headers& aHeaders,
           bool aClose)
{
  aText += "HTTP/1.1 " + std::to_string(aStatus) + ' ';
  aText += ToStd(http::obsolete_reason(http::int_to_status(aStatus)));
  aText += "\r\n";
  for (const auto& header : aHeaders) {
    aText.append(header.mName).append(": ").append(header.mValue) += "\r\n";
  }
  if (aClose) {
    aText += "Connection: close\r\n";
  }
}

std::string
Chunk(std::string_view aBytes)
{
  std::array<char, 20> size{};
  const int length =
    std::snprintf(size.data(), size.size(), "%zx\r\n", aBytes.size());
  std::string text(size.data(), static_cast<std::size_t>(length));
  text.append(aBytes).append("\r\n");
  return text;
}

} // namespace

CallerConnection::CallerConnection(tcp::socket aSocket)
  : mSocket(std::move(aSocket))
  , mWatchdog(mSocket.get_executor(), [this] { OnTooSlow(); })
{
  error_code ignored; // the option only tunes
  ignored = mSocket.set_option(tcp::no_delay(true), ignored);
}

Awaitable<ReadEnd>
CallerConnection::Read(const ingress::CallerLimits& aLimits)
{
  error_code error;
  const bool hasBegun = mBuffer.size() > 0;
  if (!hasBegun) {
    mIdle = true;
    mWatchdog.Set(aLimits.mIdleTimeout);
    co_await mSocket.async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    mIdle = false;
    if (error) {
      co_return ReadEnd::Closed;
    }
  }
  http::request_parser<http::string_body> parser;
  parser.header_limit(static_cast<std::uint32_t>(aLimits.mMaxHeaderBytes));
  parser.body_limit(aLimits.mMaxBodyBytes);
  mIsReading = true;
  mWatchdog.Set(aLimits.mHeaderTimeout);
  co_await http::async_read_header(
    mSocket, mBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  mIsReading = false;
  if (error) {
    co_return EndOf(error);
  }
  if (IsAmbiguous(parser.get())) {
    mWatchdog.Clear();
    co_return ReadEnd::BadRequest;
  }
  if (EqualNames(ToStd(parser.get()[http::field::expect]), "100-continue")) {
    std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const bool sent = co_await Write(std::move(interim));
    if (!sent) {
      co_return ReadEnd::Closed;
    }
  }
  mIsReading = true;
  mWatchdog.Set(aLimits.mIdleTimeout);
  co_await http::async_read(
    mSocket, mBuffer, parser, asio::redirect_error(asio::use_awaitable, error));
  mIsReading = false;
  mWatchdog.Clear();
  if (error) {
    co_return EndOf(error);
  }
  auto& message = parser.get();
  mKeepsAlive = message.keep_alive();
  mRequest = { .mMethod = std::string(message.method_string()),
               .mTarget = std::string(message.target()),
               .mHeaders = {},
               .mBody = std::move(message.body()) };
  for (const auto& field : message) {
    mRequest.mHeaders.push_back({ .mName = std::string(field.name_string()),
                                  .mValue = std::string(field.value()) });
  }
  co_return mRequest.mTarget.starts_with('/') ? ReadEnd::Whole
                                              : ReadEnd::BadRequest;
}

ReadEnd
CallerConnection::EndOf(const error_code& aError) const
{
  if (mWatchdog.HasExpired()) {
    return ReadEnd::TooSlow;
  }
  if (aError == http::error::header_limit) {
    return ReadEnd::HeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return ReadEnd::BodyTooLarge;
  }
  const bool isProtocol =
    aError.category() ==
    http::make_error_code(http::error::bad_value).category();
  const bool isEnd = aError == http::error::end_of_stream ||
                     aError == http::error::partial_message;
  return isProtocol && !isEnd ? ReadEnd::BadRequest : ReadEnd::Closed;
}

void
CallerConnection::WatchLeaving(std::function<void()> aOnLeft)
{
  mOnLeft = std::move(aOnLeft);
  mWatching = true;
  ++mWatch;
  Watch();
}

void
CallerConnection::Watch()
{
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this(), watch = mWatch](const error_code& aError) {
      if (!self->mWatching || watch != self->mWatch ||
          aError == asio::error::operation_aborted) {
        return;
      }
      char byte = 0;
      const auto read = ::recv(
        self->mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      const bool isOpen =
        read > 0 || (read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
      if (read < 0 && isOpen) {
        self->Watch();
      }
      if (isOpen) {
        return; // the next request is already there
      }
      self->mHasLeft = true;
      self->mWatching = false;
      if (const auto onLeft = std::move(self->mOnLeft)) {
        onLeft();
      }
    });
}

void
CallerConnection::StopWatching()
{
  if (mWatching) {
    mWatching = false;
    mOnLeft = nullptr;
    error_code ignored; // only the watch can be pending here
    ignored = mSocket.cancel(ignored);
  }
}

Awaitable<bool>
CallerConnection::Write(std::string aBytes, std::string_view aBody)
{
  error_code error;
  mWatchdog.Set(kWriteLimit);
  const std::array<asio::const_buffer, 2> buffers = { asio::buffer(aBytes),
                                                      asio::buffer(aBody) };
  co_await asio::async_write(
    mSocket, buffers, asio::redirect_error(asio::use_awaitable, error));
  mWatchdog.Clear();
  co_return !error;
}

Awaitable<bool>
CallerConnection::Respond(unsigned aStatus,
                          const Headers& aHeaders,
                          std::string_view aBody,
                          bool aClose)
{
  std::string text;
  AppendHead(text, aStatus, aHeaders, aClose);
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  co_return co_await Write(std::move(text), aBody);
}

Awaitable<bool>
CallerConnection::BeginStream(unsigned aStatus,
                              const Headers& aHeaders,
                              std::string_view aFirst,
                              bool aClose)
{
  std::string text;
  AppendHead(text, aStatus, aHeaders, aClose);
  text += "Transfer-Encoding: chunked\r\n\r\n";
  if (!aFirst.empty()) {
    text += Chunk(aFirst);
  }
  co_return co_await Write(std::move(text));
}

Awaitable<bool>
CallerConnection::SendPiece(std::string_view aBytes)
{
  auto text = Chunk(aBytes);
  co_return co_await Write(std::move(text));
}

Awaitable<bool>
CallerConnection::EndStream()
{
  std::string text = "0\r\n\r\n";
  co_return co_await Write(std::move(text));
}

Awaitable<void>
CallerConnection::CloseGracefully()
{
  error_code error;
  error = mSocket.shutdown(tcp::socket::shutdown_send, error);
  mWatchdog.Set(kLingerLimit);
  std::array<char, 4096> sink{};
  while (!error) {
    const auto buffer = asio::buffer(sink);
    co_await mSocket.async_read_some(
      buffer, asio::redirect_error(asio::use_awaitable, error));
  }
  mWatchdog.Clear();
  Abort();
}

void
CallerConnection::OnTooSlow()
{
  if (mIsReading) {
    // the connection stays open, so that the caller can be told
    error_code ignored; // only the read can be pending here
    ignored = mSocket.cancel(ignored);
  } else {
    Abort();
  }
}

void
CallerConnection::Abort()
{
  error_code ignored; // closing an open socket cannot fail
  ignored = mSocket.close(ignored);
}

void
CallerConnection::CloseIfIdle()
{
  error_code error;
  const bool hasInput = mSocket.available(error) > 0;
  if (mIdle && !hasInput) {
    Abort();
  }
}

} // namespace figslip::net
