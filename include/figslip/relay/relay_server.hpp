#pragma once

#include <figslip/admission/connection_budget.hpp>
#include <figslip/net/asio.hpp>
#include <figslip/net/caller_connection.hpp>
#include <figslip/relay/change_log.hpp>
#include <figslip/relay/relay_messages.hpp>
#include <figslip/store/object_follower.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figslip::relay {

/// @brief Passes this instance's copy of the store on to others of its domain.
///
/// Lives on the control thread. A poll without news waits.
class RelayServer
{
public:
  using Followers = std::vector<std::unique_ptr<store::ObjectFollower>>;

  /// @param[in] aEpoch names this process; not 0
  RelayServer(net::asio::io_context& aContext,
              const Followers& aFollowers,
              std::uint64_t aEpoch);

  /// @brief Opens the address for other instances.
  /// @param[in] aLimits of the process; connections of other instances take
  ///            their part
  [[nodiscard]] Result<void> Start(const net::Endpoint& aEndpoint,
                                   const admission::ConnectionLimits& aLimits);

  /// @brief Sets whether the copy comes from the store itself.
  void SetDirect(bool aIsDirect);

  /// @brief Sets the instance that this one follows, which an answer without
  /// a copy names; empty: none, or none that is known to have a copy.
  void SetSource(std::string aInstance) { mSource = std::move(aInstance); }

  /// @brief Sets what handles the records that followers send to be published.
  /// @param[in] aOnRecords takes the body of the message and returns the status
  ///            of the answer; messages that are too large have no body
  void SetOnRecords(std::function<unsigned(std::string_view)> aOnRecords)
  {
    mOnRecords = std::move(aOnRecords);
  }

  /// @brief Checks whether the copy comes from the store and is current.
  [[nodiscard]] bool IsCurrent() const;

  /// @brief Notes that a copy may have changed, or was confirmed.
  void OnNews(const store::ObjectFollower& aFollower);

private:
  using Connection = std::shared_ptr<net::CallerConnection>;

  [[nodiscard]] net::Awaitable<void> Serve(Connection aConnection);
  /// Answers the request that a connection has read.
  /// @return whether the connection may be used further
  [[nodiscard]] net::Awaitable<bool> Answer(Connection aConnection);
  [[nodiscard]] net::Awaitable<bool> AnswerPoll(Connection aConnection);
  [[nodiscard]] net::Awaitable<PollAnswer> AwaitNews(Poll aPoll,
                                                     TimePoint aArrivedAt);
  [[nodiscard]] PollAnswer AnswerTo(const Poll& aPoll,
                                    TimePoint aArrivedAt) const;
  /// Returns what is new of a kind; empty: a whole copy is due, and as many as
  /// the link bears are being sent.
  [[nodiscard]] std::optional<Delta> NewsFor(const Poll& aPoll,
                                             store::ObjectKind aKind) const;
  void Wake();

  net::asio::io_context& mContext;
  const Followers& mFollowers;
  const std::uint64_t mEpoch;
  std::map<store::ObjectKind, ChangeLog> mLogs;
  std::uint64_t mNews = 0; ///< counts reasons to answer
  std::vector<std::shared_ptr<net::asio::steady_timer>> mWaiting;
  std::function<unsigned(std::string_view)> mOnRecords;
  bool mIsDirect = false;
  std::string mSource;   ///< instance that is followed; or empty
  int mForeignPolls = 0; ///< of other failure domains that wait
  int mLargeAnswers = 0; ///< whole copies of many objects that are being sent
};

/// @brief Returns the follower of a kind, which has to be there.
[[nodiscard]] store::ObjectFollower&
FollowerOf(const RelayServer::Followers& aFollowers, store::ObjectKind aKind);

} // namespace figslip::relay
