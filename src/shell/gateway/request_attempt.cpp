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

/// Bounds of the connect timeout, and its fraction of the target latency. The
/// rest of the latency leaves time for an answer of another upstream.
constexpr Duration kMinConnectTimeout = milliseconds(40);
constexpr Duration kMaxConnectTimeout = milliseconds(300);
constexpr double kConnectTimeoutFraction = 0.33;

/// Idle time after which a pooled connection is not used for a request that may
/// run only once: after a reset it is unknown whether the request ran.
constexpr auto kNonRetryableMaxIdle = milliseconds(500);
constexpr auto kRetryableMaxIdle = std::chrono::seconds(30);

/// Maximum size of a buffered response body that is not a stream.
constexpr std::size_t kMaxBufferedBytes = 16 << 20;

/// The timeout of the first event is the expected time multiplied by the
/// factor, plus the slack.
constexpr int kFirstEventTimeoutFactor = 5;
constexpr auto kFirstEventTimeoutSlack = milliseconds(600);

/// Fractions of the target latency and the target gap after which the request
/// is retried on another upstream. The rest leaves time for its answer.
constexpr double kPlainTimeoutFraction = 0.6;
constexpr double kGapTimeoutFraction = 0.72;

/// Suspected crashes after which a request is not retried.
constexpr int kMaxCrashes = 2;

milliseconds
ToMilliseconds(Duration aTime)
{
  return std::max(milliseconds(1),
                  std::chrono::duration_cast<milliseconds>(aTime));
}

Duration
Scale(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

net::Awaitable<RequestFlow::NextStep>
RequestFlow::RunAttempt(Attempt& aAttempt)
{
  const auto next = co_await Exchange(aAttempt);
  mCurrentConnection.reset();
  mState.mBoard.Release(aAttempt.mLoad);
  if (aAttempt.mIsSent) {
    mState.mRollouts.OnEnded(mSessionHash, ReadBootClock());
  }
  co_return next;
}

milliseconds
RequestFlow::ConnectTimeout() const
{
  return ToMilliseconds(
    std::clamp(Scale(mRoute->mTargetLatency, kConnectTimeoutFraction),
               kMinConnectTimeout,
               kMaxConnectTimeout));
}

net::Awaitable<bool>
RequestFlow::OpenConnection(Attempt& aAttempt)
{
  const net::Endpoint endpoint{ .mAddress = aAttempt.mUpstream.mAddress,
                                .mPort = aAttempt.mUpstream.mPort };
  const net::ConnectionPool::Clock::duration maxIdle =
    mRoute->IsRetryable()
      ? net::ConnectionPool::Clock::duration(kRetryableMaxIdle)
      : net::ConnectionPool::Clock::duration(kNonRetryableMaxIdle);
  aAttempt.mConnection = mState.mPool.Take(endpoint, maxIdle);
  if (aAttempt.mConnection) {
    mCurrentConnection = aAttempt.mConnection;
    co_return true;
  }
  const auto executor = co_await net::asio::this_coro::executor;
  aAttempt.mConnection = std::make_shared<net::ClientConnection>(executor);
  mCurrentConnection = aAttempt.mConnection;
  const auto opened =
    co_await aAttempt.mConnection->Connect(endpoint, ConnectTimeout());
  if (opened == net::StepEnd::Done) {
    co_return true;
  }
  if (opened != net::StepEnd::Aborted) {
    LogFailure(aAttempt,
               opened == net::StepEnd::TimedOut ? "connection_timed_out"
                                                : "connection_refused");
    RecordHealth(aAttempt,
                 opened == net::StepEnd::TimedOut ? AttemptHealth::Unreachable
                                                  : AttemptHealth::Refused);
    mLastFailure =
      mMayHaveRun ? RequestEnd::UpstreamFailed : RequestEnd::Rejected;
  }
  co_return false;
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::Exchange(Attempt& aAttempt)
{
  mTriedUpstreams +=
    (mTriedUpstreams.empty() ? "" : ",") + aAttempt.mUpstream.mId;
  mLastVersion = aAttempt.mUpstream.mVersion;
  const bool isOpen = co_await OpenConnection(aAttempt);
  auto now = ReadBootClock();
  if (!isOpen) {
    mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
    ++mSends;
    co_return NextStep::Retry;
  }
  if (mCaller.HasLeft()) {
    co_return NextStep::Ended;
  }
  if (const auto refusal = RefusalToSend(aAttempt, now)) {
    mLastFailure = *refusal == SendRefusal::KeysStale ? RequestEnd::StaleKeys
                                                      : RequestEnd::NoUpstream;
    LogFailure(aAttempt, NameOf(*refusal));
    ++mSends;
    co_return NextStep::Retry;
  }
  if (mTransmissions == 0) {
    mState.mRetries.OnFirstAttempt(mService, now);
  }
  ++mTransmissions;
  ++mSends;
  ++mAttempts;
  aAttempt.mSentAt = now;
  aAttempt.mIsSent = true;
  mState.mRollouts.OnSent(aAttempt.mUpstream.mVersion, mSessionHash, now);
  LogAttempt(aAttempt);
  aAttempt.mConnection->StartSend(FormatAttempt(aAttempt, now));
  const auto end =
    co_await aAttempt.mConnection->ReadHead(ResponseHeadTimeout(aAttempt, now));
  now = ReadBootClock();
  if (end != net::StepEnd::Done) {
    co_return OnAttemptBroken(aAttempt, end, now);
  }
  co_return co_await OnResponseHead(aAttempt);
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
        std::to_string(
          ToMilliseconds(aAttempt.mChoice.mTimeToFirstEvent).count()) },
      { "cached_tokens", std::to_string(aAttempt.mChoice.mCachedTokens) },
      { "left_ms",
        std::to_string(
          ToMilliseconds(mDeadline - aAttempt.mSentAt).count()) } });
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
RequestFlow::ResponseHeadTimeout(const Attempt& aAttempt, TimePoint aNow) const
{
  const Duration left = mDeadline - aNow;
  const bool mayRepeat =
    mRoute->IsRetryable() && mAttempts < mRoute->mMaxAttempts;
  if (!mayRepeat) {
    return ToMilliseconds(left);
  }
  const Duration late =
    IsStream() ? aAttempt.mChoice.mTimeToFirstEvent * kFirstEventTimeoutFactor +
                   kFirstEventTimeoutSlack
               : Scale(mRoute->mTargetLatency, kPlainTimeoutFraction);
  return ToMilliseconds(std::min(left, late));
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::OnResponseHead(Attempt& aAttempt)
{
  const auto now = ReadBootClock();
  const auto& head = aAttempt.mConnection->Head();
  const auto facts = mState.mDialect.mReadResponse(head);
  if (facts.mLoad) {
    mState.mBoard.OnReportedLoad(aAttempt.mUpstream.mId, *facts.mLoad, now);
  }
  const bool isOtherRequest =
    !facts.mAttemptId.empty() && facts.mAttemptId != mFacts.mAttemptId;
  if (isOtherRequest) {
    co_return OnAttemptBroken(aAttempt, net::StepEnd::Malformed, now);
  }
  if (facts.mNotExecuted || head.mStatus == kMisdirected) {
    LogFailure(aAttempt, "rejected");
    --mAttempts;
    RecordHealth(aAttempt, AttemptHealth::Rejected);
    mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
    mLastFailure =
      mMayHaveRun ? RequestEnd::UpstreamFailed : RequestEnd::Rejected;
    aAttempt.mConnection->Abort();
    co_return NextStep::Retry;
  }
  mMayHaveRun = true;
  if (!facts.mHasSignature) {
    co_return OnAttemptBroken(aAttempt, net::StepEnd::Malformed, now);
  }
  const bool isFailure = head.mStatus >= kFirstServerError;
  if (isFailure) {
    LogFailure(aAttempt, "status_" + std::to_string(head.mStatus));
    RecordHealth(aAttempt, AttemptHealth::Error);
    RecordFailure(aAttempt, false);
    if (mRoute->IsRetryable() && TryAcquireRetry(now)) {
      mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
      mLastFailure = RequestEnd::UpstreamFailed;
      aAttempt.mConnection->Abort();
      co_return NextStep::Retry;
    }
  }
  const auto& models = mRoute->mModels;
  const auto question =
    models.empty() ? cascade::SizeQuery{} : SizeQuestionOf(now);
  const bool wantsLarger = !isFailure && !models.empty() && !mHeadSent &&
                           !mState.mSizePolicy.Accepts(aAttempt.mModelIndex,
                                                       facts.mConfidence,
                                                       question) &&
                           TryAcquireRetry(now);
  if (wantsLarger) {
    RecordHealth(aAttempt, AttemptHealth::Good);
    RecordFirstEvent(aAttempt, now);
    mAnswerDropped = true;
    aAttempt.mConnection->Abort();
    log::Write(
      log::Level::Info,
      "answer_dropped",
      { { "request", mFacts.mAttemptId },
        { "model", aAttempt.mModel },
        { "confidence", std::to_string(facts.mConfidence.value_or(-1)) },
        { "reading_share", std::to_string(question.mPrefillUtilization) } });
    co_return NextStep::LargerModel;
  }
  if (IsStream() && !isFailure) {
    co_return co_await RelayStream(aAttempt);
  }
  co_return co_await RelayBuffered(aAttempt);
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::RelayBuffered(Attempt& aAttempt)
{
  std::string body;
  auto& connection = *aAttempt.mConnection;
  while (!connection.BodyIsWhole()) {
    const auto limit = ToMilliseconds(mDeadline - ReadBootClock());
    const auto end = co_await connection.ReadBody(limit);
    body += connection.Piece();
    if (end != net::StepEnd::Done || body.size() > kMaxBufferedBytes) {
      co_return OnAttemptBroken(aAttempt, end, ReadBootClock());
    }
  }
  const auto now = ReadBootClock();
  mPace.OnEvents(now);
  const auto status = connection.Head().mStatus;
  if (status < kFirstServerError) {
    RecordHealth(aAttempt, AttemptHealth::Good);
    mState.mQuarantine.OnServed(mFingerprint);
    RecordFirstEvent(aAttempt, now);
  }
  if (mHeadSent) {
    co_return NextStep::Failed; // an error response cannot continue a stream
  }
  auto headers = connection.Head().mHeaders;
  net::RemoveConnectionHeaders(headers);
  mState.mPool.Give({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort },
                    aAttempt.mConnection);
  mCurrentConnection.reset();
  mCaller.StopWatching();
  RecordEnd(RequestEnd::Served);
  co_await mCaller.Respond(status, headers, body, ClosesConnection());
  co_return NextStep::Ended;
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::RelayStream(Attempt& aAttempt)
{
  auto& connection = *aAttempt.mConnection;
  mEvents.DiscardPartial();
  while (!connection.BodyIsWhole()) {
    auto now = ReadBootClock();
    Duration limit = mDeadline - now;
    const bool mayRetry = mRoute->IsRetryable() &&
                          mAttempts < mRoute->mMaxAttempts &&
                          mRoute->mTargetGap > Duration::zero();
    if (mayRetry) {
      limit = std::min(limit, Scale(mRoute->mTargetGap, kGapTimeoutFraction));
    }
    const auto end = co_await connection.ReadBody(ToMilliseconds(limit));
    now = ReadBootClock();
    const auto events = mEvents.Append(connection.Piece());
    if (!events.empty()) {
      mPace.OnEvents(now);
      RecordFirstEvent(aAttempt, now);
      const bool isSent = co_await SendEvents(aAttempt, events);
      if (!isSent) {
        connection.Abort();
        RecordEnd(RequestEnd::CallerLeft);
        co_return NextStep::Ended;
      }
    }
    if (end != net::StepEnd::Done || mEvents.IsOverlong()) {
      co_return OnAttemptBroken(aAttempt, end, now);
    }
  }
  const auto now = ReadBootClock();
  if (mEvents.HasPartial() || mEvents.EventCount() == 0) {
    co_return OnAttemptBroken(aAttempt, net::StepEnd::Closed, now);
  }
  RecordHealth(aAttempt, AttemptHealth::Good);
  mState.mQuarantine.OnServed(mFingerprint);
  mState.mPool.Give({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort },
                    aAttempt.mConnection);
  mCurrentConnection.reset();
  RecordEnd(RequestEnd::Served);
  co_await mCaller.EndStream();
  co_return NextStep::Ended;
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
    status, headers, aEvents, ClosesConnection());
}

RequestFlow::NextStep
RequestFlow::OnAttemptBroken(Attempt& aAttempt,
                             net::StepEnd aEnd,
                             TimePoint aNow)
{
  aAttempt.mConnection->Abort();
  mMayHaveRun = true;
  if (mCaller.HasLeft()) {
    return NextStep::Failed;
  }
  log::Write(
    log::Level::Info,
    "attempt_broken",
    { { "request", mFacts.mAttemptId },
      { "upstream", aAttempt.mUpstream.mId },
      { "version", aAttempt.mUpstream.mVersion },
      { "model", aAttempt.mModel },
      { "reason", std::string(net::NameOf(aEnd)) },
      { "after_ms",
        std::to_string(ToMilliseconds(aNow - aAttempt.mSentAt).count()) },
      { "events", std::to_string(mEvents.EventCount()) } });
  RecordHealth(aAttempt,
               aEnd == net::StepEnd::TimedOut ? AttemptHealth::TimedOut
                                              : AttemptHealth::Broken);
  RecordFailure(aAttempt, true);
  mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
  mState.mPool.Drop({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort });
  // the timer of a step may fire slightly before the deadline it was set from
  const bool hasTimedOut =
    aNow >= mDeadline ||
    (aEnd == net::StepEnd::TimedOut && aNow + kMinAttemptTime >= mDeadline);
  if (hasTimedOut) {
    mLastFailure = RequestEnd::RouteTimeout;
    return NextStep::Failed;
  }
  if (aEnd == net::StepEnd::Closed && !aAttempt.mHadEvent) {
    StartCrashCheck(aAttempt, aNow);
  }
  mLastFailure = RequestEnd::UpstreamFailed;
  return NextStepAfterFailure();
}

void
RequestFlow::StartCrashCheck(const Attempt& aAttempt, TimePoint aNow)
{
  ++mSuspectedCrashes;
  // after two suspected crashes the request is treated as the cause, regardless
  // of the other requests that ran on the upstream
  const bool isRepeated = mSuspectedCrashes >= kMaxCrashes;
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

RequestFlow::NextStep
RequestFlow::NextStepAfterFailure() const
{
  return mRoute->IsRetryable() && mSuspectedCrashes < kMaxCrashes
           ? NextStep::Retry
           : NextStep::Failed;
}

void
RequestFlow::RecordHealth(Attempt& aAttempt, AttemptHealth aHealth)
{
  mState.mBoard.OnOutcome(aAttempt.mUpstream.mId, aHealth, ReadBootClock());
}

void
RequestFlow::RecordFirstEvent(Attempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.mHadEvent) {
    return;
  }
  aAttempt.mHadEvent = true;
  mState.mBoard.OnFirstEvent(aAttempt.mLoad, aNow);
  constexpr double kMicrosPerMillisecond = 1'000.0;
  mState.mMetrics
    .HistogramOf("figslip_first_event_ms", { { "route", mRoute->mName } })
    .Observe(static_cast<double>((aNow - mArrivedAt).count()) /
             kMicrosPerMillisecond);
  if (aAttempt.mModelIndex + 1 == mRoute->mModels.size()) {
    mState.mLargestModelDelay[mService].OnSample(
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
RequestFlow::RecordFailure(const Attempt& aAttempt, bool aIsBroken)
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
