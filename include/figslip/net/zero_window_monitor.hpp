#pragma once

#include <figslip/net/asio.hpp>
#include <figslip/net/watchdog.hpp>

#include <memory>

namespace figslip::net {

/// Time after which unacknowledged bytes end a connection, milliseconds; a
/// partition shows in no other way.
inline constexpr int kUserTimeoutMs = 3'000;

/// @brief Keeps a connection open while its peer is alive but does not read.
///
/// A peer that reads a request later closes its receive window. Linux then
/// counts the time since the window closed against `TCP_USER_TIMEOUT`, although
/// the peer acknowledges the window probes. The monitor suspends the timeout
/// meanwhile; it is in force again once probes are not acknowledged.
///
/// @note Where the system does not tell the state of a connection, the timeout
/// always stays in force.
class ZeroWindowMonitor
{
public:
  explicit ZeroWindowMonitor(const std::shared_ptr<tcp::socket>& aSocket);

  /// @brief Watches the connection until all bytes sent are acknowledged, or
  /// the connection or this object ends.
  void Start();

private:
  void OnInterval();
  /// Returns whether the connection has to be watched any longer.
  [[nodiscard]] bool Check();

  std::weak_ptr<tcp::socket> mSocket;
  Watchdog mInterval;        ///< until the next check
  bool mIsSuspended = false; ///< the timeout is not in force
};

} // namespace figslip::net
