#include <figslip/routing/router.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <ranges>
#include <utility>

namespace figslip::routing {

using error::ErrorKind;

namespace {

const ChatTarget*
ChatOf(const Request& aRequest)
{
  return std::get_if<ChatTarget>(&aRequest.mTarget);
}

const ServiceTarget*
ServiceOf(const Request& aRequest)
{
  return std::get_if<ServiceTarget>(&aRequest.mTarget);
}

bool
Contains(const std::vector<std::string>& aNames, std::string_view aName)
{
  return std::ranges::find(aNames, aName) != aNames.end();
}

/// Checks whether an upstream, in any failure domain, offers the service or the
/// version of a request.
bool
Serves(const manifest::Upstream& aUpstream,
       const Request& aRequest,
       std::string_view aVersion)
{
  if (const auto* const service = ServiceOf(aRequest)) {
    return aUpstream.mService == service->mService;
  }
  return Contains(aUpstream.mVersions, aVersion);
}

} // namespace

bool
Router::IsIdempotent(const Request& aRequest) const
{
  const auto* const service = ServiceOf(aRequest);
  if (service == nullptr) {
    return true;
  }
  const auto* const operation =
    mSnapshot->mManifest->FindOperation(service->mService, service->mOperation);
  return operation != nullptr && operation->mIdempotent;
}

const manifest::Cascade*
Router::CascadeOf(const Request& aRequest) const
{
  const auto* const chat = ChatOf(aRequest);
  return chat == nullptr ? nullptr
                         : mSnapshot->mManifest->FindCascade(chat->mName);
}

Refuse
Router::MakeRefusal([[maybe_unused]] const Ticket& aTicket,
                    ErrorKind aKind,
                    std::string aText) const
{
  auto run = RunState::NotRun;
#ifndef FIGSLIP_WITHOUT_RUNSTATE
  if (aTicket.mMayHaveRun || aTicket.mPeerMayHaveRun) {
    run = RunState::Unknown;
  }
#endif
  return { .mKind = aKind, .mRun = run, .mText = std::move(aText) };
}

Decision
Router::RefuseOrDeliver(const Ticket& aTicket, Refuse aRefusal) const
{
  if (aTicket.mCompletedAttempt) {
    // an answer of an earlier stage is better than no answer
    return Deliver{ *aTicket.mCompletedAttempt };
  }
  return aRefusal;
}

std::optional<Refuse>
Router::CheckRequest(const Ticket& aTicket, TimePoint aNow) const
{
  const auto& request = aTicket.mRequest;
  if (mSnapshot->mManifest == nullptr) {
    return MakeRefusal(
      aTicket, ErrorKind::NotReady, "no manifest is in force yet");
  }
  if (aNow >= request.mDeadline) {
    return MakeRefusal(
      aTicket, ErrorKind::DeadlineExpired, "the deadline has passed");
  }
  const auto* const account =
    mSnapshot->mManifest->FindAccount(request.mAccount);
  if (account == nullptr) {
    return MakeRefusal(aTicket,
                       ErrorKind::UnknownAccount,
                       "client account \"" + request.mAccount +
                         "\" is not defined");
  }
#ifndef FIGSLIP_WITHOUT_QUARANTINE
  if (mQuarantine.IsQuarantined(request.mFingerprint, aNow)) {
    return MakeRefusal(aTicket,
                       ErrorKind::Quarantined,
                       "the request crashed the upstreams that ran it");
  }
#endif
  const auto* const chat = ChatOf(request);
  if (chat != nullptr && CascadeOf(request) != nullptr &&
      !Contains(account->mCascades, chat->mName)) {
    return MakeRefusal(aTicket,
                       ErrorKind::NotAllowed,
                       "cascade \"" + chat->mName +
                         "\" is not allowed to the client account");
  }
  return std::nullopt;
}

Decision
Router::Plan(Ticket& aTicket, TimePoint aNow)
{
  if (auto refusal = CheckRequest(aTicket, aNow)) {
    return RefuseOrDeliver(aTicket, std::move(*refusal));
  }
  return ChatOf(aTicket.mRequest) != nullptr ? PlanChat(aTicket, aNow)
                                             : PlanService(aTicket, aNow);
}

Decision
Router::PlanService(Ticket& aTicket, TimePoint aNow)
{
  const auto& target = *ServiceOf(aTicket.mRequest);
  if (mSnapshot->mManifest->FindOperation(target.mService, target.mOperation) ==
      nullptr) {
    return MakeRefusal(aTicket,
                       ErrorKind::UnknownTarget,
                       "operation \"" + target.mOperation + "\" of service \"" +
                         target.mService + "\" is not defined");
  }
  const auto& account =
    *mSnapshot->mManifest->FindAccount(aTicket.mRequest.mAccount);
  if (!Contains(account.mAllow, target.mService)) {
    return MakeRefusal(aTicket,
                       ErrorKind::NotAllowed,
                       "service \"" + target.mService +
                         "\" is not allowed to the client account");
  }
  if (!IsIdempotent(aTicket.mRequest) &&
      aTicket.mRequest.mIdempotencyKey.empty()) {
    return MakeRefusal(aTicket,
                       ErrorKind::MissingHeader,
                       "the operation needs an idempotency key");
  }
  return DispatchOrWait(aTicket, aNow);
}

Decision
Router::PlanChat(Ticket& aTicket, TimePoint aNow)
{
  const bool stillAllowed = !aTicket.mVersion.empty() &&
                            !mVersions.IsStopped(aTicket.mVersion) &&
                            !CheckVersion(*mSnapshot,
                                          aTicket.mRequest.mAccount,
                                          aTicket.mVersion,
                                          mOptions.mFreshness,
                                          aNow);
  if (!stillAllowed) {
    if (auto refusal = ChooseVersion(aTicket, aNow)) {
      return RefuseOrDeliver(aTicket, std::move(*refusal));
    }
  }
  return DispatchOrWait(aTicket, aNow);
}

std::optional<Refuse>
Router::ChooseVersion(Ticket& aTicket, TimePoint aNow)
{
  const auto& request = aTicket.mRequest;
  const auto& index = *mSnapshot->mManifest;
  const auto& name = ChatOf(request)->mName;
#ifndef FIGSLIP_WITHOUT_SESSION
  if (request.mSession && request.mSession->mTarget == name &&
      !mVersions.IsStopped(request.mSession->mVersion) &&
      !CheckVersion(*mSnapshot,
                    request.mAccount,
                    request.mSession->mVersion,
                    mOptions.mFreshness,
                    aNow)) {
    aTicket.mVersion = request.mSession->mVersion;
    return std::nullopt;
  }
#endif
  if (const auto* const cascade = index.FindCascade(name)) {
    return ChooseStage(aTicket, *cascade, aNow);
  }
  if (const auto* const model = index.FindModel(name)) {
    const auto* const version = ChooseVersionOf(aTicket, *model, aNow);
    if (version == nullptr) {
      return MakeRefusal(aTicket,
                         ErrorKind::NotAllowed,
                         "no version of model \"" + name +
                           "\" is available to the client account");
    }
    aTicket.mVersion = version->mName;
    return std::nullopt;
  }
  if (index.FindVersion(name) == nullptr) {
    return MakeRefusal(aTicket,
                       ErrorKind::UnknownTarget,
                       "no cascade, model or version is named \"" + name +
                         "\"");
  }
  if (const auto obstacle = CheckVersion(
        *mSnapshot, request.mAccount, name, mOptions.mFreshness, aNow)) {
    return MakeRefusal(aTicket, obstacle->mKind, obstacle->mText);
  }
  if (mVersions.IsStopped(name)) {
    return MakeRefusal(aTicket,
                       ErrorKind::VersionWithdrawn,
                       "version \"" + name +
                         "\" is stopped because of poor results");
  }
  aTicket.mVersion = name;
  return std::nullopt;
}

const manifest::ModelVersion*
Router::ChooseVersionOf(const Ticket& aTicket,
                        const manifest::Model& aModel,
                        TimePoint aNow)
{
  std::vector<const manifest::ModelVersion*> allowed;
  for (const auto& version : aModel.mVersions) {
    if (!CheckVersion(*mSnapshot,
                      aTicket.mRequest.mAccount,
                      version.mName,
                      mOptions.mFreshness,
                      aNow)) {
      allowed.push_back(&version);
    }
  }
  return mVersions.Choose(allowed, mRandom);
}

std::optional<Refuse>
Router::ChooseStage(Ticket& aTicket,
                    const manifest::Cascade& aCascade,
                    TimePoint aNow)
{
  std::vector<cascade::StageOption> options;
  const auto& taskKind = ChatOf(aTicket.mRequest)->mTaskKind;
  const auto timeLeft = aTicket.mRequest.mDeadline - aNow;
  const std::size_t first = aTicket.mStageChosen ? aTicket.mStage : 0;
  for (std::size_t stage = first; stage < aCascade.mStages.size(); ++stage) {
    const auto* const model =
      mSnapshot->mManifest->FindModel(aCascade.mStages[stage].mModel);
    const auto* const version = ChooseVersionOf(aTicket, *model, aNow);
    if (version != nullptr) {
      options.push_back(
        { .mStage = stage,
          .mVersion = version->mName,
          .mCostPerThousandTokens = version->mCostPerThousandTokens,
          .mExpectedLatency =
            mLatencies.Expected({ version->mName, taskKind }) });
    }
  }
  if (options.empty()) {
    return MakeRefusal(aTicket,
                       ErrorKind::NotAllowed,
                       "no stage of cascade \"" + aCascade.mName +
                         "\" is available to the client account");
  }
  if (aTicket.mCompletedAttempt &&
      options.front().mExpectedLatency > timeLeft) {
    return MakeRefusal(aTicket,
                       ErrorKind::DeadlineExpired,
                       "the next stage would end after the deadline");
  }
  std::size_t chosen = 0;
  if (!aTicket.mStageChosen) {
    const auto& chat = *ChatOf(aTicket.mRequest);
    chosen = mPlanner.ChooseStartStage({ .mCascade = aCascade,
                                         .mTaskKind = chat.mTaskKind,
                                         .mCommitted = chat.mStream,
                                         .mTimeLeft = timeLeft },
                                       options,
                                       mRandom);
  }
  aTicket.mStage = options[chosen].mStage;
  aTicket.mStageChosen = true;
  aTicket.mVersion = options[chosen].mVersion;
  return std::nullopt;
}

std::vector<const manifest::Upstream*>
Router::Candidates(const Ticket& aTicket, TimePoint aNow) const
{
  std::vector<const manifest::Upstream*> candidates;
  for (const auto& upstream : mSnapshot->mManifest->Content().mUpstreams) {
    if (upstream.mFailureDomain != mOptions.mFailureDomain ||
        !Serves(upstream, aTicket.mRequest, aTicket.mVersion) ||
        aTicket.mExcluded.contains(upstream.mName)) {
      continue;
    }
    const ProposedDispatch proposed{ .mRequest = aTicket.mRequest,
                                     .mUpstream = upstream.mName,
                                     .mVersion = aTicket.mVersion,
                                     .mOwnDomain = mOptions.mFailureDomain };
    if (!CheckDispatch(*mSnapshot, proposed, mOptions.mFreshness, aNow)) {
      candidates.push_back(&upstream);
    }
  }
  return candidates;
}

std::optional<Dispatch>
Router::TryReserve(Ticket& aTicket, TimePoint aNow)
{
  const auto candidates = Candidates(aTicket, aNow);
  const auto* const upstream =
    mUpstreams.Choose(candidates, aTicket.mRequest.mPrefixHash, mRandom, aNow);
  if (upstream == nullptr) {
    return std::nullopt;
  }
  mUpstreams.Reserve(upstream->mName);
  const auto* const chat = ChatOf(aTicket.mRequest);
  return Dispatch{
    .mAttempt = ++mLastAttempt,
    .mUpstream = upstream->mName,
    .mAddress = upstream->mAddress,
    .mPort = upstream->mPort,
    .mVersion = aTicket.mVersion,
    .mFreshConnection =
      aTicket.mNeedsFreshConnection || !IsIdempotent(aTicket.mRequest),
    .mIdempotent = IsIdempotent(aTicket.mRequest),
    .mStreamToCaller = chat != nullptr && chat->mStream,
    .mDeadline = aTicket.mRequest.mDeadline,
  };
}

Decision
Router::StartAttempt(Ticket& aTicket, Dispatch aDispatch)
{
  aTicket.mAttempts.push_back({ .mAttempt = aDispatch.mAttempt,
                                .mUpstream = aDispatch.mUpstream,
                                .mVersion = aDispatch.mVersion,
                                .mEvidenceKey = EvidenceKeyOf(aTicket) });
  return aDispatch;
}

Decision
Router::DispatchOrWait(Ticket& aTicket, TimePoint aNow)
{
  if (static_cast<int>(aTicket.mAttempts.size()) >= mOptions.mMaxAttempts) {
    return RefuseOrDeliver(
      aTicket,
      MakeRefusal(aTicket,
                  ErrorKind::UpstreamFailed,
                  "no attempt returned a complete answer"));
  }
  const auto capacityClass = CapacityClassOf(aTicket);
  if (mQueue.HasWaiting(capacityClass)) {
    // requests in the queue come before this one
    AdmitWaiting(aNow);
  }
  if (!mQueue.HasWaiting(capacityClass)) {
    if (auto dispatch = TryReserve(aTicket, aNow)) {
      return ClaimOrStartAttempt(aTicket, std::move(*dispatch));
    }
  }
  if (Candidates(aTicket, aNow).empty()) {
    return ForwardOrRefuse(aTicket, aNow);
  }
  return EnqueueOrRefuse(aTicket, capacityClass, aNow);
}

bool
Router::CanReplaceAttempt(TicketId aTicket,
                          bool aIsReusedConnection,
                          TimePoint aNow) const
{
  const auto& ticket = mTickets.at(aTicket);
  const bool isAllowed =
    IsIdempotent(ticket.mRequest) && mRetryTokens >= 1.0 &&
    static_cast<int>(ticket.mAttempts.size()) < mOptions.mMaxAttempts &&
    !CheckRequest(ticket, aNow);
  if (!isAllowed) {
    return false;
  }
  auto candidates = Candidates(ticket, aNow);
  if (!aIsReusedConnection) {
    std::erase_if(candidates, [&](const manifest::Upstream* aUpstream) {
      return aUpstream->mName == ticket.mAttempts.back().mUpstream;
    });
  }
  return candidates.empty() ? !ForwardTargets(ticket, aNow).empty()
                            : mUpstreams.HasFreeSlot(candidates, aNow);
}

std::vector<const membership::EntryInstance*>
Router::ForwardTargets(const Ticket& aTicket, TimePoint aNow) const
{
  std::vector<const membership::EntryInstance*> peers;
  if (aTicket.mRequest.mForwarded ||
      aTicket.mFailedForwards >= mOptions.mMaxForwards ||
      aNow >= aTicket.mRequest.mDeadline) {
    return peers;
  }
  const auto& index = *mSnapshot->mManifest;
  const auto serves = [&](std::string_view aDomain) {
    return index.DomainTakesWork(aDomain) &&
           std::ranges::any_of(
             index.Content().mUpstreams, [&](const auto& aUpstream) {
               return aUpstream.mFailureDomain == aDomain &&
                      Serves(aUpstream, aTicket.mRequest, aTicket.mVersion);
             });
  };
  for (const auto& entry : mSnapshot->mInstances.mEntries) {
    if (entry.mFailureDomain != mOptions.mFailureDomain &&
        entry.mState == membership::InstanceState::Live &&
        !aTicket.mExcluded.contains(entry.mName) &&
        serves(entry.mFailureDomain)) {
      peers.push_back(&entry);
    }
  }
  return peers;
}

Decision
Router::ForwardOrRefuse(Ticket& aTicket, TimePoint aNow)
{
  const auto peers = ForwardTargets(aTicket, aNow);
  if (peers.empty()) {
    return RefuseOrDeliver(
      aTicket,
      MakeRefusal(aTicket,
                  ErrorKind::NoUpstream,
                  "no upstream is available for the request"));
  }
  std::uniform_int_distribution<std::size_t> pick(0, peers.size() - 1);
  const auto& peer = *peers[pick(mRandom)];
  aTicket.mExcluded.insert(peer.mName);
  return Forward{ .mInstance = peer.mName,
                  .mAddress = peer.mAddress,
                  .mPort = peer.mCallerPort,
                  .mMayHaveRun =
                    aTicket.mMayHaveRun || aTicket.mPeerMayHaveRun };
}

bool
Router::CanEscalate(const Ticket& aTicket) const
{
  const auto* const cascade = CascadeOf(aTicket.mRequest);
  return cascade != nullptr && aTicket.mStageChosen &&
         cascade::Escalates(mOptions.mStagePolicy) &&
         !ChatOf(aTicket.mRequest)->mStream &&
         aTicket.mStage + 1 < cascade->mStages.size();
}

Decision
Router::AfterCompletion(Ticket& aTicket,
                        const AttemptOutcome& aOutcome,
                        TimePoint aNow)
{
  aTicket.mCompletedAttempt = aTicket.mAttempts.back().mAttempt;
  if (!CanEscalate(aTicket)) {
    return Deliver{ *aTicket.mCompletedAttempt };
  }
  const auto& cascade = *CascadeOf(aTicket.mRequest);
  if (aOutcome.mScore >= cascade.mStages[aTicket.mStage].mAcceptScore) {
    return Deliver{ *aTicket.mCompletedAttempt };
  }
  ++aTicket.mStage;
  aTicket.mVersion.clear();
  return Plan(aTicket, aNow);
}

Decision
Router::AfterFailure(Ticket& aTicket,
                     const AttemptOutcome& aOutcome,
                     TimePoint aNow)
{
  const auto& attempt = aTicket.mAttempts.back();
  const bool mayHaveReached = aOutcome.mEnd != AttemptEnd::NotConnected &&
                              aOutcome.mEnd != AttemptEnd::Cancelled;
  if (mayHaveReached && !IsIdempotent(aTicket.mRequest)) {
    aTicket.mMayHaveRun = true;
    return MakeRefusal(aTicket,
                       ErrorKind::UpstreamFailed,
                       "the upstream returned no complete answer");
  }
  if (aOutcome.mResponseStarted) {
    return MakeRefusal(aTicket,
                       ErrorKind::UpstreamFailed,
                       "the answer was interrupted after part of it was sent");
  }
  if (IsConnectionFault(aOutcome)) {
    // the same upstream may respond on a new connection
    aTicket.mNeedsFreshConnection = true;
  } else if (aOutcome.mEnd != AttemptEnd::Cancelled) {
    aTicket.mExcluded.insert(attempt.mUpstream);
  }
  if (mayHaveReached) {
    if (mRetryTokens < 1.0) {
      return RefuseOrDeliver(aTicket,
                             MakeRefusal(aTicket,
                                         ErrorKind::UpstreamFailed,
                                         "the retry budget is exhausted"));
    }
    mRetryTokens -= 1.0;
  }
  return Plan(aTicket, aNow);
}

evidence::EvidenceKey
Router::EvidenceKeyOf(const Ticket& aTicket) const
{
  const auto* const chat = ChatOf(aTicket.mRequest);
  if (chat == nullptr) {
    return {};
  }
  using evidence::StagePath;
  auto path = StagePath::Committed;
  if (aTicket.mCompletedAttempt) {
    path = StagePath::Escalated;
  } else if (CanEscalate(aTicket)) {
    path = StagePath::Checked;
  }
  return { aTicket.mVersion,
           evidence::TaskKey(chat->mName, chat->mTaskKind, path) };
}

void
Router::UpdateColdStart(const Ticket& aTicket,
                        const AttemptRecord& aAttempt,
                        const AttemptOutcome& aOutcome,
                        TimePoint aNow)
{
  if (IsConnectionFault(aOutcome)) {
    return;
  }
  auto& coldStart = mUpstreams.ColdStart();
  switch (aOutcome.mEnd) {
    case AttemptEnd::Completed:
      coldStart.OnSuccess(aAttempt.mUpstream, aOutcome.mBootId, aNow);
      return;
    case AttemptEnd::TimedOut:
      // a timeout at the caller's deadline is no evidence against the upstream
      if (aNow < aTicket.mRequest.mDeadline) {
        coldStart.OnFailureSignal(aAttempt.mUpstream, aNow);
      }
      return;
    case AttemptEnd::NotConnected:
    case AttemptEnd::Rejected:
    case AttemptEnd::Broken:
      coldStart.OnFailureSignal(aAttempt.mUpstream, aNow);
      return;
    case AttemptEnd::Failed:
      // only this version or request failed; the upstream itself responds
    case AttemptEnd::Cancelled:
      return;
  }
}

void
Router::RecordOutcome(const Ticket& aTicket,
                      const AttemptRecord& aAttempt,
                      const AttemptOutcome& aOutcome,
                      TimePoint aNow)
{
  UpdateColdStart(aTicket, aAttempt, aOutcome, aNow);
  if (aOutcome.mEnd == AttemptEnd::Completed) {
    mQuarantine.OnServed(aTicket.mRequest.mFingerprint, aNow);
  }
  if (aOutcome.mEnd == AttemptEnd::Broken && !IsConnectionFault(aOutcome)) {
    // `InFlight` no longer counts this attempt, whose slot was released
    mQuarantine.OnConnectionBroken(aTicket.mRequest.mFingerprint,
                                   aAttempt.mUpstream,
                                   mUpstreams.InFlight(aAttempt.mUpstream) + 1,
                                   aNow);
  }
  const auto* const chat = ChatOf(aTicket.mRequest);
  if (chat == nullptr || aOutcome.mEnd == AttemptEnd::Cancelled) {
    return;
  }
  evidence::EvidenceCounts counts;
  if (aOutcome.mEnd == AttemptEnd::Completed) {
    counts.mAnswered = 1;
    mLatencies.Add({ aAttempt.mVersion, chat->mTaskKind }, aOutcome.mLatency);
    if (CanEscalate(aTicket)) {
      const auto& stage = CascadeOf(aTicket.mRequest)->mStages[aTicket.mStage];
      const bool accepted = aOutcome.mScore >= stage.mAcceptScore;
      (accepted ? counts.mAccepted : counts.mEscalated) = 1;
    }
  } else if (aOutcome.mEnd == AttemptEnd::Failed) {
    counts.mErrors = 1;
  }
  mEvidence.Add(aAttempt.mEvidenceKey, counts, aNow);
}

} // namespace figslip::routing
