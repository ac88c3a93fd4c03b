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
  auto& group = position->second;
  if (isNew) {
    group.mRate.Begin(aNow);
  }
  auto& line = group.mFlows[aRequest.mAccount];
  if (line.mWaiting.empty()) {
    // time spent idle earns no credit
    line.mStartTag = std::max(line.mStartTag, group.mVirtualTime);
  }
  line.mShare = aRequest.mShare;
  ++group.mWaiting;
  auto& backlog = mBacklogs[aRequest.mAccount];
  ++backlog.mWaiting;
  backlog.mShare = aRequest.mShare;
  const Rank rank{ aRequest.mPriority, mNextArrival++ };
  mLocations[aRequest.mTicket] = { .mCapacityClass = aRequest.mCapacityClass,
                                   .mAccount = aRequest.mAccount,
                                   .mRank = rank };
  line.mWaiting.emplace(rank, std::move(aRequest));
}

FairQueue::Flow*
FairQueue::NextFlow(ClassQueue& aGroup)
{
  Flow* next = nullptr;
  for (auto& [account, line] : aGroup.mFlows) {
    if (!line.mWaiting.empty() &&
        (next == nullptr || line.mStartTag < next->mStartTag)) {
      next = &line;
    }
  }
  return next;
}

void
FairQueue::AdvanceVirtualTime(ClassQueue& aGroup, Flow& aLine, double aCost)
{
  aGroup.mVirtualTime = aLine.mStartTag;
  aLine.mStartTag += aCost / aLine.mShare;
}

void
FairQueue::Erase(routing::TicketId aTicket)
{
  const auto place = mLocations.extract(aTicket);
  assert(!place.empty());
  const auto& [need, account, rank] = place.mapped();
  const auto position = mClassQueues.find(need);
  auto& group = position->second;
  group.mFlows.at(account).mWaiting.erase(rank);
  --group.mWaiting;
  if (group.mWaiting == 0) {
    mClassQueues.erase(position);
  } else {
    // an idle line only matters while it is ahead of the others
    std::erase_if(group.mFlows, [&](const auto& aEntry) {
      const auto& line = aEntry.second;
      return line.mWaiting.empty() && line.mStartTag <= group.mVirtualTime;
    });
  }
  const auto backlog = mBacklogs.find(account);
  if (--backlog->second.mWaiting == 0) {
    mBacklogs.erase(backlog);
  }
}

std::optional<routing::TicketId>
FairQueue::AdmitFrom(
  ClassQueue& aGroup,
  const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
  TimePoint aNow)
{
  auto& line = *NextFlow(aGroup);
  const auto& request = line.mWaiting.begin()->second;
  const auto ticket = request.mTicket;
  const auto admittance = aTry(request);
  if (admittance == AdmissionResult::NoCapacity) {
    return std::nullopt;
  }
  if (admittance == AdmissionResult::Admitted) {
    AdvanceVirtualTime(aGroup, line, request.mCost);
    aGroup.mRate.OnAdmission(aNow);
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
FairQueue::RequestsServedBefore(const ClassQueue& aGroup,
                                std::string_view aAccount,
                                double aShare,
                                std::size_t aAhead)
{
  const auto own = static_cast<double>(aAhead + 1);
  return std::transform_reduce(
    aGroup.mFlows.begin(),
    aGroup.mFlows.end(),
    own,
    std::plus(),
    [&](const auto& aEntry) {
      const auto& [account, line] = aEntry;
      // while ours are served, another line gets its share of turns, or less
      // where it has fewer requests
      const auto waiting = static_cast<double>(line.mWaiting.size());
      return account == aAccount
               ? 0.0
               : std::min(waiting, own * line.mShare / aShare);
    });
}

std::optional<Duration>
FairQueue::EstimateWait(const ClassQueue& aGroup,
                        double aRequests,
                        TimePoint aNow)
{
  constexpr double kMaxSeconds = 1e6;
  const auto rate = aGroup.mRate.PerSecond(aNow);
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
  const auto& group = position->second;
  const auto line = group.mFlows.find(aRequest.mAccount);
  std::size_t ahead = 0;
  if (line != group.mFlows.end()) {
    const auto& waiting = line->second.mWaiting;
    ahead = static_cast<std::size_t>(
      std::distance(waiting.begin(),
                    waiting.upper_bound({ aRequest.mPriority, mNextArrival })));
  }
  const auto requests =
    RequestsServedBefore(group, aRequest.mAccount, aRequest.mShare, ahead);
  return EstimateWait(group, requests, aNow);
}

std::vector<routing::TicketId>
FairQueue::RemoveUnmeetable(TimePoint aNow)
{
  std::vector<routing::TicketId> overdue;
  for (const auto& [need, group] : mClassQueues) {
    for (const auto& [account, line] : group.mFlows) {
      std::size_t ahead = 0;
      for (const auto& request : line.mWaiting | std::views::values) {
        const auto requests =
          RequestsServedBefore(group, account, line.mShare, ahead);
        const auto wait = EstimateWait(group, requests, aNow);
        if (wait && aNow + *wait > request.mDeadline) {
          overdue.push_back(request.mTicket);
        } else {
          ++ahead;
        }
      }
    }
  }
  std::ranges::for_each(overdue, [this](auto aTicket) { Erase(aTicket); });
  return overdue;
}

std::optional<routing::TicketId>
FairQueue::EvictFor(const QueuedRequest& aNew)
{
  const auto perWeight = [](const auto& aEntry) {
    return static_cast<double>(aEntry.second.mWaiting) / aEntry.second.mShare;
  };
  const auto longest = std::ranges::max_element(mBacklogs, {}, perWeight);
  const auto own = mBacklogs.find(aNew.mAccount);
  const auto ownWaiting = own == mBacklogs.end() ? 0 : own->second.mWaiting;
  const auto ownPerWeight = static_cast<double>(ownWaiting + 1) / aNew.mShare;
  if (longest == mBacklogs.end() || longest == own ||
      ownPerWeight >= perWeight(*longest)) {
    return std::nullopt;
  }
  const auto isOfLongest = [&](const auto& aEntry) {
    return aEntry.second.mAccount == longest->first;
  };
  auto ofLongest = mLocations | std::views::filter(isOfLongest);
  const auto last = std::ranges::max_element(
    ofLongest, {}, [](const auto& aEntry) { return aEntry.second.mRank; });
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
