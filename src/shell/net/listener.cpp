#include <figslip/net/listener.hpp>
#include <figslip/net/sleep.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <string>
#include <utility>

namespace figslip::net {

namespace {

/// Connections that are accepted at once, before those that were accepted are
/// served.
constexpr int kMaxBatch = 16;

/// Pause after a failed accept.
constexpr auto kAcceptPause = std::chrono::milliseconds(20);

/// Gives a connection the receive buffer of an accepted one. Its window grows
/// when it is read next.
void
EnlargeReceiveBuffer(tcp::socket& aSocket)
{
  error_code ignored; // the smaller buffer works too
  ignored = aSocket.set_option(
    asio::socket_base::receive_buffer_size(kKernelBufferBytes), ignored);
  // kernels that do not derive the bound of the window from the buffer keep
  // that of the smaller one
  constexpr int kWindow = 2 * kKernelBufferBytes;
  (void)::setsockopt(aSocket.native_handle(),
                     IPPROTO_TCP,
                     TCP_WINDOW_CLAMP,
                     &kWindow,
                     sizeof(kWindow));
}

/// Accepts the connections that wait at an endpoint.
class Acceptor
{
public:
  Acceptor(tcp::acceptor aAcceptor,
           std::shared_ptr<admission::ConnectionBudget> aBudget,
           ServeConnection aServe)
    : mAcceptor(std::move(aAcceptor))
    , mBudget(std::move(aBudget))
    , mServe(std::move(aServe))
  {
  }

  [[nodiscard]] Awaitable<void> Run();

private:
  void Serve(tcp::socket aSocket, const tcp::endpoint& aClient);

  tcp::acceptor mAcceptor;
  std::shared_ptr<admission::ConnectionBudget> mBudget;
  ServeConnection mServe;
};

Awaitable<void>
Acceptor::Run()
{
  while (mAcceptor.is_open()) {
    error_code error;
    co_await mAcceptor.async_wait(
      tcp::acceptor::wait_read,
      asio::redirect_error(asio::use_awaitable, error));
    for (int number = 0; number < kMaxBatch && !error; ++number) {
      tcp::socket socket(mAcceptor.get_executor());
      tcp::endpoint client;
      error = mAcceptor.accept(socket, client, error);
      if (!error) {
        Serve(std::move(socket), client);
      }
    }
    if (error && error != asio::error::would_block) {
      co_await Sleep(kAcceptPause);
    }
  }
}

void
Acceptor::Serve(tcp::socket aSocket, const tcp::endpoint& aClient)
{
  EnlargeReceiveBuffer(aSocket);
  auto connection = std::make_shared<CallerConnection>(std::move(aSocket));
  if (!connection->Join(*mBudget, aClient.address().to_string())) {
    return; // destroyed and thereby closed
  }
  asio::co_spawn(
    mAcceptor.get_executor(), mServe(std::move(connection)), asio::detached);
}

Awaitable<void>
Accept(std::shared_ptr<Acceptor> aAcceptor)
{
  co_await aAcceptor->Run();
}

} // namespace

Result<void>
Listen(asio::io_context& aContext,
       const Endpoint& aEndpoint,
       int aBacklog,
       std::shared_ptr<admission::ConnectionBudget> aBudget,
       ServeConnection aServe)
{
  const auto place = aEndpoint.mAddress + ":" + std::to_string(aEndpoint.mPort);
  error_code error;
  const auto address = asio::ip::make_address(aEndpoint.mAddress, error);
  tcp::acceptor acceptor(aContext);
  const tcp::endpoint endpoint(address, aEndpoint.mPort);
  if (!error) {
    error = acceptor.open(endpoint.protocol(), error);
  }
  if (!error) {
    error = acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    // accepted connections inherit them
    error = acceptor.set_option(
      asio::socket_base::receive_buffer_size(kWaitingBufferBytes), error);
  }
  if (!error) {
    error = acceptor.set_option(
      asio::socket_base::send_buffer_size(kKernelBufferBytes), error);
  }
  if (!error) {
    error = acceptor.non_blocking(true, error);
  }
  if (!error) {
    error = acceptor.bind(endpoint, error);
  }
  if (!error) {
    error = acceptor.listen(aBacklog, error);
  }
  if (error) {
    return Failure(error::ErrorKind::ConnectFailed, place, error.message());
  }
  asio::co_spawn(aContext,
                 Accept(std::make_shared<Acceptor>(
                   std::move(acceptor), std::move(aBudget), std::move(aServe))),
                 asio::detached);
  return outcome::success();
}

} // namespace figslip::net
