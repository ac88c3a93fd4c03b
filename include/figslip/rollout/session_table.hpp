#pragma once

#include <figslip/rollout/session_id.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::rollout {

/// @brief Describes an active session.
struct SessionState
{
  std::uint64_t mHash = 0;
  /// time until the session expires; empty: a request is in flight
  std::optional<Duration> mLeft;

  bool operator==(const SessionState&) const = default;
};

/// @brief Knows the versions of the sessions of one service that this instance
/// has served lately.
class SessionTable
{
public:
  /// @param[in] aTimeToLive time after the last request for which a session is
  ///            active
  explicit SessionTable(Duration aTimeToLive)
    : mTimeToLive(aTimeToLive)
  {
  }

  /// @brief Returns the version of the latest request of a session.
  /// @return empty if the session is not active at this instance
  [[nodiscard]] std::string_view ActiveVersion(std::uint64_t aHash,
                                               TimePoint aNow) const;

  /// @brief Returns when a session expires if no request follows.
  /// @note While a request is in flight: if it ended now.
  [[nodiscard]] TimePoint ExpiryOf(std::uint64_t aHash, TimePoint aNow) const;

  /// @brief Returns the active sessions whose version meets a condition,
  /// without requests that belong to no session.
  [[nodiscard]] std::vector<SessionState> ActiveOn(
    const std::function<bool(std::string_view)>& aIsWanted,
    TimePoint aNow) const;

  /// @brief Records that a request of a session is sent to a version.
  void OnSent(const SessionId& aSession,
              std::string_view aVersion,
              TimePoint aNow);

  /// @brief Records that a request of a session has ended.
  void OnEnded(const SessionId& aSession, TimePoint aNow);

private:
  struct Session
  {
    std::string mVersion;
    bool mIsSingle = false;
    int mInFlight = 0;       ///< requests in flight
    TimePoint mLastActivity; ///< last time a request was sent or ended
  };

  [[nodiscard]] TimePoint ExpiryOf(const Session& aSession,
                                   TimePoint aNow) const;
  [[nodiscard]] bool IsActive(const Session& aSession, TimePoint aNow) const;

  Duration mTimeToLive;
  std::map<std::uint64_t, Session> mSessions; ///< by hash
};

} // namespace figslip::rollout
