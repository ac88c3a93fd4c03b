#pragma once

#include <figslip/gateway/traffic_state.hpp>
#include <figslip/net/caller_connection.hpp>
#include <figslip/net/client_connection.hpp>
#include <figslip/stream/event_pace.hpp>
#include <figslip/stream/event_splitter.hpp>

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace figslip::gateway {

/// @brief Takes one request from the caller to its end.
class RequestFlow
{
public:
  RequestFlow(TrafficState& aState, net::CallerConnection& aCaller);

  /// @brief Serves the request that the connection has read.
  /// @return whether the connection may go on
  [[nodiscard]] net::Awaitable<bool> Run();

private:
  /// Time that must be left for another attempt to make sense.
  static constexpr Duration kMinAttemptTime = std::chrono::milliseconds(20);

  /// Lists what becomes of the request after an attempt.
  enum class NextStep
  {
    Ended,       ///< the answer is out, or nothing more can be done
    Retry,       ///< another attempt, if one is allowed
    LargerModel, ///< an answer was dropped in favour of a larger model's
    Failed       ///< no further attempt is possible
  };

  /// Holds one attempt at an upstream.
  struct Attempt
  {
    placement::Choice mChoice;
    ingress::UpstreamEntry mUpstream;
    placement::Load mLoad;
    std::string mModel;
    std::size_t mModelIndex = 0; ///< index of the model
    std::shared_ptr<net::ClientConnection> mConnection;
    TimePoint mSentAt;
    bool mIsSent = false;
    bool mHadEvent = false;
  };

  /// Waits for the first configuration of an instance that has just started.
  [[nodiscard]] net::Awaitable<void> AwaitReadiness();
  [[nodiscard]] std::optional<RequestEnd> Admit();
  [[nodiscard]] std::optional<RequestEnd> AdmitAccount();
  [[nodiscard]] net::Awaitable<void> Serve();
  [[nodiscard]] net::Awaitable<NextStep> RunAttempt(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> Exchange(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<bool> OpenConnection(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> OnResponseHead(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> RelayBuffered(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<NextStep> RelayStream(Attempt& aAttempt);
  [[nodiscard]] net::Awaitable<bool> SendEvents(Attempt& aAttempt,
                                                const std::string& aEvents);
  [[nodiscard]] net::Awaitable<void> Refuse(RequestEnd aEnd);
  [[nodiscard]] net::Awaitable<void> AbortStream();

  [[nodiscard]] std::optional<Attempt> PlanAttempt(TimePoint aNow);
  [[nodiscard]] placement::PlacementQuery MakePlacementQuery(
    std::string_view aModel);
  [[nodiscard]] cascade::SizeQuestion SizeQuestionOf(TimePoint aNow);
  [[nodiscard]] bool MaySendNow(const Attempt& aAttempt, TimePoint aNow) const;
  [[nodiscard]] bool TryAcquireRetry(TimePoint aNow);
  void LogAttempt(const Attempt& aAttempt) const;
  /// Tells why an attempt ended without an answer that can be passed on.
  void LogFailure(const Attempt& aAttempt, std::string_view aReason) const;
  void LogRetryRefused() const;
  void LogNoSlot(placement::NoChoice aReason, TimePoint aNow) const;
  [[nodiscard]] std::string FormatAttempt(const Attempt& aAttempt,
                                          TimePoint aNow) const;
  [[nodiscard]] std::chrono::milliseconds ConnectTimeout() const;
  [[nodiscard]] std::chrono::milliseconds ResponseHeadTimeout(
    const Attempt& aAttempt,
    TimePoint aNow) const;
  [[nodiscard]] NextStep OnAttemptBroken(Attempt& aAttempt,
                                         net::StepEnd aEnd,
                                         TimePoint aNow);
  /// Has it checked whether an upstream crashed, as its connection broke.
  void StartCrashCheck(const Attempt& aAttempt, TimePoint aNow);
  [[nodiscard]] NextStep NextStepAfterFailure() const;
  void RecordHealth(Attempt& aAttempt, placement::AttemptHealth aHealth);
  void RecordFirstEvent(Attempt& aAttempt, TimePoint aNow);
  void RecordFailure(const Attempt& aAttempt, bool aIsBroken);
  void RecordEnd(RequestEnd aEnd);
  [[nodiscard]] bool IsStream() const
  {
    return mRoute->mKind == ingress::RouteKind::Streaming;
  }
  [[nodiscard]] bool ClosesConnection() const
  {
    return mState.mIsStopping || !mCaller.KeepsAlive();
  }

  TrafficState& mState;
  net::CallerConnection& mCaller;
  ingress::ConfigurationPtr mConfiguration; ///< in force when it came
  const ingress::Route* mRoute = nullptr;
  const ingress::ClientAccount* mAccount = nullptr;
  ingress::CallerFacts mFacts;
  std::string mService;
  std::uint64_t mSessionHash = 0; ///< hash
  std::uint64_t mFingerprint = 0; ///< of path, account and body
  TimePoint mArrivedAt;
  TimePoint mDeadline;
  TimePoint mSlotDeadline; ///< for a place
  std::set<std::string> mAvoidedUpstreams;
  std::shared_ptr<net::ClientConnection>
    mCurrentConnection; ///< attempt that runs
  stream::EventSplitter mEvents;
  stream::EventPace mPace;
  int mAttempts = 0;         ///< sends that may have run
  int mTransmissions = 0;    ///< sends that left on a connection
  int mSends = 0;            ///< sends, those rejected or not connected too
  int mSuspectedCrashes = 0; ///< connections that broke while it ran
  bool mHasRetry = false;    ///< a repeat was taken out of the budget
  bool mMayHaveRun = false;
  bool mAnswerDropped = false; ///< a smaller model's answer was dropped
  bool mHeadSent = false;      ///< the caller has the head of an answer
  bool mEnded = false;
  RequestEnd mLastFailure = RequestEnd::NoUpstream;
  std::string mLastVersion;    ///< of the upstream tried last
  std::string mTriedUpstreams; ///< upstreams tried, for the log
};

} // namespace figslip::gateway
