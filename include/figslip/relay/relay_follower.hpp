#pragma once

#include <figslip/metrics/registry.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/relay/relay_messages.hpp>
#include <figslip/relay/relay_server.hpp>
#include <figslip/relay/source_choice.hpp>
#include <figslip/store/store_client.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figslip::relay {

/// @brief Follows the store through another instance, or itself.
///
/// Lives on the control thread. Once another instance has answered with a copy
/// that is as new as the own one, the own calls to the store end; they begin
/// again when no instance answers with a fresh copy.
class RelayFollower
{
public:
  using Followers = RelayServer::Followers;

  RelayFollower(net::asio::io_context& aContext,
                const Followers& aFollowers,
                RelayServer& aServer,
                metrics::Registry& aMetrics,
                SourceChoice::Options aOptions);

  /// @brief Names the instance that is followed.
  struct Source
  {
    std::string mProcess; ///< differs after a restart of the instance
    net::Endpoint mEndpoint;
    std::string mFailureDomain;
  };

  /// @brief Returns the instance that is followed; none: the store, or the
  /// instance was lost.
  [[nodiscard]] std::optional<Source> FollowedSource() const;
  /// @brief Returns the process whose copy was taken last, also while its
  /// successor is awaited; empty: the store is followed.
  [[nodiscard]] std::string LastSource() const;

  /// @brief Starts to follow.
  void Start();

  /// @brief Takes the instances that are registered.
  void OnPeers(const std::vector<Peer>& aPeers);

  /// @brief Notes that the store has answered for the configuration.
  void OnStoreAnswered();

  /// @brief Sends the followers of this instance elsewhere, as it will end.
  void StopServing();

private:
  /// Tells why an instance could not be followed.
  struct Failure
  {
    SourceFailure mKind = SourceFailure::Unreachable;
    std::string mReason;
    std::string mFollowed; ///< instance that the other one follows; or empty
  };

  [[nodiscard]] net::Awaitable<void> Run();
  /// Reads which instances there are; nothing else of the store.
  [[nodiscard]] net::Awaitable<void> FindInstances();
  /// Asks an instance for news and takes them.
  /// @return why it cannot be followed; nothing: it is
  [[nodiscard]] net::Awaitable<std::optional<Failure>> Ask(AskInstance aStep);
  /// Returns the time for the answer to a poll.
  [[nodiscard]] std::chrono::milliseconds TimeoutOf(const AskInstance& aStep,
                                                    const Poll& aPoll) const;
  void OnFailed(const Peer& aPeer, const Failure& aFailure);
  /// @return why the answer could not be used
  [[nodiscard]] std::optional<std::string> Take(const Peer& aPeer,
                                                const PollAnswer& aAnswer,
                                                TimePoint aSentAt);
  [[nodiscard]] std::optional<std::string> Check(const PollAnswer& aAnswer,
                                                 TimePoint aSentAt) const;
  void TurnToStore(const std::string& aReason);
  void FollowPeer(const Peer& aPeer, std::uint64_t aEpoch);
  [[nodiscard]] CopyState State() const;
  [[nodiscard]] bool HasCopy() const;
  [[nodiscard]] bool HasLostStore() const;
  /// Returns the time since the configuration was confirmed.
  [[nodiscard]] Duration CopyAge() const;
  [[nodiscard]] Duration WaitOf() const;

  net::asio::io_context& mContext;
  const Followers& mFollowers;
  RelayServer& mServer;
  const std::string mFailureDomain;
  SourceChoice mChoice;
  store::StoreClient mClient;
  std::string mClientPeer;            ///< where the client calls
  std::optional<std::string> mSource; ///< instance followed; none: the store
  std::uint64_t mSourceEpoch = 0;     ///< of its process
  net::Endpoint mSourceEndpoint;
  std::string mSourceDomain;
  std::uint64_t mEpoch = 0; ///< of the process asked last
  std::map<store::ObjectKind, std::uint64_t> mSequences; ///< in that epoch
  std::map<std::string, std::string> mLoggedFailures;    ///< reason by instance
  bool mHasStarted = false;
  bool mAwaitsStore = false; ///< the other kinds wait for the configuration
  bool mIsServing = true;
};

} // namespace figslip::relay
