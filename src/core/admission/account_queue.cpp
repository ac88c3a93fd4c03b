#include <figslip/admission/account_queue.hpp>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>
#include <numeric>
#include <ranges>

namespace figslip::admission {

namespace {

/// Prompt tokens that an engine reads in a millisecond, as for the placement
/// of requests; see `placement::UpstreamSelector::Options`.
constexpr double kPrefillTokensPerMs = 60.0;

/// Time that a token of output is assumed to occupy a slot. Upstreams do not
/// state it; only the ratio of the costs of requests matters.
constexpr double kMsPerOutputToken = 10.0;

/// Maximum time until a caller is asked to come back. The estimate knows the
/// present backlog and rate only, which change within seconds.
constexpr Duration kMaxRetryAfter = std::chrono::seconds(10);

/// Part of the time until its limit that a new request may be expected to wait.
/// The rest covers errors of the estimate: without it a new request takes the
/// place of one that has waited for most of its time and is refused then.
constexpr double kMaxWaitFraction = 0.8;

/// Part of the time left that the expected wait of a waiting request may reach.
/// Requests that arrive together make the estimate vary by about a fifth; an
/// estimate that is too long for a moment must not get many refused at once.
constexpr double kMaxLaterWaitFraction = 1.25;

/// Accounts that a summary lists.
constexpr std::size_t kListedAccounts = 3;

Duration
ScaleTime(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

/// Sets the position of a request among those of its account, and its size.
void
SetRank(OfferedRequest& aRequest)
{
  aRequest.mQueued.mGroup = aRequest.mService;
  aRequest.mQueued.mBytes = aRequest.mBytes;
  if (aRequest.mIsReplacement) {
    aRequest.mQueued.mPriority = std::numeric_limits<int>::min();
  }
}

} // namespace

double
ExpectedWork(std::int64_t aPromptTokens, std::int64_t aOutputTokens)
{
  return std::max(1.0,
                  static_cast<double>(aPromptTokens) / kPrefillTokensPerMs +
                    static_cast<double>(aOutputTokens) * kMsPerOutputToken);
}

AccountQueue::AccountQueue(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

bool
AccountQueue::IsOverShare(const OfferedRequest& aRequest) const
{
  return mOptions.mIsOverShare &&
         mOptions.mIsOverShare(aRequest.mService, aRequest.mQueued.mAccount);
}

TimePoint
AccountQueue::LimitOf(const OfferedRequest& aRequest) const
{
  // what an attempt has begun is worth more than a new request of the account
  const bool endsInTime = IsOverShare(aRequest) && !aRequest.mIsReplacement;
  return endsInTime ? std::min(aRequest.mInTimeBy, aRequest.mLateBy)
                    : aRequest.mLateBy;
}

bool
AccountQueue::HasRoomFor(const OfferedRequest& aRequest) const
{
  // one request always fits: it is held in any case until it is refused
  return mWaiting.empty() || (mWaiting.size() < mOptions.mMaxWaiting &&
                              mBytes + aRequest.mBytes <= mOptions.mMaxBytes);
}

Refusal
AccountQueue::RefusalOf(const OfferedRequest& aRequest,
                        RefusalReason aReason,
                        TimePoint aNow) const
{
  const auto wait = mQueue.ExpectedWait(aRequest.mQueued, aNow);
  // a caller that comes back after this time finds that the requests which now
  // wait too long before it have been served
  const auto tolerated = std::max(Duration::zero(), LimitOf(aRequest) - aNow);
  const auto least =
    std::clamp(std::max(wait.value_or(Duration::zero()) - tolerated,
                        TimeToReturns(aRequest, aNow)),
               mOptions.mMinRetryAfter,
               std::max(mOptions.mMinRetryAfter, kMaxRetryAfter));
  // others that are refused now are told the same time; the spread lets as many
  // come back in a time as the queue serves in it
  const auto spread = std::max<Duration::rep>(1, least.count());
  const Duration offset(static_cast<Duration::rep>(
    aRequest.mHash % static_cast<std::uint64_t>(spread)));
  Refusal refusal{ .mTicket = aRequest.mQueued.mTicket,
                   .mReason = aReason,
                   .mExpectedWait = wait,
                   .mRetryAfter = least + offset };
  const auto service = mServices.find(aRequest.mService);
  if (service != mServices.end() && service->second.mWaiting > 0) {
    const auto& accounts = service->second.mAccounts;
    refusal.mLargestAccount =
      std::ranges::max_element(accounts, {}, [](const auto& aEntry) {
        const auto& backlog = aEntry.second;
        return static_cast<double>(backlog.mWaiting) / backlog.mShare;
      })->first;
  }
  return refusal;
}

OfferedRequest
AccountQueue::Extract(routing::TicketId aTicket)
{
  auto node = mWaiting.extract(aTicket);
  assert(!node.empty());
  auto& request = node.mapped();
  mBytes -= request.mBytes;
  auto& service = mServices.find(request.mService)->second;
  --service.mWaiting;
  const auto account = service.mAccounts.find(request.mQueued.mAccount);
  if (--account->second.mWaiting == 0) {
    service.mAccounts.erase(account);
  }
  return std::move(request);
}

OfferResult
AccountQueue::Offer(OfferedRequest aRequest, TimePoint aNow)
{
  OfferResult result;
  SetRank(aRequest);
  TakeBackAdmission(aRequest, aNow);
  const auto limit = LimitOf(aRequest);
  const auto wait = mQueue.ExpectedWait(aRequest.mQueued, aNow);
  const auto tolerated = aRequest.mQueued.mFormerArrival
                           ? limit - aNow
                           : ScaleTime(limit - aNow, kMaxWaitFraction);
  if (wait.value_or(Duration::zero()) > tolerated || aNow > limit) {
    result.mRefusal = Refuse(aRequest,
                             aNow > limit ? RefusalReason::WaitedOut
                                          : RefusalReason::ExpectedWait,
                             aNow);
    return result;
  }
  if (IsAhead(aRequest, aNow)) {
    result.mRefusal = Refuse(aRequest, RefusalReason::LessUrgent, aNow);
    return result;
  }
  while (!HasRoomFor(aRequest)) {
    const bool lacksBytes = mBytes + aRequest.mBytes > mOptions.mMaxBytes;
    const auto evicted = mQueue.EvictFor(
      aRequest.mQueued, lacksBytes ? QueueLimit::Bytes : QueueLimit::Requests);
    if (!evicted) {
      result.mRefusal = Refuse(aRequest, RefusalReason::Full, aNow);
      return result;
    }
    result.mEvicted.push_back(
      Refuse(Extract(*evicted), RefusalReason::Evicted, aNow));
  }
  if (mWaiting.empty()) {
    mCountedFrom = aNow;
    std::ranges::for_each(mServices | std::views::values,
                          [](auto& aState) { aState.mAdmitted = 0; });
  }
  auto& service = mServices[aRequest.mService];
  ++service.mWaiting;
  auto& account = service.mAccounts[aRequest.mQueued.mAccount];
  ++account.mWaiting;
  account.mShare = aRequest.mQueued.mShare;
  mBytes += aRequest.mBytes;
  aRequest.mQueued.mDeadline = limit;
  result.mArrival = mQueue.Push(aRequest.mQueued, aNow);
  mWaiting.emplace(aRequest.mQueued.mTicket, std::move(aRequest));
  return result;
}

std::vector<routing::TicketId>
AccountQueue::Admit(
  const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
  TimePoint aNow)
{
  const auto count = [&](const QueuedRequest& aRequest) {
    const auto result = aTry(aRequest);
    if (result == AdmissionResult::Admitted) {
      const auto& request = mWaiting.at(aRequest.mTicket);
      ++mServices.find(request.mService)->second.mAdmitted;
      OnServed(request, aNow);
    }
    return result;
  };
  auto left = mQueue.Admit(count, aNow);
  std::ranges::for_each(left, [this](auto aTicket) { Extract(aTicket); });
  return left;
}

bool
AccountQueue::Remove(routing::TicketId aTicket)
{
  if (!mQueue.Remove(aTicket)) {
    return false;
  }
  Extract(aTicket);
  return true;
}

std::vector<Refusal>
AccountQueue::RefuseUnmeetable(TimePoint aNow)
{
  const auto tickets =
    mQueue.RemoveUnmeetable(aNow, [&](const QueuedRequest& aRequest) {
      const auto left = LimitOf(mWaiting.at(aRequest.mTicket)) - aNow;
      return aNow + ScaleTime(left, kMaxLaterWaitFraction);
    });
  std::vector<Refusal> refusals;
  std::ranges::transform(
    tickets, std::back_inserter(refusals), [&](auto aTicket) {
      const auto request = Extract(aTicket);
      return Refuse(request,
                    aNow > LimitOf(request) ? RefusalReason::WaitedOut
                                            : RefusalReason::ExpectedWait,
                    aNow);
    });
  std::ranges::move(RefuseLessUrgent(aNow), std::back_inserter(refusals));
  return refusals;
}

std::vector<Refusal>
AccountQueue::RefuseLessUrgent(TimePoint aNow)
{
  std::erase_if(mOutcomes, [&](const auto& aItem) {
    return aItem.second.mFractions.IsOutdated(aNow);
  });
  const bool isAnyAhead =
    std::ranges::any_of(mOutcomes | std::views::values, [&](const auto& aItem) {
      return aItem.mFractions.IsAnyAhead(aNow);
    });
  std::vector<Refusal> refusals;
  if (!isAnyAhead) {
    return refusals;
  }
  // the newest go first, as they have waited least; each refusal lowers the
  // fraction of its kind
  for (const auto ticket : Tickets() | std::views::reverse) {
    if (IsAhead(mWaiting.at(ticket), aNow)) {
      mQueue.Remove(ticket);
      refusals.push_back(
        Refuse(Extract(ticket), RefusalReason::LessUrgent, aNow));
    }
  }
  return refusals;
}

bool
AccountQueue::MustWait(OfferedRequest aRequest) const
{
  SetRank(aRequest);
  return mQueue.HasWaiting(aRequest.mQueued.mCapacityClass) ||
         mQueue.HasMoreUrgent(aRequest.mQueued);
}

std::optional<Refusal>
AccountQueue::RefuseDirect(const OfferedRequest& aRequest, TimePoint aNow)
{
  if (!IsAhead(aRequest, aNow)) {
    return std::nullopt;
  }
  TakeBackAdmission(aRequest, aNow);
  return Refuse(aRequest, RefusalReason::LessUrgent, aNow);
}

void
AccountQueue::OnAdmittedDirect(const OfferedRequest& aRequest, TimePoint aNow)
{
  TakeBackAdmission(aRequest, aNow);
  OnServed(aRequest, aNow);
}

void
AccountQueue::OnServed(const OfferedRequest& aRequest, TimePoint aNow)
{
  if (!aRequest.mIsReplacement) {
    OutcomesOf(aRequest).mFractions.OnServed(aRequest.mQueued.mPriority, aNow);
  }
}

void
AccountQueue::TakeBackAdmission(const OfferedRequest& aRequest, TimePoint aNow)
{
  if (aRequest.mWasAdmitted && !aRequest.mIsReplacement) {
    OutcomesOf(aRequest).mFractions.OnServiceRejected(
      aRequest.mQueued.mPriority, aNow);
  }
}

AccountQueue::Outcomes&
AccountQueue::OutcomesOf(const OfferedRequest& aRequest)
{
  return mOutcomes[{ aRequest.mService, aRequest.mQueued.mAccount }];
}

bool
AccountQueue::IsAhead(const OfferedRequest& aRequest, TimePoint aNow) const
{
  const auto found =
    mOutcomes.find({ aRequest.mService, aRequest.mQueued.mAccount });
  return mOptions.mRefusesLessUrgent && !aRequest.mIsReplacement &&
         found != mOutcomes.end() &&
         found->second.mFractions.IsAhead(aRequest.mQueued.mPriority, aNow) &&
         IsOverShare(aRequest);
}

Duration
AccountQueue::TimeToReturns(const OfferedRequest& aRequest,
                            TimePoint aNow) const
{
  const auto found =
    mOutcomes.find({ aRequest.mService, aRequest.mQueued.mAccount });
  if (!mOptions.mRefusesLessUrgent || found == mOutcomes.end() ||
      !IsOverShare(aRequest)) {
    return Duration::zero();
  }
  const auto& returns = found->second.mReturns;
  return std::transform_reduce(
    returns.begin(),
    returns.lower_bound(aRequest.mQueued.mPriority),
    Duration::zero(),
    [](Duration aLeft, Duration aRight) { return std::max(aLeft, aRight); },
    [&](const auto& aEntry) { return aEntry.second - aNow; });
}

Refusal
AccountQueue::Refuse(const OfferedRequest& aRequest,
                     RefusalReason aReason,
                     TimePoint aNow)
{
  auto refusal = RefusalOf(aRequest, aReason, aNow);
  if (aRequest.mIsReplacement) {
    return refusal;
  }
  auto& outcomes = OutcomesOf(aRequest);
  outcomes.mFractions.OnRefused(aRequest.mQueued.mPriority, aNow);
  auto& latest = outcomes.mReturns[aRequest.mQueued.mPriority];
  latest = std::max(latest, aNow + refusal.mRetryAfter);
  return refusal;
}

std::vector<routing::TicketId>
AccountQueue::Tickets() const
{
  std::vector<routing::TicketId> tickets;
  std::ranges::copy(mWaiting | std::views::keys, std::back_inserter(tickets));
  std::ranges::sort(tickets);
  return tickets;
}

std::map<std::string, std::size_t>
AccountQueue::WaitingByService() const
{
  std::map<std::string, std::size_t> counts;
  for (const auto& [service, state] : mServices) {
    counts[service] = state.mWaiting;
  }
  return counts;
}

std::vector<ServiceBacklog>
AccountQueue::PopBacklogs(TimePoint aNow)
{
  const auto seconds =
    std::chrono::duration<double>(aNow - mCountedFrom).count();
  mCountedFrom = aNow;
  std::vector<ServiceBacklog> backlogs;
  for (auto& [service, state] : mServices) {
    const auto admitted = std::exchange(state.mAdmitted, 0);
    if (state.mWaiting == 0) {
      continue;
    }
    std::vector<ServiceBacklog::Account> accounts;
    std::ranges::transform(
      state.mAccounts, std::back_inserter(accounts), [](const auto& aEntry) {
        return ServiceBacklog::Account(aEntry.first, aEntry.second.mWaiting);
      });
    const auto listed = std::min(kListedAccounts, accounts.size());
    std::ranges::partial_sort(accounts,
                              accounts.begin() +
                                static_cast<std::ptrdiff_t>(listed),
                              std::ranges::greater(),
                              &ServiceBacklog::Account::second);
    accounts.resize(listed);
    backlogs.push_back(
      { .mService = service,
        .mWaiting = state.mWaiting,
        .mLargest = std::move(accounts),
        .mAdmittedPerSecond =
          seconds > 0.0 ? static_cast<double>(admitted) / seconds : 0.0 });
  }
  return backlogs;
}

} // namespace figslip::admission
