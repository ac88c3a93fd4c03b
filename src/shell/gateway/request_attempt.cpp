#include <figslip/gateway/crash_check.hpp>
#include <figslip/gateway/request_flow.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/placement/silence_timeout.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

namespace figslip::gateway {

namespace {

using placement::AttemptHealth;
using std::chrono::milliseconds;

constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
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

/// Fraction of the target gap after which a silent stream is replaced. The rest
/// leaves time for the events of another upstream.
constexpr double kGapTimeoutFraction = 0.72;

/// Time for which a silent attempt goes on beside its replacement. Two runs of
/// a request may overlap for 400 ms until both upstreams have noticed.
constexpr Duration kMaxOverlap = milliseconds(300);

/// Time in which an upstream that is full rejects a request.
constexpr Duration kMaxRejectionTime = milliseconds(50);

/// Interval at which a replacement is checked for a response.
constexpr auto kHeadPollInterval = milliseconds(5);

/// Suspected crashes after which a request is not retried.
constexpr int kMaxCrashes = 2;

RequestEnd
EndOf(SendRefusal aRefusal)
{
  switch (aRefusal) {
    case SendRefusal::KeysStale:
    case SendRefusal::KeyReassigned:
      return RequestEnd::StaleKeys;
    case SendRefusal::KeyRevoked:
      return RequestEnd::UnknownKey;
    case SendRefusal::UpstreamPausing:
      return RequestEnd::NoCapacity;
    case SendRefusal::SessionHeld:
      return RequestEnd::VersionWithdrawn;
    case SendRefusal::PartQuarantined:
      return RequestEnd::CrashesUpstreams;
    case SendRefusal::UpstreamClosed:
    case SendRefusal::VersionClosed:
      break;
  }
  return RequestEnd::NoUpstream;
}

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
  mRunning = &aAttempt;
  const auto next = co_await Exchange(aAttempt);
  mRunning = nullptr;
  mState.ReleaseSlot(aAttempt.mLoad);
  if (aAttempt.mIsSent) {
    mState.mRollouts.OnEnded(mService, mSession, ReadBootClock());
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
  mTriedUpstreams +=
    (mTriedUpstreams.empty() ? "" : ",") + aAttempt.mUpstream.mId;
  mLastVersion = aAttempt.mUpstream.mVersion;
  const net::Endpoint endpoint{ .mAddress = aAttempt.mUpstream.mAddress,
                                .mPort = aAttempt.mUpstream.mPort };
  const net::ConnectionPool::Clock::duration maxIdle =
    mRoute->IsRetryable()
      ? net::ConnectionPool::Clock::duration(kRetryableMaxIdle)
      : net::ConnectionPool::Clock::duration(kNonRetryableMaxIdle);
  aAttempt.mConnection = mState.mPool.Take(endpoint, maxIdle);
  aAttempt.mIsOnReused = aAttempt.mConnection != nullptr;
  if (aAttempt.mIsOnReused) {
    co_return true;
  }
  const auto connection =
    std::make_shared<net::ClientConnection>(mCaller.Executor());
  aAttempt.mConnection = connection;
  const auto startedAt = ReadBootClock();
  const auto opened = co_await connection->Connect(endpoint, ConnectTimeout());
  const bool isOpen = opened == net::StepEnd::Done;
  if (isOpen) {
    mState.OnConnected();
  }
  if (!isOpen && opened != net::StepEnd::Aborted) {
    const bool hasTimedOut = opened == net::StepEnd::TimedOut;
    LogFailure(aAttempt,
               hasTimedOut ? "connection_timed_out" : "connection_refused");
    RecordHealth(aAttempt,
                 hasTimedOut ? AttemptHealth::Unreachable
                             : AttemptHealth::Refused);
    mState.OnConnectFailed(aAttempt.mUpstream.mId, startedAt);
    ++mUnconnected;
    mLastFailure =
      mMayHaveRun ? RequestEnd::UpstreamFailed : RequestEnd::Rejected;
    mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
    ++mSends;
    ++mRejections;
  }
  co_return isOpen;
}

bool
RequestFlow::Send(Attempt& aAttempt)
{
  const auto now = ReadBootClock();
  ++mSends;
  if (const auto refusal = RefusalToSend(aAttempt, now)) {
    ++mRejections;
    mLastFailure = EndOf(*refusal);
    if (AppliesToAllUpstreams(*refusal)) {
      mFinalRefusal = refusal;
    }
    LogFailure(aAttempt, NameOf(*refusal));
    return false;
  }
  if (mTransmissions == 0) {
    mState.mRetries.OnFirstAttempt(mService, now);
  }
  if (mState.mSettings.mOverloadControl && !mIsCountedServed) {
    mIsCountedServed = true;
    mState.mShares.OnAdmitted(mService, AccountName(), mWork, now);
  }
  ++mTransmissions;
  ++mAttempts;
  mHasRetry = false;
  aAttempt.mSentAt = now;
  aAttempt.mIsSent = true;
  mState.mParts.OnSent(mParts, now);
  LogAttempt(aAttempt);
  mState.mRollouts.OnSent(mService, aAttempt.mUpstream.mVersion, mSession, now);
  aAttempt.mConnection->StartSend(FormatAttempt(aAttempt, now));
  return true;
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::Exchange(Attempt& aAttempt)
{
  const bool isOpen = aAttempt.mIsSent || co_await OpenConnection(aAttempt);
  if (mCaller.HasLeft()) {
    aAttempt.mConnection->Abort();
    co_return NextStep::Ended;
  }
  const bool isSent = aAttempt.mIsSent || (isOpen && Send(aAttempt));
  if (!isSent) {
    co_return NextStep::Retry;
  }
  if (MayReplace()) {
    WatchSilence(HeadPatience(aAttempt));
  }
  while (aAttempt.mIsReadingHead) {
    co_await net::Sleep(kHeadPollInterval);
  }
  if (!aAttempt.mHeadEnd) {
    aAttempt.mHeadEnd = co_await aAttempt.mConnection->ReadHead(
      ToMilliseconds(mDeadline - ReadBootClock()));
  }
  mSilence.Clear();
  if (IsReplaced()) {
    co_return OnReplaced(aAttempt);
  }
  if (*aAttempt.mHeadEnd == net::StepEnd::Done) {
    mState.mContact.OnReceived(ReadBootClock());
  } else {
    co_return OnAttemptBroken(aAttempt, *aAttempt.mHeadEnd, ReadBootClock());
  }
  CancelReplacement();
  co_return co_await OnResponseHead(aAttempt);
}

void
RequestFlow::WatchSilence(Duration aPatience)
{
  mSilencePatience = aPatience;
  mSilence.Set(aPatience);
}

void
RequestFlow::OnSilence()
{
  mSilence.Set(mSilencePatience);
  if (!mRunning->mWasSilent) {
    mRunning->mWasSilent = true;
    mFailedAt = ReadBootClock();
    RecordHealth(*mRunning, AttemptHealth::TimedOut);
    RecordFailure(*mRunning, true, mSilencePatience);
    mAvoidedUpstreams.insert(mRunning->mUpstream.mId);
    mState.mPool.Drop({ .mAddress = mRunning->mUpstream.mAddress,
                        .mPort = mRunning->mUpstream.mPort });
  }
  ForgetStaleKeys();
  if (MayHandOver(ReadBootClock())) {
    // without a retry the attempt goes on: its connection may live on
    if (!TryAcquireRetry(ReadBootClock())) {
      return;
    }
    CancelReplacement();
    mRunning->mConnection->Abort();
    return;
  }
  if (mReplacement || !TryAcquireRetry(ReadBootClock())) {
    return;
  }
  auto replacement =
    mState.mSettings.mOverloadControl ? BeginReplacement() : PlanReplacement();
  if (replacement) {
    net::asio::co_spawn(
      mCaller.Executor(),
      [self = shared_from_this(), replacement = std::move(replacement)] {
        return self->ReplaceSilentAttempt(replacement);
      },
      net::asio::detached);
  }
}

net::Awaitable<void>
RequestFlow::ReplaceSilentAttempt(std::shared_ptr<Replacement> aFirst)
{
  const ReplaceOptions options{ .mOverlap = kMaxOverlap,
                                .mIsQueued =
                                  mState.mSettings.mOverloadControl };
  auto first = std::move(aFirst);
  if (options.mIsQueued) {
    first = co_await AwaitReplacementSlot(std::move(first));
  }
  const bool isReplaced = co_await Replace(std::move(first), options);
  if (isReplaced) {
    mRunning->mConnection->Abort();
  }
}

std::shared_ptr<RequestFlow::Replacement>
RequestFlow::PlanReplacement()
{
  const auto now = ReadBootClock();
  auto planned = PlanAttempt(now);
  if (!planned) {
    LogNoSlot(mState.mBoard.ExplainNoChoice(MakePlacementQuery(""), now), now);
    return nullptr;
  }
  auto replacement = BeginReplacement();
  replacement->mAttempt = std::move(*planned);
  return replacement;
}

std::shared_ptr<RequestFlow::Replacement>
RequestFlow::BeginReplacement()
{
  mReplacement = std::make_shared<Replacement>();
  return mReplacement;
}

net::Awaitable<std::shared_ptr<RequestFlow::Replacement>>
RequestFlow::AwaitReplacementSlot(std::shared_ptr<Replacement> aReplacement)
{
  const auto mayQueue = [this] {
    const auto now = ReadBootClock();
    const auto reason =
      mState.mBoard.ExplainNoChoice(MakePlacementQuery(""), now);
    return !mCaller.HasLeft() && !mIsInterrupted && MayQueue(reason, now);
  };
  auto end = WaitEnd::PlanAgain;
  while (end == WaitEnd::PlanAgain && !aReplacement->mIsCancelled) {
    const bool isDirect =
      !mState.mQueue.MustWait(MakeReplacementOffer(ReadBootClock())) &&
      TryPlan(aReplacement->mPlanned) == admission::AdmissionResult::Admitted;
    if (isDirect || !mayQueue()) {
      break;
    }
    end = co_await WaitInQueue(*aReplacement);
    if (end == WaitEnd::PlanAgain && !aReplacement->mIsCancelled) {
      co_await net::Sleep(kSlotPollInterval); // what blocks it may last
    }
  }
  if (aReplacement->mIsCancelled) {
    co_return nullptr;
  }
  auto planned = std::exchange(aReplacement->mPlanned, std::nullopt);
  if (!planned) {
    CancelReplacement();
    co_return nullptr;
  }
  aReplacement->mAttempt = std::move(*planned);
  co_return aReplacement;
}

net::Awaitable<WaitEnd>
RequestFlow::WaitInQueue(Replacement& aReplacement)
{
  const auto now = ReadBootClock();
  mState.mShares.OnShortage(mService, now);
  SlotQueue::Request request;
  request.mOffered = MakeReplacementOffer(now);
  request.mAttemptId = mFacts.mAttemptId;
  request.mExecutor = mCaller.Executor();
  request.mTry = [this, &aReplacement] {
    // a try that found no upstream has forgotten which one to avoid
    if (mRunning != nullptr) {
      mAvoidedUpstreams.insert(mRunning->mUpstream.mId);
    }
    return TryPlan(aReplacement.mPlanned);
  };
  aReplacement.mTicket = request.mOffered.mQueued.mTicket;
  const auto outcome = co_await mState.mQueue.Wait(std::move(request));
  aReplacement.mTicket = 0;
  co_return outcome.mEnd;
}

net::Awaitable<bool>
RequestFlow::Replace(std::shared_ptr<Replacement> aFirst,
                     ReplaceOptions aOptions)
{
  auto replacement = std::move(aFirst);
  while (replacement) {
    const bool isAccepted =
      co_await TryReplacement(replacement, aOptions.mOverlap);
    if (replacement->mIsCancelled || replacement->mIsAccepted) {
      co_return isAccepted;
    }
    co_await AwaitCrashCheck();
    if (replacement->mIsCancelled || replacement->mIsAccepted) {
      co_return false;
    }
    CancelReplacement();
    const bool mayGoOn = !mCaller.HasLeft() &&
                         mSuspectedCrashes < kMaxCrashes &&
                         TryAcquireRetry(ReadBootClock());
    if (mayGoOn && aOptions.mIsQueued) {
      replacement = co_await AwaitReplacementSlot(BeginReplacement());
    } else {
      replacement = mayGoOn ? PlanReplacement() : nullptr;
    }
  }
  co_return false;
}

net::Awaitable<bool>
RequestFlow::ReplaceAnswer(ReplaceOptions aOptions)
{
  std::shared_ptr<Replacement> first;
  if (aOptions.mWaitsForSlot && mState.mSettings.mOverloadControl) {
    first = co_await AwaitReplacementSlot(BeginReplacement());
    aOptions.mWaitsForSlot = false;
    aOptions.mIsQueued = true;
  } else {
    first = PlanReplacement();
  }
  while (!first && aOptions.mWaitsForSlot && !mCaller.HasLeft() &&
         ReadBootClock() < mSlotDeadline) {
    co_await net::Sleep(kSlotPollInterval);
    first = PlanReplacement();
  }
  if (!first) {
    co_return false;
  }
  co_return co_await Replace(std::move(first), aOptions);
}

net::Awaitable<bool>
RequestFlow::TryReplacement(std::shared_ptr<Replacement> aReplacement,
                            Duration aOverlap)
{
  auto& attempt = aReplacement->mAttempt;
  if (aReplacement->mIsCancelled) {
    co_return false;
  }
  const bool isOpen = co_await OpenConnection(attempt);
  if (aReplacement->mIsCancelled || !isOpen) {
    co_return false;
  }
  const bool isInTime = ReadBootClock() + kMinAttemptTime < mDeadline;
  if (!isInTime || !Send(attempt)) {
    co_return false;
  }
  co_await ReadEarlyHead(aReplacement, aOverlap);
  if (aReplacement->mIsCancelled || aReplacement->mIsAccepted) {
    co_return false;
  }
  aReplacement->mIsAccepted = !attempt.mHeadEnd || AcceptsHead(attempt);
  co_return aReplacement->mIsAccepted;
}

net::Awaitable<void>
RequestFlow::ReadEarlyHead(std::shared_ptr<Replacement> aReplacement,
                           Duration aOverlap)
{
  auto& attempt = aReplacement->mAttempt;
  const auto until = ReadBootClock() + aOverlap;
  while (!attempt.mConnection->HasInput()) {
    if (ReadBootClock() >= until) {
      co_return;
    }
    co_await net::Sleep(kHeadPollInterval);
    if (aReplacement->mIsCancelled || aReplacement->mIsAccepted) {
      co_return;
    }
  }
  attempt.mIsReadingHead = true;
  attempt.mHeadEnd = co_await attempt.mConnection->ReadHead(
    ToMilliseconds(until - ReadBootClock()));
  attempt.mIsReadingHead = false;
}

bool
RequestFlow::AcceptsHead(Attempt& aAttempt)
{
  auto end = aAttempt.mHeadEnd.value_or(net::StepEnd::Closed);
  const auto& head = aAttempt.mConnection->Head();
  const auto metadata = mState.mDialect.mReadResponse(head);
  if (end == net::StepEnd::Done) {
    mState.OnResponse(aAttempt.mUpstream, metadata, aAttempt.mSentAt);
  }
  const bool isRejection =
    end == net::StepEnd::Done && IsRejection(aAttempt, metadata);
  if (isRejection) {
    OnRejected(aAttempt);
    return false;
  }
  mMayHaveRun = true;
  if (end == net::StepEnd::Done && !IsOwnResponse(aAttempt, metadata)) {
    end = net::StepEnd::Malformed;
  }
  const bool isBroken = end != net::StepEnd::Done;
  if (!isBroken && head.mStatus < kFirstServerError && MayContinue(head)) {
    return true;
  }
  if (isBroken) {
    LogBroken(aAttempt, end);
  } else {
    LogFailure(aAttempt, "status_" + std::to_string(head.mStatus));
  }
  RecordHealth(aAttempt,
               isBroken ? AttemptHealth::Broken : AttemptHealth::Error);
  RecordFailure(aAttempt, isBroken);
  mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
  if (end == net::StepEnd::Closed) {
    StartCrashCheck(aAttempt, ReadBootClock());
  }
  return false;
}

bool
RequestFlow::IsRejection(const Attempt& aAttempt,
                         const ingress::ResponseMetadata& aMetadata) const
{
  const auto status = aAttempt.mConnection->Head().mStatus;
  const bool isStated = aMetadata.mNotExecuted || status == kMisdirected;
  return isStated && IsAttributed(aAttempt, aMetadata);
}

bool
RequestFlow::IsAttributed(const Attempt& aAttempt,
                          const ingress::ResponseMetadata& aMetadata) const
{
  return aMetadata.mAttemptId == mFacts.mAttemptId ||
         (aMetadata.mAttemptId.empty() && !aAttempt.mIsOnReused);
}

bool
RequestFlow::IsOfOtherRequest(const ingress::ResponseMetadata& aMetadata) const
{
  return !aMetadata.mAttemptId.empty() &&
         aMetadata.mAttemptId != mFacts.mAttemptId;
}

bool
RequestFlow::IsOwnResponse(const Attempt& aAttempt,
                           const ingress::ResponseMetadata& aMetadata) const
{
  return IsAttributed(aAttempt, aMetadata) && aMetadata.mHasSignature;
}

bool
RequestFlow::MayContinue(const net::ResponseHead& aHead) const
{
  return !mHeadSent ||
         (aHead.mStatus >= kFirstSuccess && aHead.mStatus < kFirstRedirect);
}

void
RequestFlow::ForgetStaleKeys()
{
  if (mFinalRefusal == SendRefusal::KeysStale) {
    mFinalRefusal.reset();
  }
}

void
RequestFlow::OnRejected(Attempt& aAttempt)
{
  LogFailure(aAttempt, "rejected");
  --mAttempts;
  const bool isFull = aAttempt.mConnection->Head().mStatus == kUnavailable;
  if (mState.mSettings.mOverloadControl && isFull && &aAttempt == mRunning) {
    // the request has not run and keeps its rank among those that wait
    mIsReturning = true;
    ++mReturns;
    if (std::exchange(mIsCountedServed, false)) {
      mState.mShares.OnRejected(
        mService, AccountName(), mWork, ReadBootClock());
    }
    mFullUpstreams.insert(aAttempt.mUpstream.mId);
  } else {
    ++mRejections;
  }
  RecordHealth(aAttempt, AttemptHealth::Rejected);
  if (aAttempt.mConnection->Head().mStatus != kMisdirected) {
    mState.OnRejected(aAttempt.mUpstream, aAttempt.mLoad, aAttempt.mSentAt);
  }
  mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
  mLastFailure =
    mMayHaveRun ? RequestEnd::UpstreamFailed : RequestEnd::Rejected;
  aAttempt.mConnection->Abort();
}

void
RequestFlow::CancelReplacement()
{
  if (!mReplacement) {
    return;
  }
  mReplacement->mIsCancelled = true;
  mState.mQueue.Cancel(mReplacement->mTicket);
  if (auto& planned = mReplacement->mPlanned) {
    mState.ReleaseSlot(planned->mLoad);
    planned.reset();
  }
  auto& attempt = mReplacement->mAttempt;
  if (attempt.mConnection) {
    attempt.mConnection->Abort();
  }
  mState.ReleaseSlot(attempt.mLoad);
  if (attempt.mIsSent) {
    mState.mRollouts.OnEnded(mService, mSession, ReadBootClock());
  }
  mReplacement.reset();
}

RequestFlow::NextStep
RequestFlow::OnReplaced(Attempt& aAttempt)
{
  aAttempt.mConnection->Abort();
  mMayHaveRun = true;
  mLastFailure = RequestEnd::UpstreamFailed;
  LogBroken(aAttempt, net::StepEnd::TimedOut);
  return NextStep::Replaced;
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
      { "session", mFacts.mSession },
      // empty: this instance has seen no active request of the session
      { "session_version",
        std::string(mState.mRollouts.ActiveVersion(
          mService, mSession, aAttempt.mSentAt)) },
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

void
RequestFlow::LogBroken(const Attempt& aAttempt, net::StepEnd aEnd) const
{
  log::Write(
    log::Level::Info,
    "attempt_broken",
    { { "request", mFacts.mAttemptId },
      { "upstream", aAttempt.mUpstream.mId },
      { "version", aAttempt.mUpstream.mVersion },
      { "model", aAttempt.mModel },
      { "reason", std::string(net::NameOf(aEnd)) },
      { "send", aAttempt.mConnection->SendOutcome() },
      { "after_ms",
        std::to_string(
          ToMilliseconds(ReadBootClock() - aAttempt.mSentAt).count()) },
      { "events", std::to_string(mEvents.EventCount()) } });
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
      .mPriority = Priority(),
      .mLastEventId = last });
  return net::FormatRequest(message);
}

Duration
RequestFlow::HeadPatience(const Attempt& aAttempt) const
{
  const auto& choice = aAttempt.mChoice;
  if (!IsStream()) {
    return placement::PlainSilenceTimeout(
      choice, mRoute->mTargetLatency, mDeadline - ReadBootClock());
  }
  // an upstream on a fast machine is not given up sooner than others
  const auto expected =
    std::max(choice.mTimeToFirstEvent, choice.mUsualTimeToFirstEvent);
  return expected * kFirstEventTimeoutFactor + kFirstEventTimeoutSlack;
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::OnResponseHead(Attempt& aAttempt)
{
  const auto now = ReadBootClock();
  const auto& head = aAttempt.mConnection->Head();
  const auto facts = mState.mDialect.mReadResponse(head);
  mState.OnResponse(aAttempt.mUpstream, facts, aAttempt.mSentAt);
  if (IsOfOtherRequest(facts)) {
    co_return OnAttemptBroken(aAttempt, net::StepEnd::Malformed, now);
  }
  if (IsRejection(aAttempt, facts)) {
    OnRejected(aAttempt);
    co_return NextStep::Retry;
  }
  mMayHaveRun = true;
  if (!IsOwnResponse(aAttempt, facts)) {
    co_return OnAttemptBroken(aAttempt, net::StepEnd::Malformed, now);
  }
  const bool isFailure =
    head.mStatus >= kFirstServerError || !MayContinue(head);
  if (isFailure) {
    LogFailure(aAttempt, "status_" + std::to_string(head.mStatus));
    RecordHealth(aAttempt, AttemptHealth::Error);
    RecordFailure(aAttempt, false);
    if (mRoute->IsRetryable() && TryAcquireRetry(now)) {
      mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
      mFailedAt = now;
      const bool isReplaced = co_await ReplaceAnswer(
        { .mOverlap = kMaxOverlap, .mWaitsForSlot = true });
      if (isReplaced || mCaller.HasLeft()) {
        mLastFailure = RequestEnd::UpstreamFailed;
        aAttempt.mConnection->Abort();
        co_return NextStep::Replaced;
      }
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
    const bool wasDropped = mAnswerDropped;
    mAnswerDropped = true; // the replacement is planned with a larger model
    const bool isReplaced =
      co_await ReplaceAnswer({ .mOverlap = kMaxRejectionTime });
    if (mCaller.HasLeft()) {
      aAttempt.mConnection->Abort();
      co_return NextStep::Replaced;
    }
    mAnswerDropped = isReplaced || wasDropped;
    if (isReplaced) {
      RecordHealth(aAttempt, AttemptHealth::Good);
      RecordFirstEvent(aAttempt, now);
      aAttempt.mConnection->Abort();
      log::Write(
        log::Level::Info,
        "answer_dropped",
        { { "request", mFacts.mAttemptId },
          { "model", aAttempt.mModel },
          { "confidence", std::to_string(facts.mConfidence.value_or(-1)) },
          { "reading_share", std::to_string(question.mPrefillUtilization) } });
      co_return NextStep::Replaced;
    }
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
  const auto connection = aAttempt.mConnection;
  stream::BufferBudget::Buffer memory(mState.mAnswerMemory,
                                      [connection] { connection->Abort(); });
  if (MayReplace()) {
    WatchSilence(HeadPatience(aAttempt)); // the caller sees no part of a body
  }
  while (!connection->BodyIsWhole()) {
    const auto limit = ToMilliseconds(mDeadline - ReadBootClock());
    auto end = co_await connection->ReadBody(limit);
    if (IsReplaced()) {
      mSilence.Clear();
      co_return OnReplaced(aAttempt);
    }
    if (body.size() + connection->Piece().size() > kMaxBufferedBytes) {
      end = net::StepEnd::Oversized;
    } else {
      body += connection->Piece();
      memory.Resize(body.capacity());
    }
    if (memory.IsEvicted()) {
      end = net::StepEnd::Evicted;
    }
    if (end != net::StepEnd::Done) {
      mSilence.Clear();
      co_return OnAttemptBroken(aAttempt, end, ReadBootClock());
    }
  }
  memory.Retain();
  mSilence.Clear();
  CancelReplacement();
  const auto now = ReadBootClock();
  mPace.OnEvents(now);
  const auto status = connection->Head().mStatus;
  if (status < kFirstServerError) {
    RecordHealth(aAttempt, AttemptHealth::Good);
    mState.mQuarantine.OnServed(mFingerprint, now);
    ClearParts(aAttempt, now);
    RecordFirstEvent(aAttempt, now);
  }
  if (mHeadSent) {
    co_return NextStep::Failed; // an error response cannot continue a stream
  }
  const auto headers = RelayedHeaders(aAttempt);
  KeepConnection(aAttempt);
  mCaller.StopWatching();
  RecordEnd(RequestEnd::Served);
  // from now on the budget of connections counts what the caller does not take
  memory.Resize(0);
  co_await mCaller.Respond(status, headers, body, ClosesConnection());
  co_return NextStep::Ended;
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::RelayStream(Attempt& aAttempt)
{
  const auto connection = aAttempt.mConnection;
  stream::BufferBudget::Buffer memory(mState.mAnswerMemory,
                                      [connection] { connection->Abort(); });
  mEvents.DiscardPartial();
  bool isWatched = false;
  while (!connection->BodyIsWhole()) {
    if (!isWatched && MayReplace() && mRoute->mTargetGap > Duration::zero()) {
      WatchSilence(Scale(mRoute->mTargetGap, kGapTimeoutFraction));
      isWatched = true;
    }
    auto end = co_await connection->ReadBody(
      ToMilliseconds(mDeadline - ReadBootClock()));
    if (IsReplaced()) {
      mSilence.Clear();
      // the replacement continues after the events relayed so far
      co_return OnReplaced(aAttempt);
    }
    const auto now = ReadBootClock();
    const auto known = mEvents.EventCount();
    const auto events = mEvents.Append(connection->Piece());
    memory.Resize(mEvents.PendingBytes());
    if (mEvents.EventCount() > known) {
      // only an event ends a silence, other bytes do not
      mSilence.Clear();
      CancelReplacement();
      isWatched = false;
      mRejections = 0;
      mPace.OnEvents(now);
      if (!aAttempt.IsHandOver()) {
        mState.mContact.OnReceived(now);
        mState.mRollouts.OnEvent(mService, aAttempt.mUpstream.mId, now);
      }
      ClearParts(aAttempt, now);
      RecordFirstEvent(aAttempt, now);
    }
    if (!events.empty()) {
      const bool isSent = co_await SendEvents(aAttempt, events);
      if (!isSent) {
        mSilence.Clear();
        CancelReplacement();
        connection->Abort();
        RecordEnd(RequestEnd::CallerLeft);
        co_return NextStep::Ended;
      }
    }
    if (memory.IsEvicted()) {
      end = net::StepEnd::Evicted;
    } else if (mEvents.IsOverlong()) {
      end = net::StepEnd::Oversized;
    }
    if (end != net::StepEnd::Done) {
      mSilence.Clear();
      co_return OnAttemptBroken(aAttempt, end, now);
    }
  }
  mSilence.Clear();
  CancelReplacement();
  const auto now = ReadBootClock();
  if (mEvents.HasPartial() || mEvents.EventCount() == 0) {
    co_return OnAttemptBroken(aAttempt, net::StepEnd::Closed, now);
  }
  RecordHealth(aAttempt, AttemptHealth::Good);
  mState.mQuarantine.OnServed(mFingerprint, now);
  KeepConnection(aAttempt);
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
  const auto headers = RelayedHeaders(aAttempt);
  const auto status = aAttempt.mConnection->Head().mStatus;
  co_return co_await mCaller.BeginStream(
    status, headers, aEvents, ClosesConnection());
}

RequestFlow::NextStep
RequestFlow::OnAttemptBroken(Attempt& aAttempt,
                             net::StepEnd aEnd,
                             TimePoint aNow)
{
  if (aAttempt.IsHandOver()) {
    return OnHandOverBroken(aAttempt, aEnd, aNow);
  }
  aAttempt.mConnection->Abort();
  mEvents.DiscardPartial();
  ForgetStaleKeys();
  mMayHaveRun = true;
  mFailedAt = aNow;
  if (mCaller.HasLeft()) {
    return NextStep::Failed;
  }
  if (mIsInterrupted) {
    mLastFailure = RequestEnd::Stopping;
    return NextStep::Failed;
  }
  LogBroken(aAttempt, aEnd);
  RecordHealth(aAttempt,
               aEnd == net::StepEnd::TimedOut ? AttemptHealth::TimedOut
                                              : AttemptHealth::Broken);
  if (!aAttempt.mWasSilent) {
    RecordFailure(aAttempt, true);
  }
  mAvoidedUpstreams.insert(aAttempt.mUpstream.mId);
  mState.mPool.Drop({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort });
  // the timer of a step may fire slightly before the deadline it was set from
  const bool hasTimedOut =
    aNow >= mDeadline ||
    (aEnd == net::StepEnd::TimedOut && aNow + kMinAttemptTime >= mDeadline);
  if (hasTimedOut) {
    CancelReplacement();
    mLastFailure = RequestEnd::RouteTimeout;
    return NextStep::Failed;
  }
  const bool mayHaveCrashed =
    aEnd == net::StepEnd::Closed && !mState.mContact.IsLost();
  if (mayHaveCrashed && !aAttempt.mHadEvent) {
    StartCrashCheck(aAttempt, aNow);
  }
  mLastFailure = RequestEnd::UpstreamFailed;
  if (mReplacement && mReplacement->mAttempt.mIsSent) {
    mReplacement->mIsAccepted = true;
    return NextStep::Replaced;
  }
  CancelReplacement();
  return NextStepAfterFailure();
}

void
RequestFlow::StartCrashCheck(const Attempt& aAttempt, TimePoint aNow)
{
  ++mSuspectedCrashes;
  const bool wantsNothing =
    mState.mBoard.IsLeaving(aAttempt.mUpstream) || // it may have stopped since
    mState.mBoard.IsPausing(aAttempt.mUpstream, aNow);
  if (wantsNothing) {
    return;
  }
  // after two suspected crashes the request is treated as the cause, regardless
  // of the other requests that ran on the upstream
  const bool isRepeated = mSuspectedCrashes >= kMaxCrashes;
  const auto inFlight = mState.mBoard.InFlight(aAttempt.mUpstream.mId);
  const auto isChecked = std::make_shared<bool>(false);
  if (!mState.mParts.SuspectsAmong(mParts, aNow).empty()) {
    mCrashChecked = isChecked;
    mCrashCheckStartedAt = aNow;
  }
  net::asio::co_spawn(aAttempt.mConnection->Executor(),
                      CheckCrash(mState,
                                 { .mAddress = aAttempt.mUpstream.mAddress,
                                   .mPort = aAttempt.mUpstream.mPort },
                                 { .mFingerprint = mFingerprint,
                                   .mUpstream = aAttempt.mUpstream.mId,
                                   .mSeenAt = aNow,
                                   .mInFlight = isRepeated ? 1 : inFlight },
                                 mParts),
                      [isChecked](const std::exception_ptr& aError) {
                        *isChecked = true;
                        if (aError) {
                          std::rethrow_exception(aError);
                        }
                      });
}

void
RequestFlow::ClearParts(const Attempt& aAttempt, TimePoint aNow)
{
  const auto status = aAttempt.mConnection->Head().mStatus;
  const bool isAnswered = status >= kFirstSuccess && status < kFirstRedirect;
  if (isAnswered && !aAttempt.mHadEvent) {
    mState.mParts.OnServed(mParts, aNow);
  }
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
  if (aAttempt.IsHandOver()) {
    return;
  }
  mState.mBoard.OnOutcome(aAttempt.mUpstream.mId, aHealth, ReadBootClock());
}

void
RequestFlow::RecordFirstEvent(Attempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.mHadEvent) {
    return;
  }
  aAttempt.mHadEvent = true;
  constexpr double kMicrosPerMillisecond = 1'000.0;
  mState.mMetrics
    .HistogramOf("figslip_first_event_ms", { { "route", mRoute->mName } })
    .Observe(static_cast<double>((aNow - mArrivedAt).count()) /
             kMicrosPerMillisecond);
  if (aAttempt.IsHandOver()) {
    return;
  }
  mState.mBoard.OnFirstEvent(aAttempt.mLoad, aNow);
  if (aAttempt.mModelIndex + 1 == mRoute->mModels.size()) {
    mState.mLargestModelDelay[mService].OnSample(
      aNow - aAttempt.mSentAt, aAttempt.mChoice.mTimeToFirstEvent, aNow);
  }
  mState.mRollouts.OnEvent(mService, aAttempt.mUpstream.mId, aNow);
  if (aAttempt.mWasSilent) {
    return; // its sample was taken then
  }
  mState.mRollouts.OnSample(
    mService,
    aAttempt.mUpstream.mVersion,
    rollout::SampleOf(mRoute->mName,
                      aNow - aAttempt.mSentAt,
                      aAttempt.mChoice.mUsualTimeToFirstEvent,
                      MachineOf(aAttempt)));
}

void
RequestFlow::RecordFailure(const Attempt& aAttempt,
                           bool aIsBroken,
                           Duration aSilentFor)
{
  const auto machine = MachineOf(aAttempt);
  mState.mRollouts.OnSample(
    mService,
    aAttempt.mUpstream.mVersion,
    { .mRoute = mRoute->mName,
      .mFailed = true,
      .mAbortedBy = aIsBroken ? aAttempt.mUpstream.mId : std::string(),
      .mAbortedAt = ReadBootClock(),
      .mSilentFor = aSilentFor,
      .mHadEvent = aAttempt.mHadEvent,
      .mLatencyRatio = std::nullopt,
      .mMachine = machine ? machine->mUpstream : std::string(),
      .mMachineCount = machine ? machine->mCount : 0 });
}

std::optional<rollout::MachineSpeed>
RequestFlow::MachineOf(const Attempt& aAttempt) const
{
  const auto& upstream = aAttempt.mUpstream;
  const auto factor = mState.mBoard.ReportedTimeFactor(upstream.mId);
  return factor ? std::optional(rollout::MachineSpeed{
                    .mUpstream = upstream.mId,
                    .mTimeFactor = *factor,
                    .mCount = mState.mBoard.VersionSize(upstream) })
                : std::nullopt;
}

} // namespace figslip::gateway
