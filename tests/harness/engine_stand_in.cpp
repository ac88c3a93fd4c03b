#include <harness/engine_stand_in.hpp>

#include <figslip/net/sleep.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <system_error>
#include <utility>

namespace figslip::test {

namespace {

/// Time from the start of a run to its first token.
constexpr auto kPrefillTime = std::chrono::milliseconds(20);

/// Time for which a crashed engine accepts no connection.
constexpr auto kCrashDowntime = std::chrono::milliseconds(400);

std::string
HeaderOf(const net::RequestMessage& aRequest, std::string_view aName)
{
  return std::string(net::FindHeader(aRequest.mHeaders, aName).value_or(""));
}

/// Keeps instances that are started later from holding the port open.
void
CloseOnExec(net::tcp::acceptor& aAcceptor)
{
  if (::fcntl(aAcceptor.native_handle(), F_SETFD, FD_CLOEXEC) != 0) {
    throw std::system_error(errno, std::generic_category(), "close on exec");
  }
}

} // namespace

EngineStandIn::EngineStandIn(std::string aId)
  : mId(std::move(aId))
  , mAcceptor(mContext, { net::asio::ip::make_address("127.0.0.1"), 0 })
  , mPort(mAcceptor.local_endpoint().port())
{
  CloseOnExec(mAcceptor);
  net::asio::co_spawn(mContext, Accept(), net::asio::detached);
  mThread = std::thread([this] { mContext.run(); });
}

EngineStandIn::~EngineStandIn()
{
  mContext.stop();
  mThread.join();
}

std::vector<net::RequestMessage>
EngineStandIn::Runs()
{
  const std::scoped_lock lock(mMutex);
  return mRuns;
}

void
EngineStandIn::HoldHeads(std::string aTargetPrefix)
{
  const std::scoped_lock lock(mMutex);
  mHeldPrefix = std::move(aTargetPrefix);
}

void
EngineStandIn::SetPauseAsked(std::string aText)
{
  const std::scoped_lock lock(mMutex);
  mPauseAsked = std::move(aText);
}

net::Header
EngineStandIn::PauseAsked()
{
  const std::scoped_lock lock(mMutex);
  return { .mName = "Retry-After", .mValue = mPauseAsked };
}

bool
EngineStandIn::IsHeld(const std::string& aTarget)
{
  const std::scoped_lock lock(mMutex);
  return !mHeldPrefix.empty() && aTarget.starts_with(mHeldPrefix);
}

void
EngineStandIn::AnswerRaw(std::optional<RawAnswer> aAnswer)
{
  const std::scoped_lock lock(mMutex);
  mRaw = std::move(aAnswer);
}

std::optional<RawAnswer>
EngineStandIn::RawAnswerTo(const std::string& aTarget)
{
  const std::scoped_lock lock(mMutex);
  const bool isMeant = mRaw && aTarget.starts_with(mRaw->mTargetPrefix);
  return isMeant ? mRaw : std::nullopt;
}

net::Awaitable<void>
EngineStandIn::SendRaw(RawAnswer aAnswer, std::string aAttempt, int aSocket)
{
  constexpr std::string_view kAttempt = "{id}";
  constexpr std::size_t kBlockBytes = 65'536;
  if (const auto at = aAnswer.mBegin.find(kAttempt); at != std::string::npos) {
    aAnswer.mBegin.replace(at, kAttempt.size(), aAttempt);
  }
  auto block = aAnswer.mRepeated;
  const bool isPaused = aAnswer.mPause > std::chrono::milliseconds::zero();
  while (!isPaused && !block.empty() && block.size() < kBlockBytes) {
    block += aAnswer.mRepeated;
  }
  // the connection keeps its own descriptor of the socket
  net::tcp::socket socket(mContext, net::tcp::v4(), ::dup(aSocket));
  net::error_code error;
  const auto begin = net::asio::buffer(aAnswer.mBegin);
  co_await net::asio::async_write(
    socket, begin, net::asio::redirect_error(net::asio::use_awaitable, error));
  while (!error && !block.empty()) {
    if (isPaused) {
      co_await net::Sleep(aAnswer.mPause);
    }
    const auto next = net::asio::buffer(block);
    co_await net::asio::async_write(
      socket, next, net::asio::redirect_error(net::asio::use_awaitable, error));
  }
  if (aAnswer.mResets) {
    // what was sent has arrived before the reset discards it
    co_await net::Sleep(std::chrono::milliseconds(20));
    // set without Asio, which clears its own linger option in the destructor
    const linger reset{ .l_onoff = 1, .l_linger = 0 };
    ::setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
}

net::Awaitable<bool>
EngineStandIn::AnswerEarly(int aSocket)
{
  const auto raw = RawAnswerTo({}); // the target is not known yet
  if (!raw || !raw->mIsEarly) {
    co_return false;
  }
  std::string head(4096, '\0');
  std::size_t end = std::string::npos;
  while (end == std::string::npos) {
    co_await net::Sleep(std::chrono::milliseconds(1));
    const auto read =
      ::recv(aSocket, head.data(), head.size(), MSG_PEEK | MSG_DONTWAIT);
    if (read == 0 || (read < 0 && errno != EAGAIN)) {
      co_return true;
    }
    end = std::string_view(head.data(), std::max<ssize_t>(read, 0))
            .find("\r\n\r\n");
  }
  constexpr std::string_view kField = "X-Attempt-Id: ";
  const auto at = head.find(kField) + kField.size();
  const auto attempt = head.substr(at, head.find("\r\n", at) - at);
  {
    const std::scoped_lock lock(mMutex);
    mRuns.push_back(
      { .mHeaders = { { .mName = "X-Attempt-Id", .mValue = attempt } } });
  }
  co_await SendRaw(*raw, attempt, aSocket);
  co_return true;
}

void
EngineStandIn::SetDeadlyParts(std::vector<std::string> aParts)
{
  const std::scoped_lock lock(mMutex);
  mDeadlyParts = std::move(aParts);
}

bool
EngineStandIn::IsDeadly(const net::RequestMessage& aRequest)
{
  const std::scoped_lock lock(mMutex);
  const auto prompt = "," + HeaderOf(aRequest, "X-Prompt-Prefix");
  return std::ranges::any_of(mDeadlyParts, [&](const auto& aPart) {
    return prompt.find("," + aPart + ":") != std::string::npos;
  });
}

net::Awaitable<void>
EngineStandIn::Crash()
{
  ++mCrashes;
  const auto endpoint = mAcceptor.local_endpoint();
  mAcceptor.close();
  for (const auto& connection : std::exchange(mConnections, {})) {
    if (const auto open = connection.lock()) {
      open->Abort();
    }
  }
  co_await net::Sleep(kCrashDowntime);
  mAcceptor = net::tcp::acceptor(mContext, endpoint);
  CloseOnExec(mAcceptor);
}

net::Awaitable<void>
EngineStandIn::Accept()
{
  while (true) {
    if (!mAcceptor.is_open()) {
      co_await net::Sleep(std::chrono::milliseconds(5));
      continue;
    }
    net::error_code error;
    net::tcp::socket socket(mContext);
    co_await mAcceptor.async_accept(
      socket, net::asio::redirect_error(net::asio::use_awaitable, error));
    if (!error) {
      const int descriptor = socket.native_handle();
      auto connection =
        std::make_shared<net::CallerConnection>(std::move(socket));
      mConnections.push_back(connection);
      net::asio::co_spawn(mContext,
                          Serve(std::move(connection), descriptor),
                          net::asio::detached);
    }
  }
}

net::Awaitable<void>
EngineStandIn::Serve(Connection aConnection, int aSocket)
{
  ingress::CallerLimits limits;
  limits.mIdleTimeout = std::chrono::seconds(30);
  const bool isAnswered = co_await AnswerEarly(aSocket);
  bool goesOn = !isAnswered;
  while (goesOn) {
    const auto end = co_await aConnection->Read(limits);
    if (end != net::ReadEnd::Whole) {
      break;
    }
    goesOn = co_await Answer(aConnection, aSocket);
  }
  aConnection->Abort();
}

net::Awaitable<bool>
EngineStandIn::Answer(Connection aConnection, int aSocket)
{
  const auto& request = aConnection->Request();
  const auto behaviour = mBehaviour.load();
  ++mArrivals;
  const bool isOther = HeaderOf(request, "X-Expected-Instance") != mId;
  const bool refuses =
    behaviour == Behaviour::Refuse || behaviour == Behaviour::RefuseAndPause;
  if (isOther || refuses) {
    auto headers = OwnHeaders();
    headers.push_back({ .mName = "X-Not-Executed", .mValue = "1" });
    headers.push_back(
      { .mName = "X-Attempt-Id", .mValue = HeaderOf(request, "X-Attempt-Id") });
    if (!isOther && behaviour == Behaviour::RefuseAndPause) {
      headers.push_back(PauseAsked());
    }
    const unsigned status = isOther ? 421 : 503;
    co_return co_await aConnection->Respond(status, headers, "", false);
  }
  if (behaviour == Behaviour::TurnAway) {
    auto headers = OwnHeaders();
    headers.push_back(
      { .mName = "X-Attempt-Id", .mValue = HeaderOf(request, "X-Attempt-Id") });
    headers.push_back(
      { .mName = "X-Response-Signature", .mValue = "signed-by-" + mId });
    headers.push_back(PauseAsked());
    co_return co_await aConnection->Respond(503, headers, "busy", false);
  }
  {
    const std::scoped_lock lock(mMutex);
    mRuns.push_back(request);
  }
  if (IsDeadly(request)) {
    co_await net::Sleep(kPrefillTime);
    if (mAcceptor.is_open()) {
      net::asio::co_spawn(
        mContext, Crash(), [](const std::exception_ptr& aError) {
          if (aError) {
            std::rethrow_exception(aError);
          }
        });
    }
    co_return false;
  }
  if (auto raw = RawAnswerTo(request.mTarget)) {
    co_await SendRaw(
      std::move(*raw), HeaderOf(request, "X-Attempt-Id"), aSocket);
    co_return false;
  }
  if (behaviour == Behaviour::RunAndVanish) {
    co_return false;
  }
  if (behaviour == Behaviour::Hang) {
    co_await net::Sleep(std::chrono::seconds(20));
    co_return false;
  }
  const auto attempt = behaviour == Behaviour::WrongRequest
                         ? std::string("another")
                         : HeaderOf(request, "X-Attempt-Id");
  while (IsHeld(request.mTarget)) {
    co_await net::Sleep(std::chrono::milliseconds(5));
  }
  auto headers = OwnHeaders();
  headers.push_back({ .mName = "X-Attempt-Id", .mValue = attempt });
  headers.push_back(
    { .mName = "X-Response-Signature", .mValue = "signed-by-" + mId });
  if (const int confidence = mConfidence; confidence >= 0) {
    headers.push_back(
      { .mName = "X-Confidence", .mValue = std::to_string(confidence) });
  }
  if (behaviour == Behaviour::Fail) {
    co_return co_await aConnection->Respond(500, headers, "failed", false);
  }
  if (request.mTarget.starts_with("/chat/")) {
    co_return co_await Stream(aConnection, std::move(headers));
  }
  const std::string body = "answer to " + attempt;
  co_return co_await aConnection->Respond(200, headers, body, false);
}

net::Headers
EngineStandIn::OwnHeaders() const
{
  net::Headers headers;
  if (mIsLeaving) {
    headers.push_back({ .mName = "Server-Leaving", .mValue = "1" });
  }
  return headers;
}

net::Awaitable<bool>
EngineStandIn::Stream(Connection aConnection, net::Headers aHeaders)
{
  const auto first =
    std::atoi(HeaderOf(aConnection->Request(), "Last-Event-Id").c_str()) + 1;
  aHeaders.push_back(
    { .mName = "Content-Type", .mValue = "text/event-stream" });
  bool isSent = co_await aConnection->BeginStream(200, aHeaders, "", false);
  for (int event = first; isSent && event <= kEvents; ++event) {
    co_await net::Sleep(mPause.load());
    if (event == 3 && mBehaviour.load() == Behaviour::SilentMidway) {
      co_await net::Sleep(std::chrono::seconds(20));
      co_return false;
    }
    std::string text = "id: " + std::to_string(event) + "\ndata: token\n\n";
    const bool breaks =
      event == 3 && mBehaviour.load() == Behaviour::BreakMidway;
    if (breaks) {
      text.resize(text.size() / 2);
    }
    isSent = co_await aConnection->SendPiece(text);
    if (breaks) {
      co_return false;
    }
  }
  if (isSent) {
    isSent = co_await aConnection->EndStream();
  }
  co_return isSent;
}

} // namespace figslip::test
