#include <figslip/gateway/slot_queue.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <exception>
#include <ranges>
#include <utility>
#include <vector>

namespace figslip::gateway {

namespace {

using std::chrono::milliseconds;

/// Interval at which waiting requests are tried without an event, and refused
/// if they are expected to wait for too long.
constexpr auto kTickInterval = milliseconds(10);

/// Interval of the log lines on waiting requests.
constexpr auto kLogInterval = std::chrono::seconds(1);

/// Maximum number of waiting requests. It bounds the work of a tick, which
/// looks at each of them; their expected waits end most backlogs earlier.
constexpr std::size_t kMaxWaiting = 2'000;

/// Least time until a caller comes back; as without an estimate, see
/// `RequestEnd::NoCapacity`.
constexpr auto kMinRetryAfter = milliseconds(400);

/// Weight of the newest expected time to the first event in their mean, which
/// thus covers about the last eight requests.
constexpr int kFirstEventDivisor = 8;

std::string
FormatSeconds(Duration aTime)
{
  return std::to_string(std::chrono::duration<double>(aTime).count());
}

std::string
FormatMilliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<milliseconds>(aTime).count());
}

} // namespace

SlotQueue::SlotQueue(metrics::Registry& aMetrics, Options aOptions)
  : mMetrics(aMetrics)
  , mOptions(std::move(aOptions))
  , mQueue({ .mMaxWaiting = kMaxWaiting,
             .mMaxBytes = mOptions.mMaxBytes,
             .mMinRetryAfter = kMinRetryAfter,
             .mIsOverShare = mOptions.mIsOverShare })
{
}

Duration
SlotQueue::ExpectedFirstEvent(std::string_view aService) const
{
  const auto found = mFirstEvents.find(aService);
  return found == mFirstEvents.end() ? Duration::zero() : found->second;
}

void
SlotQueue::OnPlanned(const std::string& aService, Duration aTimeToFirstEvent)
{
  auto& mean =
    mFirstEvents.try_emplace(aService, aTimeToFirstEvent).first->second;
  mean += (aTimeToFirstEvent - mean) / kFirstEventDivisor;
}

net::Awaitable<SlotQueue::Outcome>
SlotQueue::Wait(Request aRequest)
{
  const auto waiting = std::make_shared<Waiting>();
  waiting->mRequest = std::move(aRequest);
  const auto& request = waiting->mRequest;
  net::asio::steady_timer timer(request.mExecutor,
                                net::asio::steady_timer::time_point::max());
  waiting->mTimer = &timer;
  const auto ticket = request.mOffered.mQueued.mTicket;
  const auto offered = mQueue.Offer(request.mOffered, ReadBootClock());
  for (const auto& refusal : offered.mEvicted) {
    Refuse(refusal);
  }
  Outcome outcome;
  if (offered.mRefusal) {
    LogRefusal(request.mOffered, request.mAttemptId, *offered.mRefusal);
    outcome.mEnd = WaitEnd::Refused;
    outcome.mRetryAfter = offered.mRefusal->mRetryAfter;
    co_return outcome;
  }
  mWaiting.emplace(ticket, waiting);
  StartTicks(request.mExecutor);
  OnCapacityChange();
  net::error_code ignored; // the timer only ends by cancellation
  while (!waiting->mEnd) {
    co_await timer.async_wait(
      net::asio::redirect_error(net::asio::use_awaitable, ignored));
  }
  outcome.mEnd = waiting->mEnd.value_or(WaitEnd::PlanAgain);
  outcome.mArrival = offered.mArrival;
  outcome.mRetryAfter = waiting->mRetryAfter;
  co_return outcome;
}

std::optional<Duration>
SlotQueue::RefuseDirect(const admission::OfferedRequest& aRequest,
                        const std::string& aAttemptId,
                        TimePoint aNow)
{
  const auto refusal = mQueue.RefuseDirect(aRequest, aNow);
  if (!refusal) {
    return std::nullopt;
  }
  LogRefusal(aRequest, aAttemptId, *refusal);
  return refusal->mRetryAfter;
}

void
SlotQueue::End(routing::TicketId aTicket, WaitEnd aEnd)
{
  const auto node = mWaiting.extract(aTicket);
  if (node.empty()) {
    return;
  }
  const auto& waiting = node.mapped();
  waiting->mEnd = aEnd;
  waiting->mRequest.mTry = nullptr; // it refers to the waiting request
  waiting->mTimer->cancel();
}

void
SlotQueue::EndAll(WaitEnd aEnd)
{
  for (const auto ticket : mQueue.Tickets()) {
    mQueue.Remove(ticket);
    End(ticket, aEnd);
  }
}

void
SlotQueue::Cancel(routing::TicketId aTicket)
{
  if (mQueue.Remove(aTicket)) {
    End(aTicket, WaitEnd::PlanAgain);
  }
}

void
SlotQueue::ReplanAll()
{
  EndAll(WaitEnd::PlanAgain);
}

void
SlotQueue::Refuse(const admission::Refusal& aRefusal)
{
  const auto& waiting = mWaiting.at(aRefusal.mTicket);
  const auto& request = waiting->mRequest;
  LogRefusal(request.mOffered, request.mAttemptId, aRefusal);
  waiting->mRetryAfter = aRefusal.mRetryAfter;
  End(aRefusal.mTicket, WaitEnd::Refused);
}

void
SlotQueue::LogRefusal(const admission::OfferedRequest& aRequest,
                      const std::string& aAttemptId,
                      const admission::Refusal& aRefusal) const
{
  const std::string reason(admission::NameOf(aRefusal.mReason));
  mMetrics
    .CounterOf("figslip_queue_refused_total",
               { { "service", aRequest.mService }, { "reason", reason } })
    .Add();
  const auto wait = aRefusal.mExpectedWait;
  log::Write(log::Level::Info,
             "queue_refused",
             { { "request", aAttemptId },
               { "service", aRequest.mService },
               { "account", aRequest.mQueued.mAccount },
               { "reason", reason },
               // empty: no estimate
               { "expected_wait_ms", wait ? FormatMilliseconds(*wait) : "" },
               { "retry_after_s", FormatSeconds(aRefusal.mRetryAfter) },
               { "waiting", std::to_string(mQueue.Size()) },
               { "largest_account", aRefusal.mLargestAccount } });
}

void
SlotQueue::Admit()
{
  std::map<routing::TicketId, WaitEnd> ends;
  const auto admit = [&](const admission::QueuedRequest& aRequest) {
    const auto result = mWaiting.at(aRequest.mTicket)->mRequest.mTry();
    ends[aRequest.mTicket] = result == admission::AdmissionResult::Admitted
                               ? WaitEnd::Admitted
                               : WaitEnd::PlanAgain;
    return result;
  };
  for (const auto ticket : mQueue.Admit(admit, ReadBootClock())) {
    End(ticket, ends.at(ticket));
  }
}

void
SlotQueue::OnCapacityChange()
{
  if (mWaiting.empty() || mIsAdmissionPosted) {
    return;
  }
  mIsAdmissionPosted = true;
  net::asio::post(mExecutor, [this] {
    mIsAdmissionPosted = false;
    Admit();
  });
}

void
SlotQueue::StartTicks(const net::asio::any_io_executor& aExecutor)
{
  if (mIsTicking) {
    return;
  }
  mIsTicking = true;
  mExecutor = aExecutor;
  net::asio::co_spawn(
    aExecutor, RunTicks(), [](const std::exception_ptr& aError) {
      if (aError) {
        std::rethrow_exception(aError);
      }
    });
}

net::Awaitable<void>
SlotQueue::RunTicks()
{
  while (!mWaiting.empty()) {
    co_await net::Sleep(kTickInterval);
    OnTick();
  }
  mIsTicking = false;
}

void
SlotQueue::OnTick()
{
  const auto now = ReadBootClock();
  if (mOptions.mIsStopping && mOptions.mIsStopping()) {
    EndAll(WaitEnd::Stopping);
  }
  for (const auto& refusal : mQueue.RefuseUnmeetable(now)) {
    Refuse(refusal);
  }
  Admit();
  UpdateGauges();
  if (now - mLoggedAt >= kLogInterval) {
    mLoggedAt = now;
    LogBacklogs(now);
  }
}

void
SlotQueue::LogBacklogs(TimePoint aNow)
{
  for (const auto& backlog : mQueue.PopBacklogs(aNow)) {
    std::string accounts;
    for (const auto& [account, waiting] : backlog.mLargest) {
      accounts += accounts.empty() ? "" : ",";
      accounts += account + ":" + std::to_string(waiting);
    }
    log::Write(
      log::Level::Info,
      "queue_state",
      { { "service", backlog.mService },
        { "waiting", std::to_string(backlog.mWaiting) },
        { "accounts", accounts },
        { "bytes", std::to_string(mQueue.Bytes()) },
        { "admitted_per_s", std::to_string(backlog.mAdmittedPerSecond) } });
  }
}

void
SlotQueue::UpdateGauges()
{
  for (const auto& [service, waiting] : mQueue.WaitingByService()) {
    mMetrics.GaugeOf("figslip_queue_waiting", { { "service", service } })
      .Set(static_cast<double>(waiting));
  }
}

} // namespace figslip::gateway
