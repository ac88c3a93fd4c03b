#pragma once

#include <figslip/admission/arrival_rate.hpp>
#include <figslip/admission/service_rate.hpp>
#include <figslip/routing/request.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figslip::admission {

/// @brief Describes a request that waits for capacity.
struct QueuedRequest
{
  routing::TicketId mTicket = 0;
  /// capacity that it waits for; requests of one class can use the same slots
  std::string mCapacityClass;
  /// capacity classes of one group share slots, so that the priority within an
  /// account applies across them; empty: the class shares no slots
  std::string mGroup;
  std::string mAccount;
  double mShare = 1.0;    ///< weight of the client account, > 0
  double mCost = 1.0;     ///< expected work, in one unit for all requests, > 0
  std::size_t mBytes = 0; ///< of memory while it waits
  int mPriority = 0;      ///< within the account; lower goes first
  TimePoint mDeadline;    ///< latest time of the admission
  /// arrival number of a request that returns to the queue; empty: a new one
  std::optional<std::uint64_t> mFormerArrival;
  /// an upstream rejected it after its admission, which is taken back
  bool mWasRejected = false;
};

/// @brief Lists the results of an attempt to admit a waiting request.
enum class AdmissionResult
{
  Admitted,   ///< capacity was reserved for the request
  NoCapacity, ///< no request of its capacity class can be admitted now
  /// none of its account can; others of its capacity class are tried
  NoCapacityForAccount,
  Unschedulable ///< waiting can't help; the caller of the queue must decide
};

/// @brief Lists the limits of a queue that a new request can exceed.
enum class QueueLimit
{
  Requests, ///< number of waiting requests
  Bytes     ///< memory of the waiting requests
};

/// @brief Shares capacity between client accounts by their weights.
///
/// Implements start-time fair queueing over the accounts that wait in the same
/// capacity class: an account that sends ten times its share delays only its
/// own requests. For two accounts that are both backlogged in a class, the work
/// admitted per weight never differs by more than the sum of their largest
/// requests per weight. Within an account, requests are ordered by priority,
/// then by arrival. Capacity classes are served round-robin. A turn of an
/// account is used for its most urgent request in the classes of the group, and
/// is charged in both classes.
///
/// An account without waiting requests accumulates no credit and uses no
/// memory.
class FairQueue
{
public:
  /// @brief Adds a request behind those of its account with the same priority,
  /// or at its former position if it returns.
  /// @return its arrival number
  std::uint64_t Push(QueuedRequest aRequest, TimePoint aNow);

  /// @brief Returns the arrival number of a request that is admitted without
  /// waiting, for its return if an upstream rejects it.
  [[nodiscard]] std::uint64_t IssueArrival() { return mNextArrival++; }

  /// @brief Offers capacity to the waiting requests in fair order.
  /// @param[in] aTry tries to reserve capacity for a request
  /// @return tickets that left the queue, admitted or unschedulable, in order
  /// @note Calls `aTry` once for each ticket returned, once for each class
  /// without capacity and once for each class and account without capacity,
  /// however many requests wait.
  std::vector<routing::TicketId> Admit(
    const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
    TimePoint aNow);

  /// @brief Removes a request, for example because its caller disconnected.
  /// @return whether it was waiting
  bool Remove(routing::TicketId aTicket);

  /// @brief Removes requests that are expected to miss their deadline.
  /// @return their tickets
  std::vector<routing::TicketId> RemoveUnmeetable(TimePoint aNow)
  {
    return RemoveUnmeetable(
      aNow, [](const QueuedRequest& aRequest) { return aRequest.mDeadline; });
  }

  /// @brief Removes requests that are expected to be admitted too late.
  /// @param[in] aDeadlineOf returns the latest time of an admission
  /// @return their tickets
  std::vector<routing::TicketId> RemoveUnmeetable(
    TimePoint aNow,
    const std::function<TimePoint(const QueuedRequest&)>& aDeadlineOf);

  /// @brief Evicts a waiting request from a full queue in favour of a new one.
  ///
  /// Chooses the account with the most waiting requests or bytes per weight and
  /// evicts its newest request of the lowest priority. If that is the account
  /// of the new request, only a less urgent request is evicted.
  /// @param[in] aLimit that is reached. Bytes are compared if they are lacking:
  /// many small requests must not be evicted for a few large ones.
  /// @return ticket of the evicted request; nothing if the new request has to
  /// be rejected instead
  std::optional<routing::TicketId> EvictFor(
    const QueuedRequest& aNew,
    QueueLimit aLimit = QueueLimit::Requests);

  /// @brief Estimates how long a request would wait if it were added now.
  /// @return nothing if too few requests were admitted recently for an estimate
  [[nodiscard]] std::optional<Duration> ExpectedWait(
    const QueuedRequest& aRequest,
    TimePoint aNow) const;

  /// @brief Checks whether any request of a capacity class waits.
  [[nodiscard]] bool HasWaiting(std::string_view aCapacityClass) const
  {
    return mClassQueues.contains(aCapacityClass);
  }

  /// @brief Checks whether a more urgent request of the same account waits in a
  /// capacity class of the same group.
  [[nodiscard]] bool HasMoreUrgent(const QueuedRequest& aRequest) const;

  [[nodiscard]] std::size_t Size() const { return mLocations.size(); }
  [[nodiscard]] bool Empty() const { return mLocations.empty(); }

  /// @brief Returns the number of flows in memory, for memory checks in tests.
  [[nodiscard]] std::size_t FlowCount() const;

private:
  /// Orders the requests of an account: priority, then arrival.
  using Rank = std::pair<int, std::uint64_t>;

  /// Holds the waiting requests of one account in one capacity class.
  struct Flow
  {
    double mStartTag = 0.0; ///< virtual start time of its next request
    double mShare = 1.0;
    double mWork = 0.0; ///< sum of the costs of the waiting requests
    std::map<Rank, QueuedRequest> mWaiting;
    std::map<int, ArrivalRate> mArrivals; ///< by priority
    ServiceRate mRate;                    ///< while requests of the flow wait
  };

  /// Holds all waiting requests of one capacity class.
  struct ClassQueue
  {
    std::string mGroup;
    double mVirtualTime = 0.0; ///< start tag of the last admitted request
    std::map<std::string, Flow> mFlows;
    /// accounts without capacity, while capacity is offered
    std::set<std::string, std::less<>> mBlocked;
    std::size_t mWaiting = 0;
    ServiceRate mRate;
  };

  /// Locates a waiting request.
  struct Location
  {
    std::string mCapacityClass;
    std::string mAccount;
    Rank mRank;
  };

  /// Counts the requests of an account over all capacity classes.
  struct Backlog
  {
    std::size_t mWaiting = 0;
    std::size_t mBytes = 0;
    double mShare = 1.0;

    /// Returns what counts towards a limit.
    [[nodiscard]] std::size_t Use(QueueLimit aLimit) const
    {
      return aLimit == QueueLimit::Bytes ? mBytes : mWaiting;
    }
  };

  using ClassQueues = std::map<std::string, ClassQueue, std::less<>>;
  using ClassNames = std::set<std::string, std::less<>>;

  /// Returns the class of the most urgent request of an account among the
  /// classes of a group that are not exhausted and do not block the account.
  /// @param[in] aClass with a waiting request of the account; returned if there
  /// is no more urgent one
  [[nodiscard]] ClassQueues::iterator MostUrgentClass(
    ClassQueues::iterator aClass,
    const std::string& aAccount,
    const ClassNames& aExhausted);
  /// Returns the account whose turn it is in a class; nothing if there is no
  /// capacity for any of those that wait.
  [[nodiscard]] static std::optional<std::string> NextAccount(
    const ClassQueue& aQueue);
  /// Holds what the estimate of a wait needs of another account's flow.
  struct Competitor
  {
    double mWork = 0.0;
    double mShare = 1.0;
  };

  /// Returns the flows that compete with the flow of an account.
  [[nodiscard]] static std::vector<Competitor> CompetitorsOf(
    const ClassQueue& aQueue,
    std::string_view aAccount);
  /// Estimates the work admitted up to and including a request.
  /// @param[in] aOwnWork of the request and those of its account before it
  [[nodiscard]] static double WorkUpTo(
    const std::vector<Competitor>& aCompetitors,
    double aShare,
    double aOwnWork);
  /// Describes the wait of a request whose own flow is known.
  struct WaitQuery
  {
    double mOwnWork = 0.0; ///< of the request and those before it in its flow
    double mShare = 1.0;
    double mServiceRate = 0.0;       ///< of the class, work per second
    std::optional<double> mFlowRate; ///< of its flow, as measured
    /// work per second of requests that arrive and overtake it
    double mOvertakingRate = 0.0;
  };

  [[nodiscard]] static Duration EstimateWait(
    const std::vector<Competitor>& aCompetitors,
    const WaitQuery& aQuery);
  /// Returns the work per second that arrives with more urgent priorities.
  [[nodiscard]] static double OvertakingRate(const Flow& aFlow,
                                             int aPriority,
                                             TimePoint aNow);
  /// Returns the waiting requests of a flow that can't be admitted in time.
  [[nodiscard]] static std::vector<routing::TicketId> UnmeetableOf(
    const ClassQueue& aQueue,
    const std::string& aAccount,
    const std::function<TimePoint(const QueuedRequest&)>& aDeadlineOf,
    TimePoint aNow);
  /// Returns the last request of an account over all capacity classes.
  [[nodiscard]] std::pair<routing::TicketId, Rank> LastOf(
    std::string_view aAccount) const;
  static void AdvanceVirtualTime(ClassQueue& aQueue, Flow& aFlow, double aCost);
  /// Tries the first request of an account in a class.
  /// @param[in] aTurn class that provides the turn of the account, which is
  /// charged for it there and in the class of the request
  AdmissionResult AdmitFrom(
    ClassQueue& aQueue,
    const std::string& aAccount,
    ClassQueue& aTurn,
    const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
    TimePoint aNow);
  void Erase(routing::TicketId aTicket);

  ClassQueues mClassQueues;
  std::map<std::string, Backlog> mBacklogs;
  std::unordered_map<routing::TicketId, Location> mLocations;
  std::string mLastServedClass; ///< position of the round-robin over classes
  std::uint64_t mNextArrival = 0;
};

} // namespace figslip::admission
