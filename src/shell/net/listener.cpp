#include <figslip/net/listener.hpp>
#include <figslip/net/sleep.hpp>

#include <string>
#include <utility>

namespace figslip::net {

namespace {

constexpr int kBacklog = 4'096;

/// Pause after a failed accept.
constexpr auto kAcceptPause = std::chrono::milliseconds(20);

Awaitable<void>
Accept(std::shared_ptr<tcp::acceptor> aAcceptor, ServeConnection aServe)
{
  while (aAcceptor->is_open()) {
    error_code error;
    tcp::socket socket(aAcceptor->get_executor());
    co_await aAcceptor->async_accept(
      socket, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_await Sleep(kAcceptPause);
      continue;
    }
    auto connection = std::make_shared<CallerConnection>(std::move(socket));
    asio::co_spawn(
      aAcceptor->get_executor(), aServe(std::move(connection)), asio::detached);
  }
}

} // namespace

Result<void>
Listen(asio::io_context& aContext,
       const Endpoint& aEndpoint,
       ServeConnection aServe)
{
  const auto place = aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
  error_code error;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
  auto acceptor = std::make_shared<tcp::acceptor>(aContext);
  const tcp::endpoint endpoint(address, aEndpoint.mPort);
  if (!error) {
    error = acceptor->open(endpoint.protocol(), error);
  }
  if (!error) {
    error = acceptor->set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    error = acceptor->bind(endpoint, error);
  }
  if (!error) {
    error = acceptor->listen(kBacklog, error);
  }
  if (error) {
    return Failure(error::ErrorKind::ConnectFailed, place, error.message());
  }
  asio::co_spawn(
    aContext, Accept(std::move(acceptor), std::move(aServe)), asio::detached);
  return outcome::success();
}

} // namespace figslip::net
