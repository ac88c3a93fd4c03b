#include <figslip/gateway/request_flow.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/time/wall_clock.hpp>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace figslip::gateway {

namespace {

using std::chrono::milliseconds;

/// Maximum size of a buffered event of a stream.
constexpr std::size_t kMaxEventBytes = 262'144;

/// Time in which a started instance is expected to receive its configuration;
/// requests wait for it for a fraction of their callers' timeout.
constexpr auto kStartupTime = milliseconds(800);
constexpr int kStartupWaitDivisor = 4;

/// Time that a retry waits for the check whether a suspected part crashed the
/// upstream. The least time lets other instances' connections break too.
constexpr auto kMinCrashCheckTime = milliseconds(60);
constexpr auto kMaxCrashCheckTime = milliseconds(120);
constexpr auto kCrashCheckPollInterval = milliseconds(5);

/// Part of the timeout for which a request may wait for a slot; the rest is
/// left for its attempts. Callers give up on `Retry-After` after the same part.
constexpr int kSlotWaitDivisor = 3;

/// Pause before a request returns to the queue after its second rejection; it
/// doubles with each further one. The first return may find another upstream
/// free at once; later ones must not be sent to full upstreams in a loop.
constexpr auto kReturnPause = milliseconds(10);
constexpr auto kMaxReturnPause = milliseconds(160);

/// Attempts that upstreams may reject, in addition to the attempts that may
/// run.
constexpr int kMaxRejections = 3;

std::uint64_t
HashOf(std::string_view aText, std::uint64_t aSeed = 0)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

/// Returns the session; without one, requests on the same subject of a prompt
/// count as a session.
rollout::SessionId
SessionOf(const ingress::RequestMetadata& aFacts)
{
  if (!aFacts.mSession.empty()) {
    return { .mHash = HashOf(aFacts.mSession) };
  }
  if (aFacts.mPrompt.size() > 1) {
    const auto subject = aFacts.mPrompt.rbegin()[1].mId;
    return { .mHash = XXH3_64bits(&subject, sizeof(subject)) };
  }
  return { .mHash = HashOf(aFacts.mAttemptId), .mIsSingle = true };
}

/// Returns the parts of the prompt that other requests may share.
std::vector<quarantine::PartId>
SharedPartsOf(const ingress::RequestMetadata& aFacts)
{
  std::vector<quarantine::PartId> parts;
  for (std::size_t index = 0; index + 1 < aFacts.mPrompt.size(); ++index) {
    parts.push_back(aFacts.mPrompt[index].mId);
  }
  return parts;
}

std::string
FormatMilliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<milliseconds>(aTime).count());
}

} // namespace

RequestFlow::RequestFlow(TrafficState& aState,
                         std::shared_ptr<net::CallerConnection> aCaller,
                         std::optional<handover::Ticket> aTicket)
  : mState(aState)
  , mCallerConnection(std::move(aCaller))
  , mCaller(*mCallerConnection)
  , mTicket(std::move(aTicket))
  , mConfiguration(aState.mConfiguration)
  , mArrivedAt(ReadBootClock())
  , mSilence(mCaller.Executor(), [this] { OnSilence(); })
  , mEvents(kMaxEventBytes)
{
  if (mTicket) {
    mArrivedAt -= mTicket->mAge;
    mAttempts = mTicket->mAttempts;
    mTransmissions = mTicket->mAttempts;
    mIsDemandCounted = mTicket->mIsCounted;
  }
}

net::Awaitable<bool>
RequestFlow::Run()
{
  ++mState.mOpenRequests;
  auto facts = mState.mDialect.mReadRequest(mCaller.Request());
  if (!facts) {
    co_await Refuse(RequestEnd::Malformed);
  } else {
    mFacts = std::move(facts).assume_value();
    mParts = SharedPartsOf(mFacts);
    if (mTicket && !mTicket->mLastEventId.empty()) {
      mFacts.mLastEventId = mTicket->mLastEventId;
    }
    mCaller.WatchLeaving([this] {
      if (mRunning != nullptr && mRunning->mConnection) {
        mRunning->mConnection->Abort();
      }
      CancelReplacement();
      LeaveQueue();
    });
    if (!mTicket) {
      co_await AwaitReadiness();
    }
    const auto refusal = Admit();
    if (refusal) {
      mCaller.StopWatching();
      co_await Refuse(*refusal);
    } else {
      co_await Serve();
      mCaller.StopWatching();
    }
  }
  --mState.mOpenRequests;
  co_return !mCaller.HasLeft() && !ClosesConnection() &&
    mLastFailure != RequestEnd::BrokenMidway;
}

net::Awaitable<void>
RequestFlow::AwaitReadiness()
{
  const Duration patience = mFacts.mTimeout.value_or(kStartupTime);
  const auto until = std::min(mArrivedAt + patience / kStartupWaitDivisor,
                              mState.mStartedAt + kStartupTime);
  while (!mState.IsReady() && !mState.IsStopping() && !mCaller.HasLeft() &&
         ReadBootClock() < until) {
    co_await net::Sleep(kSlotPollInterval);
  }
  mConfiguration = mState.mConfiguration;
}

std::optional<RequestEnd>
RequestFlow::Admit()
{
  if (mState.mDrain && ReadBootClock() >= mState.mDrain->RefusesFrom()) {
    return RequestEnd::Stopping;
  }
  if (!mConfiguration || !mState.mHasUpstreams) {
    return RequestEnd::NotReady;
  }
  if (const auto refusal = AdmitHandOver()) {
    return refusal;
  }
  const auto now = ReadBootClock();
  const bool isFresh = mState.mLease.IsHeld(now);
  const auto host = net::FindHeader(mCaller.Request().mHeaders, "host");
  const auto path = PathOf(mCaller.Request().mTarget);
  mRoute = mConfiguration->MatchRoute(host.value_or(""), path);
  if (mRoute == nullptr) {
    // a stale configuration may lack a route that was added since
    return isFresh ? RequestEnd::NoRoute : RequestEnd::StaleKeys;
  }
  if (const auto refusal = AdmitAccount()) {
    return refusal;
  }
  mFingerprint = HashOf(mCaller.Request().mBody, HashOf(path));
  if (mAccount != nullptr) {
    mFingerprint = HashOf(mAccount->mName, mFingerprint);
  }
  if (mState.mQuarantine.IsQuarantined(mFingerprint, mArrivedAt) ||
      mState.mParts.IsQuarantined(mParts, now)) {
    return RequestEnd::CrashesUpstreams;
  }
  mSession = SessionOf(mFacts);
  mService = ingress::ChooseService(*mRoute, mSession.mHash);
  const auto patience =
    std::min(mFacts.mTimeout.value_or(mRoute->mTimeout), mRoute->mTimeout);
  mDeadline = mArrivedAt + patience;
  mSlotDeadline = mArrivedAt + std::min(patience / 3, mRoute->mTargetLatency);
  const auto hold = HoldOfSession(now);
  if (hold && !MayWaitFor(*hold)) {
    return RequestEnd::VersionWithdrawn;
  }
  if (mState.mDrain &&
      !mState.mDrain->Admits(now, mDeadline, mRoute->IsRetryable())) {
    return RequestEnd::Stopping;
  }
  if (mState.mSettings.mOverloadControl) {
    mWork =
      admission::ExpectedWork(mFacts.mPromptTokens, mFacts.mMaxOutputTokens);
  }
  return std::nullopt;
}

std::optional<RequestEnd>
RequestFlow::AdmitHandOver() const
{
  if (!mTicket) {
    return std::nullopt;
  }
  if (!mState.mContact.IsHeld()) {
    return RequestEnd::NoContact;
  }
  if (mState.IsBusy()) {
    return RequestEnd::Busy;
  }
  if (mConfiguration->Version() < mTicket->mConfiguration) {
    return RequestEnd::OlderConfiguration;
  }
  return std::nullopt;
}

void
RequestFlow::CountDemand()
{
  if (mState.mSettings.mOverloadControl && !mIsDemandCounted) {
    mIsDemandCounted = true;
    mState.mShares.OnOffered(mService, AccountName(), mWork, ReadBootClock());
  }
}

std::optional<RequestEnd>
RequestFlow::AdmitAccount()
{
  if (mRoute->mPublic || mConfiguration->Content().mAccounts.empty()) {
    return std::nullopt;
  }
  if (!mState.mLease.IsHeld(ReadBootClock())) {
    return RequestEnd::StaleKeys;
  }
  mAccount = mConfiguration->FindAccount(mFacts.mApiKey);
  return mAccount == nullptr ? std::optional(RequestEnd::UnknownKey)
                             : std::nullopt;
}

void
RequestFlow::Interrupt()
{
  mIsInterrupted = true;
  if (mRunning != nullptr && mRunning->mConnection) {
    mRunning->mConnection->Abort();
  }
  CancelReplacement();
  LeaveQueue();
}

net::Awaitable<void>
RequestFlow::Serve()
{
  while (!mEnded && !mCaller.HasLeft()) {
    const auto now = ReadBootClock();
    if (mIsInterrupted) {
      mLastFailure = RequestEnd::Stopping;
      break;
    }
    if (now + kMinAttemptTime >= mDeadline && !IsReplaced()) {
      mLastFailure = RequestEnd::RouteTimeout;
      break;
    }
    if (!IsReplaced() && mState.mParts.IsQuarantined(mParts, now)) {
      mLastFailure = RequestEnd::CrashesUpstreams;
      break;
    }
    if (const auto hold = HoldOfSession(now)) {
      if (MayWaitFor(*hold)) {
        co_await net::Sleep(kSlotPollInterval);
        continue;
      }
      mLastFailure = RequestEnd::VersionWithdrawn;
      break;
    }
    if (MayHandOver(now)) {
      const auto next = co_await HandOver();
      if (next == NextStep::Ended) {
        co_return;
      }
      const bool mayGoOn =
        next == NextStep::Declined ||
        (next == NextStep::Retry && MayRetry(ReadBootClock()));
      if (!mayGoOn) {
        break;
      }
      continue;
    }
    CountDemand();
    // a search for a replacement may still hold the one that was accepted
    const auto replacement =
      IsReplaced() ? std::exchange(mReplacement, nullptr) : nullptr;
    std::optional<Attempt> planned;
    Attempt* attempt = replacement ? &replacement->mAttempt : nullptr;
    const bool mustYield =
      mState.mSlotWaiters.MustYield(mService, mCaller.IsPipelined());
    if (attempt == nullptr && mState.mSettings.mOverloadControl) {
      const auto step = co_await AwaitSlot();
      if (step == SlotStep::Again) {
        continue;
      }
      if (step == SlotStep::Failed) {
        break;
      }
      planned = std::exchange(mPlanned, std::nullopt);
      attempt = &*planned;
    } else if (attempt == nullptr && !mustYield) {
      planned = PlanAttempt(now);
      attempt = planned ? &*planned : nullptr;
    }
    if (attempt == nullptr) {
      const auto reason =
        mustYield ? placement::NoChoiceReason::AllFull
                  : mState.mBoard.ExplainNoChoice(MakePlacementQuery(""), now);
      if (MayWait(reason, now)) {
        if (reason == placement::NoChoiceReason::AllFull &&
            !mCaller.IsPipelined() && !mSlotWait) {
          mSlotWait.emplace(mState.mSlotWaiters, mService);
        }
        co_await net::Sleep(kSlotPollInterval);
        continue;
      }
      LogNoSlot(reason, now);
      if (mSends == 0) {
        mLastFailure = reason == placement::NoChoiceReason::NoUpstream
                         ? RequestEnd::NoUpstream
                         : RequestEnd::NoCapacity;
      }
      break;
    }
    mSlotWait.reset();
    const auto next = co_await RunAttempt(*attempt);
    if (next == NextStep::Ended) {
      co_return;
    }
    co_await AwaitCrashCheck();
    const bool mayHandOver = next == NextStep::Retry && mTransmissions == 0 &&
                             MayHandOver(ReadBootClock());
    const bool mayGoOn = next == NextStep::Replaced || mayHandOver ||
                         (next == NextStep::Retry && MayRetry(ReadBootClock()));
    if (!mayGoOn) {
      break;
    }
  }
  mSlotWait.reset();
  CancelReplacement();
  if (mCaller.HasLeft()) {
    RecordEnd(RequestEnd::CallerLeft);
  } else if (mHeadSent) {
    co_await AbortStream();
  } else {
    mCaller.StopWatching();
    co_await Refuse(mLastFailure);
  }
}

net::Awaitable<RequestFlow::SlotStep>
RequestFlow::AwaitSlot()
{
  if (mIsReturning) {
    const auto step = co_await PrepareReturn();
    if (step != SlotStep::Planned) {
      co_return step;
    }
  }
  if (const auto step = PlanDirect()) {
    co_return *step;
  }
  ForgetFullUpstreams();
  const auto now = ReadBootClock();
  const auto reason =
    mState.mBoard.ExplainNoChoice(MakePlacementQuery(""), now);
  if (!MayQueue(reason, now)) {
    LogNoSlot(reason, now);
    if (mState.IsStopping()) {
      mLastFailure = RequestEnd::Stopping;
    } else if (mSends == 0) {
      mLastFailure = reason == placement::NoChoiceReason::NoUpstream
                       ? RequestEnd::NoUpstream
                       : RequestEnd::NoCapacity;
    }
    co_return SlotStep::Failed;
  }
  const auto end = co_await WaitInQueue();
  if (end == WaitEnd::Stopping) {
    mLastFailure = RequestEnd::Stopping;
  } else if (end == WaitEnd::Refused && mSends == 0) {
    mLastFailure = RequestEnd::NoCapacity;
  }
  if (end == WaitEnd::PlanAgain) {
    co_return SlotStep::Again;
  }
  co_return end == WaitEnd::Admitted ? SlotStep::Planned : SlotStep::Failed;
}

std::optional<RequestFlow::SlotStep>
RequestFlow::PlanDirect()
{
  const auto now = ReadBootClock();
  const auto offer = MakeOffer(now);
  if (mState.mQueue.MustWait(offer)) {
    return std::nullopt;
  }
  mRetryAfter = mState.mQueue.RefuseDirect(offer, mFacts.mAttemptId, now);
  if (mRetryAfter) {
    if (mSends == 0) {
      mLastFailure = RequestEnd::NoCapacity;
    }
    return SlotStep::Failed;
  }
  if (TryPlan(mPlanned) != admission::AdmissionResult::Admitted) {
    return std::nullopt;
  }
  mState.mQueue.OnAdmittedDirect(offer, now);
  if (!mQueueArrival) {
    mQueueArrival = mState.mQueue.IssueArrival();
  }
  mWasAdmitted = true;
  mWasQueued = false;
  return SlotStep::Planned;
}

net::Awaitable<RequestFlow::SlotStep>
RequestFlow::PrepareReturn()
{
  const auto pause =
    mReturns < 2
      ? milliseconds(0)
      : std::min<milliseconds>(kMaxReturnPause,
                               kReturnPause * (1 << std::min(mReturns - 2, 4)));
  const auto until = ReadBootClock() + pause;
  while (ReadBootClock() < until && !mCaller.HasLeft() && !mIsInterrupted &&
         !mState.IsStopping()) {
    co_await net::Sleep(kSlotPollInterval);
  }
  if (mCaller.HasLeft() || mIsInterrupted) {
    co_return SlotStep::Again;
  }
  if (mReturns > 1) {
    ForgetFullUpstreams();
  }
  const auto now = ReadBootClock();
  if (!MayReturn(now)) {
    if (mState.IsStopping()) {
      mLastFailure = RequestEnd::Stopping;
    }
    co_return SlotStep::Failed;
  }
  if (TryAcquireRetry(now)) {
    mIsReturning = false;
    co_return SlotStep::Planned;
  }
  // the budget of retries fills up again while time is left
  co_await net::Sleep(kSlotPollInterval);
  co_return SlotStep::Again;
}

bool
RequestFlow::MayRetry(TimePoint aNow)
{
  return mIsReturning ? MayReturn(aNow) : TryAcquireRetry(aNow);
}

bool
RequestFlow::MayReturn(TimePoint aNow) const
{
  return !mFinalRefusal && !mIsInterrupted && !mState.IsStopping() &&
         aNow < LatestAdmission();
}

net::Awaitable<WaitEnd>
RequestFlow::WaitInQueue()
{
  const auto now = ReadBootClock();
  mState.mShares.OnShortage(mService, now);
  SlotQueue::Request request;
  request.mOffered = MakeOffer(now);
  request.mAttemptId = mFacts.mAttemptId;
  request.mExecutor = mCaller.Executor();
  request.mTry = [this] { return TryPlan(mPlanned); };
  mQueueTicket = request.mOffered.mQueued.mTicket;
  const auto outcome = co_await mState.mQueue.Wait(std::move(request));
  mQueueTicket = 0;
  mRetryAfter = outcome.mRetryAfter;
  if (outcome.mArrival) {
    mQueueArrival = outcome.mArrival;
  }
  mWasQueued = outcome.mEnd == WaitEnd::Admitted;
  mWasAdmitted = mWasQueued;
  const bool isLost = !mPlanned || mCaller.HasLeft() || mIsInterrupted;
  if (mWasQueued && isLost) {
    LeaveQueue();
    co_return WaitEnd::PlanAgain;
  }
  co_return outcome.mEnd;
}

void
RequestFlow::LeaveQueue()
{
  mState.mQueue.Cancel(mQueueTicket);
  if (mPlanned) {
    mState.ReleaseSlot(mPlanned->mLoad);
    mPlanned.reset();
  }
}

admission::OfferedRequest
RequestFlow::MakeOffer(TimePoint aNow)
{
  const auto inTimeBy = mArrivedAt + mRoute->mTargetLatency -
                        mState.mQueue.ExpectedFirstEvent(mService);
  const auto& account = AccountName();
  return { .mQueued = { .mTicket = mState.mQueue.IssueTicket(),
                        .mCapacityClass = CapacityClass(),
                        .mAccount = account,
                        .mShare = mState.mShares.WeightOf(mService, account),
                        .mCost = mWork,
                        // a priority of the account is the same for all of them
                        .mPriority = mRoute->mPriority,
                        .mFormerArrival = mQueueArrival,
                        .mWasRejected = mWasQueued && !mMayHaveRun },
           .mService = mService,
           .mBytes = mCaller.Request().mBody.size(),
           // a request that has just come is not refused without an estimate
           .mInTimeBy = std::max(inTimeBy, aNow),
           .mLateBy = LatestAdmission(),
           .mHash = HashOf(mFacts.mAttemptId),
           // the admission of an attempt that may have run stands
           .mWasAdmitted = mWasAdmitted && !mMayHaveRun,
           .mIsReplacement = mMayHaveRun };
}

admission::OfferedRequest
RequestFlow::MakeReplacementOffer(TimePoint aNow)
{
  auto offer = MakeOffer(aNow);
  // the admission of the running attempt stands
  offer.mQueued.mWasRejected = false;
  offer.mWasAdmitted = false;
  offer.mIsReplacement = true;
  return offer;
}

std::string
RequestFlow::CapacityClass() const
{
  auto name = mService;
  const auto now = ReadBootClock();
  for (const auto& version : mState.mBoard.VersionsOf(mService)) {
    if (mState.mRollouts.Allows(mService, version, mSession, now)) {
      name += " version " + version;
    }
  }
  for (const auto& region : mRoute->mAllowedRegions) {
    name += " region " + region;
  }
  return name;
}

TimePoint
RequestFlow::LatestAdmission() const
{
  const auto from = mFailedAt.value_or(mArrivedAt);
  return from + (mDeadline - from) / kSlotWaitDivisor;
}

const std::string&
RequestFlow::AccountName() const
{
  static const std::string sNone; // of a public route
  return mAccount == nullptr ? sNone : mAccount->mName;
}

int
RequestFlow::Priority() const
{
  return mAccount != nullptr && mAccount->mPriority ? *mAccount->mPriority
                                                    : mRoute->mPriority;
}

void
RequestFlow::ForgetFullUpstreams()
{
  for (const auto& upstream : std::exchange(mFullUpstreams, {})) {
    mAvoidedUpstreams.erase(upstream);
  }
}

admission::AdmissionResult
RequestFlow::TryPlan(std::optional<Attempt>& aPlanned)
{
  using admission::AdmissionResult;
  const auto now = ReadBootClock();
  const bool isBlocked =
    mIsInterrupted || mCaller.HasLeft() || now + kMinAttemptTime >= mDeadline ||
    HoldOfSession(now) || mState.mParts.IsQuarantined(mParts, now) ||
    MayHandOver(now);
  if (isBlocked) {
    return AdmissionResult::Unschedulable;
  }
  aPlanned = PlanAttempt(now);
  if (aPlanned) {
    mState.mQueue.OnPlanned(mService, aPlanned->mChoice.mTimeToFirstEvent);
    return AdmissionResult::Admitted;
  }
  const auto reason =
    mState.mBoard.ExplainNoChoice(MakePlacementQuery(""), now);
  if (reason == placement::NoChoiceReason::NoUpstream) {
    return AdmissionResult::Unschedulable;
  }
  // the share of this instance may still cover accounts within their share
  const bool isPassedOver = mState.mBoard.PacedRate(mService, now) &&
                            mState.mShares.IsOverShare(mService, AccountName());
  return isPassedOver ? AdmissionResult::NoCapacityForAccount
                      : AdmissionResult::NoCapacity;
}

bool
RequestFlow::MayQueue(placement::NoChoiceReason aReason, TimePoint aNow)
{
  using placement::NoChoiceReason;
  // a request that may run only once waits only while it has not run
  const bool mayStillRun = mRoute->IsRetryable() || !mMayHaveRun;
  if (aReason == NoChoiceReason::NoUpstream || mState.IsStopping() ||
      !mayStillRun) {
    return false;
  }
  const bool isUntilKnownTime = aReason == NoChoiceReason::AllPausing ||
                                aReason == NoChoiceReason::AllLimited;
  const auto from =
    isUntilKnownTime
      ? mState.mBoard.EarliestReturn(MakePlacementQuery(""), aNow)
          .value_or(aNow)
      : aNow;
  return from < LatestAdmission();
}

std::optional<rollout::SessionHold>
RequestFlow::HoldOfSession(TimePoint aNow) const
{
  // an attempt that was sent has settled the version of the session
  return mTransmissions > 0 ? std::nullopt
                            : mState.mRollouts.HoldOf(mService, mSession, aNow);
}

net::Awaitable<void>
RequestFlow::AwaitCrashCheck()
{
  const auto checked = std::exchange(mCrashChecked, nullptr);
  if (!checked) {
    co_return;
  }
  const auto elapsed = [&] { return ReadBootClock() - mCrashCheckStartedAt; };
  while (elapsed() < kMinCrashCheckTime ||
         (!*checked && elapsed() < kMaxCrashCheckTime)) {
    co_await net::Sleep(kCrashCheckPollInterval);
  }
}

bool
RequestFlow::MayWait(placement::NoChoiceReason aReason, TimePoint aNow)
{
  switch (aReason) {
    case placement::NoChoiceReason::NoUpstream:
      return false;
    case placement::NoChoiceReason::AllPausing:
    case placement::NoChoiceReason::AllLimited:
      return mState.mBoard.EarliestReturn(MakePlacementQuery(""), aNow) <
             mSlotDeadline;
    case placement::NoChoiceReason::AllCold:
    case placement::NoChoiceReason::AllFull:
      break;
  }
  return aNow < mSlotDeadline;
}

bool
RequestFlow::TryAcquireRetry(TimePoint aNow)
{
  const int limit = std::max(1, mRoute->mMaxAttempts);
  const bool isPossible = !mFinalRefusal && mAttempts < limit &&
                          mAttempts + mRejections < limit + kMaxRejections &&
                          aNow + kMinAttemptTime < mDeadline;
  if (!isPossible) {
    return false;
  }
  // an attempt before any transmission needs no retry; the budget is charged
  // once for each attempt, even if this function is called again
  mHasRetry = mHasRetry || mTransmissions == 0 ||
              mState.mRetries.TryConsume(mService, aNow);
  if (!mHasRetry) {
    LogRetryRefused();
  }
  return mHasRetry;
}

void
RequestFlow::LogRetryRefused() const
{
  log::Write(log::Level::Info,
             "repeat_refused",
             { { "request", mFacts.mAttemptId },
               { "service", mService },
               { "attempts", std::to_string(mAttempts) },
               { "instances", std::to_string(mState.mInstanceCount) },
               { "reason", "budget" } });
}

void
RequestFlow::LogNoSlot(placement::NoChoiceReason aReason, TimePoint aNow) const
{
  log::Write(
    log::Level::Info,
    "no_place",
    { { "request", mFacts.mAttemptId },
      { "service", mService },
      { "reason", std::string(placement::NameOf(aReason)) },
      { "occupancy",
        std::to_string(mState.mBoard.SlotUtilization(mService, aNow)) },
      { "waited_ms", FormatMilliseconds(aNow - mArrivedAt) } });
}

placement::PlacementQuery
RequestFlow::MakePlacementQuery(std::string_view aModel)
{
  const bool isEngine = !mFacts.mPrompt.empty();
  return { .mService = mService,
           .mModel = aModel,
           .mPrompt = isEngine ? &mFacts.mPrompt : nullptr,
           .mPromptTokens = mFacts.mPromptTokens,
           .mOutputTokens = mFacts.mMaxOutputTokens,
           .mAllowsVersion =
             [this](std::string_view aVersion) {
               return mState.mRollouts.Allows(
                 mService, aVersion, mSession, ReadBootClock());
             },
           .mExcludedUpstreams = &mAvoidedUpstreams,
           .mRegions = &mRoute->mAllowedRegions,
           .mMayRetry = mRoute->IsRetryable(),
           .mCost = mWork,
           .mIsOverShare =
             mState.mShares.IsOverShare(mService, AccountName()) };
}

cascade::SizeQuery
RequestFlow::SizeQuestionOf(TimePoint aNow)
{
  const auto& models = mRoute->mModels;
  const auto largest =
    mState.mBoard.Choose(MakePlacementQuery(models.back()), aNow);
  const auto expected =
    largest ? largest->mTimeToFirstEvent : Duration(mRoute->mTimeout);
  return { .mModels = models.size(),
           .mAttemptsLeft = mRoute->mMaxAttempts - mAttempts,
           .mTimeToTarget = mArrivedAt + mRoute->mTargetLatency - aNow,
           .mLargestFirstEvent =
             mState.mLargestModelDelay[mService].Apply(expected, aNow),
           .mWasAnswerRejected = mAnswerDropped,
           .mPrefillUtilization =
             mState.mBoard.PrefillUtilization(mService, aNow) };
}

std::optional<RequestFlow::Attempt>
RequestFlow::PlanAttempt(TimePoint aNow)
{
  Attempt attempt;
  attempt.mModel = mFacts.mModel;
  const auto& models = mRoute->mModels;
  if (!models.empty()) {
    attempt.mModelIndex = mState.mSizePolicy.Choose(SizeQuestionOf(aNow));
    attempt.mModel = models.at(attempt.mModelIndex);
  }
  auto query = MakePlacementQuery(attempt.mModel);
  auto choice = mState.mBoard.Choose(query, aNow);
  if (!choice && !mAvoidedUpstreams.empty() && mRoute->IsRetryable()) {
    // an upstream that failed this request is better than none
    mAvoidedUpstreams.clear();
    choice = mState.mBoard.Choose(query, aNow);
  }
  if (!choice) {
    auto anyUpstream = query;
    anyUpstream.mExcludedUpstreams = nullptr;
    const bool lacksUpstream =
      mState.mBoard.ExplainNoChoice(anyUpstream, aNow) ==
      placement::NoChoiceReason::NoUpstream;
    query.mAllowsVersion = [&, lacksUpstream](std::string_view aVersion) {
      return mState.mRollouts.AllowsFallback(
        mService, aVersion, mSession, lacksUpstream, aNow);
    };
    choice = mState.mBoard.Choose(query, aNow);
  }
  if (!choice) {
    return std::nullopt;
  }
  attempt.mChoice = *choice;
  attempt.mUpstream = *choice->mUpstream;
  attempt.mLoad = mState.mBoard.Reserve(*choice, query, aNow);
  return attempt;
}

std::optional<SendRefusal>
RequestFlow::RefusalToSend(const Attempt& aAttempt, TimePoint aNow) const
{
  if (mAccount != nullptr) {
    if (!mState.mLease.IsHeld(aNow)) {
      return SendRefusal::KeysStale;
    }
    switch (
      mState.mConfiguration->StateOfKey(mFacts.mApiKey, mAccount->mName)) {
      case ingress::KeyState::Revoked:
        return SendRefusal::KeyRevoked;
      case ingress::KeyState::Reassigned:
        return SendRefusal::KeyReassigned;
      case ingress::KeyState::Valid:
        break;
    }
  }
  if (!mState.mBoard.MaySend(aAttempt.mUpstream.mId, aNow)) {
    return mState.mBoard.IsPausing(aAttempt.mUpstream, aNow)
             ? SendRefusal::UpstreamPausing
             : SendRefusal::UpstreamClosed;
  }
  if (!mState.mRollouts.IsOpen(mService, aAttempt.mUpstream.mVersion)) {
    return SendRefusal::VersionClosed;
  }
  if (HoldOfSession(aNow)) {
    return SendRefusal::SessionHeld;
  }
  if (mState.mParts.IsQuarantined(mParts, aNow)) {
    return SendRefusal::PartQuarantined;
  }
  return std::nullopt;
}

std::string
RequestFlow::RetryAfterOf(const EndDescription& aEnd)
{
  const bool lacksCapacity =
    aEnd.mEnd == RequestEnd::NoCapacity || aEnd.mEnd == RequestEnd::Rejected;
  const auto queue = lacksCapacity ? mRetryAfter : std::nullopt;
  if (!mPeerRetryAfter.empty()) {
    return mPeerRetryAfter;
  }
  const auto upstreams = EarliestReturn(aEnd.mEnd);
  if (!queue && !upstreams) {
    return std::string(aEnd.mRetryAfter);
  }
  const auto time = std::max(queue.value_or(Duration::zero()),
                             upstreams.value_or(Duration::zero()));
  return std::to_string(std::chrono::duration<double>(time).count());
}

std::optional<Duration>
RequestFlow::EarliestReturn(RequestEnd aEnd)
{
  const bool lacksUpstream = aEnd == RequestEnd::NoUpstream ||
                             aEnd == RequestEnd::NoCapacity ||
                             aEnd == RequestEnd::Rejected;
  const bool isHeld = aEnd == RequestEnd::VersionWithdrawn;
  if (!(lacksUpstream || isHeld) || mRoute == nullptr) {
    return std::nullopt;
  }
  const auto now = ReadBootClock();
  auto query = MakePlacementQuery("");
  query.mExcludedUpstreams = nullptr; // the caller's next request may go there
  const auto hold = HoldOfSession(now);
  const auto heldUntil = hold ? std::optional(hold->mUntil) : std::nullopt;
  const auto end =
    isHeld ? heldUntil : mState.mBoard.EarliestReturn(query, now);
  if (!end) {
    return std::nullopt;
  }
  const auto wait = *end - now;
  return wait + placement::ReturnOffset(wait, HashOf(mFacts.mAttemptId));
}

net::Awaitable<void>
RequestFlow::Refuse(RequestEnd aEnd)
{
  auto end = aEnd;
  const bool saysNotRun =
    Describe(end).PromisesNotRun() || end == RequestEnd::UnknownKey;
  if (mMayHaveRun && saysNotRun) {
    end = RequestEnd::UpstreamFailed;
  } else if (!mMayHaveRun && mSends == 0 && end == RequestEnd::RouteTimeout) {
    end = RequestEnd::NoCapacity;
  }
  const bool lostContact = mTicket && !mMayHaveRun &&
                           Describe(end).PromisesNotRun() &&
                           !mState.mContact.IsHeld();
  if (lostContact) {
    end = RequestEnd::NoContact;
  }
  RecordEnd(end);
  const auto& description = Describe(end);
  net::Headers headers;
  if (description.PromisesNotRun()) {
    headers.push_back(
      { .mName = "Retry-After", .mValue = RetryAfterOf(description) });
  }
  if (mTicket) {
    headers.push_back({ .mName = std::string(handover::kOutcomeHeader),
                        .mValue = std::string(description.mName) });
  }
  const std::string body = std::string(description.mName) + "\n";
  co_await mCaller.Respond(
    description.mStatus, headers, body, ClosesConnection());
}

net::Awaitable<void>
RequestFlow::AbortStream()
{
  mLastFailure = RequestEnd::BrokenMidway;
  RecordEnd(RequestEnd::BrokenMidway);
  // without the last chunk the caller detects that the answer is incomplete
  mCaller.Abort();
  co_return;
}

void
RequestFlow::RecordEnd(RequestEnd aEnd)
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  const auto now = ReadBootClock();
  const auto& description = Describe(aEnd);
  const std::string route = mRoute == nullptr ? "none" : mRoute->mName;
  mState.mMetrics
    .CounterOf(
      "figslip_requests_total",
      { { "route", route }, { "end", std::string(description.mName) } })
    .Add();
  constexpr double kMicrosPerMillisecond = 1'000.0;
  mState.mMetrics.HistogramOf("figslip_request_ms", { { "route", route } })
    .Observe(static_cast<double>((now - mArrivedAt).count()) /
             kMicrosPerMillisecond);
  const bool isServed = aEnd == RequestEnd::Served;
  const auto first = mPace.FirstEventAt();
  auto lateness = stream::Lateness::OnTime;
  if (isServed) {
    lateness =
      mPace.LatenessOf(mArrivedAt + mRoute->mTargetLatency, mRoute->mTargetGap);
  }
  if (lateness != stream::Lateness::OnTime) {
    mState.mMetrics
      .CounterOf(
        "figslip_late_answers_total",
        { { "route", route }, { "late", std::string(NameOf(lateness)) } })
      .Add();
  }
  if (mState.mSettings.mOverloadControl && mRoute != nullptr) {
    mState.mMetrics
      .CounterOf("figslip_account_requests_total",
                 { { "account", AccountName() },
                   { "outcome", std::string(description.mName) } })
      .Add();
  }
  log::Write(
    log::Level::Info,
    isServed ? "request_served" : "request_failed",
    { { "request", mFacts.mAttemptId },
      { "end", std::string(description.mName) },
      { "route", route },
      { "account", AccountName() }, // empty: public route, or not admitted
      { "took_ms", FormatMilliseconds(now - mArrivedAt) },
      // empty: no event was relayed to the caller
      { "first_event_ms",
        first ? FormatMilliseconds(*first - mArrivedAt) : "" },
      { "longest_pause_ms", FormatMilliseconds(mPace.LongestPause()) },
      { "late", std::string(NameOf(lateness)) },
      { "attempts", std::to_string(mAttempts) },
      { "sends", std::to_string(mSends) },
      { "upstreams", mTriedUpstreams },
      { "version", mLastVersion },
      { "session", mFacts.mSession },
      // handed over by another instance
      { "taken", mTicket ? "yes" : "" },
      { "configuration",
        mConfiguration ? std::to_string(mConfiguration->Version()) : "" },
      // empty: no configuration was confirmed since the start
      { "configuration_age_ms",
        mState.mLease.WasConfirmed()
          ? FormatMilliseconds(now - mState.mLease.ConfirmedAt())
          : "" } });
}

} // namespace figslip::gateway
