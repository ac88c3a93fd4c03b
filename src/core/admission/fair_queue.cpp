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
  const auto [position, isNew] = mGroups.try_emplace(aRequest.mNeed);
  auto& group = position->second;
  if (isNew) {
    group.mRate.Begin(aNow);
  }
  auto& line = group.mLines[aRequest.mAccount];
  if (line.mWaiting.empty()) {
    // time spent idle earns no credit
    line.mStart = std::max(line.mStart, group.mVirtualTime);
  }
  line.mShare = aRequest.mShare;
  ++group.mWaiting;
  auto& backlog = mBacklogs[aRequest.mAccount];
  ++backlog.mWaiting;
  backlog.mShare = aRequest.mShare;
  const Rank rank{ aRequest.mPriority, mArrivals++ };
  mPlaces[aRequest.mTicket] = { .mNeed = aRequest.mNeed,
                                .mAccount = aRequest.mAccount,
                                .mRank = rank };
  line.mWaiting.emplace(rank, std::move(aRequest));
}

FairQueue::Line*
FairQueue::NextLine(Group& aGroup)
{
  Line* next = nullptr;
  for (auto& [account, line] : aGroup.mLines) {
    if (!line.mWaiting.empty() &&
        (next == nullptr || line.mStart < next->mStart)) {
      next = &line;
    }
  }
  return next;
}

void
FairQueue::Advance(Group& aGroup, Line& aLine, double aCost)
{
  aGroup.mVirtualTime = aLine.mStart;
  aLine.mStart += aCost / aLine.mShare;
}

void
FairQueue::Forget(routing::TicketId aTicket)
{
  const auto place = mPlaces.extract(aTicket);
  assert(!place.empty());
  const auto& [need, account, rank] = place.mapped();
  const auto position = mGroups.find(need);
  auto& group = position->second;
  group.mLines.at(account).mWaiting.erase(rank);
  --group.mWaiting;
  if (group.mWaiting == 0) {
    mGroups.erase(position);
  } else {
    // an idle line only matters while it is ahead of the others
    std::erase_if(group.mLines, [&](const auto& aEntry) {
      const auto& line = aEntry.second;
      return line.mWaiting.empty() && line.mStart <= group.mVirtualTime;
    });
  }
  const auto backlog = mBacklogs.find(account);
  if (--backlog->second.mWaiting == 0) {
    mBacklogs.erase(backlog);
  }
}

std::optional<routing::TicketId>
FairQueue::AdmitFrom(
  Group& aGroup,
  const std::function<Admittance(const QueuedRequest&)>& aTry,
  TimePoint aNow)
{
  auto& line = *NextLine(aGroup);
  const auto& request = line.mWaiting.begin()->second;
  const auto ticket = request.mTicket;
  const auto admittance = aTry(request);
  if (admittance == Admittance::NoRoom) {
    return std::nullopt;
  }
  if (admittance == Admittance::Admitted) {
    Advance(aGroup, line, request.mCost);
    aGroup.mRate.OnAdmission(aNow);
  }
  Forget(ticket);
  return ticket;
}

std::vector<routing::TicketId>
FairQueue::Admit(const std::function<Admittance(const QueuedRequest&)>& aTry,
                 TimePoint aNow)
{
  std::vector<routing::TicketId> left;
  std::set<std::string, std::less<>> exhausted;
  while (exhausted.size() < mGroups.size()) {
    auto position = mGroups.upper_bound(mLastNeed);
    if (position == mGroups.end()) {
      position = mGroups.begin();
    }
    mLastNeed = position->first;
    if (exhausted.contains(mLastNeed)) {
      continue;
    }
    if (const auto ticket = AdmitFrom(position->second, aTry, aNow)) {
      left.push_back(*ticket);
    } else {
      exhausted.insert(mLastNeed);
    }
  }
  return left;
}

bool
FairQueue::Remove(routing::TicketId aTicket)
{
  if (!mPlaces.contains(aTicket)) {
    return false;
  }
  Forget(aTicket);
  return true;
}

double
FairQueue::RequestsBefore(const Group& aGroup,
                          std::string_view aAccount,
                          double aShare,
                          std::size_t aAhead)
{
  const auto own = static_cast<double>(aAhead + 1);
  return std::transform_reduce(
    aGroup.mLines.begin(),
    aGroup.mLines.end(),
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
FairQueue::WaitOf(const Group& aGroup, double aRequests, TimePoint aNow)
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
  const auto position = mGroups.find(aRequest.mNeed);
  if (position == mGroups.end()) {
    return std::nullopt;
  }
  const auto& group = position->second;
  const auto line = group.mLines.find(aRequest.mAccount);
  std::size_t ahead = 0;
  if (line != group.mLines.end()) {
    const auto& waiting = line->second.mWaiting;
    ahead = static_cast<std::size_t>(std::distance(
      waiting.begin(), waiting.upper_bound({ aRequest.mPriority, mArrivals })));
  }
  const auto requests =
    RequestsBefore(group, aRequest.mAccount, aRequest.mShare, ahead);
  return WaitOf(group, requests, aNow);
}

std::vector<routing::TicketId>
FairQueue::TakeOverdue(TimePoint aNow)
{
  std::vector<routing::TicketId> overdue;
  for (const auto& [need, group] : mGroups) {
    for (const auto& [account, line] : group.mLines) {
      std::size_t ahead = 0;
      for (const auto& request : line.mWaiting | std::views::values) {
        const auto requests =
          RequestsBefore(group, account, line.mShare, ahead);
        const auto wait = WaitOf(group, requests, aNow);
        if (wait && aNow + *wait > request.mDeadline) {
          overdue.push_back(request.mTicket);
        } else {
          ++ahead;
        }
      }
    }
  }
  std::ranges::for_each(overdue, [this](auto aTicket) { Forget(aTicket); });
  return overdue;
}

std::optional<routing::TicketId>
FairQueue::MakeRoomFor(const QueuedRequest& aNew)
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
  auto ofLongest = mPlaces | std::views::filter(isOfLongest);
  const auto last = std::ranges::max_element(
    ofLongest, {}, [](const auto& aEntry) { return aEntry.second.mRank; });
  const auto ticket = last->first;
  Forget(ticket);
  return ticket;
}

std::size_t
FairQueue::Lines() const
{
  return std::transform_reduce(
    mGroups.begin(),
    mGroups.end(),
    std::size_t{ 0 },
    std::plus(),
    [](const auto& aEntry) { return aEntry.second.mLines.size(); });
}

} // namespace figslip::admission
