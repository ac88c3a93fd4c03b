#include <figslip/routing/router.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace figslip::routing {

using error::ErrorKind;

Router::Router(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mSnapshot(std::make_shared<const ControlSnapshot>())
  , mEvidence({ .mSelf = mOptions.mSelf })
  , mPlanner(mEvidence, mOptions.mStagePolicy)
  , mVersions(mEvidence, cascade::Learns(mOptions.mStagePolicy))
  , mUpstreams(mOptions.mColdStart)
  , mQuarantine(mOptions.mQuarantine)
  , mRetryTokens(mOptions.mRetryBurst)
{
}

void
Router::OnSnapshot(ControlSnapshotPtr aSnapshot, TimePoint aNow)
{
  assert(aSnapshot != nullptr);
  const bool isNewManifest = aSnapshot->mManifest != mSnapshot->mManifest;
  const bool isNewInstanceList = aSnapshot->mInstances != mSnapshot->mInstances;
  mSnapshot = std::move(aSnapshot);
  if (isNewManifest) {
    mVersions.OnManifest(*mSnapshot->mManifest, aNow);
  }
  if (isNewManifest || isNewInstanceList) {
    WakeAllWaiting();
  }
  AdmitWaiting(aNow);
}

void
Router::OnLoadReport(const LoadReport& aReport, TimePoint aNow)
{
  mUpstreams.OnLoadReport(aReport);
  AdmitWaiting(aNow);
}

void
Router::OnGrant(const coldstart::Grant& aGrant, TimePoint aNow)
{
  mUpstreams.ColdStart().OnGrant(aGrant);
  AdmitWaiting(aNow);
}

void
Router::OnPeerFailureSignal(std::string_view aUpstream,
                            TimePoint aAt,
                            TimePoint aNow)
{
  mUpstreams.ColdStart().OnPeerFailureSignal(aUpstream, aAt, aNow);
}

void
Router::OnPeerWarm(std::string_view aUpstream,
                   std::string_view aBootId,
                   std::optional<TimePoint> aFailureAt,
                   TimePoint aNow)
{
  mUpstreams.ColdStart().OnPeerWarm(aUpstream, aBootId, aFailureAt);
  AdmitWaiting(aNow);
}

void
Router::StopVersion(std::string_view aVersion, TimePoint aNow)
{
  mVersions.StopVersion(aVersion, aNow);
}

void
Router::OnCrashReport(const quarantine::CrashReport& aReport)
{
  mQuarantine.OnCrash(aReport);
}

void
Router::OnEvidence(const std::vector<evidence::EvidenceEntry>& aEntries,
                   TimePoint aNow)
{
  mEvidence.Merge(aEntries, aNow);
}

void
Router::OnRating(const evidence::EvidenceKey& aKey, bool aGood, TimePoint aNow)
{
  evidence::EvidenceCounts counts;
  (aGood ? counts.mGood : counts.mBad) = 1;
  mEvidence.Add(aKey, counts, aNow);
}

std::vector<std::string>
Router::OnTick(TimePoint aNow)
{
  mEvidence.Expire(aNow);
  mUpstreams.Expire(aNow);
  mQuarantine.Expire(aNow);
  auto stopped = mVersions.Evaluate(aNow);
  if (!stopped.empty()) {
    WakeAllWaiting();
  }
  AdmitWaiting(aNow);
  std::ranges::copy(mQueue.RemoveUnmeetable(aNow),
                    std::back_inserter(mWakeUps));
  return stopped;
}

Decision
Router::Start(TicketId aTicket, Request aRequest, TimePoint aNow)
{
  const auto [position, added] = mTickets.try_emplace(aTicket);
  assert(added);
  auto& ticket = position->second;
  ticket.mId = aTicket;
  ticket.mRequest = std::move(aRequest);
  mRetryTokens =
    std::min(mOptions.mRetryBurst, mRetryTokens + mOptions.mRetryRatio);
  return Plan(ticket, aNow);
}

Decision
Router::Resume(TicketId aTicket, TimePoint aNow)
{
  auto& ticket = mTickets.at(aTicket);
  if (auto reserved = std::exchange(ticket.mReserved, std::nullopt)) {
    const ProposedDispatch proposed{ .mRequest = ticket.mRequest,
                                     .mUpstream = reserved->mUpstream,
                                     .mVersion = reserved->mVersion,
                                     .mOwnDomain = mOptions.mFailureDomain };
    if (!CheckDispatch(*mSnapshot, proposed, mOptions.mFreshness, aNow)) {
      return ClaimOrStartAttempt(ticket, *std::move(reserved));
    }
    mUpstreams.Release(reserved->mUpstream);
    AdmitWaiting(aNow);
  }
  const bool wasQueued = mQueue.Remove(aTicket);
  if (wasQueued && ticket.mCompletedAttempt) {
    // no slot for a higher stage became free within the time limit for it
    return Deliver{ *ticket.mCompletedAttempt };
  }
  return Plan(ticket, aNow);
}

void
Router::OnClaimReleased(TicketId aTicket)
{
  mTickets.at(aTicket).mClaimed = false;
}

void
Router::OnClaimBlocked(TicketId aTicket, TimePoint aNow)
{
  ReleaseReservation(mTickets.at(aTicket));
  AdmitWaiting(aNow);
}

Decision
Router::OnClaim(TicketId aTicket, claim::ClaimOutcome aEnd, TimePoint aNow)
{
  using claim::ClaimOutcome;
  auto& ticket = mTickets.at(aTicket);
  const auto refuse = [&](ErrorKind aKind, RunState aRun, std::string aText) {
    return Refuse{ .mKind = aKind, .mRun = aRun, .mText = std::move(aText) };
  };
  switch (aEnd) {
    case ClaimOutcome::Won:
      ticket.mClaimed = true;
      return Resume(aTicket, aNow);
    case ClaimOutcome::Answered:
      return Deliver{};
    case ClaimOutcome::Unavailable:
      return refuse(ErrorKind::ClaimUnavailable,
                    RunState::NotRun,
                    "the platform cannot record the idempotency key now");
    case ClaimOutcome::Expired:
      return refuse(ErrorKind::KeyExpired,
                    RunState::Unknown,
                    "the idempotency key is older than the retention period");
    case ClaimOutcome::FromFuture:
      return refuse(ErrorKind::BadHeader,
                    RunState::NotRun,
                    "the time of the idempotency key is in the future");
    case ClaimOutcome::OtherRequest:
      return refuse(ErrorKind::KeyInUse,
                    RunState::NotRun,
                    "the idempotency key belongs to a different request");
    case ClaimOutcome::Unknown:
      break;
  }
  return refuse(ErrorKind::KeyInUse,
                RunState::Unknown,
                "an earlier request holds the idempotency key");
}

std::optional<DispatchObstacle>
Router::RecheckDispatch(TicketId aTicket, TimePoint aNow) const
{
  const auto& ticket = mTickets.at(aTicket);
  assert(!ticket.mAttempts.empty());
  const auto& attempt = ticket.mAttempts.back();
  const ProposedDispatch proposed{ .mRequest = ticket.mRequest,
                                   .mUpstream = attempt.mUpstream,
                                   .mVersion = attempt.mVersion,
                                   .mOwnDomain = mOptions.mFailureDomain };
  if (auto obstacle =
        CheckDispatch(*mSnapshot, proposed, mOptions.mFreshness, aNow)) {
    return obstacle;
  }
  // a grant of cold-start capacity may have expired since the slot was
  // reserved
  const auto* const upstream =
    mSnapshot->mManifest->FindUpstream(attempt.mUpstream);
  if (mUpstreams.OccupiedSlots(attempt.mUpstream) >
      mUpstreams.ColdStart().Limit(*upstream, aNow)) {
    return DispatchObstacle{ ErrorKind::NoCapacity,
                             "the upstream is in cold start",
                             true };
  }
  return std::nullopt;
}

Decision
Router::OnOutcome(TicketId aTicket,
                  const AttemptOutcome& aOutcome,
                  TimePoint aNow)
{
  auto& ticket = mTickets.at(aTicket);
  assert(!ticket.mAttempts.empty());
  auto& attempt = ticket.mAttempts.back();
  assert(!attempt.mOutcome);
  attempt.mOutcome = aOutcome;
  attempt.mCost = CostOf(attempt.mVersion, aOutcome.mTokens);
  ReleaseSlot(attempt.mUpstream, aOutcome, aNow);
  ticket.mMayHaveRun = ticket.mMayHaveRun || MayHaveRun(aOutcome.mEnd);
  RecordOutcome(ticket, attempt, aOutcome, aNow);
  auto decision = aOutcome.mEnd == AttemptEnd::Completed
                    ? AfterCompletion(ticket, aOutcome, aNow)
                    : AfterFailure(ticket, aOutcome, aNow);
  AdmitWaiting(aNow);
  return decision;
}

void
Router::ReleaseSlot(std::string_view aUpstream,
                    const AttemptOutcome& aOutcome,
                    TimePoint aNow)
{
  // time that an upstream may take to detect an abandoned request
  constexpr Duration kAbandonedSlotTime = std::chrono::seconds(1);
  const bool isAbandoned =
    aOutcome.mEnd == AttemptEnd::TimedOut ||
    aOutcome.mEnd == AttemptEnd::Broken ||
    (aOutcome.mEnd == AttemptEnd::Cancelled && aOutcome.mResponseStarted);
  if (isAbandoned) {
    mUpstreams.ReleaseAt(aUpstream, aNow + kAbandonedSlotTime);
  } else {
    mUpstreams.Release(aUpstream);
  }
}

std::int64_t
Router::CostOf(std::string_view aVersion, std::int64_t aTokens) const
{
  constexpr std::int64_t kTokensPerPrice = 1000;
  const auto* const version = mSnapshot->mManifest->FindVersion(aVersion);
  if (version == nullptr) {
    return 0;
  }
  return aTokens * version->mVersion->mCostPerThousandTokens / kTokensPerPrice;
}

Decision
Router::OnForwardFailed(TicketId aTicket, bool aBytesSent, TimePoint aNow)
{
  auto& ticket = mTickets.at(aTicket);
  ticket.mPeerMayHaveRun = ticket.mPeerMayHaveRun || aBytesSent;
  ++ticket.mFailedForwards;
  if (aBytesSent && !IsIdempotent(ticket.mRequest)) {
    return MakeRefusal(
      ticket, ErrorKind::UpstreamFailed, "the forwarded request was lost");
  }
  return Plan(ticket, aNow);
}

RequestSummary
Router::Close(TicketId aTicket, TimePoint aNow)
{
  auto& ticket = mTickets.at(aTicket);
  mQueue.Remove(aTicket);
  ReleaseReservation(ticket);
  if (!ticket.mAttempts.empty() && !ticket.mAttempts.back().mOutcome) {
    mUpstreams.Release(ticket.mAttempts.back().mUpstream);
  }
  RequestSummary summary{ .mRequest = std::move(ticket.mRequest),
                          .mAttempts = std::move(ticket.mAttempts),
                          .mVersion = {},
                          .mDelivered = ticket.mCompletedAttempt.has_value() };
  if (ticket.mCompletedAttempt) {
    const auto found = std::ranges::find(
      summary.mAttempts, *ticket.mCompletedAttempt, &AttemptRecord::mAttempt);
    summary.mVersion = found->mVersion;
    summary.mRatingKey = found->mEvidenceKey;
  }
  mTickets.erase(aTicket);
  AdmitWaiting(aNow);
  return summary;
}

std::vector<TicketId>
Router::PopWakeUps()
{
  return std::exchange(mWakeUps, {});
}

void
Router::ReleaseReservation(Ticket& aTicket)
{
  if (aTicket.mReserved) {
    mUpstreams.Release(aTicket.mReserved->mUpstream);
    aTicket.mReserved.reset();
  }
}

} // namespace figslip::routing
