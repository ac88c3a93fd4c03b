#include <figslip/net/sleep.hpp>

namespace figslip::net {

Awaitable<void>
Sleep(std::chrono::microseconds aTime)
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  error_code ignored; // nothing cancels the timer
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace figslip::net
