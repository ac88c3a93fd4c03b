#include <figslip/admission/fair_queue.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <numeric>
#include <ranges>
#include <set>

namespace figslip::admission {

void
FairQueue::Push(QueuedRequest aRequest, TimePoint aNow)
{
  assert(aRequest.mShare > 0.0 && aRequest.mCost > 0.0);
  const auto [position, isNew] =
    mClassQueues.try_emplace(aRequest.mCapacityClass);
  auto& queue = position->second;
  if (isNew) {
    queue.mRate.Begin(aNow);
  }
  auto& flow = queue.mFlows[aRequest.mAccount];
  if (flow.mWaiting.empty()) {
    // an idle account accumulates no credit
    flow.mStartTag = std::max(flow.mStartTag, queue.mVirtualTime);
  }
  flow.mShare = aRequest.mShare;
  ++queue.mWaiting;
  auto& backlog = mBacklogs[aRequest.mAccount];
  ++backlog.mWaiting;
  backlog.mShare = aRequest.mShare;
  const Rank rank{ aRequest.mPriority, mNextArrival++ };
  mLocations[aRequest.mTicket] = { .mCapacityClass = aRequest.mCapacityClass,
                                   .mAccount = aRequest.mAccount,
                                   .mRank = rank };
  flow.mWaiting.emplace(rank, std::move(aRequest));
}

FairQueue::Flow*
FairQueue::NextFlow(ClassQueue& aQueue)
{
  Flow* next = nullptr;
  for (auto& [account, flow] : aQueue.mFlows) {
    if (!flow.mWaiting.empty() &&
        (next == nullptr || flow.mStartTag < next->mStartTag)) {
      next = &flow;
    }
  }
  return next;
}

void
FairQueue::AdvanceVirtualTime(ClassQueue& aQueue, Flow& aFlow, double aCost)
{
  aQueue.mVirtualTime = aFlow.mStartTag;
  aFlow.mStartTag += aCost / aFlow.mShare;
}

void
FairQueue::Erase(routing::TicketId aTicket)
{
  const auto location = mLocations.extract(aTicket);
  assert(!location.empty());
  const auto& [capacityClass, account, rank] = location.mapped();
  const auto position = mClassQueues.find(capacityClass);
  auto& queue = position->second;
  queue.mFlows.at(account).mWaiting.erase(rank);
  --queue.mWaiting;
  if (queue.mWaiting == 0) {
    mClassQueues.erase(position);
  } else {
    // an idle flow is needed only while its start tag is ahead of the virtual
    // time, which delays its next request
    std::erase_if(queue.mFlows, [&](const auto& aEntry) {
      const auto& flow = aEntry.second;
      return flow.mWaiting.empty() && flow.mStartTag <= queue.mVirtualTime;
    });
  }
  const auto backlog = mBacklogs.find(account);
  if (--backlog->second.mWaiting == 0) {
    mBacklogs.erase(backlog);
  }
}

std::optional<routing::TicketId>
FairQueue::AdmitFrom(
  ClassQueue& aQueue,
  const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
  TimePoint aNow)
{
  auto& flow = *NextFlow(aQueue);
  const auto& request = flow.mWaiting.begin()->second;
  const auto ticket = request.mTicket;
  const auto result = aTry(request);
  if (result == AdmissionResult::NoCapacity) {
    return std::nullopt;
  }
  if (result == AdmissionResult::Admitted) {
    AdvanceVirtualTime(aQueue, flow, request.mCost);
    aQueue.mRate.OnAdmission(aNow);
  }
  Erase(ticket);
  return ticket;
}

std::vector<routing::TicketId>
FairQueue::Admit(
  const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
  TimePoint aNow)
{
  std::vector<routing::TicketId> left;
  std::set<std::string, std::less<>> exhausted;
  while (exhausted.size() < mClassQueues.size()) {
    auto position = mClassQueues.upper_bound(mLastServedClass);
    if (position == mClassQueues.end()) {
      position = mClassQueues.begin();
    }
    mLastServedClass = position->first;
    if (exhausted.contains(mLastServedClass)) {
      continue;
    }
    if (const auto ticket = AdmitFrom(position->second, aTry, aNow)) {
      left.push_back(*ticket);
    } else {
      exhausted.insert(mLastServedClass);
    }
  }
  return left;
}

bool
FairQueue::Remove(routing::TicketId aTicket)
{
  if (!mLocations.contains(aTicket)) {
    return false;
  }
  Erase(aTicket);
  return true;
}

double
FairQueue::RequestsServedBefore(const ClassQueue& aQueue,
                                std::string_view aAccount,
                                double aShare,
                                std::size_t aAhead)
{
  const auto own = static_cast<double>(aAhead + 1);
  return std::transform_reduce(
    aQueue.mFlows.begin(),
    aQueue.mFlows.end(),
    own,
    std::plus(),
    [&](const auto& aEntry) {
      const auto& [account, flow] = aEntry;
      // while the requests of this account are served, another flow is served
      // in proportion to its weight, at most as often as it has requests
      const auto waiting = static_cast<double>(flow.mWaiting.size());
      return account == aAccount
               ? 0.0
               : std::min(waiting, own * flow.mShare / aShare);
    });
}

std::optional<Duration>
FairQueue::EstimateWait(const ClassQueue& aQueue,
                        double aRequests,
                        TimePoint aNow)
{
  constexpr double kMaxSeconds = 1e6;
  const auto rate = aQueue.mRate.PerSecond(aNow);
  if (!rate) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(kMaxSeconds, aRequests / *rate)));
}

std::optional<Duration>
FairQueue::ExpectedWait(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const auto position = mClassQueues.find(aRequest.mCapacityClass);
  if (position == mClassQueues.end()) {
    return std::nullopt;
  }
  const auto& queue = position->second;
  const auto flow = queue.mFlows.find(aRequest.mAccount);
  std::size_t ahead = 0;
  if (flow != queue.mFlows.end()) {
    const auto& waiting = flow->second.mWaiting;
    ahead = static_cast<std::size_t>(
      std::distance(waiting.begin(),
                    waiting.upper_bound({ aRequest.mPriority, mNextArrival })));
  }
  const auto requests =
    RequestsServedBefore(queue, aRequest.mAccount, aRequest.mShare, ahead);
  return EstimateWait(queue, requests, aNow);
}

std::vector<routing::TicketId>
FairQueue::RemoveUnmeetable(TimePoint aNow)
{
  std::vector<routing::TicketId> unmeetable;
  for (const auto& [capacityClass, queue] : mClassQueues) {
    for (const auto& [account, flow] : queue.mFlows) {
      std::size_t ahead = 0;
      for (const auto& request : flow.mWaiting | std::views::values) {
        const auto requests =
          RequestsServedBefore(queue, account, flow.mShare, ahead);
        const auto wait = EstimateWait(queue, requests, aNow);
        if (wait && aNow + *wait > request.mDeadline) {
          unmeetable.push_back(request.mTicket);
        } else {
          ++ahead;
        }
      }
    }
  }
  std::ranges::for_each(unmeetable, [this](auto aTicket) { Erase(aTicket); });
  return unmeetable;
}

std::optional<routing::TicketId>
FairQueue::EvictFor(const QueuedRequest& aNew)
{
  const auto perWeight = [](const auto& aEntry) {
    return static_cast<double>(aEntry.second.mWaiting) / aEntry.second.mShare;
  };
  const auto largest = std::ranges::max_element(mBacklogs, {}, perWeight);
  const auto own = mBacklogs.find(aNew.mAccount);
  const auto ownWaiting = own == mBacklogs.end() ? 0 : own->second.mWaiting;
  const auto ownPerWeight = static_cast<double>(ownWaiting + 1) / aNew.mShare;
  if (largest == mBacklogs.end() || largest == own ||
      ownPerWeight >= perWeight(*largest)) {
    return std::nullopt;
  }
  const auto isOfLargest = [&](const auto& aEntry) {
    return aEntry.second.mAccount == largest->first;
  };
  auto ofLargest = mLocations | std::views::filter(isOfLargest);
  const auto last = std::ranges::max_element(
    ofLargest, {}, [](const auto& aEntry) { return aEntry.second.mRank; });
  const auto ticket = last->first;
  Erase(ticket);
  return ticket;
}

std::size_t
FairQueue::FlowCount() const
{
  return std::transform_reduce(
    mClassQueues.begin(),
    mClassQueues.end(),
    std::size_t{ 0 },
    std::plus(),
    [](const auto& aEntry) { return aEntry.second.mFlows.size(); });
}

} // namespace figslip::admission
