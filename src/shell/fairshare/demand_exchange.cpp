#include <figslip/fairshare/demand_exchange.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/listener.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace figslip::fairshare {

namespace {

using std::chrono::milliseconds;

/// Time between two rounds. A report reaches a hundred instances in four
/// rounds, before its lifetime of six rounds ends. Half of the spread is added
/// or subtracted, so that instances do not send at the same time.
constexpr auto kRoundInterval = milliseconds(500);
constexpr auto kRoundSpread = milliseconds(100);

/// Calls that may run at the same time: those of a round, and those of the
/// round before if their answers come slowly.
constexpr std::size_t kMaxCalls = 4;

/// Timeout of a call, shorter than a round.
constexpr auto kCallTimeout = milliseconds(400);

/// Connections of other instances that are served at the same time. Each
/// instance is asked by two others in a round on average.
constexpr int kMaxConnections = 32;

constexpr std::size_t kMaxHeaderBytes = 4'096;
constexpr Duration kRequestTimeout = std::chrono::seconds(1);

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;

constexpr const char* kTarget = "/v1/demand";

ingress::CallerLimits
PushLimits()
{
  return { .mMaxHeaderBytes = kMaxHeaderBytes,
           .mMaxBodyBytes = kMaxMessageBytes,
           .mHeaderTimeout = kRequestTimeout,
           .mIdleTimeout = kRequestTimeout };
}

} // namespace

DemandExchange::DemandExchange(net::asio::io_context& aContext,
                               FairShares& aShares,
                               metrics::Registry& aMetrics,
                               net::Endpoint aEndpoint)
  : mContext(aContext)
  , mShares(aShares)
  , mMetrics(aMetrics)
  , mEndpoint(std::move(aEndpoint))
  , mRandom(std::random_device{}())
{
  std::generate_n(std::back_inserter(mCallers), kMaxCalls, [&] {
    return std::make_unique<Caller>(Caller{
      .mClient = store::StoreClient(
        aContext.get_executor(), {}, aMetrics, "figslip_demand_calls_total") });
  });
}

Result<void>
DemandExchange::Start(const admission::ConnectionLimits& aLimits)
{
  const auto budget = std::make_shared<admission::ConnectionBudget>(
    admission::ConnectionBudget::Options{ .mMaxBytes = aLimits.mPeerBytes,
                                          .mMaxDescriptors =
                                            aLimits.mPeerDescriptors,
                                          .mRunDescriptors = 0,
                                          .mOnYielded = {} });
  auto started = net::Listen(
    mContext,
    mEndpoint,
    aLimits.mBacklog,
    budget,
    [this](Connection aConnection) { return Serve(std::move(aConnection)); });
  if (started) {
    net::asio::co_spawn(mContext, Run(), net::asio::detached);
  }
  return started;
}

net::Awaitable<void>
DemandExchange::Run()
{
  std::uniform_int_distribution<milliseconds::rep> spread(
    -kRoundSpread.count() / 2, kRoundSpread.count() / 2);
  while (true) {
    const auto pause = kRoundInterval + milliseconds(spread(mRandom));
    co_await net::Sleep(pause);
    if (mShares.IsExchangeDue(ReadBootClock())) {
      StartRound();
    }
  }
}

void
DemandExchange::StartRound()
{
  for (const auto& peer : mShares.ChoosePartners(mRandom, ReadBootClock())) {
    const auto caller = std::ranges::find_if(
      mCallers, [](const auto& aCaller) { return !aCaller->mIsBusy; });
    if (caller == mCallers.end()) {
      mMetrics
        .CounterOf("figslip_demand_calls_total",
                   { { "call", "push" }, { "outcome", "no free caller" } })
        .Add();
      return;
    }
    (*caller)->mIsBusy = true;
    net::asio::co_spawn(mContext, Ask(**caller, peer), net::asio::detached);
  }
}

net::Awaitable<void>
DemandExchange::Ask(Caller& aCaller, membership::InstanceLocation aPeer)
{
  const auto sentAt = ReadBootClock();
  const auto push = mShares.MakePush(sentAt, aPeer);
  net::RequestMessage request{ .mMethod = "POST",
                               .mTarget = kTarget,
                               .mHeaders = {},
                               .mBody = EncodePush(push) };
  const auto& address = aPeer.mAddress;
  aCaller.mClient.SetEndpoint(
    { .mAddress = address.substr(0, address.rfind(':')),
      .mPort = mEndpoint.mPort });
  const auto result =
    co_await aCaller.mClient.Call(std::move(request), "push", kCallTimeout);
  aCaller.mIsBusy = false;
  // calls that failed are counted by the client; the next round asks others
  if (result.mOutcome != store::CallOutcome::Answered ||
      result.mStatus != kOk) {
    co_return;
  }
  auto answer = DecodeAnswer(result.mBody);
  if (!answer) {
    log::Write(log::Level::Warning,
               "demand_message_unreadable",
               { { "peer", address },
                 { "findings", error::JoinMessages(answer.assume_error()) } });
    co_return;
  }
  // ages count from the sending of the push: a slow answer makes reports seem
  // older than they are, never newer
  Merge(std::move(answer.assume_value().mReports), sentAt);
}

net::Awaitable<void>
DemandExchange::Serve(Connection aConnection)
{
  const bool isServed = mConnections < kMaxConnections;
  if (!isServed) {
    log::Write(log::Level::Warning,
               "demand_connection_refused",
               { { "connections", std::to_string(mConnections) } });
    aConnection->Abort();
    co_return;
  }
  ++mConnections;
  bool goesOn = true;
  while (goesOn) {
    goesOn = co_await ServeOne(aConnection);
  }
  --mConnections;
  aConnection->Abort();
}

net::Awaitable<bool>
DemandExchange::ServeOne(Connection aConnection)
{
  const auto end = co_await aConnection->Read(PushLimits());
  if (end != net::ReadEnd::Whole || !aConnection->BeginRun()) {
    co_return false;
  }
  const auto now = ReadBootClock();
  auto push = DecodePush(aConnection->Request().mBody);
  if (!push) {
    log::Write(log::Level::Warning,
               "demand_message_unreadable",
               { { "peer", "" },
                 { "findings", error::JoinMessages(push.assume_error()) } });
    const net::Headers none;
    co_await aConnection->Respond(kBadRequest, none, "", true);
    co_return false;
  }
  auto& message = push.assume_value();
  const auto answer = mShares.AnswerTo(message, now);
  Merge(std::move(message.mReports), now);
  const auto body = EncodeAnswer(answer);
  const net::Headers headers = {
    { .mName = "Content-Type",
      .mValue = "application/vnd.apache.thrift.compact" }
  };
  const bool isSent = co_await aConnection->Respond(kOk, headers, body, false);
  co_return isSent && aConnection->KeepsAlive();
}

void
DemandExchange::Merge(std::vector<AgedReport> aReports, TimePoint aReceivedAt)
{
  const auto outcomes =
    mShares.Merge(std::move(aReports), aReceivedAt, ReadBootClock());
  for (const auto& [outcome, name] : kReportOutcomes) {
    const auto count = outcomes.find(outcome);
    if (count != outcomes.end()) {
      mMetrics
        .CounterOf("figslip_demand_reports_total",
                   { { "outcome", std::string(name) } })
        .Add(static_cast<std::uint64_t>(count->second));
    }
  }
}

} // namespace figslip::fairshare
