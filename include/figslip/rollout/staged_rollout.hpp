#pragma once

#include <figslip/rollout/canary_evidence.hpp>
#include <figslip/rollout/exposure_budget.hpp>
#include <figslip/rollout/session_id.hpp>
#include <figslip/rollout/session_schedule.hpp>
#include <figslip/rollout/session_table.hpp>
#include <figslip/rollout/withdrawn_sessions.hpp>
#include <figslip/store/store_revision.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::rollout {

/// @brief State of a roll-out in the platform's store.
enum class RolloutState
{
  Ordered, ///< no status has been written yet
  InProgress,
  Completed,
  RolledBack
};

/// @brief Returns the name of a state for logs.
[[nodiscard]] std::string_view
NameOf(RolloutState aState);

/// @brief Operator's order to move a service to another version.
struct RolloutOrder
{
  std::string mService;
  std::string mTarget;            ///< version to move to
  Duration mDuration{};           ///< planned length of the roll-out
  std::int64_t mCreated = 0;      ///< distinguishes orders of one service
  store::StoreRevision mRevision; ///< for a conditional write of the status
  RolloutState mState = RolloutState::Ordered;
  Duration mElapsed{}; ///< time since the order in the last status
  /// fraction of the planned time at which all sessions move; empty: not
  /// decided
  std::optional<double> mMoveProgress;

  bool operator==(const RolloutOrder&) const = default;
};

/// @brief Request to write a new status of a roll-out to the store.
struct StatusChange
{
  RolloutOrder mOrder;
  RolloutState mState = RolloutState::InProgress;
  Duration mElapsed{};
  std::optional<double> mMoveProgress; ///< as in the order
  std::string mReason;
};

/// @brief Counts of one instance, which it shares with the others.
struct EvidenceReport
{
  std::string mService;
  std::int64_t mCreated = 0; ///< as of the order
  ComparisonCounts mCounts;
};

/// @brief Moves the traffic of services to new versions in stages, or back.
///
/// Sessions move by a schedule (`SessionSchedule`) that all instances share: a
/// trial share of them in the second half of the time, the others shortly
/// before the end. Requests without a session are tried from the start, within
/// the exposure limit of this instance; all of them move as soon as those
/// expected until the deadline fit into that limit, unless the version is
/// suspected. An instance that rejects the version stops using it at once and
/// requests the roll-back.
class StagedRollout
{
public:
  struct Options
  {
    std::string mInstance; ///< name of this instance
    /// time after the last request for which a session is active
    Duration mSessionTtl = std::chrono::seconds(5);
    /// delay before this instance writes a status that any instance may write;
    /// different delays let one instance write for all
    Duration mWriteDelay = std::chrono::milliseconds(50);
  };

  explicit StagedRollout(Options aOptions);

  /// @brief Replaces the set of orders; state of unchanged orders is kept.
  void OnOrders(const std::vector<RolloutOrder>& aOrders, TimePoint aNow);

  /// @brief Returns whether the next request of a session may run on a version.
  [[nodiscard]] bool Allows(std::string_view aService,
                            std::string_view aVersion,
                            const SessionId& aSession,
                            TimePoint aNow) const;

  /// @brief Returns whether the next request of a session may run on a version
  /// as a fallback, when its assigned version has no free slot.
  /// @param[in] aLacksUpstream the assigned version has no upstream at all;
  /// only
  ///            then may a session leave it
  [[nodiscard]] bool AllowsFallback(std::string_view aService,
                                    std::string_view aVersion,
                                    const SessionId& aSession,
                                    bool aLacksUpstream,
                                    TimePoint aNow) const;

  /// @brief Returns whether, and until when, the next request of a session may
  /// not be sent.
  ///
  /// A session whose version is withdrawn cannot keep it. While the next
  /// roll-out is undecided it must not change to another one before it expires.
  /// @return empty if it may be sent
  [[nodiscard]] std::optional<SessionHold> HoldOf(std::string_view aService,
                                                  const SessionId& aSession,
                                                  TimePoint aNow) const;

  /// @brief Returns whether any request may be sent to a version.
  /// @note Checked again right before bytes are sent.
  [[nodiscard]] bool IsOpen(std::string_view aService,
                            std::string_view aVersion) const;

  /// @brief Returns the version of the latest request of a session to a service
  /// at this instance.
  /// @return empty if the session is not active there at this instance
  [[nodiscard]] std::string_view ActiveVersion(std::string_view aService,
                                               const SessionId& aSession,
                                               TimePoint aNow) const;

  /// @brief Records that a request of a session is sent to a version.
  void OnSent(std::string_view aService,
              std::string_view aVersion,
              const SessionId& aSession,
              TimePoint aNow);

  /// @brief Records that a request of a session to a service has ended.
  void OnEnded(std::string_view aService,
               const SessionId& aSession,
               TimePoint aNow);

  /// @brief Records the result of an attempt; it may reject the version.
  void OnSample(std::string_view aService,
                std::string_view aVersion,
                const CanarySample& aSample);

  /// @brief Records an event from an upstream, on any attempt.
  void OnEvent(std::string_view aService,
               const std::string& aUpstream,
               TimePoint aNow);

  /// @brief Returns the status changes to write now.
  ///
  /// A change that does not appear in the orders is returned again later.
  [[nodiscard]] std::vector<StatusChange> DueChanges(TimePoint aNow);

  /// @brief Returns the counts to share with the other instances now.
  ///
  /// At most once for each of a few fractions of the planned time, so that the
  /// number of writes does not depend on the length or on the traffic. In a
  /// large fleet, counts without new attempts on the new version are not
  /// shared.
  [[nodiscard]] std::vector<EvidenceReport> DueReports(TimePoint aNow);

  /// @brief Records that the store has not accepted a report; the counts are
  /// shared again at the next fraction of the time.
  /// @param[in] aCreated as of the report
  void OnReportFailed(std::string_view aService, std::int64_t aCreated);

  /// @brief Replaces the counts of all other instances; it may reject versions.
  void OnPeerReports(const std::vector<EvidenceReport>& aReports);

  /// @brief Returns the sessions on withdrawn versions to share with the other
  /// instances now.
  [[nodiscard]] std::vector<SessionReport> DueSessionReports(TimePoint aNow);

  /// @brief Replaces the sessions on withdrawn versions of another instance.
  void OnPeerSessions(const SessionReport& aReport, TimePoint aReceivedAt);

  /// @brief Records that this instance stops.
  ///
  /// Its sessions are shared, as the versions of a roll-out that is undecided
  /// may be withdrawn when it cannot tell them any more.
  void OnStopping(TimePoint aNow);

  /// @brief Records that the store is out of reach, or in reach again.
  ///
  /// Meanwhile, and shortly after, no version is completed: another instance
  /// may have rejected it and not been able to tell.
  void OnStoreLost();
  void OnStoreRegained(TimePoint aNow);

  /// @brief Records that the store has not accepted a status; the same holds
  /// shortly after.
  void OnWriteFailed(TimePoint aNow);

  /// @brief Sets the number of serving instances, which limits the canary share
  /// of the requests without a session.
  void SetInstanceCount(int aInstances);

  /// @brief Sets the limit on the requests that a new version may receive at
  /// this instance.
  void SetExposureLimit(const ExposureLimit& aLimit);

private:
  struct TrackedRollout
  {
    RolloutOrder mOrder;
    TimePoint mStartedAt; ///< earliest known time of the order
    CanaryEvidence mEvidence;
    ExposureBudget mExposure;
    bool mIsSuspected = false;
    std::size_t mReportCount = 0; ///< fractions of the time reported
    ComparisonCounts mReported;
    bool mIsRejected = false;
    std::string mReason;
    std::optional<TimePoint> mRequestedAt; ///< time of the last change request
    std::optional<TimePoint> mDueSince; ///< time at which a change became due
  };

  /// Versions of a service that this instance has used.
  struct KnownVersions
  {
    std::set<std::string, std::less<>> mUsed; ///< since the last roll-out
    /// replaced by a completed roll-out, or rolled back; with the time until
    /// which their upstreams may still be registered
    std::map<std::string, TimePoint, std::less<>> mWithdrawn;
  };

  /// Notes which versions an order, or the end of the one before, withdraws.
  void UpdateVersions(const RolloutOrder& aOrder,
                      const TrackedRollout& aBefore,
                      TimePoint aNow);
  /// Returns whether an undecided roll-out is so near its end that it may have
  /// been completed since its status was read.
  [[nodiscard]] static bool MayHaveEnded(const TrackedRollout& aRollout,
                                         TimePoint aNow);
  /// Notes that sessions leave the versions that an order withdraws.
  void UpdateWithdrawal(const TrackedRollout& aRollout, TimePoint aNow);
  [[nodiscard]] WithdrawnSessions& WithdrawnOf(const std::string& aService);
  [[nodiscard]] bool IsWithdrawn(std::string_view aService,
                                 std::string_view aVersion) const;

  /// Returns whether the new version is not used any more. A version that
  /// another instance has completed is used, even if this one rejected it.
  [[nodiscard]] static bool IsRefused(const TrackedRollout& aRollout);
  [[nodiscard]] static double ProgressOf(const TrackedRollout& aRollout,
                                         TimePoint aNow);
  /// Returns whether the trial of the new version includes a request without a
  /// session.
  [[nodiscard]] bool IsTried(const TrackedRollout& aRollout,
                             const SessionId& aSession,
                             TimePoint aNow) const;
  /// Returns whether all requests without a session may move to the new
  /// version.
  [[nodiscard]] bool MayMove(const TrackedRollout& aRollout,
                             TimePoint aNow) const;
  /// Returns whether a request is assigned to the new version while the
  /// roll-out is undecided.
  [[nodiscard]] bool IsAssignedToTarget(const TrackedRollout& aRollout,
                                        const SessionId& aSession,
                                        TimePoint aNow) const;
  /// Rejects the version of an open roll-out if the evidence suffices.
  static void Judge(TrackedRollout& aRollout);
  /// Stops the use of the new version.
  static void Reject(TrackedRollout& aRollout, std::string aReason);
  [[nodiscard]] bool HasSettled(TimePoint aNow) const;
  /// Returns the fraction of the planned time at which all sessions move, for
  /// the status to write now.
  [[nodiscard]] std::optional<double> MoveProgressOf(
    const TrackedRollout& aRollout,
    TimePoint aNow) const;
  [[nodiscard]] static std::optional<RolloutState> NextState(
    TrackedRollout& aRollout,
    TimePoint aNow);

  Options mOptions;
  ExposureLimit mExposureLimit;
  SessionSchedule mSchedule;
  bool mIsStoreLost = false;
  std::optional<TimePoint> mStoreFailedAt; ///< last time it was out of reach
  int mInstances = 1;
  double mCanaryShare; ///< of the requests without a session
  std::map<std::string, TrackedRollout, std::less<>> mRollouts; ///< by service
  std::map<std::string, KnownVersions, std::less<>> mVersions;  ///< by service
  std::map<std::string, SessionTable, std::less<>> mSessions;   ///< by service
  std::map<std::string, WithdrawnSessions, std::less<>>
    mWithdrawnSessions; ///< by service
};

} // namespace figslip::rollout
