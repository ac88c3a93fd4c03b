#pragma once

#include <figslip/error/result.hpp>
#include <figslip/net/caller_connection.hpp>
#include <figslip/net/client_connection.hpp>

#include <functional>
#include <memory>

namespace figslip::net {

/// Serves one accepted connection to its end.
using ServeConnection =
  std::function<Awaitable<void>(std::shared_ptr<CallerConnection>)>;

/// @brief Listens on an endpoint and serves each connection by itself.
///
/// Accepts as long as the context runs; a failed accept, as when descriptors
/// have run out, is tried again after a pause. The kernel's buffers of the
/// connections have a fixed size, see `kKernelBufferBytes`; until they are
/// accepted, see `kWaitingBufferBytes`.
/// @param[in] aBacklog most connections that wait to be accepted; the kernel
///            leaves further ones unanswered, and clients try again
/// @param[in] aBudget of the connections; those that it does not admit are
///            closed
/// @return a finding where the endpoint cannot be listened on
[[nodiscard]] Result<void>
Listen(asio::io_context& aContext,
       const Endpoint& aEndpoint,
       int aBacklog,
       std::shared_ptr<admission::ConnectionBudget> aBudget,
       ServeConnection aServe);

} // namespace figslip::net
