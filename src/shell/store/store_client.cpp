#include <figslip/store/store_client.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <chrono>

namespace figslip::store {

namespace {

/// Maximum time to open a connection; a shorter call timeout takes precedence.
constexpr auto kConnectTimeout = std::chrono::milliseconds(400);

/// Maximum size of a response body; a page has about 1 MB.
constexpr std::size_t kMaxBodyBytes = 4 << 20;

/// Time for a body relative to the timeout of its call; a page takes longer
/// than its head on a slow link.
constexpr int kBodyTimeoutFactor = 2;
constexpr std::chrono::milliseconds kMinBodyTime{ 2'000 };

/// Timeout of a read at the end of the time for the body.
constexpr std::chrono::milliseconds kMinReadTime{ 1 };

constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

} // namespace

std::string_view
NameOf(ObjectKind aKind)
{
  switch (aKind) {
    case ObjectKind::Configuration:
      return "configuration";
    case ObjectKind::Upstreams:
      return "upstreams";
    case ObjectKind::Rollouts:
      return "rollouts";
    case ObjectKind::Drains:
      return "drains";
    case ObjectKind::Shared:
      return "shared";
  }
  return "";
}

StoreClient::StoreClient(const net::asio::any_io_executor& aExecutor,
                         net::Endpoint aEndpoint,
                         metrics::Registry& aMetrics,
                         std::string aCounter)
  : mExecutor(aExecutor)
  , mEndpoint(std::move(aEndpoint))
  , mMetrics(aMetrics)
  , mCounter(std::move(aCounter))
  , mPool(net::ConnectionPool::Options{})
{
}

net::Awaitable<CallResult>
StoreClient::Call(net::RequestMessage aRequest,
                  std::string aName,
                  Milliseconds aTimeout,
                  std::optional<Milliseconds> aResendAfter)
{
  aRequest.mHeaders.push_back(
    { .mName = "Host",
      .mValue = mEndpoint.mAddress + ":" + std::to_string(mEndpoint.mPort) });
  auto bytes = net::FormatRequest(aRequest);
  auto result = co_await Exchange(std::move(bytes), aTimeout, aResendAfter);
  const bool isBusy =
    result.mStatus == kTooManyRequests || result.mStatus == kUnavailable;
  if (isBusy) {
    result.mOutcome = CallOutcome::Unavailable;
    result.mReason = "status " + std::to_string(result.mStatus);
  }
  const std::string outcome = result.mOutcome == CallOutcome::Answered
                                ? std::to_string(result.mStatus)
                                : result.mReason;
  mMetrics.CounterOf(mCounter, { { "call", aName }, { "outcome", outcome } })
    .Add();
  co_return result;
}

net::Awaitable<CallResult>
StoreClient::Exchange(std::string aBytes,
                      Milliseconds aTimeout,
                      std::optional<Milliseconds> aResendAfter)
{
  const auto endpoint = mEndpoint;
  const auto pooled = mPool.Take(endpoint, std::chrono::seconds(60));
  if (!pooled) {
    co_return co_await ExchangeOnNew(std::move(aBytes), aTimeout);
  }
  const auto patience = std::min(aResendAfter.value_or(aTimeout), aTimeout);
  mInUse[pooled] = TimePoint{};
  auto result = co_await ExchangeOn(pooled, endpoint, aBytes, patience);
  const bool isSilent =
    result.mHasTimedOut && pooled->Head().mStatus == 0; // no head came
  if (!isSilent) {
    co_return result;
  }
  // the others that were idle may have fallen silent with it
  mPool.Drop(endpoint);
  if (patience < aTimeout) {
    const auto resentAt = ReadBootClock();
    result = co_await ExchangeOnNew(std::move(aBytes), aTimeout - patience);
    // a store that is slow on both connections shows nothing
    const bool isQuick = ReadBootClock() - resentAt < patience;
    if (result.mOutcome == CallOutcome::Answered && isQuick) {
      AbortCallsOnOlder(resentAt - patience);
    }
  }
  co_return result;
}

net::Awaitable<CallResult>
StoreClient::ExchangeOnNew(std::string aBytes, Milliseconds aTimeout)
{
  const auto openedAt = ReadBootClock();
  const auto endpoint = mEndpoint;
  const auto connection = std::make_shared<net::ClientConnection>(mExecutor);
  const auto opened = co_await connection->Connect(
    endpoint, std::min(Milliseconds(kConnectTimeout), aTimeout));
  if (opened != net::StepEnd::Done) {
    CallResult result;
    result.mReason = "connect: " + std::string(net::NameOf(opened));
    result.mHasTimedOut = opened == net::StepEnd::TimedOut;
    co_return result;
  }
  mInUse[connection] = openedAt;
  co_return co_await ExchangeOn(
    connection, endpoint, std::move(aBytes), aTimeout);
}

net::Awaitable<CallResult>
StoreClient::ExchangeOn(Connection aConnection,
                        net::Endpoint aEndpoint,
                        std::string aBytes,
                        Milliseconds aTimeout)
{
  CallResult result;
  result.mOutcome = CallOutcome::Unknown;
  aConnection->StartSend(std::move(aBytes));
  auto end = co_await aConnection->ReadHead(aTimeout);
  // one limit for the whole body: a store that sends a byte now and then must
  // not hold up the call for ever
  const auto bodyDeadline =
    std::chrono::steady_clock::now() +
    std::max(kMinBodyTime, kBodyTimeoutFactor * aTimeout);
  while (end == net::StepEnd::Done && !aConnection->BodyIsWhole()) {
    const auto left = std::chrono::duration_cast<Milliseconds>(
      bodyDeadline - std::chrono::steady_clock::now());
    end = co_await aConnection->ReadBody(std::max(kMinReadTime, left));
    result.mBody += aConnection->Piece();
    if (result.mBody.size() > kMaxBodyBytes) {
      aConnection->Abort();
      end = net::StepEnd::Oversized;
    }
  }
  mInUse.erase(aConnection);
  if (end != net::StepEnd::Done) {
    result.mReason = net::NameOf(end);
    result.mIsOversized = end == net::StepEnd::Oversized;
    result.mHasTimedOut = end == net::StepEnd::TimedOut;
    co_return result;
  }
  result.mOutcome = CallOutcome::Answered;
  result.mStatus = aConnection->Head().mStatus;
  result.mHeaders = aConnection->Head().mHeaders;
  mPool.Give(aEndpoint, aConnection);
  co_return result;
}

void
StoreClient::AbortCallsOnOlder(TimePoint aOpenedAt)
{
  for (const auto& [connection, openedAt] : mInUse) {
    if (openedAt < aOpenedAt) {
      connection->Abort();
    }
  }
}

void
StoreClient::SetEndpoint(net::Endpoint aEndpoint)
{
  mPool.Drop(mEndpoint);
  mEndpoint = std::move(aEndpoint);
}

} // namespace figslip::store
