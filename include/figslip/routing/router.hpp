#pragma once

#include <figslip/admission/fair_queue.hpp>
#include <figslip/cascade/latency_estimator.hpp>
#include <figslip/cascade/stage_planner.hpp>
#include <figslip/cascade/stage_policy.hpp>
#include <figslip/claim/claim_outcome.hpp>
#include <figslip/evidence/evidence_store.hpp>
#include <figslip/evidence/task_key.hpp>
#include <figslip/quarantine/quarantine.hpp>
#include <figslip/rollout/version_monitor.hpp>
#include <figslip/routing/attempt_outcome.hpp>
#include <figslip/routing/control_snapshot.hpp>
#include <figslip/routing/decision.hpp>
#include <figslip/routing/dispatch_check.hpp>
#include <figslip/routing/request.hpp>
#include <figslip/routing/upstream_table.hpp>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::routing {

/// @brief Records one attempt for billing and logs.
struct AttemptRecord
{
  AttemptId mAttempt = 0;
  std::string mUpstream;
  std::string mVersion;
  std::optional<AttemptOutcome> mOutcome; ///< empty while the attempt runs
  std::int64_t mCost = 0;                 ///< micro currency units
  evidence::EvidenceKey mEvidenceKey;     ///< evidence that it updates
};

/// @brief Summarizes a closed request.
struct RequestSummary
{
  Request mRequest;
  std::vector<AttemptRecord> mAttempts;
  std::string mVersion; ///< version of the delivered answer; empty if none
  bool mDelivered = false;
  evidence::EvidenceKey mRatingKey; ///< evidence key for ratings of the answer
};

/// @brief Makes all routing decisions of one entry instance.
///
/// A deterministic state machine without sockets, threads or clocks: it
/// receives events together with the current time and returns decisions.
///
/// For each request the shell (`src/shell`) calls `Start`, carries out the
/// returned decision and reports the result (`Resume`, `OnClaim`, `OnOutcome`,
/// `OnForwardFailed`), which returns the next decision. The request ends with
/// `Deliver`, `Refuse` or a completed `Forward`; then the shell calls `Close`.
/// `PopWakeUps` returns the waiting requests that can continue.
/// @note Not thread-safe; the shell calls it under one lock.
class Router
{
public:
  /// @brief Configures a router.
  struct Options
  {
    std::string mFailureDomain; ///< failure domain of this instance
    membership::Incarnation mSelf;
    std::uint64_t mSeed = 1; ///< seed of the random choices
    FreshnessLimits mFreshness;
    coldstart::ColdStartGate::Options mColdStart;
    quarantine::Quarantine::Options mQuarantine;
    int mMaxForwards = 3;         ///< peers tried per request, >= 0
    int mMaxAttempts = 4;         ///< attempts per request, >= 1
    double mRetryRatio = 0.1;     ///< retries gained per request, [0, 1]
    double mRetryBurst = 10.0;    ///< retries that the budget can hold, >= 0
    std::size_t mMaxQueue = 1000; ///< waiting requests, >= 0
    cascade::StagePolicy mStagePolicy = cascade::ExpectedCost{};
  };

  explicit Router(Options aOptions);

  /// @name Control events
  /// @{
  /// @brief Replaces the control state and resumes requests that it affects.
  void OnSnapshot(ControlSnapshotPtr aSnapshot, TimePoint aNow);
  /// @brief Stores the load of an upstream and admits waiting requests.
  void OnLoadReport(const LoadReport& aReport, TimePoint aNow);
  /// @brief Stores a grant of cold-start capacity and admits waiting requests.
  void OnGrant(const coldstart::Grant& aGrant, TimePoint aNow);
  /// @brief Handles an unexpected failure of an upstream that a peer reports.
  void OnPeerFailureSignal(std::string_view aUpstream,
                           TimePoint aAt,
                           TimePoint aNow);
  /// @brief Handles a peer's report that an upstream has left cold start.
  /// @param[in] aFailureAt last unexpected failure that the peer has recorded
  void OnPeerWarm(std::string_view aUpstream,
                  std::string_view aBootId,
                  std::optional<TimePoint> aFailureAt,
                  TimePoint aNow);
  /// @brief Stops a version that a peer has stopped.
  void StopVersion(std::string_view aVersion, TimePoint aNow);
  /// @brief Counts a reported crash towards the quarantine of its request.
  void OnCrashReport(const quarantine::CrashReport& aReport);
  /// @brief Merges the evidence of peers.
  void OnEvidence(const std::vector<evidence::EvidenceEntry>& aEntries,
                  TimePoint aNow);
  /// @brief Adds a caller's rating of an answer to the evidence.
  void OnRating(const evidence::EvidenceKey& aKey, bool aGood, TimePoint aNow);
  /// @brief Expires old state and evaluates the evidence on versions.
  /// @return the versions that this call stopped
  std::vector<std::string> OnTick(TimePoint aNow);
  /// @}

  /// @name Steps of a request
  /// @{
  /// @brief Opens a request and returns its first step.
  /// @param[in] aTicket id that no open request uses
  [[nodiscard]] Decision Start(TicketId aTicket,
                               Request aRequest,
                               TimePoint aNow);
  /// @brief Returns the next step of a request after a `Wait`.
  [[nodiscard]] Decision Resume(TicketId aTicket, TimePoint aNow);
  /// @brief Records that the claim of the request's key was released.
  void OnClaimReleased(TicketId aTicket);
  /// @brief Frees the reserved slot, since another request holds the key and
  /// this one waits.
  void OnClaimBlocked(TicketId aTicket, TimePoint aNow);
  /// @brief Returns the next step after a `ClaimKey`.
  [[nodiscard]] Decision OnClaim(TicketId aTicket,
                                 claim::ClaimOutcome aEnd,
                                 TimePoint aNow);
  /// @brief Repeats the dispatch check right before bytes are sent.
  /// @return nothing if the dispatch is still allowed, else the obstacle
  [[nodiscard]] std::optional<DispatchObstacle> RecheckDispatch(
    TicketId aTicket,
    TimePoint aNow) const;
  /// @brief Returns whether another attempt or a forward could follow now if
  /// the running attempt were given up.
  /// @param[in] aIsReusedConnection the attempt runs on a connection that had
  /// served calls before; then its upstream may answer on a new one
  [[nodiscard]] bool CanReplaceAttempt(TicketId aTicket,
                                       bool aIsReusedConnection,
                                       TimePoint aNow) const;
  /// @brief Records the result of a `Dispatch` and returns the next step.
  [[nodiscard]] Decision OnOutcome(TicketId aTicket,
                                   const AttemptOutcome& aOutcome,
                                   TimePoint aNow);
  /// @brief Records a failed `Forward` and returns the next step.
  /// @param[in] aBytesSent whether the peer may have received the request
  [[nodiscard]] Decision OnForwardFailed(TicketId aTicket,
                                         bool aBytesSent,
                                         TimePoint aNow);
  /// @brief Closes a request in any state and frees what it holds.
  [[nodiscard]] RequestSummary Close(TicketId aTicket, TimePoint aNow);
  /// @}

  /// @brief Returns and clears the list of requests to resume.
  [[nodiscard]] std::vector<TicketId> PopWakeUps();

  /// @name Observers
  /// @{
  [[nodiscard]] const ControlSnapshotPtr& Snapshot() const { return mSnapshot; }
  [[nodiscard]] const UpstreamTable& Upstreams() const { return mUpstreams; }
  [[nodiscard]] const evidence::EvidenceStore& Evidence() const
  {
    return mEvidence;
  }
  [[nodiscard]] const quarantine::Quarantine& Quarantined() const
  {
    return mQuarantine;
  }
  [[nodiscard]] const rollout::VersionMonitor& Versions() const
  {
    return mVersions;
  }
  [[nodiscard]] std::size_t OpenRequests() const { return mTickets.size(); }
  [[nodiscard]] std::size_t WaitingRequests() const { return mQueue.Size(); }
  /// @}

private:
  /// State of one request from `Start` to `Close`.
  struct Ticket
  {
    TicketId mId = 0;
    Request mRequest;
    std::vector<AttemptRecord> mAttempts;
    std::size_t mStage = 0; ///< current stage; used only for a cascade
    std::string mVersion;   ///< version chosen for the next attempt
    bool mStageChosen = false;
    bool mNeedsFreshConnection = false; ///< bypass the pool from now on
    bool mClaimed = false;           ///< the request holds its idempotency key
    bool mMayHaveRun = false;        ///< an upstream may have run the request
    int mFailedForwards = 0;         ///< number of failed forwards
    bool mPeerMayHaveRun = false;    ///< a peer may have received the request
    std::set<std::string> mExcluded; ///< upstreams and peers that failed
    std::optional<AttemptId> mCompletedAttempt; ///< best answer so far
    std::optional<Dispatch> mReserved; ///< dispatch whose slot is reserved
  };

  [[nodiscard]] Decision Plan(Ticket& aTicket, TimePoint aNow);
  [[nodiscard]] Decision PlanService(Ticket& aTicket, TimePoint aNow);
  [[nodiscard]] Decision PlanChat(Ticket& aTicket, TimePoint aNow);
  [[nodiscard]] std::optional<Refuse> CheckRequest(const Ticket& aTicket,
                                                   TimePoint aNow) const;
  [[nodiscard]] std::optional<Refuse> ChooseVersion(Ticket& aTicket,
                                                    TimePoint aNow);
  [[nodiscard]] std::optional<Refuse> ChooseStage(
    Ticket& aTicket,
    const manifest::Cascade& aCascade,
    TimePoint aNow);
  [[nodiscard]] const manifest::ModelVersion* ChooseVersionOf(
    const Ticket& aTicket,
    const manifest::Model& aModel,
    TimePoint aNow);
  [[nodiscard]] Decision DispatchOrWait(Ticket& aTicket, TimePoint aNow);
  [[nodiscard]] Decision ClaimOrStartAttempt(Ticket& aTicket,
                                             Dispatch aDispatch);
  [[nodiscard]] std::string CapacityClassOf(const Ticket& aTicket) const;
  /// Forwards a request that would wait too long to one other failure domain.
  [[nodiscard]] Decision SpillOverOrRefuse(Ticket& aTicket,
                                           Refuse aRefusal,
                                           TimePoint aNow);
  [[nodiscard]] Decision EnqueueOrRefuse(Ticket& aTicket,
                                         std::string aCapacityClass,
                                         TimePoint aNow);
  [[nodiscard]] std::vector<const manifest::Upstream*> Candidates(
    const Ticket& aTicket,
    TimePoint aNow) const;
  [[nodiscard]] std::optional<Dispatch> TryReserve(Ticket& aTicket,
                                                   TimePoint aNow);
  /// Returns the instances of other failure domains that can serve a request.
  [[nodiscard]] std::vector<const membership::EntryInstance*> ForwardTargets(
    const Ticket& aTicket,
    TimePoint aNow) const;
  [[nodiscard]] Decision ForwardOrRefuse(Ticket& aTicket, TimePoint aNow);
  [[nodiscard]] Decision AfterCompletion(Ticket& aTicket,
                                         const AttemptOutcome& aOutcome,
                                         TimePoint aNow);
  [[nodiscard]] Decision AfterFailure(Ticket& aTicket,
                                      const AttemptOutcome& aOutcome,
                                      TimePoint aNow);
  [[nodiscard]] bool CanEscalate(const Ticket& aTicket) const;
  [[nodiscard]] Refuse MakeRefusal(const Ticket& aTicket,
                                   error::ErrorKind aKind,
                                   std::string aText) const;
  [[nodiscard]] bool IsIdempotent(const Request& aRequest) const;
  [[nodiscard]] const manifest::Cascade* CascadeOf(
    const Request& aRequest) const;
  [[nodiscard]] std::int64_t CostOf(std::string_view aVersion,
                                    std::int64_t aTokens) const;
  [[nodiscard]] evidence::EvidenceKey EvidenceKeyOf(
    const Ticket& aTicket) const;
  void UpdateColdStart(const Ticket& aTicket,
                       const AttemptRecord& aAttempt,
                       const AttemptOutcome& aOutcome,
                       TimePoint aNow);
  void RecordOutcome(const Ticket& aTicket,
                     const AttemptRecord& aAttempt,
                     const AttemptOutcome& aOutcome,
                     TimePoint aNow);
  [[nodiscard]] Decision StartAttempt(Ticket& aTicket, Dispatch aDispatch);
  [[nodiscard]] Decision RefuseOrDeliver(const Ticket& aTicket,
                                         Refuse aRefusal) const;
  void ReleaseSlot(std::string_view aUpstream,
                   const AttemptOutcome& aOutcome,
                   TimePoint aNow);
  void ReleaseReservation(Ticket& aTicket);
  void AdmitWaiting(TimePoint aNow);
  /// Removes all requests from the queue so that they are planned again, since
  /// the upstreams or versions that they wait for may no longer exist.
  void WakeAllWaiting();

  Options mOptions;
  std::mt19937_64 mRandom;
  ControlSnapshotPtr mSnapshot;
  evidence::EvidenceStore mEvidence;
  cascade::LatencyEstimator mLatencies;
  cascade::StagePlanner mPlanner;
  rollout::VersionMonitor mVersions;
  UpstreamTable mUpstreams;
  quarantine::Quarantine mQuarantine;
  admission::FairQueue mQueue;
  std::map<TicketId, Ticket> mTickets;
  std::vector<TicketId> mWakeUps;
  double mRetryTokens = 0.0;
  AttemptId mLastAttempt = 0;
};

} // namespace figslip::routing
