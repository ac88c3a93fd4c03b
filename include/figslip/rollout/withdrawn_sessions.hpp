#pragma once

#include <figslip/rollout/session_table.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::rollout {

/// @brief Versions of a service that a roll-out has withdrawn.
struct Withdrawal
{
  std::string mTarget;       ///< of the roll-out
  std::int64_t mCreated = 0; ///< as of its order
  /// the target is withdrawn; otherwise all versions but the target
  bool mIsRolledBack = false;

  /// @brief Returns whether a version is withdrawn.
  [[nodiscard]] bool Contains(std::string_view aVersion) const
  {
    return (aVersion == mTarget) == mIsRolledBack;
  }

  bool operator==(const Withdrawal&) const = default;
};

/// @brief Sessions of one instance whose latest request ran on a withdrawn
/// version. The instance shares them with the others.
struct SessionReport
{
  std::string mInstance;
  std::string mService;
  Withdrawal mWithdrawal;
  std::vector<SessionState> mSessions; ///< empty: all have expired
};

/// @brief Tells that a session may not change its version now.
struct SessionHold
{
  TimePoint mUntil;
  /// the session may be a new one; otherwise it was last on a withdrawn version
  bool mIsUnknown = false;
};

/// @brief Knows the sessions of one service that were last on a withdrawn
/// version, at any instance.
///
/// They cannot keep their version. When the next roll-out is ordered before
/// they have expired, any other version counts as a change in its course, so
/// that their requests have to wait until then.
class WithdrawnSessions
{
public:
  struct Options
  {
    std::string mInstance; ///< name of this instance
    std::string mService;
    Duration mSessionTtl{}; ///< time after the last request of a session
  };

  explicit WithdrawnSessions(Options aOptions);

  /// @brief Records that versions are withdrawn, in place of earlier ones.
  /// @note Has no effect if they are withdrawn already.
  void OnWithdrawn(const Withdrawal& aWithdrawal, TimePoint aNow);

  /// @brief Records that this instance stops while a roll-out is undecided.
  ///
  /// Its sessions are shared as if versions were withdrawn now, at each call,
  /// and once more when they are. Has no effect while the sessions of an
  /// earlier withdrawal are active.
  void OnStopping(const Withdrawal& aExpected, TimePoint aNow);

  /// @brief Replaces the sessions of another instance, or of an earlier process
  /// of this one, whose requests have ended.
  void OnPeerReport(const SessionReport& aReport, TimePoint aReceivedAt);

  /// @brief Returns whether, and until when, a session may not change its
  /// version.
  ///
  /// If it was last on a withdrawn version, that is its expiry. Until the other
  /// instances have shared their sessions, one that is not known here may be on
  /// such a version too.
  /// @param[in] aOwn sessions at this instance
  /// @param[in] aNext roll-out that is undecided
  /// @return empty if it may change now
  [[nodiscard]] std::optional<SessionHold> HoldOf(std::uint64_t aHash,
                                                  const SessionTable& aOwn,
                                                  const Withdrawal& aNext,
                                                  TimePoint aNow) const;

  /// @brief Returns the sessions of this instance to share now.
  ///
  /// At most three times for each withdrawal: at its beginning, when the last
  /// request on a withdrawn version has ended and when all have expired; once
  /// more for the sessions of an earlier process.
  [[nodiscard]] std::optional<SessionReport> DueReport(const SessionTable& aOwn,
                                                       TimePoint aNow);

private:
  enum class Stage
  {
    Begun,    ///< nothing has been shared yet
    InFlight, ///< shared while requests were in flight
    Ended,    ///< shared after they had ended
    Over      ///< nothing is left to share
  };

  struct PeerSessions
  {
    Withdrawal mWithdrawal;
    std::map<std::uint64_t, TimePoint> mExpiries; ///< by hash
  };

  /// Returns whether sessions that are on the versions of the withdrawal that
  /// this instance has noted may be active.
  [[nodiscard]] bool IsCurrent(TimePoint aNow) const;
  /// Returns the latest withdrawal before a roll-out. An instance that started
  /// since knows it from the others.
  [[nodiscard]] std::optional<Withdrawal> LatestBefore(const Withdrawal& aNext,
                                                       TimePoint aNow) const;
  /// Returns the sessions of an earlier process of this instance that are not
  /// known to have changed their version since.
  [[nodiscard]] std::vector<SessionState> EarlierSessions(
    const SessionTable& aOwn,
    TimePoint aNow) const;
  /// Returns the sessions of an earlier process to share, if this one has none
  /// to share.
  [[nodiscard]] std::optional<SessionReport>
  DueEarlierReport(const SessionTable& aOwn, bool aIsNew, TimePoint aNow);

  Options mOptions;
  std::optional<Withdrawal> mWithdrawal; ///< the latest one noted here
  TimePoint mWithdrawnAt;
  bool mIsExpected = false; ///< not withdrawn yet, but this instance stops
  Stage mStage = Stage::Over;
  bool mIsEarlierNew = false; ///< an earlier process has left sessions
  /// by instance; an earlier process of this one has its name
  std::map<std::string, PeerSessions> mPeers;
};

} // namespace figslip::rollout
