#include <figslip/admission/fair_queue.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <numeric>
#include <ranges>

namespace figslip::admission {

namespace {

/// Least fraction of the rate of an account that is expected to be left for its
/// less urgent requests. While few requests wait, a burst of urgent ones for
/// less than a second must not get the others refused.
constexpr double kMinRateLeft = 0.1;

} // namespace

std::uint64_t
FairQueue::Push(QueuedRequest aRequest, TimePoint aNow)
{
  assert(aRequest.mShare > 0.0 && aRequest.mCost > 0.0);
  const auto [position, isNew] =
    mClassQueues.try_emplace(aRequest.mCapacityClass);
  auto& queue = position->second;
  if (isNew) {
    queue.mGroup = aRequest.mGroup;
    queue.mRate.Begin(aNow);
  }
  auto& flow = queue.mFlows[aRequest.mAccount];
  if (flow.mWaiting.empty()) {
    // an idle account accumulates no credit
    flow.mStartTag = std::max(flow.mStartTag, queue.mVirtualTime);
    flow.mRate.Begin(aNow);
  }
  if (aRequest.mWasRejected) {
    flow.mStartTag -= aRequest.mCost / aRequest.mShare;
    queue.mRate.OnRejection(aRequest.mCost);
    flow.mRate.OnRejection(aRequest.mCost);
  }
  flow.mShare = aRequest.mShare;
  flow.mWork += aRequest.mCost;
  ++queue.mWaiting;
  auto& backlog = mBacklogs[aRequest.mAccount];
  ++backlog.mWaiting;
  backlog.mBytes += aRequest.mBytes;
  backlog.mShare = aRequest.mShare;
  if (!aRequest.mFormerArrival) {
    flow.mArrivals[aRequest.mPriority].OnArrival(aNow, aRequest.mCost);
  }
  const auto arrival =
    aRequest.mFormerArrival ? *aRequest.mFormerArrival : mNextArrival++;
  const Rank rank{ aRequest.mPriority, arrival };
  mLocations[aRequest.mTicket] = { .mCapacityClass = aRequest.mCapacityClass,
                                   .mAccount = aRequest.mAccount,
                                   .mRank = rank };
  flow.mWaiting.emplace(rank, std::move(aRequest));
  return arrival;
}

std::optional<std::string>
FairQueue::NextAccount(const ClassQueue& aQueue)
{
  auto waiting = aQueue.mFlows | std::views::filter([&](const auto& aEntry) {
                   return !aEntry.second.mWaiting.empty() &&
                          !aQueue.mBlocked.contains(aEntry.first);
                 });
  const auto next = std::ranges::min_element(
    waiting, {}, [](const auto& aEntry) { return aEntry.second.mStartTag; });
  return next == waiting.end() ? std::nullopt : std::optional(next->first);
}

FairQueue::ClassQueues::iterator
FairQueue::MostUrgentClass(ClassQueues::iterator aClass,
                           const std::string& aAccount,
                           const ClassNames& aExhausted)
{
  const auto& group = aClass->second.mGroup;
  if (group.empty()) {
    return aClass;
  }
  auto best = aClass;
  std::optional<int> bestPriority; // of a class that has been looked at
  for (auto other = mClassQueues.begin(); other != mClassQueues.end();
       ++other) {
    const auto& [name, queue] = *other;
    const auto flow = queue.mFlows.find(aAccount);
    const bool isWaiting =
      flow != queue.mFlows.end() && !flow->second.mWaiting.empty();
    if (!isWaiting || queue.mGroup != group || aExhausted.contains(name) ||
        queue.mBlocked.contains(aAccount)) {
      continue;
    }
    const auto priority = flow->second.mWaiting.begin()->first.first;
    // among equally urgent ones, that of the turn goes first
    const bool isBetter = !bestPriority || priority < *bestPriority ||
                          (priority == bestPriority && other == aClass);
    if (isBetter) {
      best = other;
      bestPriority = priority;
    }
  }
  return best;
}

bool
FairQueue::HasMoreUrgent(const QueuedRequest& aRequest) const
{
  if (aRequest.mGroup.empty()) {
    return false;
  }
  return std::ranges::any_of(
    mClassQueues | std::views::values, [&](const ClassQueue& aQueue) {
      const auto flow = aQueue.mFlows.find(aRequest.mAccount);
      return aQueue.mGroup == aRequest.mGroup && flow != aQueue.mFlows.end() &&
             !flow->second.mWaiting.empty() &&
             flow->second.mWaiting.begin()->first.first < aRequest.mPriority;
    });
}

void
FairQueue::AdvanceVirtualTime(ClassQueue& aQueue, Flow& aFlow, double aCost)
{
  // a request that was rejected returns with a start tag before this time
  aQueue.mVirtualTime = std::max(aQueue.mVirtualTime, aFlow.mStartTag);
  aFlow.mStartTag += aCost / aFlow.mShare;
  // an account that is passed over accumulates no credit
  for (const auto& account : aQueue.mBlocked) {
    const auto flow = aQueue.mFlows.find(account);
    if (flow != aQueue.mFlows.end()) {
      auto& tag = flow->second.mStartTag;
      tag = std::max(tag, aQueue.mVirtualTime);
    }
  }
}

void
FairQueue::Erase(routing::TicketId aTicket)
{
  const auto location = mLocations.extract(aTicket);
  assert(!location.empty());
  const auto& [capacityClass, account, rank] = location.mapped();
  const auto position = mClassQueues.find(capacityClass);
  auto& queue = position->second;
  auto& erasedFrom = queue.mFlows.at(account);
  const auto request = erasedFrom.mWaiting.extract(rank);
  erasedFrom.mWork = erasedFrom.mWaiting.empty()
                       ? 0.0
                       : erasedFrom.mWork - request.mapped().mCost;
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
  backlog->second.mBytes -= request.mapped().mBytes;
  if (--backlog->second.mWaiting == 0) {
    mBacklogs.erase(backlog);
  }
}

AdmissionResult
FairQueue::AdmitFrom(
  ClassQueue& aQueue,
  const std::string& aAccount,
  ClassQueue& aTurn,
  const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
  TimePoint aNow)
{
  auto& flow = aQueue.mFlows.at(aAccount);
  const auto& request = flow.mWaiting.begin()->second;
  const auto ticket = request.mTicket;
  const auto result = aTry(request);
  const bool isLeft = result == AdmissionResult::Admitted ||
                      result == AdmissionResult::Unschedulable;
  if (!isLeft) {
    return result;
  }
  if (result == AdmissionResult::Admitted) {
    AdvanceVirtualTime(aTurn, aTurn.mFlows.at(aAccount), request.mCost);
    if (&aTurn != &aQueue) {
      // the capacity is that of the other class, where the accounts that wait
      // must not pay for it
      flow.mStartTag += request.mCost / flow.mShare;
    }
    aQueue.mRate.OnAdmission(aNow, request.mCost);
    flow.mRate.OnAdmission(aNow, request.mCost);
  }
  Erase(ticket);
  return result;
}

std::vector<routing::TicketId>
FairQueue::Admit(
  const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
  TimePoint aNow)
{
  std::vector<routing::TicketId> left;
  ClassNames exhausted;
  for (auto& queue : mClassQueues | std::views::values) {
    queue.mBlocked.clear();
  }
  while (exhausted.size() < mClassQueues.size()) {
    auto position = mClassQueues.upper_bound(mLastServedClass);
    if (position == mClassQueues.end()) {
      position = mClassQueues.begin();
    }
    mLastServedClass = position->first;
    if (exhausted.contains(mLastServedClass)) {
      continue;
    }
    const auto account = NextAccount(position->second);
    if (!account) {
      exhausted.insert(mLastServedClass);
      continue;
    }
    const auto chosen = MostUrgentClass(position, *account, exhausted);
    const auto& flow = chosen->second.mFlows.at(*account);
    const auto ticket = flow.mWaiting.begin()->second.mTicket;
    switch (AdmitFrom(chosen->second, *account, position->second, aTry, aNow)) {
      case AdmissionResult::Admitted:
      case AdmissionResult::Unschedulable:
        left.push_back(ticket);
        break;
      case AdmissionResult::NoCapacity:
        exhausted.insert(chosen->first);
        break;
      case AdmissionResult::NoCapacityForAccount:
        chosen->second.mBlocked.insert(*account);
        break;
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

std::vector<FairQueue::Competitor>
FairQueue::CompetitorsOf(const ClassQueue& aQueue, std::string_view aAccount)
{
  std::vector<Competitor> competitors;
  for (const auto& [account, flow] : aQueue.mFlows) {
    if (account != aAccount && !flow.mWaiting.empty()) {
      competitors.push_back({ .mWork = flow.mWork, .mShare = flow.mShare });
    }
  }
  return competitors;
}

double
FairQueue::WorkUpTo(const std::vector<Competitor>& aCompetitors,
                    double aShare,
                    double aOwnWork)
{
  return std::transform_reduce(
    aCompetitors.begin(),
    aCompetitors.end(),
    aOwnWork,
    std::plus(),
    [&](const Competitor& aOther) {
      // while the requests of this account are served, another flow is served
      // in proportion to its weight, at most until its requests are served
      return std::min(aOther.mWork, aOwnWork * aOther.mShare / aShare);
    });
}

Duration
FairQueue::EstimateWait(const std::vector<Competitor>& aCompetitors,
                        const WaitQuery& aQuery)
{
  constexpr double kMaxSeconds = 1e6;
  const auto work = WorkUpTo(aCompetitors, aQuery.mShare, aQuery.mOwnWork);
  // the measured rate covers what other accounts will send meanwhile
  const auto modelled = aQuery.mServiceRate * aQuery.mOwnWork / work;
  const auto ownRate = std::min(modelled, aQuery.mFlowRate.value_or(modelled));
  const auto rateLeft =
    std::max(ownRate * kMinRateLeft, ownRate - aQuery.mOvertakingRate);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    std::min(kMaxSeconds, aQuery.mOwnWork / rateLeft)));
}

double
FairQueue::OvertakingRate(const Flow& aFlow, int aPriority, TimePoint aNow)
{
  return std::transform_reduce(
    aFlow.mArrivals.begin(),
    aFlow.mArrivals.lower_bound(aPriority),
    0.0,
    std::plus(),
    [&](const auto& aEntry) { return aEntry.second.PerSecond(aNow); });
}

std::optional<Duration>
FairQueue::ExpectedWait(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const auto position = mClassQueues.find(aRequest.mCapacityClass);
  if (position == mClassQueues.end()) {
    return std::nullopt;
  }
  const auto& queue = position->second;
  const auto rate = queue.mRate.PerSecond(aNow);
  if (!rate) {
    return std::nullopt;
  }
  WaitQuery query{ .mOwnWork = aRequest.mCost,
                   .mShare = aRequest.mShare,
                   .mServiceRate = *rate };
  const auto flow = queue.mFlows.find(aRequest.mAccount);
  if (flow != queue.mFlows.end()) {
    const auto& waiting = flow->second.mWaiting;
    const auto end = waiting.upper_bound(
      { aRequest.mPriority, aRequest.mFormerArrival.value_or(mNextArrival) });
    query.mOwnWork = std::transform_reduce(
      waiting.begin(),
      end,
      query.mOwnWork,
      std::plus(),
      [](const auto& aEntry) { return aEntry.second.mCost; });
    query.mFlowRate = flow->second.mRate.PerSecond(aNow);
    query.mOvertakingRate =
      OvertakingRate(flow->second, aRequest.mPriority, aNow);
  }
  return EstimateWait(CompetitorsOf(queue, aRequest.mAccount), query);
}

std::vector<routing::TicketId>
FairQueue::UnmeetableOf(
  const ClassQueue& aQueue,
  const std::string& aAccount,
  const std::function<TimePoint(const QueuedRequest&)>& aDeadlineOf,
  TimePoint aNow)
{
  const auto& flow = aQueue.mFlows.at(aAccount);
  const auto rate = aQueue.mRate.PerSecond(aNow);
  const auto flowRate = flow.mRate.PerSecond(aNow);
  const auto competitors = CompetitorsOf(aQueue, aAccount);
  std::vector<routing::TicketId> unmeetable;
  double ownWork = 0.0; // of the requests that keep waiting
  std::optional<int> priority;
  double overtaking = 0.0;
  for (const auto& request : flow.mWaiting | std::views::values) {
    const auto upTo = ownWork + request.mCost;
    if (request.mPriority != priority) {
      priority = request.mPriority;
      overtaking = OvertakingRate(flow, request.mPriority, aNow);
    }
    const auto wait = rate ? EstimateWait(competitors,
                                          { .mOwnWork = upTo,
                                            .mShare = flow.mShare,
                                            .mServiceRate = *rate,
                                            .mFlowRate = flowRate,
                                            .mOvertakingRate = overtaking })
                           : Duration::zero();
    if (aNow + wait > aDeadlineOf(request)) {
      unmeetable.push_back(request.mTicket);
    } else {
      ownWork = upTo;
    }
  }
  return unmeetable;
}

std::vector<routing::TicketId>
FairQueue::RemoveUnmeetable(
  TimePoint aNow,
  const std::function<TimePoint(const QueuedRequest&)>& aDeadlineOf)
{
  std::vector<routing::TicketId> unmeetable;
  for (const auto& queue : mClassQueues | std::views::values) {
    for (const auto& account : queue.mFlows | std::views::keys) {
      std::ranges::copy(UnmeetableOf(queue, account, aDeadlineOf, aNow),
                        std::back_inserter(unmeetable));
    }
  }
  std::ranges::for_each(unmeetable, [this](auto aTicket) { Erase(aTicket); });
  return unmeetable;
}

std::pair<routing::TicketId, FairQueue::Rank>
FairQueue::LastOf(std::string_view aAccount) const
{
  auto ofAccount = mLocations | std::views::filter([&](const auto& aEntry) {
                     return aEntry.second.mAccount == aAccount;
                   });
  const auto last = std::ranges::max_element(
    ofAccount, {}, [](const auto& aEntry) { return aEntry.second.mRank; });
  return { last->first, last->second.mRank };
}

std::optional<routing::TicketId>
FairQueue::EvictFor(const QueuedRequest& aNew, QueueLimit aLimit)
{
  const auto perWeight = [&](const auto& aEntry) {
    const auto& backlog = aEntry.second;
    return static_cast<double>(backlog.Use(aLimit)) / backlog.mShare;
  };
  const auto largest = std::ranges::max_element(mBacklogs, {}, perWeight);
  if (largest == mBacklogs.end()) {
    return std::nullopt;
  }
  const auto own = mBacklogs.find(aNew.mAccount);
  const auto ownBacklog = own == mBacklogs.end() ? Backlog{} : own->second;
  const auto added = aLimit == QueueLimit::Bytes ? aNew.mBytes : 1;
  const auto ownPerWeight =
    static_cast<double>(ownBacklog.Use(aLimit) + added) / aNew.mShare;
  const bool isOwn = largest == own || ownPerWeight >= perWeight(*largest);
  if (isOwn && ownBacklog.mWaiting == 0) {
    return std::nullopt;
  }
  const auto [ticket, rank] = LastOf(isOwn ? aNew.mAccount : largest->first);
  // the account must not gain from sending many requests of little urgency
  if (isOwn && rank.first <= aNew.mPriority) {
    return std::nullopt;
  }
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
