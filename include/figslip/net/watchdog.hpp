#pragma once

#include <figslip/net/asio.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace figslip::net {

/// @brief Calls back once when a deadline passes that may move often.
///
/// Moving the deadline to a later time costs no timer operation, so that a
/// stream may set it for each event.
class Watchdog
{
public:
  using Clock = std::chrono::steady_clock;

  Watchdog(const asio::any_io_executor& aExecutor,
           std::function<void()> aOnExpired);
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;
  ~Watchdog();

  /// @brief Sets the deadline; replaces the one before.
  void Set(Clock::duration aFromNow);

  /// @brief Removes the deadline.
  void Clear();

  /// @brief Tells whether the callback was called since the last `Set`.
  [[nodiscard]] bool HasExpired() const;

private:
  struct State;
  static void Arm(const std::shared_ptr<State>& aState);

  std::shared_ptr<State> mState;
};

} // namespace figslip::net
