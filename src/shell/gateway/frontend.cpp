#include <figslip/gateway/frontend.hpp>
#include <figslip/handover/ticket.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/listener.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>

namespace figslip::gateway {

namespace {

using std::chrono::milliseconds;

/// Interval at which a shutdown checks for open requests.
constexpr auto kDrainPollInterval = milliseconds(50);

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kTimeout = 408;
constexpr unsigned kBodyTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;

/// Limits of requests for readiness and metrics: no body, and a head that load
/// balancers and collectors of metrics do not exceed.
constexpr ingress::CallerLimits kProbeLimits{ .mMaxHeaderBytes = 8'192,
                                              .mMaxBodyBytes = 0 };

/// Time after which a request comes back that found no memory, seconds. Those
/// that hold it without progress have yielded by then.
constexpr std::string_view kMemoryRetryAfter = "1";

unsigned
StatusOf(net::ReadEnd aEnd)
{
  switch (aEnd) {
    case net::ReadEnd::HeaderTooLarge:
      return kHeaderTooLarge;
    case net::ReadEnd::BodyTooLarge:
      return kBodyTooLarge;
    case net::ReadEnd::TooSlow:
      return kTimeout;
    case net::ReadEnd::Yielded:
      return kUnavailable;
    case net::ReadEnd::Whole:
    case net::ReadEnd::Closed:
    case net::ReadEnd::BadRequest:
      break;
  }
  return kBadRequest;
}

/// Room for the header with the ticket of a request that is handed over, beyond
/// the limits on callers' requests: its fields, and the id of an event.
constexpr std::size_t kMaxTicketBytes = 1'024;

/// Removes the ticket from a request.
/// @return nothing if it has none, or one that cannot be read
std::optional<handover::Ticket>
TakeTicket(net::RequestMessage& aRequest)
{
  const auto text = net::FindHeader(aRequest.mHeaders, handover::kTicketHeader);
  auto ticket = handover::ParseTicket(text.value_or(""));
  if (!ticket) {
    log::Write(
      log::Level::Warning,
      "hand_over_unreadable",
      { { "findings", error::JoinMessages(ticket.assume_error(), "; ") } });
    return std::nullopt;
  }
  std::erase_if(aRequest.mHeaders, [](const net::Header& aHeader) {
    return net::EqualNames(aHeader.mName, handover::kTicketHeader);
  });
  return std::move(ticket).assume_value();
}

ingress::CallerLimits
CurrentLimits(const TrafficState& aState)
{
  return aState.mConfiguration ? aState.mConfiguration->Content().mLimits
                               : ingress::CallerLimits{};
}

} // namespace

Frontend::Frontend(net::asio::io_context& aContext, TrafficState& aState)
  : mContext(aContext)
  , mState(aState)
{
}

Frontend::Budget
Frontend::MakeBudget(const std::string& aPlace,
                     admission::ConnectionBudget::Options aOptions)
{
  aOptions.mOnYielded =
    [this, aPlace](const admission::YieldedConnection& aConnection) {
      OnYielded(aPlace, aConnection);
    };
  return std::make_shared<admission::ConnectionBudget>(std::move(aOptions));
}

void
Frontend::OnYielded(const std::string& aPlace,
                    const admission::YieldedConnection& aConnection)
{
  const std::string phase(aConnection.mIsNew ? "new"
                                             : NameOf(aConnection.mPhase));
  const std::string shortage(NameOf(aConnection.mShortage));
  mState.mMetrics
    .CounterOf(
      "figslip_connections_yielded_total",
      { { "place", aPlace }, { "phase", phase }, { "short_of", shortage } })
    .Add();
  log::Write(log::Level::Warning,
             "connection_yielded",
             { { "place", aPlace },
               { "phase", phase },
               { "short_of", shortage },
               { "address", aConnection.mAddress },
               { "bytes", std::to_string(aConnection.mBytes) } });
}

Result<void>
Frontend::Start()
{
  const auto& settings = mState.mSettings;
  const auto limits = admission::DivideConnectionLimits(
    settings.mMemoryMb, settings.mMaxDescriptors, settings.mCallerMemoryShare);
  const auto callers =
    MakeBudget("callers",
               { .mMaxBytes = limits.mCallerBytes,
                 .mMaxDescriptors = limits.mCallerDescriptors,
                 .mMaxConnections = limits.mCallerConnections,
                 .mCountPooled =
                   [this] {
                     return static_cast<int>(mState.mPool.Size() +
                                             mState.mPeerPool.Size());
                   },
                 .mClosePooled =
                   [this] {
                     auto& pool = mState.mPool.Size() > 0 ? mState.mPool
                                                          : mState.mPeerPool;
                     pool.DropOldest();
                   } });
  const admission::ConnectionBudget::Options probes{
    .mMaxBytes = limits.mProbeBytes, .mMaxDescriptors = limits.mProbeDescriptors
  };
  error::Findings findings;
  const auto listen = [&](const net::Endpoint& aEndpoint,
                          int aBacklog,
                          Budget aBudget,
                          Handler aServe) {
    auto started = net::Listen(mContext,
                               aEndpoint,
                               aBacklog,
                               std::move(aBudget),
                               [this, aServe](Connection aConnection) {
                                 return (this->*aServe)(std::move(aConnection));
                               });
    if (!started) {
      std::ranges::move(started.assume_error(), std::back_inserter(findings));
    }
  };
  listen(settings.mCallers, limits.mBacklog, callers, &Frontend::ServeCaller);
  if (settings.mHandOver) {
    listen(
      *settings.mHandOver, limits.mBacklog, callers, &Frontend::ServeInstance);
  }
  listen(settings.mReadiness,
         limits.mBacklog,
         MakeBudget("readiness", probes),
         &Frontend::ServeReadiness);
  listen(settings.mMetrics,
         limits.mBacklog,
         MakeBudget("metrics", probes),
         &Frontend::ServeMetrics);
  if (!findings.empty()) {
    return outcome::failure(std::move(findings));
  }
  return outcome::success();
}

net::Awaitable<void>
Frontend::ServeCaller(Connection aConnection)
{
  return ServeRequests(std::move(aConnection), Origin::Caller);
}

net::Awaitable<void>
Frontend::ServeInstance(Connection aConnection)
{
  return ServeRequests(std::move(aConnection), Origin::Instance);
}

net::Awaitable<void>
Frontend::ServeRequests(Connection aConnection, Origin aOrigin)
{
  mCallers.insert(aConnection);
  aConnection->SetStreamTimeout(mState.mSettings.mUnreadStreamTimeout);
  bool goesOn = true;
  bool hasLeft = false;
  while (goesOn) {
    auto limits = CurrentLimits(mState);
    if (aOrigin == Origin::Instance) {
      limits.mMaxHeaderBytes += kMaxTicketBytes;
    }
    auto end = co_await aConnection->Read(limits);
    if (end == net::ReadEnd::Whole && !aConnection->BeginRun()) {
      end = net::ReadEnd::Yielded; // it has not run
    }
    std::optional<handover::Ticket> ticket;
    if (end == net::ReadEnd::Whole && aOrigin == Origin::Instance) {
      ticket = TakeTicket(aConnection->Request());
      end = ticket ? end : net::ReadEnd::BadRequest;
    }
    if (end == net::ReadEnd::Whole) {
      const auto flow =
        std::make_shared<RequestFlow>(mState, aConnection, ticket);
      mFlows.insert(flow);
      goesOn = co_await flow->Run();
      mFlows.erase(flow);
      hasLeft = aConnection->HasLeft();
      continue;
    }
    goesOn = false;
    hasLeft = end == net::ReadEnd::Closed;
    if (!hasLeft) {
      co_await RespondToReadError(aConnection, end, aOrigin);
    }
  }
  mCallers.erase(aConnection);
  if (aConnection->HasStalled()) {
    mState.mMetrics.CounterOf("figslip_callers_stalled_total", {}).Add();
    log::Write(log::Level::Info, "caller_stalled", {});
  }
  if (hasLeft) {
    aConnection->Abort();
  } else {
    co_await aConnection->CloseGracefully();
  }
}

net::Awaitable<void>
Frontend::RespondToReadError(Connection aConnection,
                             net::ReadEnd aEnd,
                             Origin aOrigin)
{
  const auto status = StatusOf(aEnd);
  mState.mMetrics
    .CounterOf("figslip_unread_requests_total",
               { { "status", std::to_string(status) } })
    .Add();
  log::Write(log::Level::Info,
             "request_unread",
             { { "status", std::to_string(status) } });
  net::Headers headers;
  if (aEnd == net::ReadEnd::Yielded) {
    headers.push_back(
      { .mName = "Retry-After", .mValue = std::string(kMemoryRetryAfter) });
    if (aOrigin == Origin::Instance) {
      headers.push_back(
        { .mName = std::string(handover::kOutcomeHeader),
          .mValue = std::string(Describe(RequestEnd::Busy).mName) });
    }
  }
  co_await aConnection->Respond(status, headers, "", true);
}

net::Awaitable<void>
Frontend::ServeReadiness(Connection aConnection)
{
  while (true) {
    const auto end = co_await aConnection->Read(kProbeLimits);
    if (end != net::ReadEnd::Whole) {
      if (end != net::ReadEnd::Closed) {
        co_await RespondToReadError(aConnection, end);
        co_await aConnection->CloseGracefully();
      }
      break;
    }
    const unsigned status = mState.IsReady() ? kOk : kUnavailable;
    const net::Headers headers;
    const bool isSent =
      co_await aConnection->Respond(status, headers, "", false);
    if (!isSent || !aConnection->KeepsAlive()) {
      break;
    }
  }
  aConnection->Abort();
}

net::Awaitable<void>
Frontend::ServeMetrics(Connection aConnection)
{
  const auto end = co_await aConnection->Read(kProbeLimits);
  if (end == net::ReadEnd::Whole) {
    const net::Headers headers = { { .mName = "Content-Type",
                                     .mValue = "text/plain; version=0.0.4" } };
    const auto text = mState.mMetrics.Print();
    co_await aConnection->Respond(kOk, headers, text, true);
  } else if (end != net::ReadEnd::Closed) {
    co_await RespondToReadError(aConnection, end);
  }
  co_await aConnection->CloseGracefully();
}

net::Awaitable<void>
Frontend::Stop()
{
  const admission::DrainPlan plan(
    { .mBegunAt = ReadBootClock(), .mGrace = mState.mSettings.mGrace });
  mState.mDrain = plan;
  mState.mRollouts.OnStopping(ReadBootClock());
  log::Write(log::Level::Info,
             "stopping",
             { { "open_requests", std::to_string(mState.mOpenRequests) },
               { "connections", std::to_string(mCallers.size()) } });
  co_await net::Sleep(plan.RefusesFrom() - ReadBootClock());
  // no further requests are taken, so that all sessions are known
  mState.mRollouts.OnStopping(ReadBootClock());
  co_await Drain(plan);
  log::Write(log::Level::Info,
             "stopped",
             { { "open_requests", std::to_string(mState.mOpenRequests) } });
  mContext.stop();
}

net::Awaitable<void>
Frontend::Drain(admission::DrainPlan aPlan)
{
  bool isInterrupted = false;
  bool wasQuiet = false;
  while (ReadBootClock() < aPlan.ExitsAt()) {
    const auto callers = mCallers;
    for (const auto& caller : callers) {
      caller->CloseIfIdle();
    }
    // bytes that arrived since the last check may not have been seen yet
    const bool isQuiet = mState.mOpenRequests == 0 && !IsReading();
    if (isQuiet && wasQuiet) {
      co_return;
    }
    wasQuiet = isQuiet;
    if (!isInterrupted && ReadBootClock() >= aPlan.EndsAt()) {
      isInterrupted = true;
      InterruptRequests();
    }
    co_await net::Sleep(kDrainPollInterval);
  }
}

bool
Frontend::IsReading() const
{
  return std::ranges::any_of(
    mCallers, [](const Connection& aCaller) { return aCaller->IsReading(); });
}

void
Frontend::InterruptRequests()
{
  log::Write(log::Level::Warning,
             "requests_interrupted",
             { { "open_requests", std::to_string(mState.mOpenRequests) } });
  const auto flows = mFlows;
  for (const auto& flow : flows) {
    flow->Interrupt();
  }
}

} // namespace figslip::gateway
