#pragma once

#include <figslip/admission/account_queue.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::gateway {

/// @brief Lists how the wait for a slot ends.
enum class WaitEnd
{
  Admitted,  ///< a slot was reserved for the request
  PlanAgain, ///< what it waits for has changed, or its caller has left
  Refused,   ///< it must not wait any longer
  Stopping   ///< the instance is shutting down
};

/// @brief Lets requests without a free slot wait in the order of
/// `admission::AccountQueue`; used by the traffic thread only.
///
/// Waiting requests are tried when a slot becomes free, when an upstream
/// reports its load, when upstreams or the configuration change, and every
/// 10 ms, as limits of rates and pauses end by themselves.
class SlotQueue
{
public:
  struct Options
  {
    std::size_t mMaxBytes = 1; ///< of the bodies of all waiting requests
    /// returns whether a graceful shutdown has begun
    std::function<bool()> mIsStopping;
    /// returns whether an account demands more than its share of a service
    std::function<bool(std::string_view, std::string_view)> mIsOverShare;
  };

  /// @brief Describes a request that waits.
  struct Request
  {
    admission::OfferedRequest mOffered; ///< with a ticket of `IssueTicket`
    std::string mAttemptId;             ///< for the log
    net::asio::any_io_executor mExecutor;
    /// plans the request and reserves a slot
    std::function<admission::AdmissionResult()> mTry;
  };

  /// @brief Holds the result of a wait.
  struct Outcome
  {
    WaitEnd mEnd = WaitEnd::PlanAgain;
    std::optional<std::uint64_t> mArrival; ///< empty: refused on arrival
    std::optional<Duration> mRetryAfter;   ///< of a refusal
  };

  SlotQueue(metrics::Registry& aMetrics, Options aOptions);
  SlotQueue(const SlotQueue&) = delete;
  SlotQueue& operator=(const SlotQueue&) = delete;
  ~SlotQueue() = default;

  [[nodiscard]] bool Empty() const { return mWaiting.empty(); }

  /// @brief Checks whether any request of a capacity class waits.
  [[nodiscard]] bool HasWaiting(std::string_view aCapacityClass) const
  {
    return mQueue.HasWaiting(aCapacityClass);
  }

  /// @brief See `admission::AccountQueue::MustWait`.
  [[nodiscard]] bool MustWait(const admission::OfferedRequest& aRequest) const
  {
    return !Empty() && mQueue.MustWait(aRequest);
  }

  /// @brief Refuses a request that need not wait, if its kind is served more
  /// often than a more urgent one of its account.
  /// @param[in] aAttemptId of the request, for the log
  /// @return time until the caller should come back; nothing if it may be
  /// planned
  [[nodiscard]] std::optional<Duration> RefuseDirect(
    const admission::OfferedRequest& aRequest,
    const std::string& aAttemptId,
    TimePoint aNow);

  /// @brief See `admission::AccountQueue::OnAdmittedDirect`.
  void OnAdmittedDirect(const admission::OfferedRequest& aRequest,
                        TimePoint aNow)
  {
    mQueue.OnAdmittedDirect(aRequest, aNow);
  }

  /// @brief Returns the time to the first event that is expected lately of a
  /// request of a service; zero if none was planned.
  [[nodiscard]] Duration ExpectedFirstEvent(std::string_view aService) const;

  /// @brief Records the expected time to the first event of a planned request.
  void OnPlanned(const std::string& aService, Duration aTimeToFirstEvent);

  [[nodiscard]] routing::TicketId IssueTicket() { return ++mLastTicket; }
  /// @brief Returns the arrival number of a request that did not wait.
  [[nodiscard]] std::uint64_t IssueArrival() { return mQueue.IssueArrival(); }

  /// @brief Waits until a slot is reserved, or the wait has no prospect.
  [[nodiscard]] net::Awaitable<Outcome> Wait(Request aRequest);

  /// @brief Ends the wait of a request; ignored if it does not wait.
  void Cancel(routing::TicketId aTicket);

  /// @brief Tries the waiting requests soon, as capacity may have become free.
  void OnCapacityChange();

  /// @brief Lets all waiting requests plan anew; they keep their ranks.
  void ReplanAll();

private:
  struct Waiting
  {
    Request mRequest;
    /// cancelled at the end of the wait; owned by the coroutine that waits
    net::asio::steady_timer* mTimer = nullptr;
    std::optional<WaitEnd> mEnd;
    std::optional<Duration> mRetryAfter;
  };

  void Admit();
  void End(routing::TicketId aTicket, WaitEnd aEnd);
  void EndAll(WaitEnd aEnd);
  void Refuse(const admission::Refusal& aRefusal);
  void LogRefusal(const admission::OfferedRequest& aRequest,
                  const std::string& aAttemptId,
                  const admission::Refusal& aRefusal) const;
  void StartTicks(const net::asio::any_io_executor& aExecutor);
  [[nodiscard]] net::Awaitable<void> RunTicks();
  void OnTick();
  void LogBacklogs(TimePoint aNow);
  void UpdateGauges();

  metrics::Registry& mMetrics;
  Options mOptions;
  admission::AccountQueue mQueue;
  std::map<routing::TicketId, std::shared_ptr<Waiting>> mWaiting;
  std::map<std::string, Duration, std::less<>> mFirstEvents; ///< by service
  net::asio::any_io_executor mExecutor; ///< of the first request that waited
  routing::TicketId mLastTicket = 0;
  bool mIsTicking = false;
  bool mIsAdmissionPosted = false;
  TimePoint mLoggedAt; ///< time of the last log lines of backlogs
};

} // namespace figslip::gateway
