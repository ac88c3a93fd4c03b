#pragma once

#include <figslip/routing/request.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figslip::admission {

/// @brief Describes a request that waits for capacity.
struct QueuedRequest
{
  routing::TicketId mTicket = 0;
  std::string mAccount;
  double mShare = 1.0; ///< weight of the client account, > 0
  double mCost = 1.0;  ///< expected work, in any unit common to all, > 0
  routing::Priority mPriority = routing::Priority::Normal;
  TimePoint mDeadline;
};

/// @brief Shares capacity between client accounts by their weights.
///
/// Start-time fair queueing over accounts: an account that sends ten times its
/// share waits for itself alone. Within an account, priority goes first, then
/// the order of arrival.
class FairQueue
{
public:
  /// @brief Adds a request at the end of its account's line.
  void Push(QueuedRequest aRequest);

  /// @brief Takes the first request, in fair order, that a predicate accepts.
  /// @param[in] aAccepts tells whether the request could run now
  /// @return its ticket, or nothing where none is accepted
  std::optional<routing::TicketId> Pop(
    const std::function<bool(const QueuedRequest&)>& aAccepts);

  /// @brief Removes a request, as when its caller has gone.
  /// @return whether it was waiting
  bool Remove(routing::TicketId aTicket);

  /// @brief Charges work that was admitted without waiting.
  void Charge(const std::string& aAccount, double aShare, double aCost);

  [[nodiscard]] std::size_t Size() const { return mSize; }
  [[nodiscard]] bool Empty() const { return mSize == 0; }

private:
  struct Waiting
  {
    QueuedRequest mRequest;
    std::uint64_t mArrival;
  };

  struct Line
  {
    double mFinish = 0.0; ///< virtual time at which its work so far is done
    std::vector<Waiting> mWaiting;
  };

  std::map<std::string, Line> mLines;
  double mVirtualTime = 0.0;
  std::uint64_t mArrivals = 0;
  std::size_t mSize = 0;
};

} // namespace figslip::admission
