#pragma once

#include <figslip/gateway/send_refusal.hpp>
#include <figslip/gateway/traffic_state.hpp>
#include <figslip/handover/ticket.hpp>
#include <figslip/net/caller_connection.hpp>
#include <figslip/net/client_connection.hpp>
#include <figslip/net/watchdog.hpp>
#include <figslip/stream/event_splitter.hpp>
#include <figslip/stream/event_timing.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace figslip::gateway {

/// @brief Serves one request: admission, placement, attempts and response.
///
/// An attempt that is under way is given up only for another one that was sent
/// and not rejected: a retry can be refused by the budget, by placement, by a
/// revoked key or by its upstream, and the attempt may still be answered.
class RequestFlow : public std::enable_shared_from_this<RequestFlow>
{
public:
  /// @param[in] aTicket of a request that another instance hands over
  RequestFlow(TrafficState& aState,
              std::shared_ptr<net::CallerConnection> aCaller,
              std::optional<handover::Ticket> aTicket = std::nullopt);

  /// @brief Serves the request that was read last from the connection.
  /// @return whether the connection can be used for another request
  [[nodiscard]] net::Awaitable<bool> Run();

  /// @brief Ends the request at the end of a graceful shutdown.
  ///
  /// The caller gets a final answer, which promises that the request has not
  /// run only if that is certain. A stream that has begun is aborted.
  void Interrupt();

private:
  /// Least time before the deadline with which an attempt is still started.
  static constexpr Duration kMinAttemptTime = std::chrono::milliseconds(20);

  /// Interval at which a waiting request checks for a free slot or for the
  /// start of the instance.
  static constexpr auto kSlotPollInterval = std::chrono::milliseconds(10);

  /// Lists how the request continues after a search for a slot.
  enum class SlotStep
  {
    Planned, ///< `mPlanned` has a slot
    Again,   ///< check the request again
    Failed   ///< `mLastFailure` tells why it gets no slot
  };

  /// Lists how the request continues after an attempt.
  enum class NextStep
  {
    Ended,    ///< the answer was sent, or the caller has left
    Retry,    ///< another attempt, if one is allowed
    Replaced, ///< another attempt was sent in its place
    Declined, ///< no instance has taken it
    Failed    ///< no further attempt is possible
  };

  /// Holds one attempt at an upstream.
  struct Attempt
  {
    placement::Choice mChoice;
    ingress::UpstreamEntry mUpstream;
    placement::Reservation mLoad;
    std::string mModel;
    std::size_t mModelIndex = 0; ///< among the route's models, smallest first
    std::shared_ptr<net::ClientConnection> mConnection;
    TimePoint mSentAt;
    bool mIsSent = false;
    bool mIsOnReused = false; ///< its connection had served other requests
    bool mHadEvent = false;
    bool mWasSilent = false; ///< counted against its upstream
    bool mIsReadingHead = false;
    std::optional<net::StepEnd> mHeadEnd; ///< set once the head was read
    /// instance that the request is handed over to, which chooses the upstream;
    /// without a name: an attempt at an upstream
    membership::InstanceLocation mPeer;

    [[nodiscard]] bool IsHandOver() const { return !mPeer.mName.empty(); }
  };

  /// Holds an attempt that may take the place of the running one.
  struct Replacement
  {
    Attempt mAttempt;
    std::optional<Attempt> mPlanned; ///< with a slot that the queue reserved
    routing::TicketId mTicket = 0;   ///< of the wait in the queue; 0: none
    bool mIsCancelled = false;
    bool mIsAccepted = false; ///< the running attempt is given up for it
  };

  /// Settings of the search for a replacement.
  struct ReplaceOptions
  {
    /// time in which the upstream may reject a replacement or break it off,
    /// while the running attempt goes on
    Duration mOverlap{};
    bool mWaitsForSlot = false; ///< until the end of the wait for a slot
    bool mIsQueued = false;     ///< in the order of the queue
  };

  /// Waits until an instance that has just started is ready.
  [[nodiscard]] net::Awaitable<void> AwaitReadiness();
  /// Finds the route and account of the request and sets its deadlines.
  /// @return why the request is refused; nothing if it is admitted
  [[nodiscard]] std::optional<RequestEnd> Admit();
  [[nodiscard]] std::optional<RequestEnd> AdmitAccount();
  /// Checks whether this instance takes a request that is handed over.
  [[nodiscard]] std::optional<RequestEnd> AdmitHandOver() const;
  /// Counts the request as demand of its account, once in all instances.
  void CountDemand();
  [[nodiscard]] net::Awaitable<void> Serve();
  [[nodiscard]] net::Awaitable<NextStep> RunAttempt(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> Exchange(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<bool> OpenConnection(Attempt& aAttempt);
  /// Sends an attempt on its open connection.
  /// @return false if it must not be sent any more
  [[nodiscard]] bool Send(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> OnResponseHead(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> RelayBuffered(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> RelayStream(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<bool> SendEvents(Attempt& aAttempt,
                                                const std::string& aEvents);
  /// Responds with a status of the gateway. The status does not promise that
  /// the request has not run if it may have run.
  [[nodiscard]] net::Awaitable<void> Refuse(RequestEnd aEnd);
  /// Returns the value of Retry-After: as the queue and the upstreams state it,
  /// or else that of the outcome.
  [[nodiscard]] std::string RetryAfterOf(const EndDescription& aEnd);
  /// Returns after what time the caller should come back if all upstreams that
  /// may serve it are pausing or at the rate that they named.
  [[nodiscard]] std::optional<Duration> EarliestReturn(RequestEnd aEnd);
  /// Aborts the connection of a caller that has received part of a stream.
  [[nodiscard]] net::Awaitable<void> AbortStream();

  /// Chooses a model and an upstream and reserves a slot there.
  /// @return nothing if no upstream can accept the request now
  [[nodiscard]] std::optional<Attempt> PlanAttempt(TimePoint aNow);

  /// @name Wait for a slot under overload control
  /// @{
  /// Plans the request, in the queue if others wait for the same slots or none
  /// is free.
  [[nodiscard]] net::Awaitable<SlotStep> AwaitSlot();
  /// Lets a request that a full upstream rejected pause before it is planned
  /// again, and obtains the retry for it.
  [[nodiscard]] net::Awaitable<SlotStep> PrepareReturn();
  /// Waits in the queue until `mPlanned` has a slot or the wait ends.
  [[nodiscard]] net::Awaitable<WaitEnd> WaitInQueue();
  /// Plans the request without a wait, or refuses it because its kind is served
  /// too often.
  /// @return nothing if it has to wait
  [[nodiscard]] std::optional<SlotStep> PlanDirect();
  /// Plans a replacement, in the queue if others wait for the same slots or
  /// none is free.
  /// @param[in] aReplacement of `BeginReplacement`
  /// @return null if it was not planned or was cancelled
  [[nodiscard]] net::Awaitable<std::shared_ptr<Replacement>>
  AwaitReplacementSlot(std::shared_ptr<Replacement> aReplacement);
  [[nodiscard]] net::Awaitable<WaitEnd> WaitInQueue(Replacement& aReplacement);
  /// Plans the request and reserves a slot.
  [[nodiscard]] admission::AdmissionResult TryPlan(
    std::optional<Attempt>& aPlanned);
  [[nodiscard]] bool MayQueue(placement::NoChoiceReason aReason,
                              TimePoint aNow);
  /// Returns whether a request that a full upstream rejected may return to the
  /// queue.
  [[nodiscard]] bool MayReturn(TimePoint aNow) const;
  /// Returns whether the request continues after an attempt that did not
  /// answer it.
  [[nodiscard]] bool MayRetry(TimePoint aNow);
  [[nodiscard]] admission::OfferedRequest MakeOffer(TimePoint aNow);
  [[nodiscard]] admission::OfferedRequest MakeReplacementOffer(TimePoint aNow);
  /// Names the upstreams that the request may use; requests with the same name
  /// wait for the same slots.
  [[nodiscard]] std::string CapacityClass() const;
  /// Returns the latest time at which a slot is worth the wait.
  [[nodiscard]] TimePoint LatestAdmission() const;
  /// Lets upstreams that rejected the request as full be chosen again.
  void ForgetFullUpstreams();
  /// Ends the wait in the queue and frees a slot that was reserved in it.
  void LeaveQueue();
  /// @}
  /// Returns the name of the client account; empty on a public route.
  [[nodiscard]] const std::string& AccountName() const;
  /// Returns the priority of the account, or else that of the route.
  [[nodiscard]] int Priority() const;

  /// @name Hand-over to another instance
  /// @{
  /// Returns whether another instance can be asked to take the request.
  [[nodiscard]] bool MayHandOver(TimePoint aNow) const;
  [[nodiscard]] handover::PeerQuery MakePeerQuery() const;
  /// Asks instances, one after the other, until one has taken the request.
  [[nodiscard]] net::Awaitable<NextStep> HandOver();
  [[nodiscard]] net::Awaitable<NextStep> HandOverTo(Attempt& aHandOver);
  [[nodiscard]] net::Awaitable<bool> ConnectToPeer(Attempt& aHandOver);
  /// Returns where the instance takes requests.
  [[nodiscard]] net::Endpoint HandOverEndpoint(const Attempt& aHandOver) const;
  /// Continues after the instance itself has decided on the request.
  /// @param[in] aOutcome its name
  [[nodiscard]] NextStep OnPeerOutcome(Attempt& aHandOver,
                                       std::string_view aOutcome);
  [[nodiscard]] net::Awaitable<NextStep> RelayHandOver(Attempt& aHandOver);
  [[nodiscard]] NextStep OnHandOverBroken(Attempt& aHandOver,
                                          net::StepEnd aEnd,
                                          TimePoint aNow);
  [[nodiscard]] std::string FormatHandOver(TimePoint aNow);
  /// Logs and counts what became of a hand-over.
  void LogHandOver(const Attempt& aHandOver, std::string_view aOutcome) const;
  /// @}
  /// Returns the headers of a response as they are relayed.
  [[nodiscard]] net::Headers RelayedHeaders(const Attempt& aAttempt) const;
  /// Keeps the connection of an attempt for later requests.
  void KeepConnection(Attempt& aAttempt);

  /// @name Replacement of the running attempt
  /// @{
  /// Calls `OnSilence` when this time passes without `mSilence.Clear`.
  void WatchSilence(Duration aPatience);
  /// Starts to replace the running attempt, if a retry is allowed, and calls
  /// itself again after the same time.
  void OnSilence();
  /// @param[in] aFirst planned, or to be planned in the queue
  [[nodiscard]] net::Awaitable<void> ReplaceSilentAttempt(
    std::shared_ptr<Replacement> aFirst);
  /// Starts the search for a replacement, which is not planned yet.
  [[nodiscard]] std::shared_ptr<Replacement> BeginReplacement();
  /// Plans a replacement of the running attempt.
  /// @return null if no upstream can accept it now
  [[nodiscard]] std::shared_ptr<Replacement> PlanReplacement();
  /// Sends planned replacements, one after the other, until one is accepted.
  /// @return false if none was, or the search was cancelled
  [[nodiscard]] net::Awaitable<bool> Replace(
    std::shared_ptr<Replacement> aFirst,
    ReplaceOptions aOptions);
  /// Plans and sends replacements of an answer that is not relayed.
  [[nodiscard]] net::Awaitable<bool> ReplaceAnswer(ReplaceOptions aOptions);
  /// Sends a replacement and accepts it unless it ends within the overlap.
  /// @return false if it was not sent, ended, was cancelled, or took the place
  /// of an attempt that broke meanwhile
  [[nodiscard]] net::Awaitable<bool> TryReplacement(
    std::shared_ptr<Replacement> aReplacement,
    Duration aOverlap);
  /// Reads the head of a replacement if it comes within the overlap.
  [[nodiscard]] net::Awaitable<void> ReadEarlyHead(
    std::shared_ptr<Replacement> aReplacement,
    Duration aOverlap);
  /// Records the outcome of a replacement whose head was read.
  /// @return whether it is better than the running attempt
  [[nodiscard]] bool AcceptsHead(Attempt& aAttempt);
  void CancelReplacement();
  [[nodiscard]] bool IsReplaced() const
  {
    return mReplacement && mReplacement->mIsAccepted;
  }
  /// Ends the running attempt after its replacement was accepted.
  [[nodiscard]] NextStep OnReplaced(Attempt& aAttempt);
  /// Returns whether the running attempt may be replaced when it is silent.
  [[nodiscard]] bool MayReplace() const
  {
    return mRoute->IsRetryable() && mAttempts < mRoute->mMaxAttempts &&
           !mRunning->IsHandOver();
  }
  /// Returns the time without a response head after which an attempt is
  /// replaced.
  [[nodiscard]] Duration HeadPatience(const Attempt& aAttempt) const;
  /// @}
  [[nodiscard]] placement::PlacementQuery MakePlacementQuery(
    std::string_view aModel);
  [[nodiscard]] cascade::SizeQuery SizeQuestionOf(TimePoint aNow);
  /// Checks again, right before sending, that the key is valid and that the
  /// upstream and its version may receive requests.
  [[nodiscard]] std::optional<SendRefusal> RefusalToSend(
    const Attempt& aAttempt,
    TimePoint aNow) const;
  /// Returns whether a request for which there is no upstream now waits for
  /// one.
  [[nodiscard]] bool MayWait(placement::NoChoiceReason aReason, TimePoint aNow);
  /// Checks the limits on attempts and time and consumes a retry from the
  /// budget unless this attempt has one already.
  [[nodiscard]] bool TryAcquireRetry(TimePoint aNow);
  void LogAttempt(const Attempt& aAttempt) const;
  /// Logs that an attempt ended without a whole answer.
  void LogBroken(const Attempt& aAttempt, net::StepEnd aEnd) const;
  /// Logs why an attempt ended without an answer that can be relayed.
  void LogFailure(const Attempt& aAttempt, std::string_view aReason) const;
  void LogRetryRefused() const;
  void LogNoSlot(placement::NoChoiceReason aReason, TimePoint aNow) const;
  /// Returns whether an upstream states that it did not run an attempt.
  [[nodiscard]] bool IsRejection(
    const Attempt& aAttempt,
    const ingress::ResponseMetadata& aMetadata) const;
  /// Returns whether a response answers this attempt. On a connection that had
  /// served other requests, one without an id may be a late copy of theirs.
  [[nodiscard]] bool IsAttributed(
    const Attempt& aAttempt,
    const ingress::ResponseMetadata& aMetadata) const;
  /// Returns whether a response has the id of another request.
  [[nodiscard]] bool IsOfOtherRequest(
    const ingress::ResponseMetadata& aMetadata) const;
  /// Returns whether a response can be relayed after what the caller has
  /// received: an error cannot continue a stream.
  [[nodiscard]] bool MayContinue(const net::ResponseHead& aHead) const;
  /// Returns whether a response is signed and answers this attempt.
  [[nodiscard]] bool IsOwnResponse(
    const Attempt& aAttempt,
    const ingress::ResponseMetadata& aMetadata) const;
  void OnRejected(Attempt& aAttempt);
  /// Lets the request be retried if its keys were only too old.
  void ForgetStaleKeys();
  [[nodiscard]] std::string FormatAttempt(const Attempt& aAttempt,
                                          TimePoint aNow) const;
  [[nodiscard]] std::chrono::milliseconds ConnectTimeout() const;
  [[nodiscard]] NextStep OnAttemptBroken(Attempt& aAttempt,
                                         net::StepEnd aEnd,
                                         TimePoint aNow);
  /// Returns whether the request may not be sent for the version of its
  /// session.
  [[nodiscard]] std::optional<rollout::SessionHold> HoldOfSession(
    TimePoint aNow) const;
  /// Returns whether the request may wait for the end of a hold. A session that
  /// was last on a withdrawn version is active for a request that came before
  /// its expiry, however late that is sent.
  [[nodiscard]] bool MayWaitFor(const rollout::SessionHold& aHold) const
  {
    return aHold.mIsUnknown && aHold.mUntil < mSlotDeadline;
  }
  /// Waits until it is known whether the upstream of the last attempt crashed
  /// on a suspected part, so that the retry does not crash another one.
  [[nodiscard]] net::Awaitable<void> AwaitCrashCheck();
  /// Records that an upstream began to answer the request.
  void ClearParts(const Attempt& aAttempt, TimePoint aNow);
  /// Starts a check whether an upstream crashed after its connection broke.
  void StartCrashCheck(const Attempt& aAttempt, TimePoint aNow);
  [[nodiscard]] NextStep NextStepAfterFailure() const;
  void RecordHealth(Attempt& aAttempt, placement::AttemptHealth aHealth);
  void RecordFirstEvent(Attempt& aAttempt, TimePoint aNow);
  /// Returns the speed of the attempt's machine, if its upstream reports it.
  [[nodiscard]] std::optional<rollout::MachineSpeed> MachineOf(
    const Attempt& aAttempt) const;
  void RecordFailure(const Attempt& aAttempt,
                     bool aIsBroken,
                     Duration aSilentFor = Duration::zero());
  /// Writes the metrics and the log line of the request, once.
  void RecordEnd(RequestEnd aEnd);
  [[nodiscard]] bool IsStream() const
  {
    return mRoute->mKind == ingress::RouteKind::Streaming;
  }
  [[nodiscard]] bool ClosesConnection() const
  {
    return mState.IsStopping() || !mCaller.KeepsAlive();
  }

  TrafficState& mState;
  std::shared_ptr<net::CallerConnection> mCallerConnection;
  net::CallerConnection& mCaller;
  /// of a request that another instance hands over; empty: of a caller
  std::optional<handover::Ticket> mTicket;
  ingress::ConfigurationPtr mConfiguration; ///< in force at the arrival
  const ingress::Route* mRoute = nullptr;
  const ingress::ClientAccount* mAccount = nullptr;
  ingress::RequestMetadata mFacts;
  std::string mService;
  rollout::SessionId mSession;
  std::uint64_t mFingerprint = 0;         ///< hash of path, account and body
  std::vector<quarantine::PartId> mParts; ///< of the prompt, all but the last
  std::shared_ptr<bool> mCrashChecked; ///< null: no check of the last attempt
  TimePoint mCrashCheckStartedAt;
  TimePoint mArrivedAt;
  TimePoint mDeadline;
  TimePoint mSlotDeadline; ///< end of the wait for a slot
  /// while it polls for a slot that pipelined requests must leave to it
  std::optional<admission::SlotWaiters::Wait> mSlotWait;
  std::set<std::string> mAvoidedUpstreams;
  Attempt* mRunning = nullptr;        ///< null between attempts
  std::optional<Attempt> mPlanned;    ///< with a slot that the queue reserved
  routing::TicketId mQueueTicket = 0; ///< of the wait in the queue; 0: none
  /// rank in the queue; empty: neither waited nor planned yet
  std::optional<std::uint64_t> mQueueArrival;
  /// its work counts as served; not while it returns after a rejection
  bool mIsCountedServed = false;
  bool mWasQueued = false;   ///< the last attempt was admitted by the queue
  bool mWasAdmitted = false; ///< with or without a wait, since the last offer
  bool mIsReturning = false; ///< a full upstream rejected the last attempt
  int mReturns = 0;          ///< rejections by full upstreams
  /// upstreams that rejected the request as full
  std::set<std::string> mFullUpstreams;
  std::optional<Duration> mRetryAfter; ///< as the queue stated it
  double mWork = 1.0;                  ///< expected, in the unit of the queue
  std::shared_ptr<Replacement> mReplacement;
  net::Watchdog mSilence; ///< of the running attempt
  Duration mSilencePatience{};
  stream::EventSplitter mEvents;
  stream::EventTiming mPace;
  int mAttempts = 0;      ///< attempts that may have run
  int mTransmissions = 0; ///< attempts sent on an open connection
  int mSends = 0;         ///< all attempts, also rejected or unconnected ones
  /// attempts without a run since the last event
  int mRejections = 0;
  int mSuspectedCrashes = 0; ///< connections that broke during an attempt
  int mUnconnected = 0;      ///< attempts without a connection to the upstream
  std::set<std::string, std::less<>> mAskedPeers; ///< to take the request
  bool mWasPeerBusy = false; ///< one that could take requests did not
  bool mIsDemandCounted = false;
  /// Retry-After of the instance that took the request; empty: none
  std::string mPeerRetryAfter;
  bool mHasRetry = false; ///< a retry was consumed from the budget
  /// why no upstream may receive another attempt
  std::optional<SendRefusal> mFinalRefusal;
  bool mMayHaveRun = false;
  /// latest failure of an attempt that may have run. The wait for a slot of its
  /// replacement is counted from here: late failures would otherwise not be
  /// replaced while anything waits in the queue.
  std::optional<TimePoint> mFailedAt;
  bool mAnswerDropped = false; ///< a smaller model's answer was dropped
  bool mHeadSent = false;      ///< a response head was sent to the caller
  bool mIsInterrupted = false; ///< the instance ends before the request
  bool mEnded = false;
  RequestEnd mLastFailure = RequestEnd::NoUpstream;
  std::string mLastVersion;    ///< version of the upstream tried last
  std::string mTriedUpstreams; ///< comma-separated, for the log
};

} // namespace figslip::gateway
