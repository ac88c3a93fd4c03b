#pragma once

#include <figslip/ingress/configuration.hpp>
#include <figslip/ingress/dialect.hpp>
#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/membership/instance_location.hpp>
#include <figslip/placement/concurrency_limit.hpp>
#include <figslip/placement/domain_health.hpp>
#include <figslip/placement/paced_share.hpp>
#include <figslip/placement/prefill_load.hpp>
#include <figslip/placement/prefix_cache.hpp>
#include <figslip/placement/rate_share.hpp>
#include <figslip/placement/speed_estimate.hpp>
#include <figslip/placement/upstream_health.hpp>
#include <figslip/placement/upstream_notices.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::placement {

/// @brief Describes a request for which an upstream is chosen.
struct PlacementQuery
{
  std::string_view mService;
  std::string_view mModel; ///< empty for a service without models
  const std::vector<ingress::PromptPart>* mPrompt = nullptr;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  /// returns whether a version may serve the request; empty: all may
  std::function<bool(std::string_view)> mAllowsVersion;
  /// upstreams that already failed the request; may be null
  const std::set<std::string>* mExcludedUpstreams = nullptr;
  const std::vector<std::string>* mRegions = nullptr; ///< null or empty: all
  /// the request may be retried, so it may probe a suspected failure domain
  bool mMayRetry = false;
  double mCost = 1.0; ///< expected work, in the unit of the instance shares
  /// its account demands more than its share of the service
  bool mIsOverShare = false;
};

/// @brief Holds the chosen upstream and the estimates for the request there.
struct Choice
{
  const ingress::UpstreamEntry* mUpstream = nullptr;
  Duration mTimeToFirstEvent{}; ///< expected, at the speed of its machine
  /// expected on a machine of usual speed
  Duration mUsualTimeToFirstEvent{};
  Duration mUsualWork{};         ///< part of it that the upstream's work takes
  bool mIsSpeedReported = false; ///< whether the upstream reports its speed
  std::int64_t mPrefillTokens = 0; ///< prompt tokens without a cached prefix
  std::int64_t mCachedTokens = 0;  ///< expected prefix cache hit
  /// covered by this instance's share of the service; see `PacedShare`
  bool mIsPaced = false;
};

/// @brief Lists the reasons why no upstream can be chosen.
enum class NoChoiceReason
{
  NoUpstream, ///< no registered upstream is ready and permitted
  AllPausing, ///< the permitted upstreams asked for a pause
  AllLimited, ///< upstreams with free slots are at the rate that they named
  AllCold,    ///< upstreams with free slots are at their cold-start rate
  AllFull     ///< a permitted upstream has no free slot
};

/// @brief Returns the name of a reason in the log.
[[nodiscard]] constexpr std::string_view
NameOf(NoChoiceReason aReason)
{
  switch (aReason) {
    case NoChoiceReason::NoUpstream:
      return "no_upstream";
    case NoChoiceReason::AllPausing:
      return "all_pausing";
    case NoChoiceReason::AllLimited:
      return "all_limited";
    case NoChoiceReason::AllCold:
      return "all_cold";
    case NoChoiceReason::AllFull:
      return "all_full";
  }
  return "unknown";
}

/// @brief Returns the tokens that a request occupies in the memory of an
/// engine.
[[nodiscard]] constexpr std::int64_t
TokensOf(const PlacementQuery& aQuery)
{
  return aQuery.mPromptTokens + aQuery.mOutputTokens;
}

/// @brief Accounts for one request on an upstream until it is released.
struct Reservation
{
  std::string mUpstream;
  std::string mModel;
  double mPrefillMs = 0.0;    ///< expected prefill time at the usual speed
  double mDecodeWeight = 0.0; ///< relative decode cost of the model
  bool mIsInPrefill = true;
  bool mIsOutside = false; ///< the upstream was not in the own subset
  std::string mService;
  std::int64_t mTokens = 0; ///< of the uncached prompt and the output
  TimePoint mSentAt;
  Duration mUsualWork{};    ///< as in the choice
  double mTimeFactor = 1.0; ///< of the upstream's machine when it was sent
  bool mIsPaced = false;    ///< as in the choice
};

/// @brief Holds this instance's share of a service that is short of capacity.
struct InstanceShare
{
  std::string mService;
  double mPerSecond = 0.0; ///< cost per second
};

/// @brief Holds the factors of the expected times at a service's upstreams.
struct SpeedSummary
{
  std::string mService;
  double mMin = 1.0;
  double mMedian = 1.0;
  double mMax = 1.0;
};

/// @brief Tracks load, cold start and health of the upstreams and chooses one
/// for each request.
///
/// Handles uneven load, long prompts that block all other requests of an
/// engine, lost and failing upstreams, and upstreams in cold start. The
/// upstream with the lowest expected time to the first event is chosen. The
/// estimate includes queued prefills, the expected prefix cache hit and the
/// running requests. The load that responses report covers the requests of
/// other instances.
///
/// Where upstreams report how long work takes on their machines at this moment,
/// expected times account for it and for the lasting speed of each machine; see
/// `SpeedEstimate`.
///
/// The reported load does not include the length of the prompts that other
/// instances have queued. Therefore the instances of a failure domain partition
/// its upstreams, and each instance prefers its own subset until that is
/// loaded.
class UpstreamSelector
{
public:
  struct Options
  {
    std::string mInstance; ///< name of this instance
    std::string mDomain;   ///< failure domain of this instance
    std::map<std::string, std::string> mRegions; ///< by failure domain
    /// prefill throughput of a model of cost factor 1, tokens per ms
    double mPrefillTokensPerMs = 60.0;
    /// upstreams of the own subset that are compared for a request; a random
    /// sample, as instances that have not discovered each other yet would all
    /// choose the same best upstream
    std::ptrdiff_t mOwnSampleSize = 8;
    /// likewise for upstreams outside the own subset
    std::ptrdiff_t mOtherSampleSize = 4;
    /// keeps the requests in flight within adaptive limits; see
    /// `ConcurrencyLimit`
    bool mOverloadControl = false;
    std::uint64_t mSeed = 1; ///< of the random samples
  };

  explicit UpstreamSelector(Options aOptions);

  /// @name Control events
  /// @{
  /// @brief Replaces the list of upstreams; state of those that remain is kept.
  void OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries,
                   TimePoint aNow);
  void OnConfiguration(ingress::ConfigurationPtr aConfiguration);
  /// @brief Sets the failure domains that receive no requests.
  void SetDrained(const std::set<std::string>& aDomains);
  /// @brief Sets the instances that share the upstreams.
  void SetInstances(
    const std::vector<membership::InstanceLocation>& aInstances);
  /// @brief Sets the number of instances that share the rates of upstreams, in
  /// cold start and as they name them.
  void SetInstanceCount(int aCount);
  /// @brief Sets this instance's shares of the services that are short of
  /// capacity. All others are not paced, nor are services without upstreams
  /// that all instances use.
  void SetInstanceShares(const std::vector<InstanceShare>& aShares,
                         TimePoint aNow);
  /// @}

  /// @brief Chooses the upstream with the lowest expected time to the first
  /// event.
  ///
  /// A request that is covered by this instance's share of a service is sent to
  /// an upstream that all instances use even if this seems to have no free
  /// slot.
  /// @return nothing where no permitted upstream has a free slot and cold-start
  ///         rate; `ExplainNoChoice` returns the reason
  [[nodiscard]] std::optional<Choice> Choose(const PlacementQuery& aQuery,
                                             TimePoint aNow);
  /// @brief Returns why `Choose` found no upstream.
  [[nodiscard]] NoChoiceReason ExplainNoChoice(const PlacementQuery& aQuery,
                                               TimePoint aNow) const;
  /// @brief Returns the earliest time at which an upstream may be sent a
  /// request, if all that may serve it are pausing or at the rate that they
  /// named.
  [[nodiscard]] std::optional<TimePoint> EarliestReturn(
    const PlacementQuery& aQuery,
    TimePoint aNow) const;
  /// @brief Returns whether an upstream is registered and ready, neither leaves
  /// nor pauses by its own word, and is not drained.
  [[nodiscard]] bool MaySend(std::string_view aUpstream, TimePoint aNow) const;

  /// @brief Accounts for a request on the chosen upstream.
  /// @return to be passed to `OnFirstEvent` and `Release`
  [[nodiscard]] Reservation Reserve(const Choice& aChoice,
                                    const PlacementQuery& aQuery,
                                    TimePoint aNow);
  /// @brief Ends the prefill phase of a request, and learns the speed of its
  /// upstream from the time it took.
  void OnFirstEvent(Reservation& aReservation, TimePoint aNow);
  /// @brief Removes a request from the load of its upstream.
  void Release(Reservation& aReservation);
  /// @brief Stores the load that an upstream reports in a response.
  /// @param[in] aSentAt time at which the request was sent
  /// @return change of the concurrency limit
  LimitChange OnReportedLoad(std::string_view aUpstream,
                             const ingress::ReportedLoad& aLoad,
                             TimePoint aSentAt,
                             TimePoint aNow);
  /// @brief Records that an upstream rejected a request as it is full.
  /// @param[in] aSentAt time at which the request was sent
  /// @return change of the concurrency limit
  LimitChange OnRejected(std::string_view aUpstream,
                         TimePoint aSentAt,
                         TimePoint aNow);
  /// @brief Slows down the pacing of a service if a rejected request was
  /// covered by this instance's share.
  /// @return whether it was slowed down
  bool OnPacedRejection(const Reservation& aReservation, TimePoint aNow);
  /// @brief Returns the cost per second at which this instance is paced;
  /// nothing for a service that is not short of capacity.
  [[nodiscard]] std::optional<double> PacedRate(std::string_view aService,
                                                TimePoint aNow) const;
  /// @brief Records that a response has said that its upstream is leaving.
  ///
  /// The incarnation receives no further requests, whatever lists of upstreams
  /// say of it.
  /// @param[in] aUpstream as registered when the request was sent
  /// @return whether it was not known
  bool OnLeaving(const ingress::UpstreamEntry& aUpstream, TimePoint aNow);
  /// @brief Records that a response has asked for a pause; the incarnation
  /// receives no requests until it is over.
  /// @param[in] aUpstream as registered when the request was sent
  /// @param[in] aSeconds see `BoundPause`
  UpstreamNotices::Pause OnPause(const ingress::UpstreamEntry& aUpstream,
                                 double aSeconds,
                                 TimePoint aNow);
  /// @brief Records whether an answer named a maximum rate of requests; see
  /// `UpstreamNotices::OnMaxRate`.
  bool OnMaxRate(const ingress::UpstreamEntry& aUpstream,
                 std::optional<double> aMaxRate,
                 TimePoint aSentAt,
                 TimePoint aNow);
  /// @brief Updates the health of an upstream and of its failure domain.
  void OnOutcome(std::string_view aUpstream,
                 AttemptHealth aHealth,
                 TimePoint aNow);

  /// @return null where the upstream is not registered
  [[nodiscard]] const ingress::UpstreamEntry* Find(
    std::string_view aUpstream) const;
  /// @brief Returns whether an incarnation has said that it is leaving.
  [[nodiscard]] bool IsLeaving(const ingress::UpstreamEntry& aUpstream) const
  {
    return mNotices.Of(aUpstream).mIsLeaving;
  }
  /// @brief Returns whether a pause that an incarnation asked for still lasts.
  [[nodiscard]] bool IsPausing(const ingress::UpstreamEntry& aUpstream,
                               TimePoint aNow) const
  {
    return aNow < mNotices.Of(aUpstream).mPausedUntil;
  }
  /// @brief Returns the time factor that an upstream has reported last; nothing
  /// if it reports none.
  [[nodiscard]] std::optional<double> ReportedTimeFactor(
    std::string_view aUpstream) const;
  /// @brief Returns the factors of the expected times of each service with
  /// upstreams that report the speed of their machines.
  [[nodiscard]] std::vector<SpeedSummary> SpeedSummaries(TimePoint aNow) const;
  /// @brief Returns the number of ready upstreams that run the same version of
  /// the same service.
  [[nodiscard]] int VersionSize(const ingress::UpstreamEntry& aUpstream) const;
  /// @brief Returns the versions that the ready upstreams of a service run.
  [[nodiscard]] std::set<std::string> VersionsOf(
    std::string_view aService) const;
  /// @brief Returns the fraction of a service's slots in use; 1 without slots.
  [[nodiscard]] double SlotUtilization(std::string_view aService,
                                       TimePoint aNow) const;
  /// @brief Returns the fraction of time in which the engines of this instance
  /// run prefills for a service.
  /// @note Exceeds 1 while more prefill work is sent than the engines complete.
  [[nodiscard]] double PrefillUtilization(std::string_view aService,
                                          TimePoint aNow) const;
  /// @brief Returns the number of open requests of this instance on an
  /// upstream.
  [[nodiscard]] int InFlight(std::string_view aUpstream) const;
  /// @brief Returns the concurrency limit of this instance at an upstream; its
  /// slots without overload control.
  [[nodiscard]] int LimitOf(std::string_view aUpstream, TimePoint aNow) const;
  /// @brief Returns the number of registered upstreams.
  [[nodiscard]] std::size_t Size() const { return mStates.size(); }

private:
  /// Parts of the expected time to the first event at the usual speed.
  struct ExpectedTimes
  {
    Duration mWork{};  ///< work of the upstream, which depends on its speed
    Duration mOther{}; ///< other waits and penalties
  };

  /// State of a service as a whole.
  struct ServiceState
  {
    double mSpeedLog = 0.0;  ///< mean logarithm of the lasting time factors
    TimePoint mComputedAt;   ///< of the speed
    double mPrefillMs = 0.0; ///< mean of the latest prompts, usual speed
    /// limits the own requests outside the own subset, as all instances may
    /// send there at once
    SpreadLimit mOutsideLimit;
    int mOutsideInFlight = 0;
    double mRequestTokens = 0.0;      ///< mean of the latest requests
    std::optional<PacedShare> mPaced; ///< while it is short of capacity
  };

  struct State
  {
    ingress::UpstreamEntry mEntry;
    int mInFlight = 0;
    double mPrefillMs = 0.0;    ///< of own requests in prefill
    double mDecodeWeight = 0.0; ///< of own requests
    std::int64_t mTokens = 0;   ///< of own requests
    ingress::ReportedLoad mReportedLoad;
    TimePoint mReportedAt;
    int mInFlightAtReport = 0;
    SpeedEstimate mSpeed;
    ConcurrencyLimit mLimit;
    UpstreamHealth mHealth;
    UpstreamNotice mNotice; ///< of the registered incarnation
    /// requests within the rate that the upstream named; empty: it named none
    std::optional<RateShare> mRateShare;
    PrefixCache mCache;
    TimePoint mColdUntil;
    TimePoint mNextColdRequestAt; ///< earliest next request while cold
    bool mIsInOwnSubset = false;
    int mSubsetSharers = 1; ///< instances whose subset it is in
    /// there are fewer upstreams like it than instances, which all use them
    bool mIsShared = false;
  };

  /// Returns whether the upstream is registered as ready and is not leaving.
  [[nodiscard]] static bool IsReady(const State& aState);
  [[nodiscard]] bool IsCandidate(const State& aState,
                                 const PlacementQuery& aQuery) const;
  [[nodiscard]] bool IsInRegions(const State& aState,
                                 const PlacementQuery& aQuery) const;
  /// Returns the open requests of this instance, and of others as reported.
  [[nodiscard]] double RunningRequests(const State& aState,
                                       TimePoint aNow) const;
  [[nodiscard]] bool HasRecentReport(const State& aState, TimePoint aNow) const;
  /// Returns the weight of the last report, [0, 1].
  [[nodiscard]] double ReportWeight(const State& aState, TimePoint aNow) const;
  /// Returns the requests that are too many at an upstream by its last report.
  [[nodiscard]] static int WaitingFor(const State& aState);
  /// Returns the bounds of this instance's concurrency limit at an upstream.
  [[nodiscard]] static ConcurrencyLimit::Bounds LimitBounds(
    const State& aState);
  [[nodiscard]] static bool IsPausing(const State& aState, TimePoint aNow);
  /// Returns the own requests that may be open on an upstream; fewer for a time
  /// after a pause.
  [[nodiscard]] static int MaxInFlight(const State& aState, TimePoint aNow);
  [[nodiscard]] bool HasFreeSlot(const State& aState, TimePoint aNow) const;
  /// Returns whether the share of this instance covers a request now.
  [[nodiscard]] bool IsCovered(const PlacementQuery& aQuery,
                               TimePoint aNow) const;
  /// Holds what is the same for all upstreams that a request may use.
  struct Reach
  {
    bool mIsCovered = false;     ///< by the share of this instance
    bool mMayUseOutside = false; ///< beyond the own subset
  };
  [[nodiscard]] Reach ReachOf(const PlacementQuery& aQuery,
                              TimePoint aNow) const;
  /// Returns whether a request may be sent as far as slots, limits and the
  /// share of this instance are concerned.
  [[nodiscard]] bool HasRoom(const State& aState,
                             const Reach& aReach,
                             TimePoint aNow) const;
  /// Returns whether the failure domain seems to be partitioned and the request
  /// may not probe it.
  [[nodiscard]] bool IsPartitioned(const State& aState,
                                   const PlacementQuery& aQuery,
                                   TimePoint aNow) const;
  [[nodiscard]] bool IsWithinColdRate(const State& aState,
                                      TimePoint aNow) const;
  /// Returns the time of a model relative to a medium-sized one.
  [[nodiscard]] double ModelCostFactor(std::string_view aService,
                                       std::string_view aModel) const;
  [[nodiscard]] ServiceState& ServiceOf(std::string_view aService);
  /// Returns whether a request may be sent to an upstream outside the own
  /// subset.
  [[nodiscard]] bool MayUseOutside(std::string_view aService,
                                   TimePoint aNow) const;
  /// Returns the expected wait for prefills that the instance whose subset the
  /// upstream is in has queued there.
  [[nodiscard]] double OtherSubsetMs(const State& aState) const;
  /// Returns the mean logarithm of the lasting factors of a service's
  /// upstreams.
  [[nodiscard]] double MeanSpeedLog(std::string_view aService) const;
  /// Recomputes that mean at most every `kMeanSpeedInterval`.
  void UpdateMeanSpeed(std::string_view aService, TimePoint aNow);
  /// Returns the prefill time at an upstream relative to the mean of its
  /// service.
  [[nodiscard]] double ScaledPrefillMs(const State& aState,
                                       double aPrefillMs,
                                       TimePoint aNow) const;
  void SetExpectedTimes(Choice& aChoice,
                        const State& aState,
                        const ExpectedTimes& aUsual,
                        TimePoint aNow) const;
  [[nodiscard]] Choice Estimate(const State& aState,
                                const PlacementQuery& aQuery,
                                double aMeanRunning,
                                TimePoint aNow) const;
  /// Returns the upstream that all instances prefer for requests that share the
  /// subject of the prompt; null where the prompt has no subject.
  [[nodiscard]] static const State* OwnerOf(
    const PlacementQuery& aQuery,
    const std::vector<const State*>& aAvailable);
  /// Estimates the owner, which is likely to have cached the subject.
  [[nodiscard]] Choice EstimateOwner(const State& aOwner,
                                     const PlacementQuery& aQuery,
                                     double aMeanRunning,
                                     TimePoint aNow) const;
  /// Leaves out the engines whose memory a request would exceed, unless there
  /// are no others.
  void PreferFreeMemory(std::vector<const State*>& aAvailable,
                        const PlacementQuery& aQuery,
                        TimePoint aNow) const;
  /// Returns the upstreams that may receive the request now.
  [[nodiscard]] std::vector<const State*> AvailableFor(
    const PlacementQuery& aQuery,
    TimePoint aNow) const;
  /// Returns the mean over upstreams with a recent report, as the estimate for
  /// an upstream without one.
  [[nodiscard]] double MeanRunning(std::string_view aService,
                                   TimePoint aNow) const;
  /// Returns the interval between requests of this instance to a cold upstream;
  /// zero: no limit.
  [[nodiscard]] Duration ColdRequestInterval(std::string_view aService) const;
  /// Applies what the registered incarnation has said of itself.
  void ApplyNotice(State& aState, TimePoint aNow) const;
  /// Returns this instance's part of the rate that an upstream named.
  [[nodiscard]] RateLimit RateLimitOf(const State& aState) const;
  /// Returns the end of the pause or the next request within the rate; not
  /// before `aNow`.
  [[nodiscard]] TimePoint NextSendTime(const State& aState,
                                       TimePoint aNow) const;
  [[nodiscard]] bool IsWithinRate(const State& aState, TimePoint aNow) const;
  /// Recomputes the own subset for each service and version.
  void UpdateOwnSubset();
  /// Returns whether a service has upstreams that all instances use.
  [[nodiscard]] bool HasShared(std::string_view aService) const;
  /// Recomputes which upstreams all instances use.
  void UpdateShared();
  void BeginColdStart(State& aState, Duration aTime, TimePoint aNow) const;
  void ApplyEntry(State& aState,
                  const ingress::UpstreamEntry& aEntry,
                  bool aIsFirstList,
                  TimePoint aNow) const;

  Options mOptions;
  ingress::ConfigurationPtr mConfiguration;
  std::map<std::string, State, std::less<>> mStates;
  UpstreamNotices mNotices;
  std::set<std::string, std::less<>> mDrainedDomains;
  std::map<std::string, PrefillLoad, std::less<>> mPrefillLoads; ///< by service
  std::map<std::string, ServiceState, std::less<>> mServices;    ///< by name
  DomainHealth mDomainHealth{ {} };
  std::mt19937_64 mRandom;
  int mInstanceCount = 1;
  std::set<std::string> mDomainPeers; ///< instances of the failure domain
  bool mHasUpstreamList = false;
};

} // namespace figslip::placement
