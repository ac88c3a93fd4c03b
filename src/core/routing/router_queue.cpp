#include <figslip/routing/router.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace figslip::routing {

using error::ErrorKind;

namespace {

/// A request that waits to escalate may wait for 1 / divisor of the time left;
/// the rest is kept for the answer.
constexpr int kEscalationWaitDivisor = 2;

} // namespace

Decision
Router::ClaimOrStartAttempt(Ticket& aTicket, Dispatch aDispatch)
{
#ifndef FIGSLIP_WITHOUT_CLAIM
  if (!IsIdempotent(aTicket.mRequest) && !aTicket.mClaimed) {
    // the slot stays reserved while the key is claimed
    aTicket.mReserved = std::move(aDispatch);
    return ClaimKey{ aTicket.mRequest.mIdempotencyKey };
  }
#endif
  return StartAttempt(aTicket, std::move(aDispatch));
}

std::string
Router::CapacityClassOf(const Ticket& aTicket) const
{
  const auto* const service =
    std::get_if<ServiceTarget>(&aTicket.mRequest.mTarget);
  auto capacityClass = service == nullptr ? "version " + aTicket.mVersion
                                          : "service " + service->mService;
  // a retry excludes upstreams that other requests may use, so it waits for a
  // different set of slots
  for (const auto& name : aTicket.mExcluded) {
    if (mSnapshot->mManifest->FindUpstream(name) != nullptr) {
      capacityClass += " not " + name;
    }
  }
  return capacityClass;
}

Decision
Router::SpillOverOrRefuse(Ticket& aTicket, Refuse aRefusal, TimePoint aNow)
{
  // only one other failure domain is tried, since trying more would amplify an
  // overload of all domains; a non-idempotent request is not forwarded because
  // it could not be retried if the forward were lost
  if (!aTicket.mCompletedAttempt && aTicket.mFailedForwards == 0 &&
      IsIdempotent(aTicket.mRequest)) {
    auto decision = ForwardOrRefuse(aTicket, aNow);
    if (std::holds_alternative<Forward>(decision)) {
      return decision;
    }
  }
  return RefuseOrDeliver(aTicket, std::move(aRefusal));
}

Decision
Router::EnqueueOrRefuse(Ticket& aTicket,
                        std::string aCapacityClass,
                        TimePoint aNow)
{
  const auto& request = aTicket.mRequest;
  const auto refuse = [&](std::string aText) {
    return SpillOverOrRefuse(
      aTicket,
      MakeRefusal(aTicket, ErrorKind::NoCapacity, std::move(aText)),
      aNow);
  };
  admission::QueuedRequest waiting{
    .mTicket = aTicket.mId,
    .mCapacityClass = std::move(aCapacityClass),
    .mAccount = request.mAccount,
    .mShare = mSnapshot->mManifest->FindAccount(request.mAccount)->mShare,
    .mCost =
      static_cast<double>(std::max<std::int64_t>(1, request.mExpectedTokens)),
    .mPriority = static_cast<int>(request.mPriority),
    .mDeadline = request.mDeadline
  };
  const auto wait = mQueue.ExpectedWait(waiting, aNow);
  if (wait && aNow + *wait > request.mDeadline) {
    return refuse("the deadline would pass while the request is queued");
  }
  if (mQueue.Size() >= mOptions.mMaxQueue) {
    const auto displaced = mQueue.EvictFor(waiting);
    if (!displaced) {
      return refuse("the queue of waiting requests is full");
    }
    mWakeUps.push_back(*displaced);
  }
  mQueue.Push(std::move(waiting), aNow);
  const auto timeLeft = request.mDeadline - aNow;
  return Wait{ aTicket.mCompletedAttempt
                 ? aNow + timeLeft / kEscalationWaitDivisor
                 : request.mDeadline };
}

void
Router::WakeAllWaiting()
{
  for (const auto& [id, ticket] : mTickets) {
    if (mQueue.Remove(id)) {
      mWakeUps.push_back(id);
    }
  }
}

void
Router::AdmitWaiting(TimePoint aNow)
{
  if (mQueue.Empty()) {
    return;
  }
  using admission::AdmissionResult;
  const auto tryAdmit = [&](const admission::QueuedRequest& aWaiting) {
    auto& ticket = mTickets.at(aWaiting.mTicket);
    if (mVersions.IsStopped(ticket.mVersion)) {
      return AdmissionResult::Unschedulable;
    }
    ticket.mReserved = TryReserve(ticket, aNow);
    if (ticket.mReserved) {
      return AdmissionResult::Admitted;
    }
    // a request without any candidate is planned again instead of waiting on
    return Candidates(ticket, aNow).empty() ? AdmissionResult::Unschedulable
                                            : AdmissionResult::NoCapacity;
  };
  std::ranges::copy(mQueue.Admit(tryAdmit, aNow), std::back_inserter(mWakeUps));
}

} // namespace figslip::routing
