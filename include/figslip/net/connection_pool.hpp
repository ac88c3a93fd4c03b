#pragma once

#include <figslip/net/client_connection.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <memory>

namespace figslip::net {

/// @brief Keeps idle connections for later requests.
class ConnectionPool
{
public:
  using Clock = std::chrono::steady_clock;

  struct Options
  {
    /// idle time after which a connection is not used again, where the other
    /// side has stated none
    Clock::duration mMaxIdle = std::chrono::seconds(4);
    /// taken off the idle time that the other side states
    Clock::duration mIdleMargin = std::chrono::milliseconds(700);
    std::size_t mMaxIdlePerEndpoint = 8;
  };

  explicit ConnectionPool(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Takes the connection that was idle for the shortest time.
  /// @param[in] aMaxIdle accepts none that was idle for longer
  /// @return null where there is none
  [[nodiscard]] std::shared_ptr<ClientConnection> Take(
    const Endpoint& aEndpoint,
    Clock::duration aMaxIdle);

  /// @brief Keeps a connection after a whole response, if it may be reused.
  void Give(const Endpoint& aEndpoint,
            std::shared_ptr<ClientConnection> aConnection);

  /// @brief Closes connections that have been idle for too long.
  void Expire();

  /// @brief Closes all idle connections to an endpoint.
  void Drop(const Endpoint& aEndpoint);

  /// @brief Closes all idle connections.
  void Clear();

  /// @brief Returns the number of idle connections.
  [[nodiscard]] std::size_t Size() const { return mSize; }

  /// @brief Closes the connection that has been idle for the longest time.
  void DropOldest();

private:
  struct Idle
  {
    std::shared_ptr<ClientConnection> mConnection;
    Clock::time_point mSince;
    Clock::time_point mUntil;
  };

  [[nodiscard]] Clock::duration IdleTimeOf(const ResponseHead& aHead) const;

  Options mOptions;
  std::size_t mSize = 0;
  std::map<Endpoint, std::deque<Idle>> mIdle; ///< the longest idle first
};

} // namespace figslip::net
