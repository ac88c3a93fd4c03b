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

/// @brief Records one attempt, as billing and logs need it.
struct AttemptRecord
{
  AttemptId mAttempt = 0;
  std::string mUpstream;
  std::string mVersion;
  std::optional<AttemptOutcome> mOutcome; ///< none while it runs
  std::int64_t mCost = 0;                 ///< micro currency units
  evidence::EvidenceKey mEvidenceKey;     ///< counts that it belongs to
};

/// @brief Tells how a request went, once it is closed.
struct RequestSummary
{
  Request mRequest;
  std::vector<AttemptRecord> mAttempts;
  std::string mVersion; ///< version of the answer delivered; empty if none
  bool mDelivered = false;
  evidence::EvidenceKey mRatingKey; ///< key for a rating of the answer
};

/// @brief Takes every decision of one entry instance.
///
/// A deterministic state machine: it has no sockets, threads or clocks, takes
/// events with an explicit present time and returns decisions. It is not
/// thread-safe; the shell calls it under one lock.
///
/// Per request the shell calls `Start`, carries out the decision, reports what
/// came of it (`Resume`, `OnClaim`, `OnOutcome`, `OnForwardFailed`) and repeats
/// with the next decision until `Deliver`, `Refuse` or a completed `Forward`;
/// then it calls `Close`. Requests that may go on are in `TakeWakeUps`.
class Router
{
public:
  struct Options
  {
    std::string mFailureDomain; ///< own failure domain
    membership::Incarnation mSelf;
    std::uint64_t mSeed = 1; ///< of the generator of random choices
    FreshnessLimits mFreshness;
    coldstart::ColdStartGate::Options mColdStart;
    quarantine::Quarantine::Options mQuarantine;
    int mMaxForwards = 3;         ///< peers tried for a request, >= 0
    int mMaxAttempts = 4;         ///< attempts a request, >= 1
    double mRetryShare = 0.1;     ///< retries earned per request, [0, 1]
    double mRetryBurst = 10.0;    ///< retries that may be saved up, >= 0
    std::size_t mMaxQueue = 1000; ///< requests waiting, >= 0
    cascade::StagePolicy mStagePolicy = cascade::ExpectedCost{};
  };

  explicit Router(Options aOptions);

  /// @name Control events
  /// @{
  void OnSnapshot(ControlSnapshotPtr aSnapshot, TimePoint aNow);
  void OnLoadReport(const LoadReport& aReport, TimePoint aNow);
  void OnGrant(const coldstart::Grant& aGrant, TimePoint aNow);
  void OnPeerSurprise(std::string_view aUpstream,
                      TimePoint aAt,
                      TimePoint aNow);
  void OnPeerWarm(std::string_view aUpstream,
                  std::string_view aBootId,
                  std::optional<TimePoint> aSurpriseAt,
                  TimePoint aNow);
  /// @brief Stops a version on the word of peers.
  void StopVersion(std::string_view aVersion, TimePoint aNow);
  void OnCrashReport(const quarantine::CrashReport& aReport);
  void OnEvidence(const std::vector<evidence::EvidenceEntry>& aEntries,
                  TimePoint aNow);
  void OnRating(const evidence::EvidenceKey& aKey, bool aGood, TimePoint aNow);
  /// @brief Expires old state and runs the tests of versions.
  /// @return versions stopped by this call
  std::vector<std::string> OnTick(TimePoint aNow);
  /// @}

  /// @name Steps of a request
  /// @{
  [[nodiscard]] Decision Start(TicketId aTicket,
                               Request aRequest,
                               TimePoint aNow);
  [[nodiscard]] Decision Resume(TicketId aTicket, TimePoint aNow);
  /// @brief Notes that the claimed key was given back.
  void OnClaimReleased(TicketId aTicket);
  /// @brief Notes that another request holds the key, so that this one waits.
  void OnClaimHeld(TicketId aTicket, TimePoint aNow);
  [[nodiscard]] Decision OnClaim(TicketId aTicket,
                                 claim::ClaimOutcome aEnd,
                                 TimePoint aNow);
  /// @brief Checks a dispatch once more, right before bytes leave.
  [[nodiscard]] std::optional<DispatchObstacle> BeforeSend(
    TicketId aTicket,
    TimePoint aNow) const;
  [[nodiscard]] Decision OnOutcome(TicketId aTicket,
                                   const AttemptOutcome& aOutcome,
                                   TimePoint aNow);
  /// @brief Notes that a forward did not reach the peer.
  /// @param[in] aBytesLeft whether the peer may have taken the request
  [[nodiscard]] Decision OnForwardFailed(TicketId aTicket,
                                         bool aBytesLeft,
                                         TimePoint aNow);
  /// @brief Ends a request, whatever its state.
  [[nodiscard]] RequestSummary Close(TicketId aTicket, TimePoint aNow);
  /// @}

  /// @brief Takes the tickets of waiting requests that should call `Resume`.
  [[nodiscard]] std::vector<TicketId> TakeWakeUps();

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
  /// Follows one request from `Start` to `Close`.
  struct Ticket
  {
    TicketId mId = 0;
    Request mRequest;
    std::vector<AttemptRecord> mAttempts;
    std::size_t mStage = 0; ///< stage of the cascade, if a cascade
    std::string mVersion;   ///< version chosen for the next attempt
    bool mStageChosen = false;
    bool mFreshNext = false;      ///< use no pooled connection from now on
    bool mClaimed = false;        ///< the idempotency key is held
    bool mMayHaveRun = false;     ///< a byte of it may have reached an upstream
    int mForwards = 0;            ///< forwards that failed
    bool mForwardTaken = false;   ///< a peer may have taken it
    std::set<std::string> mAvoid; ///< upstreams and peers that failed it
    std::optional<AttemptId> mWholeAttempt; ///< best whole answer so far
    std::optional<Dispatch> mReserved;      ///< slot held for a woken request
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
  [[nodiscard]] Decision ClaimOrCommit(Ticket& aTicket, Dispatch aDispatch);
  [[nodiscard]] std::string NeedOf(const Ticket& aTicket) const;
  /// Hands a request that would wait too long to another domain, once.
  [[nodiscard]] Decision SpillOrRefuse(Ticket& aTicket,
                                       Refuse aRefusal,
                                       TimePoint aNow);
  [[nodiscard]] Decision WaitForTurn(Ticket& aTicket,
                                     std::string aNeed,
                                     TimePoint aNow);
  [[nodiscard]] std::vector<const manifest::Upstream*> Candidates(
    const Ticket& aTicket,
    TimePoint aNow) const;
  [[nodiscard]] std::optional<Dispatch> TryReserve(Ticket& aTicket,
                                                   TimePoint aNow);
  [[nodiscard]] Decision ForwardOrRefuse(Ticket& aTicket, TimePoint aNow);
  [[nodiscard]] Decision AfterWhole(Ticket& aTicket,
                                    const AttemptOutcome& aOutcome,
                                    TimePoint aNow);
  [[nodiscard]] Decision AfterFailure(Ticket& aTicket,
                                      const AttemptOutcome& aOutcome,
                                      TimePoint aNow);
  [[nodiscard]] bool EscalationPossible(const Ticket& aTicket) const;
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
  void LearnWarmth(const Ticket& aTicket,
                   const AttemptRecord& aAttempt,
                   const AttemptOutcome& aOutcome,
                   TimePoint aNow);
  void LearnFromOutcome(const Ticket& aTicket,
                        const AttemptRecord& aAttempt,
                        const AttemptOutcome& aOutcome,
                        TimePoint aNow);
  [[nodiscard]] Decision Commit(Ticket& aTicket, Dispatch aDispatch);
  [[nodiscard]] Decision RefuseOrDeliver(const Ticket& aTicket,
                                         Refuse aRefusal) const;
  void ReleaseSlot(std::string_view aUpstream,
                   const AttemptOutcome& aOutcome,
                   TimePoint aNow);
  void ReleaseReservation(Ticket& aTicket);
  void WakeWaiting(TimePoint aNow);
  /// Lets every waiting request plan anew, as what it waits for may be gone.
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
