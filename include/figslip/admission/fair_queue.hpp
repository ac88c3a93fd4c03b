#pragma once

#include <figslip/admission/service_rate.hpp>
#include <figslip/routing/request.hpp>
#include <figslip/time/time_point.hpp>

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

/// @brief Describes a request that waits for capacity.
struct QueuedRequest
{
  routing::TicketId mTicket = 0;
  /// capacity that it waits for; requests of one class can use the same slots
  std::string mCapacityClass;
  std::string mAccount;
  double mShare = 1.0; ///< weight of the client account, > 0
  double mCost = 1.0;  ///< expected work, in one unit for all requests, > 0
  routing::Priority mPriority = routing::Priority::Normal;
  TimePoint mDeadline;
};

/// @brief Lists the results of an attempt to admit a waiting request.
enum class AdmissionResult
{
  Admitted,     ///< capacity was reserved for the request
  NoCapacity,   ///< no request of its capacity class can be admitted now
  Unschedulable ///< waiting can't help; the caller of the queue must decide
};

/// @brief Shares capacity between client accounts by their weights.
///
/// Implements start-time fair queueing over the accounts that wait in the same
/// capacity class: an account that sends ten times its share delays only its
/// own requests. For two accounts that are both backlogged in a class, the work
/// admitted per weight never differs by more than the sum of their largest
/// requests per weight. Within an account, requests are ordered by priority,
/// then by arrival. Capacity classes are served round-robin.
///
/// An account without waiting requests accumulates no credit and uses no
/// memory.
class FairQueue
{
public:
  /// @brief Adds a request behind those of its account with the same priority.
  void Push(QueuedRequest aRequest, TimePoint aNow);

  /// @brief Offers capacity to the waiting requests in fair order.
  /// @param[in] aTry tries to reserve capacity for a request
  /// @return tickets that left the queue, admitted or unschedulable, in order
  /// @note Calls `aTry` once for each ticket returned and once for each class
  /// without capacity, however many requests wait.
  std::vector<routing::TicketId> Admit(
    const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
    TimePoint aNow);

  /// @brief Removes a request, for example because its caller disconnected.
  /// @return whether it was waiting
  bool Remove(routing::TicketId aTicket);

  /// @brief Removes requests that are expected to miss their deadline.
  /// @return their tickets
  std::vector<routing::TicketId> RemoveUnmeetable(TimePoint aNow);

  /// @brief Evicts a waiting request from a full queue in favour of a new one.
  ///
  /// Chooses the account with the most waiting requests per weight and evicts
  /// its newest request of the lowest priority.
  /// @return ticket of the evicted request; nothing if the new request has to
  /// be rejected instead
  std::optional<routing::TicketId> EvictFor(const QueuedRequest& aNew);

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

  [[nodiscard]] std::size_t Size() const { return mLocations.size(); }
  [[nodiscard]] bool Empty() const { return mLocations.empty(); }

  /// @brief Returns the number of flows in memory, for memory checks in tests.
  [[nodiscard]] std::size_t FlowCount() const;

private:
  /// Orders the requests of an account: priority, then arrival.
  using Rank = std::pair<routing::Priority, std::uint64_t>;

  /// Holds the waiting requests of one account in one capacity class.
  struct Flow
  {
    double mStartTag = 0.0; ///< virtual start time of its next request
    double mShare = 1.0;
    std::map<Rank, QueuedRequest> mWaiting;
  };

  /// Holds all waiting requests of one capacity class.
  struct ClassQueue
  {
    double mVirtualTime = 0.0; ///< start tag of the last admitted request
    std::map<std::string, Flow> mFlows;
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
    double mShare = 1.0;
  };

  using ClassQueues = std::map<std::string, ClassQueue, std::less<>>;

  [[nodiscard]] static Flow* NextFlow(ClassQueue& aQueue);
  /// Estimates the number of requests admitted up to and including a request
  /// of an account with `aAhead` requests of the same account before it.
  [[nodiscard]] static double RequestsServedBefore(const ClassQueue& aQueue,
                                                   std::string_view aAccount,
                                                   double aShare,
                                                   std::size_t aAhead);
  [[nodiscard]] static std::optional<Duration>
  EstimateWait(const ClassQueue& aQueue, double aRequests, TimePoint aNow);
  static void AdvanceVirtualTime(ClassQueue& aQueue, Flow& aFlow, double aCost);
  std::optional<routing::TicketId> AdmitFrom(
    ClassQueue& aQueue,
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
