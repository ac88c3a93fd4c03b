#include <figslip/net/caller_connection.hpp>
#include <figslip/time/wall_clock.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>
#include <utility>

namespace figslip::net {

namespace {

/// Time in which a caller takes some of the bytes of an answer that is whole.
constexpr Duration kWriteTimeout = std::chrono::seconds(10);

/// Bytes that one read takes from the kernel. They are parsed at once or stored
/// in the connection, so that connections that wait need no buffer.
constexpr std::size_t kReadBytes = 65'536;

/// Bytes that one read takes while a head is incomplete. Heads of ordinary
/// requests fit; of pipelined requests, at most this much is stored ahead. With
/// `kReadBytes`, 64 such connections took all memory of an instance of 32 MB.
constexpr std::size_t kHeadReadBytes = 4'096;

/// Memory of a header field beyond its bytes, in the parser, in the request and
/// in the copy for an upstream.
constexpr std::size_t kFieldBytes = 256;

/// Copies of a head: as received, in the parser, in the request.
constexpr std::size_t kHeadCopies = 3;

/// Copies of a request that runs: as read, and as sent to an upstream.
constexpr std::size_t kRunningCopies = 2;

/// Most bytes of a body's framing, such as the size of a chunk or trailers,
/// that are received and not parsed. Larger ones are no use to anyone.
constexpr std::size_t kMaxFramingBytes = 8'192;

/// Memory of the kernel for bytes that are not read or not taken. The kernel
/// doubles the sizes that `Listen` sets.
constexpr std::size_t kKernelBytes = 2UL * kKernelBufferBytes;

/// Growth of the memory of a body whose length is not stated.
constexpr std::size_t kBodyGrowth = 2;

/// Capacity of the buffer for unparsed bytes that a connection keeps when it is
/// empty.
constexpr std::size_t kKeptCapacity = 4'096;

/// Returns the buffer of the thread for bytes that have just been read.
std::array<char, kReadBytes>&
ReadBuffer()
{
  static thread_local std::array<char, kReadBytes> sBuffer;
  return sBuffer;
}

std::string_view
ViewOf(const boost::beast::flat_buffer& aBuffer)
{
  return { static_cast<const char*>(aBuffer.data().data()), aBuffer.size() };
}

/// Time to read what a caller still sends after the last response.
constexpr auto kLingerLimit = std::chrono::seconds(1);

std::string_view
ToStd(boost::beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

/// Returns whether a head that has arrived in part can become no request: it
/// begins with no method, or has a line that ends without CR.
/// @param[in] aChecked bytes that were checked before
bool
IsHopeless(std::string_view aInput, std::size_t aChecked)
{
  if (!aInput.empty() &&
      std::isalpha(static_cast<unsigned char>(aInput.front())) == 0) {
    return true;
  }
  auto end = aInput.find('\n', aChecked);
  while (end != std::string_view::npos && end > 0 && aInput[end - 1] == '\r') {
    end = aInput.find('\n', end + 1);
  }
  return end != std::string_view::npos;
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
  , mStreamTimeout(kWriteTimeout)
{
  error_code ignored; // the option only tunes
  ignored = mSocket.set_option(tcp::no_delay(true), ignored);
}

bool
CallerConnection::Join(admission::ConnectionBudget& aBudget,
                       std::string aAddress)
{
  mMember.emplace(
    aBudget,
    std::move(aAddress),
    [this](admission::Shortage aShortage) { OnYield(aShortage); },
    ReadBootClock());
  return mMember->IsAdmitted();
}

void
CallerConnection::OnYield(admission::Shortage aShortage)
{
  if (aShortage == admission::Shortage::Descriptors) {
    Abort();
    return;
  }
  // the coroutine that reads checks `HasYielded` after each wait
  mParser.reset();
  mInput = {};
  mBuffer.clear();
  mBuffer.shrink_to_fit();
  error_code ignored; // only the read can be pending here
  ignored = mSocket.cancel(ignored);
}

bool
CallerConnection::Resize(std::size_t aBytes)
{
  return !mMember || mMember->Resize(aBytes, ReadBootClock());
}

bool
CallerConnection::BeginRun()
{
  if (!mMember) {
    return true;
  }
  const auto now = ReadBootClock();
  const auto bytes =
    mHeadCost + mBuffer.capacity() + kRunningCopies * mRequest.mBody.size();
  return mMember->Resize(bytes, now) &&
         mMember->Enter(admission::ConnectionPhase::Running, now);
}

Awaitable<ReadEnd>
CallerConnection::Read(const ingress::CallerLimits& aLimits)
{
  mRequest = {};
  mIsPipelined = std::exchange(mIsNextPipelined, false);
  mParser.reset();
  mHeadCost = 0;
  if (mBuffer.size() == 0 && mBuffer.capacity() > kKeptCapacity) {
    mBuffer.shrink_to_fit();
  }
  const bool isAdmitted =
    !mMember ||
    (mMember->Enter(admission::ConnectionPhase::Idle, ReadBootClock()) &&
     Resize(mBuffer.capacity()));
  if (!isAdmitted) {
    co_return ReadEnd::Closed;
  }
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
  if (mMember &&
      !mMember->Enter(admission::ConnectionPhase::Reading, ReadBootClock())) {
    co_return ReadEnd::Closed;
  }
  mIsReading = true;
  mWatchdog.Set(aLimits.mHeaderTimeout);
  auto end = co_await ReadHead(aLimits);
  mIsReading = false;
  if (end != ReadEnd::Whole) {
    mWatchdog.Clear();
    co_return end;
  }
  if (EqualNames(ToStd(mParser->get()[http::field::expect]), "100-continue")) {
    KeepInput();
    std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const bool sent = co_await Write(std::move(interim), {}, kWriteTimeout);
    mInput = ViewOf(mBuffer);
    if (!sent || HasYielded()) {
      co_return sent ? ReadEnd::Yielded : ReadEnd::Closed;
    }
  }
  mIsReading = true;
  mWatchdog.Set(aLimits.mIdleTimeout);
  end = co_await ReadBody(aLimits);
  mIsReading = false;
  mWatchdog.Clear();
  if (end != ReadEnd::Whole) {
    co_return end;
  }
  TakeRequest();
  KeepInput();
  co_return mRequest.mTarget.starts_with('/') ? ReadEnd::Whole
                                              : ReadEnd::BadRequest;
}

Awaitable<ReadEnd>
CallerConnection::ReadHead(const ingress::CallerLimits& aLimits)
{
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  mParser = std::make_unique<Parser>();
  mParser->header_limit(static_cast<std::uint32_t>(aLimits.mMaxHeaderBytes));
  mParser->body_limit(aLimits.mMaxBodyBytes);
  mInput = ViewOf(mBuffer);
  auto found = mInput.find(kHeadEnd);
  std::size_t checked = 0;
  while (found == std::string_view::npos) {
    const auto searched = mInput.size();
    if (IsHopeless(mInput, checked)) {
      co_return ReadEnd::BadRequest;
    }
    checked = searched;
    if (searched >= aLimits.mMaxHeaderBytes) {
      co_return ReadEnd::HeaderTooLarge;
    }
    const auto error = co_await Receive(kHeadReadBytes);
    if (HasYielded()) {
      co_return ReadEnd::Yielded;
    }
    if (error) {
      co_return EndOf(error);
    }
    found =
      mInput.find(kHeadEnd, searched - std::min(searched, kHeadEnd.size() - 1));
  }
  const auto size = found + kHeadEnd.size();
  co_return size > aLimits.mMaxHeaderBytes ? ReadEnd::HeaderTooLarge
                                           : ParseHead(size);
}

ReadEnd
CallerConnection::ParseHead(std::size_t aSize)
{
  const auto head = mInput.substr(0, aSize);
  const auto fields = static_cast<std::size_t>(std::ranges::count(head, '\n'));
  mHeadCost = kHeadCopies * aSize + kFieldBytes * fields;
  if (!Resize(mHeadCost + mBuffer.capacity())) {
    return ReadEnd::Yielded;
  }
  error_code error;
  mParser->put(asio::buffer(head.data(), head.size()), error);
  if (error) {
    return EndOf(error);
  }
  Consume(aSize);
  return IsAmbiguous(mParser->get()) ? ReadEnd::BadRequest : ReadEnd::Whole;
}

Awaitable<ReadEnd>
CallerConnection::ReadBody(const ingress::CallerLimits& aLimits)
{
  auto end = ParseBody(aLimits);
  while (end == ReadEnd::Whole && !mParser->is_done()) {
    // the next request stays in the kernel's buffer
    const auto left = mParser->content_length_remaining();
    const auto most =
      std::min<std::uint64_t>(left.value_or(kReadBytes), kReadBytes);
    const auto error = co_await Receive(static_cast<std::size_t>(most));
    if (HasYielded()) {
      co_return ReadEnd::Yielded;
    }
    end = error ? EndOf(error) : ParseBody(aLimits);
  }
  co_return end;
}

ReadEnd
CallerConnection::ParseBody(const ingress::CallerLimits& aLimits)
{
  auto& body = mParser->get().body();
  const auto most = std::min(body.size() + mInput.size(),
                             static_cast<std::size_t>(aLimits.mMaxBodyBytes));
  auto cost = most;
  if (mParser->chunked()) {
    cost = std::max(body.capacity(), most);
    if (most > body.capacity() && !body.empty()) {
      cost = std::max(most, kBodyGrowth * body.capacity());
    }
  }
  if (!Resize(mHeadCost + mBuffer.capacity() + cost)) {
    return ReadEnd::Yielded;
  }
  error_code error;
  while (!error && !mInput.empty() && !mParser->is_done()) {
    const auto parsed =
      mParser->put(asio::buffer(mInput.data(), mInput.size()), error);
    Consume(parsed);
  }
  if (error == http::error::need_more) {
    error = {};
  }
  if (error) {
    return EndOf(error);
  }
  const bool isFraming =
    !mParser->is_done() && mInput.size() > kMaxFramingBytes;
  return isFraming ? ReadEnd::BadRequest : ReadEnd::Whole;
}

void
CallerConnection::TakeRequest()
{
  auto& message = mParser->get();
  mKeepsAlive = message.keep_alive();
  mRequest = { .mMethod = std::string(message.method_string()),
               .mTarget = std::string(message.target()),
               .mHeaders = {},
               .mBody = std::move(message.body()) };
  mRequest.mHeaders.reserve(static_cast<std::size_t>(
    std::ranges::distance(message.begin(), message.end())));
  for (const auto& field : message) {
    mRequest.mHeaders.push_back({ .mName = std::string(field.name_string()),
                                  .mValue = std::string(field.value()) });
  }
  mParser.reset();
}

Awaitable<error_code>
CallerConnection::Receive(std::size_t aMost)
{
  KeepInput();
  error_code error;
  auto& bytes = ReadBuffer();
  while (true) {
    co_await mSocket.async_wait(
      tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return error;
    }
    const auto read =
      ::recv(mSocket.native_handle(), bytes.data(), aMost, MSG_DONTWAIT);
    if (read == 0) {
      co_return http::make_error_code(http::error::end_of_stream);
    }
    if (read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
      continue;
    }
    if (read < 0) {
      co_return error_code(errno, boost::system::system_category());
    }
    const auto size = static_cast<std::size_t>(read);
    if (mMember) {
      mMember->OnProgress(size, ReadBootClock());
    }
    mInput = { bytes.data(), size };
    if (mBuffer.size() > 0) {
      // the buffer is as large as the rest of a head or of a body's framing
      asio::buffer_copy(mBuffer.prepare(size), asio::buffer(bytes, size));
      mBuffer.commit(size);
      mInput = ViewOf(mBuffer);
    }
    co_return error_code();
  }
}

void
CallerConnection::Consume(std::size_t aBytes)
{
  if (mBuffer.size() > 0) {
    mBuffer.consume(aBytes);
    mInput = ViewOf(mBuffer);
  } else {
    mInput.remove_prefix(aBytes);
  }
}

void
CallerConnection::KeepInput()
{
  if (mBuffer.size() == 0 && !mInput.empty()) {
    const auto size = mInput.size();
    asio::buffer_copy(mBuffer.prepare(size), asio::buffer(mInput.data(), size));
    mBuffer.commit(size);
  }
  mInput = {};
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
CallerConnection::CheckPipelining()
{
  error_code error;
  mIsNextPipelined =
    mBuffer.size() > 0 || (mSocket.available(error) > 0 && !error);
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
        // the next request is already there; it fills the kernel's buffer at
        // most, until it is read
        if (self->mMember) {
          self->mMember->Record(self->mMember->Bytes() + kKernelBytes,
                                ReadBootClock());
        }
        return;
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

long
CallerConnection::SendNow(std::string_view aBytes, std::string_view aBody)
{
  std::array<iovec, 2> pieces = {
    iovec{ const_cast<char*>(aBytes.data()), aBytes.size() },
    iovec{ const_cast<char*>(aBody.data()), aBody.size() }
  };
  msghdr message{};
  message.msg_iov = pieces.data();
  message.msg_iovlen = pieces.size();
  const auto sent =
    ::sendmsg(mSocket.native_handle(), &message, MSG_DONTWAIT | MSG_NOSIGNAL);
  const bool isFull = sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return isFull ? 0 : sent;
}

Awaitable<bool>
CallerConnection::Write(std::string aBytes,
                        std::string_view aBody,
                        Duration aTimeout)
{
  std::string_view bytes = aBytes;
  std::string_view body = aBody;
  std::size_t held = 0;
  error_code error;
  while (true) {
    const auto sent = SendNow(bytes, body);
    if (sent < 0) {
      co_return false;
    }
    auto taken = static_cast<std::size_t>(sent);
    const auto ofBytes = std::min(taken, bytes.size());
    bytes.remove_prefix(ofBytes);
    body.remove_prefix(taken - ofBytes);
    if (bytes.empty() && body.empty()) {
      break;
    }
    if (mMember) {
      const auto now = ReadBootClock();
      mMember->OnProgress(taken, now);
      if (held == 0) {
        held = aBytes.size() + aBody.size() + kKernelBytes;
        mMember->Record(mMember->Bytes() + held, now);
      }
      if (HasYielded()) {
        co_return false;
      }
    }
    mWatchdog.Set(aTimeout);
    co_await mSocket.async_wait(
      tcp::socket::wait_write,
      asio::redirect_error(asio::use_awaitable, error));
    mWatchdog.Clear();
    if (error) {
      mHasStalled = mWatchdog.HasExpired();
      co_return false;
    }
  }
  if (mMember && held > 0) {
    const auto now = ReadBootClock();
    mMember->Record(mMember->Bytes() - std::min(held, mMember->Bytes()), now);
  }
  co_return true;
}

Awaitable<bool>
CallerConnection::Respond(unsigned aStatus,
                          const Headers& aHeaders,
                          std::string_view aBody,
                          bool aClose)
{
  CheckPipelining();
  if (mMember && mMember->IsAdmitted()) {
    // no request runs any more, so that the connection may yield
    (void)mMember->Enter(admission::ConnectionPhase::Answering,
                         ReadBootClock());
  }
  std::string text;
  AppendHead(text, aStatus, aHeaders, aClose);
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  co_return co_await Write(std::move(text), aBody, kWriteTimeout);
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
  co_return co_await Write(std::move(text), {}, mStreamTimeout);
}

Awaitable<bool>
CallerConnection::SendPiece(std::string_view aBytes)
{
  auto text = Chunk(aBytes);
  co_return co_await Write(std::move(text), {}, mStreamTimeout);
}

Awaitable<bool>
CallerConnection::EndStream()
{
  CheckPipelining();
  std::string text = "0\r\n\r\n";
  co_return co_await Write(std::move(text), {}, mStreamTimeout);
}

Awaitable<void>
CallerConnection::CloseGracefully()
{
  if (mMember && mMember->IsAdmitted()) {
    (void)mMember->Enter(admission::ConnectionPhase::Closing, ReadBootClock());
  }
  error_code error;
  error = mSocket.shutdown(tcp::socket::shutdown_send, error);
  mWatchdog.Set(kLingerLimit);
  while (!error) {
    mInput = {};
    mBuffer.clear();
    error = co_await Receive(kReadBytes);
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
