#include <figslip/gateway/contact_probe.hpp>
#include <figslip/net/client_connection.hpp>
#include <figslip/time/wall_clock.hpp>

#include <string>
#include <utility>

namespace figslip::gateway {

namespace {

/// An upstream that accepts no connection in this time counts as unreachable.
constexpr auto kProbeTimeout = std::chrono::milliseconds(300);

net::Awaitable<void>
Probe(TrafficState& aState, std::string aUpstream, net::Endpoint aEndpoint)
{
  const auto executor = co_await net::asio::this_coro::executor;
  const auto startedAt = ReadBootClock();
  net::ClientConnection connection(executor);
  const auto end = co_await connection.Connect(aEndpoint, kProbeTimeout);
  connection.Abort();
  if (end == net::StepEnd::Done) {
    aState.OnConnected();
  } else {
    aState.OnConnectFailed(aUpstream, startedAt);
  }
}

} // namespace

void
StartContactProbes(const net::asio::any_io_executor& aExecutor,
                   TrafficState& aState)
{
  for (auto& upstream : aState.mContact.TakeDueProbes(ReadBootClock())) {
    const auto* const entry = aState.mBoard.Find(upstream);
    if (entry == nullptr) {
      continue;
    }
    net::Endpoint endpoint{ .mAddress = entry->mAddress,
                            .mPort = entry->mPort };
    net::asio::co_spawn(aExecutor,
                        Probe(aState, std::move(upstream), std::move(endpoint)),
                        net::asio::detached);
  }
}

} // namespace figslip::gateway
