#pragma once

#include <figslip/admission/fair_queue.hpp>
#include <figslip/admission/served_fractions.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figslip::admission {

/// @brief Returns the expected work of a request, the unit of its cost.
/// @param[in] aPromptTokens >= 0; 0 for a plain service
/// @param[in] aOutputTokens most tokens that it may generate, >= 0
/// @return ms of an engine's time, at least 1
[[nodiscard]] double
ExpectedWork(std::int64_t aPromptTokens, std::int64_t aOutputTokens);

/// @brief Describes a request that is offered to the queue.
struct OfferedRequest
{
  QueuedRequest mQueued; ///< its deadline and group are set by the queue
  std::string mService;
  std::size_t mBytes = 0; ///< that it holds while it waits
  /// latest admission for which its answer is expected in time
  TimePoint mInTimeBy;
  /// latest admission for which a late answer is worth the wait
  TimePoint mLateBy;
  std::uint64_t mHash = 0; ///< differs among requests; spreads their returns
  /// an upstream rejected it after its admission, with or without a wait
  bool mWasAdmitted = false;
  /// an attempt of it runs or has failed after it may have run, and another one
  /// is to be sent; it goes ahead of new requests of its account and does not
  /// count as one
  bool mIsReplacement = false;
};

/// @brief Lists why a request is refused by the queue.
enum class RefusalReason
{
  ExpectedWait, ///< its wait is expected to end too late
  WaitedOut,    ///< its wait has ended without a slot
  Full,         ///< the queue is full, and its account has the most waiting
  Evicted,      ///< it made room for a request of another account or priority
  LessUrgent    ///< more urgent ones of its account are served less often
};

/// @brief Returns the name of a reason in the log and in metrics.
[[nodiscard]] constexpr std::string_view
NameOf(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::ExpectedWait:
      return "expected_wait";
    case RefusalReason::WaitedOut:
      return "waited_out";
    case RefusalReason::Full:
      return "full";
    case RefusalReason::Evicted:
      return "evicted";
    case RefusalReason::LessUrgent:
      return "less_urgent";
  }
  return "unknown";
}

/// @brief Describes a request that is refused.
struct Refusal
{
  routing::TicketId mTicket = 0;
  RefusalReason mReason = RefusalReason::ExpectedWait;
  /// of another request like it that would come now; empty: no estimate
  std::optional<Duration> mExpectedWait;
  Duration mRetryAfter{}; ///< when the caller should come back
  /// account with the most requests waiting for the service per weight; empty:
  /// none waits
  std::string mLargestAccount;
};

/// @brief Holds the result of an offer.
struct OfferResult
{
  std::optional<Refusal> mRefusal; ///< empty: the request waits
  std::uint64_t mArrival = 0;      ///< of a request that waits
  std::vector<Refusal> mEvicted;   ///< other requests that made room
};

/// @brief Summarizes the requests that wait for a service.
struct ServiceBacklog
{
  using Account = std::pair<std::string, std::size_t>;

  std::string mService;
  std::size_t mWaiting = 0;
  /// accounts with the most waiting requests and their numbers, most first
  std::vector<Account> mLargest;
  double mAdmittedPerSecond = 0.0; ///< since the summary before
};

/// @brief Decides which waiting request is admitted next and which ones are
/// refused.
///
/// Load that this answers: one account sends twelve times its usual load for
/// seconds while all others send up to twice theirs. Accounts are served in
/// the order of `FairQueue`. A request is refused at once if it is expected to
/// wait for too long: a request of an account over its share if its answer
/// would be late, any other one if the answer would be worth little.
///
/// Within an account, the most urgent request for a service goes first,
/// whatever its capacity class. Kinds of request with a longer target latency
/// may wait for longer than more urgent ones and outlive a burst or a stall
/// that these do not. A request of an account over its share is therefore
/// refused while its kind is served more often than a more urgent one of the
/// same account and service.
class AccountQueue
{
public:
  struct Options
  {
    std::size_t mMaxWaiting = 1; ///< requests, > 0
    std::size_t mMaxBytes = 1;   ///< of all waiting requests
    Duration mMinRetryAfter{};   ///< least time until a caller comes back
    /// returns whether an account demands more than its share of a service;
    /// empty: none does
    std::function<bool(std::string_view, std::string_view)> mIsOverShare;
    /// whether a kind that is served more often than a more urgent one is
    /// refused; false serves for comparison
    bool mRefusesLessUrgent = true;
  };

  explicit AccountQueue(Options aOptions);

  /// @brief Adds a request, or refuses it at once.
  [[nodiscard]] OfferResult Offer(OfferedRequest aRequest, TimePoint aNow);

  /// @brief Checks whether a request must wait because others of its capacity
  /// class do, or more urgent ones of its account for the same service.
  [[nodiscard]] bool MustWait(OfferedRequest aRequest) const;

  /// @brief Refuses a request that need not wait, if its kind is served too
  /// often.
  [[nodiscard]] std::optional<Refusal> RefuseDirect(
    const OfferedRequest& aRequest,
    TimePoint aNow);

  /// @brief Counts a request that was admitted without waiting.
  void OnAdmittedDirect(const OfferedRequest& aRequest, TimePoint aNow);

  /// @brief See `FairQueue::IssueArrival`.
  [[nodiscard]] std::uint64_t IssueArrival() { return mQueue.IssueArrival(); }

  /// @brief Offers capacity to the waiting requests; see `FairQueue::Admit`.
  std::vector<routing::TicketId> Admit(
    const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
    TimePoint aNow);

  /// @brief Removes a request, for example because its caller disconnected.
  /// @return whether it was waiting
  bool Remove(routing::TicketId aTicket);

  /// @brief Removes the requests that are expected to wait for too long.
  [[nodiscard]] std::vector<Refusal> RefuseUnmeetable(TimePoint aNow);

  /// @brief Checks whether any request of a capacity class waits.
  [[nodiscard]] bool HasWaiting(std::string_view aCapacityClass) const
  {
    return mQueue.HasWaiting(aCapacityClass);
  }
  [[nodiscard]] std::size_t Size() const { return mWaiting.size(); }
  [[nodiscard]] std::size_t Bytes() const { return mBytes; }

  /// @brief Returns the tickets of all waiting requests in ascending order.
  [[nodiscard]] std::vector<routing::TicketId> Tickets() const;

  /// @brief Counts the requests that wait for each service.
  [[nodiscard]] std::map<std::string, std::size_t> WaitingByService() const;

  /// @brief Summarizes the services for which requests wait and begins a new
  /// interval.
  [[nodiscard]] std::vector<ServiceBacklog> PopBacklogs(TimePoint aNow);

private:
  struct AccountBacklog
  {
    std::size_t mWaiting = 0;
    double mShare = 1.0;
  };

  using AccountBacklogs = std::map<std::string, AccountBacklog, std::less<>>;

  /// Holds the numbers of one service.
  struct ServiceState
  {
    AccountBacklogs mAccounts; ///< with waiting requests
    std::size_t mWaiting = 0;
    std::size_t mAdmitted = 0; ///< since `mCountedFrom`
  };

  /// Checks whether an account is known to demand more than its share.
  [[nodiscard]] bool IsOverShare(const OfferedRequest& aRequest) const;
  /// Returns the latest admission that the queue waits for.
  [[nodiscard]] TimePoint LimitOf(const OfferedRequest& aRequest) const;
  [[nodiscard]] bool HasRoomFor(const OfferedRequest& aRequest) const;
  [[nodiscard]] Refusal RefusalOf(const OfferedRequest& aRequest,
                                  RefusalReason aReason,
                                  TimePoint aNow) const;
  /// Records and describes a refusal for lack of capacity.
  [[nodiscard]] Refusal Refuse(const OfferedRequest& aRequest,
                               RefusalReason aReason,
                               TimePoint aNow);
  using AccountOfService = std::pair<std::string, std::string>;

  /// Holds what became of the requests of an account for a service.
  struct Outcomes
  {
    ServedFractions mFractions;
    std::map<int, TimePoint> mReturns; ///< latest ones that were asked for
  };

  /// Returns the outcomes of the account at the service.
  [[nodiscard]] Outcomes& OutcomesOf(const OfferedRequest& aRequest);
  void OnServed(const OfferedRequest& aRequest, TimePoint aNow);
  /// Takes back the admission of a request that was rejected.
  void TakeBackAdmission(const OfferedRequest& aRequest, TimePoint aNow);
  /// Returns how long the refused more urgent requests of the account take to
  /// come back.
  [[nodiscard]] Duration TimeToReturns(const OfferedRequest& aRequest,
                                       TimePoint aNow) const;
  /// Checks whether the kind of a request is served more often than more urgent
  /// ones of its account.
  [[nodiscard]] bool IsAhead(const OfferedRequest& aRequest,
                             TimePoint aNow) const;
  /// Removes waiting requests of kinds that are served too often.
  [[nodiscard]] std::vector<Refusal> RefuseLessUrgent(TimePoint aNow);

  /// Forgets a request that has left `mQueue`.
  OfferedRequest Extract(routing::TicketId aTicket);

  Options mOptions;
  FairQueue mQueue;
  std::unordered_map<routing::TicketId, OfferedRequest> mWaiting;
  std::map<std::string, ServiceState, std::less<>> mServices;
  std::map<AccountOfService, Outcomes> mOutcomes;
  std::size_t mBytes = 0;
  TimePoint mCountedFrom; ///< begin of the interval of `PopBacklogs`
};

} // namespace figslip::admission
