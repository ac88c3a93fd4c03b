#pragma once

#include <figslip/control/control_service.hpp>
#include <figslip/entry/router_service.hpp>
#include <figslip/kernel/control_loop.hpp>
#include <figslip/peer/cold_capacity.hpp>
#include <figslip/peer/gossip.hpp>
#include <figslip/peer/peer_client.hpp>
#include <figslip/peer/peer_server.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace figslip::peer {

/// @brief Runs the exchange with the other entry instances.
///
/// Its threads wait for the peers; what they learn is posted to the control
/// loop.
class PeerService
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
    PeerServer::Options mServer;
    std::uint64_t mSeed = 1;
    Duration mRound = std::chrono::milliseconds(500);
    /// keep and forget billing records of peers; refuse while they are not set
    std::function<bool(const BillingCopies&)> mHoldBilling;
    std::function<bool(const membership::Incarnation&, std::int64_t)>
      mReleaseBilling;
    /// is told the run that each message of a peer came from
    std::function<void(const membership::Incarnation&)> mOnIncarnation;
  };

  struct Services
  {
    std::shared_ptr<kernel::ControlLoop> mLoop;
    std::shared_ptr<control::ControlService> mControl;
    std::shared_ptr<entry::RouterService> mRouter;
  };

  PeerService(Options aOptions, Services aServices);
  PeerService(const PeerService&) = delete;
  PeerService& operator=(const PeerService&) = delete;
  ~PeerService() { Stop(); }

  /// @brief Listens for peers and starts the rounds.
  [[nodiscard]] Result<void> Start();

  /// @brief Ends all threads, after the calls under way; may be repeated.
  void Stop();

  /// @brief Returns the port that peers use; only after `Start`.
  [[nodiscard]] int Port() const { return mServer->Port(); }

  /// @brief Takes a load report that this instance read.
  void OnLoadReport(const routing::LoadReport& aReport);

  /// @brief Tells when anyone was last told the load of an upstream.
  [[nodiscard]] TimePoint LoadReportedAt(std::string_view aUpstream);

  /// @brief Returns the load of each failure domain, as last heard.
  [[nodiscard]] std::vector<DomainLoad> Loads();

  /// @brief Returns the client, for services that call peers themselves.
  [[nodiscard]] const std::shared_ptr<PeerClient>& Client() const
  {
    return mClient;
  }

private:
  [[nodiscard]] PeerHandlers Handlers();
  void NoteIncarnation(const membership::Incarnation& aRun) const;
  [[nodiscard]] Digest OnExchange(const Digest& aDigest);
  [[nodiscard]] ManifestText OnFetchManifest() const;
  void CollectNews(TimePoint aNow);
  void PostLearned(Learned aLearned);
  void RunRounds();
  void RunGrants();
  void ExchangeWith(const membership::EntryInstance& aPeer);
  void FetchFrom(const membership::EntryInstance& aPeer);
  [[nodiscard]] bool PauseUntil(TimePoint aTime);

  Options mOptions;
  Services mServices;
  std::shared_ptr<PeerClient> mClient;
  std::unique_ptr<ColdCapacity> mCold;
  std::unique_ptr<PeerServer> mServer;
  std::mutex mMutex;
  std::condition_variable mChanged;
  bool mStopping = false;
  Gossip mGossip;
  std::map<std::string, routing::LoadReport, std::less<>> mReports;
  std::optional<std::string> mNewerAt; ///< peer with a higher generation
  std::vector<std::thread> mThreads;
};

} // namespace figslip::peer
