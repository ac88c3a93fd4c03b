#include <figslip/gateway/crash_check.hpp>
#include <figslip/gateway/request_flow.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <chrono>

namespace figslip::gateway {

namespace {

using placement::AttemptHealth;
using std::chrono::milliseconds;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstServerError = 500;

/// Bounds on the time to open a connection to an upstream, and the part of the
/// target latency that it may take, so that another upstream can answer in
/// time.
constexpr Duration kShortestConnectLimit = milliseconds(40);
constexpr Duration kLongestConnectLimit = milliseconds(300);
constexpr double kConnectPart = 0.33;

/// Idle time after which a kept connection is not used for a request that may
/// run only once, as a reset leaves open whether it ran.
constexpr auto kOnceMaxIdle = milliseconds(500);
constexpr auto kRepeatMaxIdle = std::chrono::seconds(30);

/// Longest body of a plain answer that is buffered, bytes.
constexpr std::size_t kMaxWholeBytes = 16 << 20;

/// A first event is late after this multiple of the expected time, and this
/// time more.
constexpr int kFirstEventFactor = 5;
constexpr auto kFirstEventSlack = milliseconds(600);

/// Parts of the target latency and the target gap after which another upstream
/// is asked; what is left is to be enough for its answer to be in time.
constexpr double kPlainLatePart = 0.6;
constexpr double kPausePart = 0.72;

/// Crashes after which a request is kept from all upstreams.
constexpr int kMaxCrashes = 2;

milliseconds
ToMs(Duration aTime)
{
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(aTime));
}

Duration
Times(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

net::Awaitable<RequestFlow::Next>
RequestFlow::RunAttempt(Attempt& aAttempt)
{
  const auto next = co_await Exchange(aAttempt);
  mCurrent.reset();
  mState.mBoard.Release(aAttempt.mLoad);
  if (aAttempt.mIsSent) {
    mState.mRollouts.OnEnded(mSession, ReadBootClock());
  }
  co_return next;
}

milliseconds
RequestFlow::ConnectLimit() const
{
  return ToMs(std::clamp(Times(mRoute->mTargetLatency, kConnectPart),
                         kShortestConnectLimit,
                         kLongestConnectLimit));
}

net::Awaitable<bool>
RequestFlow::Open(Attempt& aAttempt)
{
  const net::Endpoint endpoint{ .mAddress = aAttempt.mUpstream.mAddress,
                                .mPort = aAttempt.mUpstream.mPort };
  const net::ConnectionPool::Clock::duration maxIdle =
    mRoute->IsRetryable() ? net::ConnectionPool::Clock::duration(kRepeatMaxIdle)
                          : net::ConnectionPool::Clock::duration(kOnceMaxIdle);
  aAttempt.mConnection = mState.mPool.Take(endpoint, maxIdle);
  if (aAttempt.mConnection) {
    mCurrent = aAttempt.mConnection;
    co_return true;
  }
  const auto executor = co_await net::asio::this_coro::executor;
  aAttempt.mConnection = std::make_shared<net::ClientConnection>(executor);
  mCurrent = aAttempt.mConnection;
  const auto opened =
    co_await aAttempt.mConnection->Connect(endpoint, ConnectLimit());
  if (opened == net::StepEnd::Done) {
    co_return true;
  }
  if (opened != net::StepEnd::Aborted) {
    LogFailure(aAttempt,
               opened == net::StepEnd::TimedOut ? "connection_timed_out"
                                                : "connection_refused");
    OnHealth(aAttempt,
             opened == net::StepEnd::TimedOut ? AttemptHealth::Unreachable
                                              : AttemptHealth::Refused);
    mLastFailure =
      mMayHaveRun ? RequestEnd::UpstreamFailed : RequestEnd::Rejected;
  }
  co_return false;
}

net::Awaitable<RequestFlow::Next>
RequestFlow::Exchange(Attempt& aAttempt)
{
  mUpstreams += (mUpstreams.empty() ? "" : ",") + aAttempt.mUpstream.mId;
  mVersion = aAttempt.mUpstream.mVersion;
  const bool isOpen = co_await Open(aAttempt);
  auto now = ReadBootClock();
  if (!isOpen) {
    mAvoid.insert(aAttempt.mUpstream.mId);
    ++mSends;
    co_return Next::Again;
  }
  if (mCaller.HasLeft()) {
    co_return Next::Ended;
  }
  if (!MaySendNow(aAttempt, now)) {
    const bool isStale = mAccount != nullptr && !mState.mLease.IsHeld(now);
    mLastFailure = isStale ? RequestEnd::StaleKeys : RequestEnd::NoUpstream;
    LogFailure(aAttempt,
               isStale ? "keys_stale_before_send" : "closed_before_send");
    ++mSends;
    co_return Next::Again;
  }
  if (mArrivals == 0) {
    mState.mRetries.OnFirstAttempt(mService, now);
  }
  ++mArrivals;
  ++mSends;
  ++mAttempts;
  aAttempt.mSentAt = now;
  aAttempt.mIsSent = true;
  mState.mRollouts.OnSent(aAttempt.mUpstream.mVersion, mSession, now);
  LogAttempt(aAttempt);
  aAttempt.mConnection->StartSend(FormatAttempt(aAttempt, now));
  const auto end =
    co_await aAttempt.mConnection->ReadHead(FirstLimit(aAttempt, now));
  now = ReadBootClock();
  if (end != net::StepEnd::Done) {
    co_return OnBroken(aAttempt, end, now);
  }
  co_return co_await OnHead(aAttempt);
}

void
RequestFlow::LogAttempt(const Attempt& aAttempt) const
{
  log::Write(
    log::Level::Info,
    "attempt_sent",
    { { "request", mFacts.mAttemptId },
      { "attempt", std::to_string(mSends) },
      { "upstream", aAttempt.mUpstream.mId },
      { "version", aAttempt.mUpstream.mVersion },
      { "model", aAttempt.mModel },
      { "expected_ms",
        std::to_string(ToMs(aAttempt.mChoice.mTimeToFirstEvent).count()) },
      { "cached_tokens", std::to_string(aAttempt.mChoice.mCachedTokens) },
      { "left_ms",
        std::to_string(ToMs(mDeadline - aAttempt.mSentAt).count()) } });
}

void
RequestFlow::LogFailure(const Attempt& aAttempt, std::string_view aReason) const
{
  log::Write(log::Level::Info,
             "attempt_failed",
             { { "request", mFacts.mAttemptId },
               { "upstream", aAttempt.mUpstream.mId },
               { "version", aAttempt.mUpstream.mVersion },
               { "reason", std::string(aReason) } });
}

std::string
RequestFlow::FormatAttempt(const Attempt& aAttempt, TimePoint aNow) const
{
  const auto last =
    mEvents.LastId().empty() ? mFacts.mLastEventId : mEvents.LastId();
  const auto message = mState.mDialect.mWriteAttempt(
    mCaller.Request(),
    { .mTimeLeft = mDeadline - aNow,
      .mUpstream = aAttempt.mUpstream.mId,
      .mAccount = mAccount == nullptr ? std::string() : mAccount->mName,
      .mModel = mRoute->mModels.empty() ? std::string() : aAttempt.mModel,
      .mPriority = mAccount != nullptr && mAccount->mPriority
                     ? *mAccount->mPriority
                     : mRoute->mPriority,
      .mLastEventId = last });
  return net::FormatRequest(message);
}

std::chrono::milliseconds
RequestFlow::FirstLimit(const Attempt& aAttempt, TimePoint aNow) const
{
  const Duration left = mDeadline - aNow;
  const bool mayRepeat =
    mRoute->IsRetryable() && mAttempts < mRoute->mMaxAttempts;
  if (!mayRepeat) {
    return ToMs(left);
  }
  const Duration late =
    IsStream() ? aAttempt.mChoice.mTimeToFirstEvent * kFirstEventFactor +
                   kFirstEventSlack
               : Times(mRoute->mTargetLatency, kPlainLatePart);
  return ToMs(std::min(left, late));
}

net::Awaitable<RequestFlow::Next>
RequestFlow::OnHead(Attempt& aAttempt)
{
  const auto now = ReadBootClock();
  const auto& head = aAttempt.mConnection->Head();
  const auto facts = mState.mDialect.mReadResponse(head);
  if (facts.mLoad) {
    mState.mBoard.OnReportedLoad(aAttempt.mUpstream.mId, *facts.mLoad, now);
  }
  const bool isForeign =
    !facts.mAttemptId.empty() && facts.mAttemptId != mFacts.mAttemptId;
  if (isForeign) {
    co_return OnBroken(aAttempt, net::StepEnd::Malformed, now);
  }
  if (facts.mNotExecuted || head.mStatus == kMisdirected) {
    LogFailure(aAttempt, "rejected");
    --mAttempts;
    OnHealth(aAttempt, AttemptHealth::Rejected);
    mAvoid.insert(aAttempt.mUpstream.mId);
    mLastFailure =
      mMayHaveRun ? RequestEnd::UpstreamFailed : RequestEnd::Rejected;
    aAttempt.mConnection->Abort();
    co_return Next::Again;
  }
  mMayHaveRun = true;
  if (!facts.mHasSignature) {
    co_return OnBroken(aAttempt, net::StepEnd::Malformed, now);
  }
  const bool isFailure = head.mStatus >= kFirstServerError;
  if (isFailure) {
    LogFailure(aAttempt, "status_" + std::to_string(head.mStatus));
    OnHealth(aAttempt, AttemptHealth::Error);
    SampleFailure(aAttempt, false);
    if (mRoute->IsRetryable() && MayTryAgain(now)) {
      mAvoid.insert(aAttempt.mUpstream.mId);
      mLastFailure = RequestEnd::UpstreamFailed;
      aAttempt.mConnection->Abort();
      co_return Next::Again;
    }
  }
  const auto& models = mRoute->mModels;
  const auto question =
    models.empty() ? cascade::SizeQuery{} : SizeQuestionOf(now);
  const bool wantsLarger =
    !isFailure && !models.empty() && !mHeadSent &&
    !mState.mSizes.Accepts(aAttempt.mSize, facts.mConfidence, question) &&
    MayTryAgain(now);
  if (wantsLarger) {
    OnHealth(aAttempt, AttemptHealth::Good);
    NoteFirstEvent(aAttempt, now);
    mDropped = true;
    aAttempt.mConnection->Abort();
    log::Write(
      log::Level::Info,
      "answer_dropped",
      { { "request", mFacts.mAttemptId },
        { "model", aAttempt.mModel },
        { "confidence", std::to_string(facts.mConfidence.value_or(-1)) },
        { "reading_share", std::to_string(question.mPrefillUtilization) } });
    co_return Next::Larger;
  }
  if (IsStream() && !isFailure) {
    co_return co_await RelayStream(aAttempt);
  }
  co_return co_await RelayWhole(aAttempt);
}

net::Awaitable<RequestFlow::Next>
RequestFlow::RelayWhole(Attempt& aAttempt)
{
  std::string body;
  auto& connection = *aAttempt.mConnection;
  while (!connection.BodyIsWhole()) {
    const auto limit = ToMs(mDeadline - ReadBootClock());
    const auto end = co_await connection.ReadBody(limit);
    body += connection.Piece();
    if (end != net::StepEnd::Done || body.size() > kMaxWholeBytes) {
      co_return OnBroken(aAttempt, end, ReadBootClock());
    }
  }
  const auto now = ReadBootClock();
  mPace.OnEvents(now);
  const auto status = connection.Head().mStatus;
  if (status < kFirstServerError) {
    OnHealth(aAttempt, AttemptHealth::Good);
    mState.mQuarantine.OnServed(mFingerprint);
    NoteFirstEvent(aAttempt, now);
  }
  if (mHeadSent) {
    co_return Next::Failed; // a failure cannot go on a stream
  }
  auto headers = connection.Head().mHeaders;
  net::RemoveConnectionHeaders(headers);
  mState.mPool.Give({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort },
                    aAttempt.mConnection);
  mCurrent.reset();
  mCaller.StopWatching();
  Close(RequestEnd::Served);
  co_await mCaller.Respond(status, headers, body, ClosesAfterwards());
  co_return Next::Ended;
}

net::Awaitable<RequestFlow::Next>
RequestFlow::RelayStream(Attempt& aAttempt)
{
  auto& connection = *aAttempt.mConnection;
  mEvents.DiscardPartial();
  while (!connection.BodyIsWhole()) {
    auto now = ReadBootClock();
    Duration limit = mDeadline - now;
    const bool mayMove = mRoute->IsRetryable() &&
                         mAttempts < mRoute->mMaxAttempts &&
                         mRoute->mTargetGap > Duration::zero();
    if (mayMove) {
      limit = std::min(limit, Times(mRoute->mTargetGap, kPausePart));
    }
    const auto end = co_await connection.ReadBody(ToMs(limit));
    now = ReadBootClock();
    const auto events = mEvents.Append(connection.Piece());
    if (!events.empty()) {
      mPace.OnEvents(now);
      NoteFirstEvent(aAttempt, now);
      const bool isSent = co_await SendEvents(aAttempt, events);
      if (!isSent) {
        connection.Abort();
        Close(RequestEnd::CallerLeft);
        co_return Next::Ended;
      }
    }
    if (end != net::StepEnd::Done || mEvents.IsOverlong()) {
      co_return OnBroken(aAttempt, end, now);
    }
  }
  const auto now = ReadBootClock();
  if (mEvents.HasPartial() || mEvents.EventCount() == 0) {
    co_return OnBroken(aAttempt, net::StepEnd::Closed, now);
  }
  OnHealth(aAttempt, AttemptHealth::Good);
  mState.mQuarantine.OnServed(mFingerprint);
  mState.mPool.Give({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort },
                    aAttempt.mConnection);
  mCurrent.reset();
  Close(RequestEnd::Served);
  co_await mCaller.EndStream();
  co_return Next::Ended;
}

net::Awaitable<bool>
RequestFlow::SendEvents(Attempt& aAttempt, const std::string& aEvents)
{
  if (mHeadSent) {
    co_return co_await mCaller.SendPiece(aEvents);
  }
  mHeadSent = true;
  auto headers = aAttempt.mConnection->Head().mHeaders;
  net::RemoveConnectionHeaders(headers);
  const auto status = aAttempt.mConnection->Head().mStatus;
  co_return co_await mCaller.BeginStream(
    status, headers, aEvents, ClosesAfterwards());
}

RequestFlow::Next
RequestFlow::OnBroken(Attempt& aAttempt, net::StepEnd aEnd, TimePoint aNow)
{
  aAttempt.mConnection->Abort();
  mMayHaveRun = true;
  if (mCaller.HasLeft()) {
    return Next::Failed;
  }
  log::Write(
    log::Level::Info,
    "attempt_broken",
    { { "request", mFacts.mAttemptId },
      { "upstream", aAttempt.mUpstream.mId },
      { "version", aAttempt.mUpstream.mVersion },
      { "model", aAttempt.mModel },
      { "reason", std::string(net::NameOf(aEnd)) },
      { "after_ms", std::to_string(ToMs(aNow - aAttempt.mSentAt).count()) },
      { "events", std::to_string(mEvents.EventCount()) } });
  OnHealth(aAttempt,
           aEnd == net::StepEnd::TimedOut ? AttemptHealth::TimedOut
                                          : AttemptHealth::Broken);
  SampleFailure(aAttempt, true);
  mAvoid.insert(aAttempt.mUpstream.mId);
  mState.mPool.Drop({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort });
  // the timer of a step may fire a little before the deadline that set it
  const bool isOutOfTime =
    aNow >= mDeadline ||
    (aEnd == net::StepEnd::TimedOut && aNow + kLeastTime >= mDeadline);
  if (isOutOfTime) {
    mLastFailure = RequestEnd::RouteTimeout;
    return Next::Failed;
  }
  if (aEnd == net::StepEnd::Closed && !aAttempt.mHadEvent) {
    SuspectCrash(aAttempt, aNow);
  }
  mLastFailure = RequestEnd::UpstreamFailed;
  return AfterFailure();
}

void
RequestFlow::SuspectCrash(const Attempt& aAttempt, TimePoint aNow)
{
  ++mCrashes;
  // two upstreams in a row are blamed on the request, whatever else ran there
  const bool isRepeated = mCrashes >= kMaxCrashes;
  const auto inFlight = mState.mBoard.InFlight(aAttempt.mUpstream.mId);
  net::asio::co_spawn(aAttempt.mConnection->Executor(),
                      CheckCrash(mState,
                                 { .mAddress = aAttempt.mUpstream.mAddress,
                                   .mPort = aAttempt.mUpstream.mPort },
                                 { .mFingerprint = mFingerprint,
                                   .mUpstream = aAttempt.mUpstream.mId,
                                   .mSeenAt = aNow,
                                   .mInFlight = isRepeated ? 1 : inFlight }),
                      net::asio::detached);
}

RequestFlow::Next
RequestFlow::AfterFailure() const
{
  return mRoute->IsRetryable() && mCrashes < kMaxCrashes ? Next::Again
                                                         : Next::Failed;
}

void
RequestFlow::OnHealth(Attempt& aAttempt, AttemptHealth aHealth)
{
  mState.mBoard.OnOutcome(aAttempt.mUpstream.mId, aHealth, ReadBootClock());
}

void
RequestFlow::NoteFirstEvent(Attempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.mHadEvent) {
    return;
  }
  aAttempt.mHadEvent = true;
  mState.mBoard.OnFirstEvent(aAttempt.mLoad, aNow);
  constexpr double kMicros = 1'000.0;
  mState.mMetrics
    .HistogramOf("figslip_first_event_ms", { { "route", mRoute->mName } })
    .Observe(static_cast<double>((aNow - mArrivedAt).count()) / kMicros);
  if (aAttempt.mSize + 1 == mRoute->mModels.size()) {
    mState.mLargestDelay[mService].OnSample(
      aNow - aAttempt.mSentAt, aAttempt.mChoice.mTimeToFirstEvent, aNow);
  }
  mState.mRollouts.OnSample(
    mService,
    aAttempt.mUpstream.mVersion,
    rollout::SampleOf(mRoute->mName,
                      aNow - aAttempt.mSentAt,
                      aAttempt.mChoice.mTimeToFirstEvent));
}

void
RequestFlow::SampleFailure(const Attempt& aAttempt, bool aIsBroken)
{
  mState.mRollouts.OnSample(
    mService,
    aAttempt.mUpstream.mVersion,
    { .mRoute = mRoute->mName,
      .mFailed = true,
      .mAbortedBy = aIsBroken ? aAttempt.mUpstream.mId : std::string(),
      .mAbortedAt = ReadBootClock(),
      .mLatencyRatio = std::nullopt });
}

} // namespace figslip::gateway
