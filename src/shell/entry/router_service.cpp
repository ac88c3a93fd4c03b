#include <figslip/entry/router_service.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>

namespace figslip::entry {

routing::TicketId
RouterService::NextTicket()
{
  const std::lock_guard lock(mMutex);
  return ++mLastTicket;
}

void
RouterService::WakeTickets()
{
  const auto woken = mRouter.PopWakeUps();
  for (const auto ticket : woken) {
    mWaiting[ticket] = true;
  }
  if (!woken.empty()) {
    mWoken.notify_all();
  }
}

void
RouterService::WaitFor(routing::TicketId aTicket, TimePoint aUntil)
{
  std::unique_lock lock(mMutex);
  const auto timeLeft = std::max(Duration::zero(), aUntil - ReadClock());
  mWoken.wait_for(lock, timeLeft, [&] {
    const auto found = mWaiting.find(aTicket);
    return found != mWaiting.end() && found->second;
  });
  mWaiting.erase(aTicket);
}

routing::RequestSummary
RouterService::Close(routing::TicketId aTicket, TimePoint aNow)
{
  auto summary = With(
    [&](routing::Router& aRouter) { return aRouter.Close(aTicket, aNow); });
  const std::lock_guard lock(mMutex);
  mWaiting.erase(aTicket);
  return summary;
}

} // namespace figslip::entry
