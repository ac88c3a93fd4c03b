#pragma once

#include <figslip/rollout/canary_evidence.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::rollout {

/// @brief Lists the states of a roll-out as the platform's store keeps them.
enum class RolloutState
{
  Ordered, ///< nothing was written yet
  InProgress,
  Completed,
  RolledBack
};

/// @brief Returns the name of a state, as logs have it.
[[nodiscard]] std::string_view
NameOf(RolloutState aState);

/// @brief Holds an operator's order to move a service to another version.
struct RolloutOrder
{
  std::string mService;
  std::string mTarget; ///< version to move to
  Duration mDuration{};
  std::int64_t mCreated = 0;  ///< tells orders of the same service apart
  std::int64_t mRevision = 0; ///< for a conditional write of the status
  RolloutState mState = RolloutState::Ordered;
  Duration mElapsed{}; ///< time since the order, as the status last told

  bool operator==(const RolloutOrder&) const = default;
};

/// @brief Asks for a new status of a roll-out.
struct StatusChange
{
  RolloutOrder mOrder;
  RolloutState mState = RolloutState::InProgress;
  Duration mElapsed{};
  std::string mReason;
};

/// @brief Moves the traffic of services to new versions, or back.
///
/// The share of the new version follows from the time since the order alone,
/// so that all instances agree without messages, and from the session, so that
/// a session keeps its version. In the first half a small share tries the new
/// version; then the share grows. Any instance that finds the version bad
/// stops it by itself and asks for the roll-back.
class StagedRollout
{
public:
  struct Options
  {
    Duration mSessionTtl = std::chrono::seconds(5);
    /// delay before this instance writes a status that any could write
    Duration mWriteDelay = std::chrono::milliseconds(50);
  };

  explicit StagedRollout(Options aOptions);

  /// @brief Takes all orders known now.
  void OnOrders(const std::vector<RolloutOrder>& aOrders, TimePoint aNow);

  /// @brief Tells whether a session's next request may run on a version.
  /// @param[in] aSession hash of the session
  [[nodiscard]] bool Allows(std::string_view aService,
                            std::string_view aVersion,
                            std::uint64_t aSession,
                            TimePoint aNow) const;

  /// @brief Tells whether a session that its own version has no place for may
  /// run on another one.
  [[nodiscard]] bool AllowsFallback(std::string_view aService,
                                    std::string_view aVersion,
                                    std::uint64_t aSession,
                                    TimePoint aNow) const;

  /// @brief Tells whether any request may be sent to a version; checked again
  /// right before bytes leave.
  [[nodiscard]] bool IsOpen(std::string_view aService,
                            std::string_view aVersion) const;

  /// @brief Notes that a request of a session is sent to a version.
  void OnSent(std::string_view aVersion,
              std::uint64_t aSession,
              TimePoint aNow);

  /// @brief Notes that a request of a session has ended.
  void OnEnded(std::uint64_t aSession, TimePoint aNow);

  /// @brief Takes the result of an attempt.
  void OnSample(std::string_view aService,
                std::string_view aVersion,
                const CanarySample& aSample);

  /// @brief Returns the status changes that are due.
  [[nodiscard]] std::vector<StatusChange> DueChanges(TimePoint aNow);

  /// @brief Sets the number of instances that serve traffic.
  void SetInstanceCount(int aInstances);

  /// @brief Returns the share of sessions that the new version gets.
  /// @param[in] aProgress part of the time given, [0, 1]
  [[nodiscard]] double ShareAt(double aProgress) const;

private:
  struct TrackedRollout
  {
    RolloutOrder mOrder;
    TimePoint mStartedAt; ///< time of the order, as far as known here
    CanaryEvidence mEvidence;
    bool mIsRejected = false;
    std::string mReason;
    std::optional<TimePoint> mRequestedAt; ///< when a change was asked for last
    std::optional<TimePoint> mDueSince;    ///< when a change became due
  };

  struct Session
  {
    std::string mVersion;
    int mInFlight = 0;       ///< requests sent that have not ended
    TimePoint mLastActivity; ///< end of the last request
  };

  [[nodiscard]] const Session* ActiveSession(std::uint64_t aSession,
                                             TimePoint aNow) const;

  [[nodiscard]] static double ProgressOf(const TrackedRollout& aRollout,
                                         TimePoint aNow);
  [[nodiscard]] bool AllowsInProgress(const TrackedRollout& aRollout,
                                      bool aIsTarget,
                                      std::uint64_t aSession,
                                      TimePoint aNow) const;
  [[nodiscard]] static std::optional<RolloutState> NextState(
    TrackedRollout& aRollout,
    TimePoint aNow);

  Options mOptions;
  double mCanaryShare;
  std::map<std::string, TrackedRollout, std::less<>> mRollouts; ///< by service
  std::map<std::uint64_t, Session> mSessions;
};

} // namespace figslip::rollout
