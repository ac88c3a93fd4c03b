#pragma once

#include <figslip/admission/connection_budget.hpp>
#include <figslip/fairshare/demand_messages.hpp>
#include <figslip/fairshare/fair_shares.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/net/caller_connection.hpp>
#include <figslip/net/client_connection.hpp>
#include <figslip/store/store_client.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace figslip::fairshare {

/// @brief Exchanges reports on demand with other instances.
///
/// Lives on the traffic thread. While this instance is short of capacity, or
/// has heard of one that is, it sends its table to some others twice a second
/// and gets what it does not know in their answers.
class DemandExchange
{
public:
  /// @param[in] aShares must outlive the exchange, as must the registry
  /// @param[in] aEndpoint for other instances, which listen at the same port
  DemandExchange(net::asio::io_context& aContext,
                 FairShares& aShares,
                 metrics::Registry& aMetrics,
                 net::Endpoint aEndpoint);

  /// @brief Opens the address for other instances and starts to exchange.
  [[nodiscard]] Result<void> Start(const admission::ConnectionLimits& aLimits);

private:
  using Connection = std::shared_ptr<net::CallerConnection>;

  /// Holds a client for one call at a time.
  struct Caller
  {
    store::StoreClient mClient;
    bool mIsBusy = false;
  };

  [[nodiscard]] net::Awaitable<void> Run();
  [[nodiscard]] net::Awaitable<void> Ask(Caller& aCaller,
                                         membership::InstanceLocation aPeer);
  [[nodiscard]] net::Awaitable<void> Serve(Connection aConnection);
  /// Serves one request of a connection.
  /// @return false if the connection is to be closed
  [[nodiscard]] net::Awaitable<bool> ServeOne(Connection aConnection);
  void StartRound();
  void Merge(std::vector<AgedReport> aReports, TimePoint aReceivedAt);

  net::asio::io_context& mContext;
  FairShares& mShares;
  metrics::Registry& mMetrics;
  const net::Endpoint mEndpoint;
  std::vector<std::unique_ptr<Caller>> mCallers;
  std::mt19937 mRandom;
  int mConnections = 0; ///< of other instances
};

} // namespace figslip::fairshare
