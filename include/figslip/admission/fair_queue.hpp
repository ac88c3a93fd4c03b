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
  std::string
    mCapacityClass; ///< what it waits for; requests alike in it are alike
  std::string mAccount;
  double mShare = 1.0; ///< weight of the client account, > 0
  double mCost = 1.0;  ///< expected work, in any unit common to all, > 0
  routing::Priority mPriority = routing::Priority::Normal;
  TimePoint mDeadline;
};

/// @brief Lists what can become of a waiting request now.
enum class AdmissionResult
{
  Admitted,     ///< it has got capacity
  NoCapacity,   ///< neither it nor any other request of its need has room
  Unschedulable ///< it cannot run at all any more; its owner has to decide
};

/// @brief Shares capacity between client accounts by their weights.
///
/// Start-time fair queueing over the accounts that wait for the same need: an
/// account that sends ten times its share waits for itself alone. For two
/// accounts that both keep waiting for a need, the work admitted per weight
/// never differs by more than the sum of their largest requests per weight.
/// Within an account, priority goes first, then the order of arrival. Needs
/// take turns.
///
/// An account that waits for nothing keeps neither credit nor memory.
class FairQueue
{
public:
  /// @brief Adds a request at the end of its account's line.
  void Push(QueuedRequest aRequest, TimePoint aNow);

  /// @brief Offers capacity to the waiting requests in fair order.
  /// @param[in] aTry tries to give a request its capacity
  /// @return tickets that left the queue, admitted or hopeless, in order
  /// @note Calls `aTry` once for each ticket returned and once for each need
  /// without room, however many requests wait.
  std::vector<routing::TicketId> Admit(
    const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
    TimePoint aNow);

  /// @brief Removes a request, as when its caller has gone.
  /// @return whether it was waiting
  bool Remove(routing::TicketId aTicket);

  /// @brief Removes requests whose deadline comes before their turn.
  /// @return their tickets
  std::vector<routing::TicketId> RemoveUnmeetable(TimePoint aNow);

  /// @brief Makes room for one more request in a full queue.
  ///
  /// The account with the most requests waiting per weight gives way: its
  /// newest request of the lowest priority leaves the queue.
  /// @return the ticket that left, or nothing where the new request is the one
  /// to give way
  std::optional<routing::TicketId> EvictFor(const QueuedRequest& aNew);

  /// @brief Estimates how long a request would wait if it were added now.
  /// @return nothing where too few requests were admitted lately to tell
  [[nodiscard]] std::optional<Duration> ExpectedWait(
    const QueuedRequest& aRequest,
    TimePoint aNow) const;

  /// @brief Tells whether any request waits for a need.
  [[nodiscard]] bool HasWaiting(std::string_view aNeed) const
  {
    return mClassQueues.contains(aNeed);
  }

  [[nodiscard]] std::size_t Size() const { return mLocations.size(); }
  [[nodiscard]] bool Empty() const { return mLocations.empty(); }

  /// @brief Returns the number of lines kept, for checks of memory.
  [[nodiscard]] std::size_t FlowCount() const;

private:
  /// Orders the requests of an account: priority, then arrival.
  using Rank = std::pair<routing::Priority, std::uint64_t>;

  /// Holds the waiting requests of one account for one need.
  struct Flow
  {
    double mStartTag = 0.0; ///< virtual time at which its next request starts
    double mShare = 1.0;
    std::map<Rank, QueuedRequest> mWaiting;
  };

  /// Holds all requests that wait for one need.
  struct ClassQueue
  {
    double mVirtualTime = 0.0; ///< start of the request admitted last
    std::map<std::string, Flow> mFlows;
    std::size_t mWaiting = 0;
    ServiceRate mRate;
  };

  /// Names where a request waits.
  struct Location
  {
    std::string mCapacityClass;
    std::string mAccount;
    Rank mRank;
  };

  /// Counts the requests of an account over all needs.
  struct Backlog
  {
    std::size_t mWaiting = 0;
    double mShare = 1.0;
  };

  using ClassQueues = std::map<std::string, ClassQueue, std::less<>>;

  [[nodiscard]] static Flow* NextFlow(ClassQueue& aGroup);
  /// Counts the requests served until one of an account has had its turn.
  [[nodiscard]] static double RequestsServedBefore(const ClassQueue& aGroup,
                                                   std::string_view aAccount,
                                                   double aShare,
                                                   std::size_t aAhead);
  [[nodiscard]] static std::optional<Duration>
  EstimateWait(const ClassQueue& aGroup, double aRequests, TimePoint aNow);
  static void AdvanceVirtualTime(ClassQueue& aGroup, Flow& aLine, double aCost);
  std::optional<routing::TicketId> AdmitFrom(
    ClassQueue& aGroup,
    const std::function<AdmissionResult(const QueuedRequest&)>& aTry,
    TimePoint aNow);
  void Erase(routing::TicketId aTicket);

  ClassQueues mClassQueues;
  std::map<std::string, Backlog> mBacklogs;
  std::unordered_map<routing::TicketId, Location> mLocations;
  std::string mLastServedClass; ///< need that was served last, for the turns
  std::uint64_t mNextArrival = 0;
};

} // namespace figslip::admission
