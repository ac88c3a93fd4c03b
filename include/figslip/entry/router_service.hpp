#pragma once

#include <figslip/routing/router.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <utility>

namespace figslip::entry {

/// @brief Lets control and traffic threads share one router.
///
/// Every call runs under one lock, for microseconds; waiting requests sleep
/// outside of it until the router wakes them.
class RouterService
{
public:
  explicit RouterService(routing::Router::Options aOptions)
    : mRouter(std::move(aOptions))
  {
  }

  /// @brief Calls the router under the lock and wakes whom it names.
  template<typename Call>
  auto With(Call aCall)
  {
    std::unique_lock lock(mMutex);
    const Wakener wakener(*this);
    return aCall(mRouter);
  }

  /// @brief Assigns the next ticket.
  [[nodiscard]] routing::TicketId NextTicket();

  /// @brief Sleeps until a ticket is woken, or until a time.
  void WaitFor(routing::TicketId aTicket, TimePoint aUntil);

  /// @brief Closes a request and forgets its wake-ups.
  [[nodiscard]] routing::RequestSummary Close(routing::TicketId aTicket,
                                              TimePoint aNow);

private:
  /// Wakes waiting requests at the end of each call of the router.
  class Wakener
  {
  public:
    explicit Wakener(RouterService& aService)
      : mService(aService)
    {
    }
    Wakener(const Wakener&) = delete;
    Wakener& operator=(const Wakener&) = delete;
    ~Wakener() { mService.WakeTickets(); }

  private:
    RouterService& mService;
  };

  void WakeTickets();

  std::mutex mMutex;
  std::condition_variable mWoken;
  std::map<routing::TicketId, bool> mWaiting;
  routing::TicketId mLastTicket = 0;
  routing::Router mRouter;
};

} // namespace figslip::entry
