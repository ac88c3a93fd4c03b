#include <figslip/gateway/request_flow.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <utility>

namespace figslip::gateway {

namespace {

using handover::Decline;
using std::chrono::milliseconds;

/// Instances that are asked to take a request.
constexpr std::size_t kMaxAskedPeers = 5;

/// Own attempts without a connection after which a request is handed over while
/// a loss of contact is only suspected.
constexpr int kMinUnconnected = 2;

/// An instance that accepts no connection in this time is not asked. Between
/// failure domains a connection takes some ms.
constexpr auto kPeerConnectTimeout = milliseconds(150);

/// Time without a whole answer after which an instance counts as unreachable
/// when the caller has left.
constexpr auto kMaxPeerSilence = std::chrono::seconds(1);

/// Idle time after which a connection to an instance is not used again, less
/// than callers may be idle.
constexpr auto kPeerMaxIdle = std::chrono::seconds(1);

/// Time for the rest of an answer that the instance itself has made; it is
/// short and comes with its head.
constexpr auto kOutcomeTimeout = milliseconds(100);

/// Returns how an instance has declined a request; nothing if its decision is
/// final.
std::optional<Decline>
DeclineOf(RequestEnd aEnd)
{
  switch (aEnd) {
    case RequestEnd::NoContact:
    case RequestEnd::Stopping:
    case RequestEnd::NotReady:
    case RequestEnd::StaleKeys:
      return Decline::NoContact;
    case RequestEnd::Busy:
      return Decline::Busy;
    case RequestEnd::OlderConfiguration:
      return Decline::NotSuited;
    default:
      return std::nullopt;
  }
}

/// Returns whether a request with this outcome may have run, as it is not
/// certain to have been decided on before an attempt.
bool
MayHaveRunBefore(RequestEnd aEnd)
{
  return aEnd == RequestEnd::RouteTimeout ||
         aEnd == RequestEnd::UpstreamFailed || aEnd == RequestEnd::BrokenMidway;
}

bool
IsHandOverHeader(const net::Header& aHeader)
{
  return net::EqualNames(aHeader.mName, handover::kTicketHeader) ||
         net::EqualNames(aHeader.mName, handover::kUpstreamHeader) ||
         net::EqualNames(aHeader.mName, handover::kOutcomeHeader);
}

} // namespace

bool
RequestFlow::MayHandOver(TimePoint aNow) const
{
  const auto& contact = mState.mContact;
  const bool lacksContact =
    contact.IsLost() || (!contact.IsHeld() && mUnconnected >= kMinUnconnected);
  const bool isOpen =
    !mIsInterrupted && aNow + kMinAttemptTime < mDeadline &&
    (!mFinalRefusal || mFinalRefusal == SendRefusal::KeysStale);
  return lacksContact && isOpen && !mTicket && mState.mSettings.mHandOver &&
         !IsReplaced() && (mRoute->IsRetryable() || !mMayHaveRun) &&
         mAskedPeers.size() < kMaxAskedPeers &&
         mState.mPeerChoice.HasCandidate(MakePeerQuery(), aNow);
}

handover::PeerQuery
RequestFlow::MakePeerQuery() const
{
  return { .mAsked = &mAskedPeers,
           .mRegions = &mRoute->mAllowedRegions,
           .mAccountRegions =
             mAccount == nullptr ? nullptr : &mAccount->mAllowedRegions };
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::HandOver()
{
  CancelReplacement();
  mSlotWait.reset();
  mIsReturning = false;
  auto next = NextStep::Declined;
  while (next == NextStep::Declined && !mCaller.HasLeft() &&
         MayHandOver(ReadBootClock())) {
    auto chosen = mState.mPeerChoice.Choose(MakePeerQuery(), ReadBootClock());
    if (!chosen) {
      break;
    }
    Attempt handOver;
    handOver.mPeer = std::move(*chosen);
    const auto peer = handOver.mPeer.mName;
    mAskedPeers.insert(peer);
    mRunning = &handOver;
    mState.mPeerChoice.OnSent(peer);
    next = co_await HandOverTo(handOver);
    mState.mPeerChoice.OnEnded(peer);
    mRunning = nullptr;
  }
  if (next == NextStep::Declined && mState.mContact.IsLost() && mWasPeerBusy) {
    mLastFailure = RequestEnd::Busy;
    next = NextStep::Failed;
  }
  co_return next;
}

net::Endpoint
RequestFlow::HandOverEndpoint(const Attempt& aHandOver) const
{
  const auto& address = aHandOver.mPeer.mAddress;
  const auto& own = mState.mSettings.mHandOver;
  return { .mAddress = address.substr(0, address.rfind(':')),
           .mPort = own ? own->mPort : std::uint16_t{} };
}

net::Awaitable<bool>
RequestFlow::ConnectToPeer(Attempt& aHandOver)
{
  const auto endpoint = HandOverEndpoint(aHandOver);
  if (mRoute->IsRetryable()) {
    aHandOver.mConnection = mState.mPeerPool.Take(endpoint, kPeerMaxIdle);
  }
  aHandOver.mIsOnReused = aHandOver.mConnection != nullptr;
  if (aHandOver.mIsOnReused) {
    co_return true;
  }
  const auto connection =
    std::make_shared<net::ClientConnection>(mCaller.Executor());
  aHandOver.mConnection = connection;
  const auto opened =
    co_await connection->Connect(endpoint, kPeerConnectTimeout);
  const bool isOpen = opened == net::StepEnd::Done;
  if (!isOpen && opened != net::StepEnd::Aborted) {
    mState.mPeerChoice.OnDeclined(
      aHandOver.mPeer.mName, Decline::Unreachable, ReadBootClock());
    LogHandOver(aHandOver, "unreachable");
  }
  co_return isOpen;
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::HandOverTo(Attempt& aHandOver)
{
  const bool isOpen = co_await ConnectToPeer(aHandOver);
  const auto now = ReadBootClock();
  if (!isOpen || mCaller.HasLeft() || mIsInterrupted ||
      now + kMinAttemptTime >= mDeadline) {
    aHandOver.mConnection->Abort();
    co_return NextStep::Declined;
  }
  mHasRetry = false;
  aHandOver.mSentAt = now;
  aHandOver.mIsSent = true;
  const auto connection = aHandOver.mConnection;
  connection->StartSend(FormatHandOver(now));
  const auto timeLeft = std::max(
    milliseconds(1), std::chrono::duration_cast<milliseconds>(mDeadline - now));
  const auto end = co_await connection->ReadHead(timeLeft);
  if (end != net::StepEnd::Done) {
    co_return OnHandOverBroken(aHandOver, end, ReadBootClock());
  }
  const auto outcome =
    net::FindHeader(connection->Head().mHeaders, handover::kOutcomeHeader);
  if (!outcome) {
    co_return co_await RelayHandOver(aHandOver);
  }
  const std::string name(*outcome);
  auto rest = net::StepEnd::Done;
  while (rest == net::StepEnd::Done && !connection->BodyIsWhole()) {
    rest = co_await connection->ReadBody(kOutcomeTimeout);
  }
  co_return OnPeerOutcome(aHandOver, name);
}

RequestFlow::NextStep
RequestFlow::OnPeerOutcome(Attempt& aHandOver, std::string_view aOutcome)
{
  const auto now = ReadBootClock();
  const auto& peer = aHandOver.mPeer.mName;
  const auto end = EndNamed(aOutcome);
  if (!end) {
    return OnHandOverBroken(aHandOver, net::StepEnd::Malformed, now);
  }
  LogHandOver(aHandOver, aOutcome);
  const auto retryAfter =
    net::FindHeader(aHandOver.mConnection->Head().mHeaders, "retry-after");
  mPeerRetryAfter = std::string(retryAfter.value_or(""));
  KeepConnection(aHandOver);
  if (const auto decline = DeclineOf(*end)) {
    mState.mPeerChoice.OnDeclined(peer, *decline, now);
    mPeerRetryAfter.clear();
    mWasPeerBusy = mWasPeerBusy || *decline == Decline::Busy;
    return NextStep::Declined;
  }
  mState.mPeerChoice.OnTaken(peer);
  mMayHaveRun = mMayHaveRun || MayHaveRunBefore(*end);
  mLastFailure = *end;
  return NextStep::Failed;
}

net::Awaitable<RequestFlow::NextStep>
RequestFlow::RelayHandOver(Attempt& aHandOver)
{
  const auto& head = aHandOver.mConnection->Head();
  const auto metadata = mState.mDialect.mReadResponse(head);
  const auto upstream =
    net::FindHeader(head.mHeaders, handover::kUpstreamHeader);
  if (!upstream || IsOfOtherRequest(metadata) ||
      !IsOwnResponse(aHandOver, metadata)) {
    co_return OnHandOverBroken(
      aHandOver, net::StepEnd::Malformed, ReadBootClock());
  }
  aHandOver.mHeadEnd = net::StepEnd::Done;
  mMayHaveRun = true;
  ++mSends;
  mState.mPeerChoice.OnTaken(aHandOver.mPeer.mName);
  LogHandOver(aHandOver, "answered");
  mTriedUpstreams += (mTriedUpstreams.empty() ? "" : ",");
  mTriedUpstreams += *upstream;
  if (const auto* const known = mState.mBoard.Find(*upstream)) {
    const auto entry = *known;
    auto notices = metadata;
    notices.mLoad.reset(); // it includes no request of this instance
    mState.OnResponse(entry, notices, aHandOver.mSentAt);
  }
  constexpr unsigned kFirstServerError = 500;
  if (!MayContinue(head)) {
    aHandOver.mConnection->Abort();
    co_return NextStep::Failed;
  }
  if (IsStream() && head.mStatus < kFirstServerError) {
    co_return co_await RelayStream(aHandOver);
  }
  co_return co_await RelayBuffered(aHandOver);
}

RequestFlow::NextStep
RequestFlow::OnHandOverBroken(Attempt& aHandOver,
                              net::StepEnd aEnd,
                              TimePoint aNow)
{
  aHandOver.mConnection->Abort();
  mEvents.DiscardPartial();
  mMayHaveRun = true;
  mFailedAt = aNow;
  ++mTransmissions;
  // an instance that has begun an answer breaks off when all attempts are used
  const bool hasBegun = aHandOver.mHeadEnd.has_value();
  mAttempts =
    hasBegun ? std::max(mAttempts, mRoute->mMaxAttempts) : mAttempts + 1;
  const bool wasSilent = aNow - aHandOver.mSentAt >= kMaxPeerSilence;
  if (!mCaller.HasLeft() || wasSilent) {
    mState.mPeerChoice.OnDeclined(
      aHandOver.mPeer.mName, Decline::Unreachable, aNow);
  }
  if (mCaller.HasLeft()) {
    return NextStep::Failed;
  }
  LogHandOver(aHandOver, net::NameOf(aEnd));
  if (mIsInterrupted) {
    mLastFailure = RequestEnd::Stopping;
    return NextStep::Failed;
  }
  if (aNow + kMinAttemptTime >= mDeadline) {
    mLastFailure = RequestEnd::RouteTimeout;
    return NextStep::Failed;
  }
  mLastFailure = RequestEnd::UpstreamFailed;
  return NextStepAfterFailure();
}

std::string
RequestFlow::FormatHandOver(TimePoint aNow)
{
  const auto& lastEvent = mEvents.LastId();
  auto message = mCaller.Request();
  net::RemoveConnectionHeaders(message.mHeaders);
  std::erase_if(message.mHeaders, IsHandOverHeader);
  message.mHeaders.push_back(
    { .mName = std::string(handover::kTicketHeader),
      .mValue = handover::FormatTicket(
        { .mAge = aNow - mArrivedAt,
          .mAttempts = mAttempts,
          .mConfiguration = mState.mConfiguration->Version(),
          .mIsCounted = mIsDemandCounted,
          .mLastEventId = lastEvent }) });
  return net::FormatRequest(message);
}

void
RequestFlow::LogHandOver(const Attempt& aHandOver,
                         std::string_view aOutcome) const
{
  mState.mMetrics
    .CounterOf("figslip_hand_overs_total",
               { { "outcome", std::string(aOutcome) } })
    .Add();
  log::Write(log::Level::Info,
             "handed_over",
             { { "request", mFacts.mAttemptId },
               { "to", aHandOver.mPeer.mName },
               { "outcome", std::string(aOutcome) },
               // empty: it was not sent
               { "took_ms",
                 aHandOver.mIsSent
                   ? std::to_string((ReadBootClock() - aHandOver.mSentAt) /
                                    milliseconds(1))
                   : "" } });
}

net::Headers
RequestFlow::RelayedHeaders(const Attempt& aAttempt) const
{
  auto headers = aAttempt.mConnection->Head().mHeaders;
  net::RemoveConnectionHeaders(headers);
  std::erase_if(headers, IsHandOverHeader);
  if (mTicket) {
    headers.push_back({ .mName = std::string(handover::kUpstreamHeader),
                        .mValue = aAttempt.mUpstream.mId });
  }
  return headers;
}

void
RequestFlow::KeepConnection(Attempt& aAttempt)
{
  auto connection = std::exchange(aAttempt.mConnection, nullptr);
  if (aAttempt.IsHandOver()) {
    mState.mPeerPool.Give(HandOverEndpoint(aAttempt), std::move(connection));
    return;
  }
  mState.mPool.Give({ .mAddress = aAttempt.mUpstream.mAddress,
                      .mPort = aAttempt.mUpstream.mPort },
                    std::move(connection));
}

} // namespace figslip::gateway
