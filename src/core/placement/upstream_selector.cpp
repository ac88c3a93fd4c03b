#include <figslip/placement/subset.hpp>
#include <figslip/placement/upstream_selector.hpp>

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <ranges>
#include <span>
#include <utility>

namespace figslip::placement {

namespace {

/// Age from which a reported load is ignored.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);

/// Age from which the weight of a report decays, with overload control, while
/// requests are in flight at the upstream: their answers bring the next report,
/// and under load they take longer than a report is recent. The others that it
/// tells of end meanwhile, in a few seconds.
constexpr Duration kFullWeightAge = std::chrono::milliseconds(1500);
constexpr std::chrono::duration<double> kReportDecayTime{ 3.0 };

/// Age from which it decays without requests in flight, to nothing at the
/// maximum age.
constexpr Duration kIdleFullWeightAge = std::chrono::milliseconds(500);

/// Fraction of an engine's token capacity that holds cached prefixes under
/// load.
constexpr double kPrefixCacheFraction = 0.6;

/// Expected delay that each running request adds to the first event.
constexpr double kMsPerRunningRequest = 4.0;

/// Expected time to the first event on an idle engine, without prefill.
constexpr double kIdleEngineMs = 12.0;

/// Penalty of an upstream in another failure domain.
constexpr double kOtherDomainPenaltyMs = 6.0;

/// Expected time lost by a failed attempt; scaled by the failure rate.
constexpr double kFailureCostMs = 2'000.0;

/// Fraction of a prompt's subject that its owner is expected to have cached.
constexpr double kOwnerCachedFraction = 0.7;

/// Expected wait for prefills that another instance has queued at an engine of
/// its own subset.
constexpr double kOtherSubsetPrefillMs = 120.0;

/// Mean prefills that this wait is at most, as far as upstreams report the time
/// of work: 120 ms are right for prompts of 330 ms. With short prompts they
/// keep work at the own subset, however much faster or emptier others are.
constexpr double kOtherSubsetPrefills = 0.36;

/// Weight of the newest prompt in the mean prefill and the mean tokens.
constexpr double kPrefillSmoothing = 0.05;

/// Time after a pause over which the requests to the upstream rise to its
/// slots.
constexpr Duration kReturnRamp = std::chrono::milliseconds(500);

/// Expected time to the first event on an idle upstream without a prompt; grows
/// with its slot utilization.
constexpr double kPlainServiceMs = 30.0;

/// Age of the mean speed of a service's upstreams from which it is recomputed.
/// The speeds change with the samples of many requests.
constexpr Duration kMeanSpeedInterval = std::chrono::milliseconds(100);

/// Upstreams of usual speed that the mean is drawn towards while few of them
/// have samples.
constexpr double kPriorUpstreams = 1.0;

/// Samples from which the speed of an upstream counts fully in the mean.
constexpr double kFullSamples = 4.0;

Duration
FromMs(double aMs)
{
  constexpr double kMicros = 1'000.0;
  return Duration(static_cast<Duration::rep>(aMs * kMicros));
}

double
ToMs(Duration aTime)
{
  return std::chrono::duration<double, std::milli>(aTime).count();
}

} // namespace

UpstreamSelector::UpstreamSelector(Options aOptions)
  : mOptions(std::move(aOptions))
  , mNotices(mOptions.mInstance)
  , mRandom(mOptions.mSeed)
  , mDomainPeers({ mOptions.mInstance })
{
}

void
UpstreamSelector::OnUpstreams(
  const std::vector<ingress::UpstreamEntry>& aEntries,
  TimePoint aNow)
{
  mNotices.OnUpstreams(aEntries, aNow);
  std::set<std::string_view> present;
  for (const auto& entry : aEntries) {
    present.insert(entry.mId);
    ApplyEntry(mStates[entry.mId], entry, !mHasUpstreamList, aNow);
  }
  std::erase_if(mStates, [&](const auto& aState) {
    return !present.contains(aState.first);
  });
  mHasUpstreamList = true;
  UpdateOwnSubset();
}

void
UpstreamSelector::UpdateOwnSubset()
{
  std::map<std::pair<std::string_view, std::string_view>,
           std::vector<std::string>>
    groups;
  for (auto& state : mStates | std::views::values) {
    const auto& entry = state.mEntry;
    state.mIsInOwnSubset = false;
    const bool isEligible = entry.mDomain == mOptions.mDomain && IsReady(state);
    if (isEligible) {
      groups[{ entry.mService, entry.mVersion }].push_back(entry.mId);
    }
  }
  UpdateShared();
  for (const auto& upstreams : groups | std::views::values) {
    for (const auto& id :
         SubsetOf(mOptions.mInstance, mDomainPeers, upstreams)) {
      auto& state = mStates.find(id)->second;
      state.mIsInOwnSubset = true;
      // all instances use all upstreams where they outnumber them
      state.mSubsetSharers = upstreams.size() < mDomainPeers.size()
                               ? static_cast<int>(mDomainPeers.size())
                               : 1;
    }
  }
}

void
UpstreamSelector::UpdateShared()
{
  struct Sizes
  {
    std::size_t mOwn = 0; ///< in the failure domain of this instance
    std::size_t mAll = 0;
  };
  std::map<std::pair<std::string_view, std::string_view>, Sizes> groups;
  for (const auto& state : mStates | std::views::values) {
    if (IsReady(state)) {
      auto& sizes = groups[{ state.mEntry.mService, state.mEntry.mVersion }];
      ++sizes.mAll;
      sizes.mOwn += state.mEntry.mDomain == mOptions.mDomain ? 1 : 0;
    }
  }
  for (auto& state : mStates | std::views::values) {
    const auto& sizes =
      groups[{ state.mEntry.mService, state.mEntry.mVersion }];
    state.mIsShared = sizes.mOwn > 0
                        ? sizes.mOwn < mDomainPeers.size()
                        : std::cmp_less(sizes.mAll, mInstanceCount);
  }
}

void
UpstreamSelector::ApplyEntry(State& aState,
                             const ingress::UpstreamEntry& aEntry,
                             bool aIsFirstList,
                             TimePoint aNow) const
{
  const bool isNew = aState.mEntry.mId.empty();
  const bool isRestarted =
    !isNew && aState.mEntry.mStartedAtMs != aEntry.mStartedAtMs;
  if (isRestarted) {
    aState.mHealth.Reset();
    aState.mCache.Clear();
    aState.mSpeed.Reset(); // it may run on another machine
    aState.mLimit.Reset();
  }
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(aEntry.mService) : nullptr;
  auto cold = aEntry.mColdRemaining;
  if (service != nullptr) {
    if (service->mEngine) {
      const auto tokens =
        static_cast<double>(service->mEngine->mCapacityTokens);
      aState.mCache.SetCapacity(
        static_cast<std::int64_t>(tokens * kPrefixCacheFraction));
    }
    if (isRestarted || (isNew && !aIsFirstList)) {
      cold = std::max(cold, service->mColdStart);
    }
  }
  const bool isChanged = isNew || !(aState.mEntry == aEntry);
  aState.mEntry = aEntry;
  ApplyNotice(aState, aNow);
  if (isChanged && cold > Duration::zero()) {
    BeginColdStart(aState, cold, aNow);
  }
}

void
UpstreamSelector::ApplyNotice(State& aState, TimePoint aNow) const
{
  aState.mNotice = mNotices.Of(aState.mEntry);
  if (!aState.mNotice.mMaxRate) {
    aState.mRateShare.reset();
  } else if (!aState.mRateShare) {
    aState.mRateShare.emplace(aNow);
  }
}

RateLimit
UpstreamSelector::RateLimitOf(const State& aState) const
{
  const auto& id = aState.mEntry.mId;
  return { .mPerSecond = aState.mNotice.mMaxRate.value_or(kMinMaxRate),
           .mInstances = mInstanceCount,
           .mPhase = XXH3_64bits_withSeed(mOptions.mInstance.data(),
                                          mOptions.mInstance.size(),
                                          XXH3_64bits(id.data(), id.size())) };
}

TimePoint
UpstreamSelector::NextSendTime(const State& aState, TimePoint aNow) const
{
  const auto from = std::max(aNow, aState.mNotice.mPausedUntil);
  return aState.mRateShare
           ? aState.mRateShare->NextOpening(RateLimitOf(aState), from)
           : from;
}

bool
UpstreamSelector::IsWithinRate(const State& aState, TimePoint aNow) const
{
  return !aState.mRateShare ||
         aState.mRateShare->IsOpen(RateLimitOf(aState), aNow);
}

Duration
UpstreamSelector::ColdRequestInterval(std::string_view aService) const
{
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(aService) : nullptr;
  if (service == nullptr || service->mMaxColdRequestsPerSecond <= 0.0) {
    return Duration::zero();
  }
  constexpr double kMicros = 1e6;
  return Duration(static_cast<Duration::rep>(
    mInstanceCount / service->mMaxColdRequestsPerSecond * kMicros));
}

void
UpstreamSelector::BeginColdStart(State& aState,
                                 Duration aTime,
                                 TimePoint aNow) const
{
  aState.mColdUntil = std::max(aState.mColdUntil, aNow + aTime);
  // an offset by hash spreads the first requests of the instances, as all of
  // them discover the upstream at the same time
  const auto interval = ColdRequestInterval(aState.mEntry.mService);
  if (interval > Duration::zero()) {
    const auto offset =
      XXH3_64bits_withSeed(
        mOptions.mInstance.data(),
        mOptions.mInstance.size(),
        XXH3_64bits(aState.mEntry.mId.data(), aState.mEntry.mId.size())) %
      static_cast<std::uint64_t>(interval.count());
    aState.mNextColdRequestAt =
      std::max(aState.mNextColdRequestAt,
               aNow + Duration(static_cast<Duration::rep>(offset)));
  }
}

void
UpstreamSelector::OnConfiguration(ingress::ConfigurationPtr aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
  for (auto& state : mStates | std::views::values) {
    const auto* const service =
      mConfiguration->FindService(state.mEntry.mService);
    if (service != nullptr && service->mEngine) {
      const auto tokens =
        static_cast<double>(service->mEngine->mCapacityTokens);
      state.mCache.SetCapacity(
        static_cast<std::int64_t>(tokens * kPrefixCacheFraction));
    }
  }
}

void
UpstreamSelector::SetDrained(const std::set<std::string>& aDomains)
{
  mDrainedDomains = { aDomains.begin(), aDomains.end() };
}

void
UpstreamSelector::SetInstances(
  const std::vector<membership::InstanceLocation>& aInstances)
{
  // this instance may not be registered yet
  mDomainPeers = { mOptions.mInstance };
  for (const auto& instance : aInstances) {
    if (instance.mFailureDomain == mOptions.mDomain) {
      mDomainPeers.insert(instance.mName);
    }
  }
  UpdateOwnSubset();
}

void
UpstreamSelector::SetInstanceCount(int aCount)
{
  mInstanceCount = aCount;
  UpdateShared();
}

bool
UpstreamSelector::HasShared(std::string_view aService) const
{
  return std::ranges::any_of(
    mStates | std::views::values, [&](const State& aState) {
      return aState.mIsShared && aState.mEntry.mService == aService;
    });
}

void
UpstreamSelector::SetInstanceShares(const std::vector<InstanceShare>& aShares,
                                    TimePoint aNow)
{
  for (auto& [name, service] : mServices) {
    const auto found =
      std::ranges::find(aShares, name, &InstanceShare::mService);
    if (found == aShares.end() || !HasShared(name)) {
      service.mPaced.reset();
    }
  }
  for (const auto& share : aShares) {
    if (!HasShared(share.mService)) {
      continue;
    }
    auto& paced = ServiceOf(share.mService).mPaced;
    if (!paced) {
      paced.emplace(aNow);
    }
    paced->SetShare(share.mPerSecond);
  }
}

std::vector<const UpstreamSelector::State*>
UpstreamSelector::AvailableFor(const PlacementQuery& aQuery,
                               TimePoint aNow) const
{
  std::vector<const State*> available;
  std::vector<const State*> avoided;
  const auto reach = ReachOf(aQuery, aNow);
  for (const auto& state : mStates | std::views::values) {
    const bool isAvailable =
      IsCandidate(state, aQuery) && !IsPausing(state, aNow) &&
      HasRoom(state, reach, aNow) && IsWithinRate(state, aNow) &&
      IsWithinColdRate(state, aNow);
    if (isAvailable) {
      const bool isAvoided =
        state.mHealth.IsAvoided(aNow) || IsPartitioned(state, aQuery, aNow);
      (isAvoided ? avoided : available).push_back(&state);
    }
  }
  PreferFreeMemory(available, aQuery, aNow);
  // an upstream that failed recently is better than none
  return available.empty() ? avoided : available;
}

void
UpstreamSelector::PreferFreeMemory(std::vector<const State*>& aAvailable,
                                   const PlacementQuery& aQuery,
                                   TimePoint aNow) const
{
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(aQuery.mService) : nullptr;
  const auto known = mServices.find(aQuery.mService);
  const bool isBounded =
    mOptions.mOverloadControl && service != nullptr && service->mEngine &&
    service->mEngine->mCapacityTokens > 0 && known != mServices.end();
  if (!isBounded) {
    return;
  }
  const auto capacity = static_cast<double>(service->mEngine->mCapacityTokens);
  std::vector<ingress::PromptPart> prefixes;
  const auto full =
    std::ranges::partition(aAvailable, [&](const State* aState) {
      const double others = RunningRequests(*aState, aNow) - aState->mInFlight;
      const double held = static_cast<double>(aState->mTokens) +
                          others * known->second.mRequestTokens;
      const auto free = static_cast<std::int64_t>(capacity - held);
      const auto tokens = TokensOf(aQuery);
      if (tokens <= free || aQuery.mPrompt == nullptr) {
        return tokens <= free;
      }
      if (prefixes.empty()) {
        prefixes = PrefixHashesOf(*aQuery.mPrompt, aQuery.mModel);
      }
      const auto cached =
        std::min(aQuery.mPromptTokens, aState->mCache.CachedTokens(prefixes));
      return tokens - cached <= free;
    });
  if (full.size() < aAvailable.size()) {
    aAvailable.erase(full.begin(), full.end());
  }
}

std::optional<Choice>
UpstreamSelector::Choose(const PlacementQuery& aQuery, TimePoint aNow)
{
  auto available = AvailableFor(aQuery, aNow);
  if (available.empty()) {
    return std::nullopt;
  }
  UpdateMeanSpeed(aQuery.mService, aNow);
  const auto others = std::ranges::partition(
    available, [](const State* aState) { return aState->mIsInOwnSubset; });
  const auto own = std::span(available).first(available.size() - others.size());
  std::vector<const State*> compared;
  std::ranges::sample(
    own, std::back_inserter(compared), mOptions.mOwnSampleSize, mRandom);
  std::ranges::sample(
    others, std::back_inserter(compared), mOptions.mOtherSampleSize, mRandom);
  const auto meanRunning = MeanRunning(aQuery.mService, aNow);
  std::optional<Choice> best;
  if (const auto* const owner = OwnerOf(aQuery, available)) {
    best = EstimateOwner(*owner, aQuery, meanRunning, aNow);
  }
  for (const auto* const state : compared) {
    auto choice = Estimate(*state, aQuery, meanRunning, aNow);
    if (!best || choice.mTimeToFirstEvent < best->mTimeToFirstEvent) {
      best = choice;
    }
  }
  if (best) {
    best->mIsPaced = mStates.find(best->mUpstream->mId)->second.mIsShared &&
                     IsCovered(aQuery, aNow);
  }
  return best;
}

NoChoiceReason
UpstreamSelector::ExplainNoChoice(const PlacementQuery& aQuery,
                                  TimePoint aNow) const
{
  auto reason = NoChoiceReason::NoUpstream;
  const auto reach = ReachOf(aQuery, aNow);
  for (const auto& state : mStates | std::views::values) {
    if (!IsCandidate(state, aQuery)) {
      continue;
    }
    if (IsPausing(state, aNow)) {
      reason = std::max(reason, NoChoiceReason::AllPausing);
      continue;
    }
    if (!HasRoom(state, reach, aNow)) {
      return NoChoiceReason::AllFull;
    }
    reason = std::max(reason,
                      IsWithinRate(state, aNow) ? NoChoiceReason::AllCold
                                                : NoChoiceReason::AllLimited);
  }
  return reason;
}

std::optional<TimePoint>
UpstreamSelector::EarliestReturn(const PlacementQuery& aQuery,
                                 TimePoint aNow) const
{
  std::optional<TimePoint> earliest;
  for (const auto& state : mStates | std::views::values) {
    if (!IsCandidate(state, aQuery)) {
      continue;
    }
    const auto next = NextSendTime(state, aNow);
    if (next <= aNow) {
      return std::nullopt;
    }
    earliest = std::min(earliest.value_or(next), next);
  }
  return earliest;
}

bool
UpstreamSelector::MaySend(std::string_view aUpstream, TimePoint aNow) const
{
  const auto found = mStates.find(aUpstream);
  return found != mStates.end() && IsReady(found->second) &&
         !IsPausing(found->second, aNow) &&
         !mDrainedDomains.contains(found->second.mEntry.mDomain);
}

Reservation
UpstreamSelector::Reserve(const Choice& aChoice,
                          const PlacementQuery& aQuery,
                          TimePoint aNow)
{
  auto& state = mStates.find(aChoice.mUpstream->mId)->second;
  const auto costFactor = ModelCostFactor(aQuery.mService, aQuery.mModel);
  Reservation reservation{ .mUpstream = state.mEntry.mId,
                           .mModel = std::string(aQuery.mModel),
                           .mPrefillMs =
                             static_cast<double>(aChoice.mPrefillTokens) /
                             mOptions.mPrefillTokensPerMs * costFactor,
                           .mDecodeWeight = costFactor,
                           .mSentAt = aNow,
                           .mUsualWork = aChoice.mUsualWork,
                           .mTimeFactor = state.mSpeed.MomentaryFactor(aNow),
                           .mIsPaced = aChoice.mIsPaced };
  mDomainHealth.OnSent(state.mEntry.mDomain, aNow);
  state.mLimit.OnSent(LimitBounds(state), aNow);
  if (!state.mIsInOwnSubset) {
    auto& service = ServiceOf(state.mEntry.mService);
    ++service.mOutsideInFlight;
    reservation.mIsOutside = true;
  }
  reservation.mService = state.mEntry.mService;
  auto& paced = ServiceOf(state.mEntry.mService).mPaced;
  if (aChoice.mIsPaced && paced) {
    paced->OnSent(aQuery.mCost, aQuery.mIsOverShare, aNow);
  }
  ++state.mInFlight;
  // prefixes that requests share are held once
  reservation.mTokens = TokensOf(aQuery) - aChoice.mCachedTokens;
  state.mTokens += reservation.mTokens;
  state.mPrefillMs += reservation.mPrefillMs;
  state.mDecodeWeight += reservation.mDecodeWeight;
  if (aQuery.mPrompt != nullptr) {
    auto& service = ServiceOf(aQuery.mService);
    service.mPrefillMs +=
      kPrefillSmoothing * (reservation.mPrefillMs - service.mPrefillMs);
    const auto tokens = static_cast<double>(reservation.mTokens);
    service.mRequestTokens =
      service.mRequestTokens <= 0.0
        ? tokens
        : service.mRequestTokens +
            kPrefillSmoothing * (tokens - service.mRequestTokens);
    mPrefillLoads[state.mEntry.mService].OnSent(
      ScaledPrefillMs(state, reservation.mPrefillMs, aNow), aNow);
    state.mCache.Touch(PrefixHashesOf(*aQuery.mPrompt, aQuery.mModel));
  }
  if (state.mRateShare) {
    state.mRateShare->OnSent(RateLimitOf(state), aNow);
  }
  if (aNow < state.mColdUntil) {
    state.mNextColdRequestAt = std::max(state.mNextColdRequestAt, aNow) +
                               ColdRequestInterval(aQuery.mService);
  }
  return reservation;
}

void
UpstreamSelector::OnFirstEvent(Reservation& aReservation, TimePoint aNow)
{
  const auto found = mStates.find(aReservation.mUpstream);
  if (aReservation.mIsInPrefill && found != mStates.end()) {
    auto& prefillMs = found->second.mPrefillMs;
    prefillMs = std::max(0.0, prefillMs - aReservation.mPrefillMs);
    found->second.mSpeed.OnSample(aNow - aReservation.mSentAt,
                                  aReservation.mUsualWork,
                                  aReservation.mTimeFactor,
                                  aNow);
  }
  aReservation.mIsInPrefill = false;
}

void
UpstreamSelector::Release(Reservation& aReservation)
{
  if (std::exchange(aReservation.mIsOutside, false)) {
    auto& inFlight = ServiceOf(aReservation.mService).mOutsideInFlight;
    inFlight = std::max(0, inFlight - 1);
  }
  const auto found = mStates.find(aReservation.mUpstream);
  if (found == mStates.end()) {
    return;
  }
  auto& state = found->second;
  state.mInFlight = std::max(0, state.mInFlight - 1);
  state.mTokens = std::max<std::int64_t>(
    0, state.mTokens - std::exchange(aReservation.mTokens, 0));
  state.mDecodeWeight =
    std::max(0.0, state.mDecodeWeight - aReservation.mDecodeWeight);
  if (aReservation.mIsInPrefill) {
    state.mPrefillMs =
      std::max(0.0, state.mPrefillMs - aReservation.mPrefillMs);
  }
  if (state.mInFlight == 0) {
    state.mPrefillMs = 0.0;
    state.mDecodeWeight = 0.0;
    state.mTokens = 0;
  }
}

LimitChange
UpstreamSelector::OnReportedLoad(std::string_view aUpstream,
                                 const ingress::ReportedLoad& aLoad,
                                 TimePoint aSentAt,
                                 TimePoint aNow)
{
  const auto found = mStates.find(aUpstream);
  if (found == mStates.end()) {
    return LimitChange::None;
  }
  auto& state = found->second;
  state.mReportedLoad = aLoad;
  state.mReportedAt = aNow;
  state.mInFlightAtReport = state.mInFlight;
  if (aLoad.mTimeFactor) {
    state.mSpeed.OnReport(*aLoad.mTimeFactor, aNow);
  }
  if (!mOptions.mOverloadControl) {
    return LimitChange::None;
  }
  const int waiting = WaitingFor(state);
  if (!state.mIsInOwnSubset) {
    auto& service = ServiceOf(state.mEntry.mService);
    service.mOutsideLimit.OnReport(
      aLoad.mWaiting > 0, service.mOutsideInFlight, aNow);
  }
  return state.mLimit.OnReport(
    waiting, state.mInFlight, aSentAt, LimitBounds(state), aNow);
}

LimitChange
UpstreamSelector::OnRejected(std::string_view aUpstream,
                             TimePoint aSentAt,
                             TimePoint aNow)
{
  const auto found = mStates.find(aUpstream);
  if (!mOptions.mOverloadControl || found == mStates.end()) {
    return LimitChange::None;
  }
  auto& state = found->second;
  if (!state.mIsInOwnSubset) {
    auto& service = ServiceOf(state.mEntry.mService);
    service.mOutsideLimit.OnReport(true, service.mOutsideInFlight, aNow);
  }
  return state.mLimit.OnRejected(aSentAt, LimitBounds(state), aNow);
}

bool
UpstreamSelector::OnPacedRejection(const Reservation& aReservation,
                                   TimePoint aNow)
{
  const auto found = mServices.find(aReservation.mService);
  if (!aReservation.mIsPaced || found == mServices.end()) {
    return false;
  }
  auto& paced = found->second.mPaced;
  return paced && paced->OnRejected(aReservation.mSentAt, aNow);
}

std::optional<double>
UpstreamSelector::PacedRate(std::string_view aService, TimePoint aNow) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return std::nullopt;
  }
  const auto& paced = found->second.mPaced;
  return paced ? std::optional(paced->Rate(aNow)) : std::nullopt;
}

bool
UpstreamSelector::OnLeaving(const ingress::UpstreamEntry& aUpstream,
                            TimePoint aNow)
{
  const bool isNews = mNotices.OnLeaving(aUpstream, aNow);
  const auto found = mStates.find(aUpstream.mId);
  if (isNews && found != mStates.end()) {
    ApplyNotice(found->second, aNow);
    UpdateOwnSubset();
  }
  return isNews;
}

UpstreamNotices::Pause
UpstreamSelector::OnPause(const ingress::UpstreamEntry& aUpstream,
                          double aSeconds,
                          TimePoint aNow)
{
  const auto pause = mNotices.OnPause(aUpstream, aSeconds, aNow);
  const auto found = mStates.find(aUpstream.mId);
  if (found != mStates.end()) {
    ApplyNotice(found->second, aNow);
  }
  return pause;
}

bool
UpstreamSelector::OnMaxRate(const ingress::UpstreamEntry& aUpstream,
                            std::optional<double> aMaxRate,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  const bool isChanged = mNotices.OnMaxRate(aUpstream, aMaxRate, aSentAt, aNow);
  const auto found = mStates.find(aUpstream.mId);
  if (isChanged && found != mStates.end()) {
    ApplyNotice(found->second, aNow);
  }
  return isChanged;
}

void
UpstreamSelector::OnOutcome(std::string_view aUpstream,
                            AttemptHealth aHealth,
                            TimePoint aNow)
{
  const auto found = mStates.find(aUpstream);
  if (found == mStates.end()) {
    return;
  }
  auto& state = found->second;
  state.mHealth.OnOutcome(aHealth, aNow);
  const bool hasTimedOut =
    aHealth == AttemptHealth::TimedOut || aHealth == AttemptHealth::Unreachable;
  if (hasTimedOut) {
    mDomainHealth.OnTimeout(state.mEntry.mDomain, aUpstream, aNow);
  } else {
    mDomainHealth.OnResponse(state.mEntry.mDomain);
  }
  // the upstream may have crashed and restarted before its new entry arrives
  const bool mayHaveRestarted = hasTimedOut ||
                                aHealth == AttemptHealth::Broken ||
                                aHealth == AttemptHealth::Refused;
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(state.mEntry.mService)
                   : nullptr;
  if (mayHaveRestarted && service != nullptr &&
      service->mColdStart > Duration::zero()) {
    BeginColdStart(state, service->mColdStart, aNow);
  }
}

const ingress::UpstreamEntry*
UpstreamSelector::Find(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? nullptr : &found->second.mEntry;
}

int
UpstreamSelector::InFlight(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? 0 : found->second.mInFlight;
}

std::optional<double>
UpstreamSelector::ReportedTimeFactor(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? std::nullopt
                                : found->second.mReportedLoad.mTimeFactor;
}

int
UpstreamSelector::VersionSize(const ingress::UpstreamEntry& aUpstream) const
{
  return static_cast<int>(std::ranges::count_if(
    mStates | std::views::values, [&](const auto& aState) {
      return aState.mEntry.mService == aUpstream.mService &&
             aState.mEntry.mVersion == aUpstream.mVersion && IsReady(aState);
    }));
}

int
UpstreamSelector::LimitOf(std::string_view aUpstream, TimePoint aNow) const
{
  const auto found = mStates.find(aUpstream);
  if (found == mStates.end()) {
    return 0;
  }
  const auto& state = found->second;
  return mOptions.mOverloadControl
           ? state.mLimit.Value(LimitBounds(state), aNow)
           : state.mEntry.mSlots;
}

std::vector<SpeedSummary>
UpstreamSelector::SpeedSummaries(TimePoint aNow) const
{
  std::map<std::string_view, std::vector<double>> factors;
  for (const auto& state : mStates | std::views::values) {
    if (state.mSpeed.IsReported()) {
      const auto& service = state.mEntry.mService;
      factors[service].push_back(
        std::exp(state.mSpeed.LastingLog(MeanSpeedLog(service), aNow)) *
        state.mSpeed.MomentaryFactor(aNow));
    }
  }
  std::vector<SpeedSummary> summaries;
  for (auto& [service, values] : factors) {
    std::ranges::sort(values);
    summaries.push_back({ .mService = std::string(service),
                          .mMin = values.front(),
                          .mMedian = values[values.size() / 2],
                          .mMax = values.back() });
  }
  return summaries;
}

std::set<std::string>
UpstreamSelector::VersionsOf(std::string_view aService) const
{
  std::set<std::string> versions;
  for (const auto& state : mStates | std::views::values) {
    if (state.mEntry.mService == aService && IsReady(state)) {
      versions.insert(state.mEntry.mVersion);
    }
  }
  return versions;
}

double
UpstreamSelector::SlotUtilization(std::string_view aService,
                                  TimePoint aNow) const
{
  double running = 0.0;
  double slots = 0.0;
  for (const auto& state : mStates | std::views::values) {
    if (state.mEntry.mService == aService && IsReady(state) &&
        !mDrainedDomains.contains(state.mEntry.mDomain)) {
      running += RunningRequests(state, aNow);
      slots += state.mEntry.mSlots;
    }
  }
  return slots > 0.0 ? running / slots : 1.0;
}

double
UpstreamSelector::PrefillUtilization(std::string_view aService,
                                     TimePoint aNow) const
{
  const auto load = mPrefillLoads.find(aService);
  if (load == mPrefillLoads.end()) {
    return 0.0;
  }
  int own = 0;
  int all = 0;
  for (const auto& state : mStates | std::views::values) {
    const bool isServing = state.mEntry.mService == aService &&
                           IsReady(state) &&
                           !mDrainedDomains.contains(state.mEntry.mDomain) &&
                           !state.mHealth.IsAvoided(aNow);
    all += isServing ? 1 : 0;
    own += isServing && state.mIsInOwnSubset ? 1 : 0;
  }
  // an instance without a subset uses an equal fraction of all engines
  const double engines =
    own > 0 ? own : std::max(1.0, static_cast<double>(all) / mInstanceCount);
  return load->second.BusyEngines(aNow) / engines;
}

bool
UpstreamSelector::IsReady(const State& aState)
{
  return aState.mEntry.mState == ingress::UpstreamState::Ready &&
         !aState.mNotice.mIsLeaving;
}

bool
UpstreamSelector::IsCandidate(const State& aState,
                              const PlacementQuery& aQuery) const
{
  const auto& entry = aState.mEntry;
  return entry.mService == aQuery.mService && IsReady(aState) &&
         !mDrainedDomains.contains(entry.mDomain) &&
         (aQuery.mExcludedUpstreams == nullptr ||
          !aQuery.mExcludedUpstreams->contains(entry.mId)) &&
         (!aQuery.mAllowsVersion || aQuery.mAllowsVersion(entry.mVersion)) &&
         IsInRegions(aState, aQuery);
}

bool
UpstreamSelector::IsInRegions(const State& aState,
                              const PlacementQuery& aQuery) const
{
  if (aQuery.mRegions == nullptr || aQuery.mRegions->empty()) {
    return true;
  }
  const auto region = mOptions.mRegions.find(aState.mEntry.mDomain);
  return region != mOptions.mRegions.end() &&
         std::ranges::find(*aQuery.mRegions, region->second) !=
           aQuery.mRegions->end();
}

double
UpstreamSelector::RunningRequests(const State& aState, TimePoint aNow) const
{
  const double weight = ReportWeight(aState, aNow);
  double others = 0.0;
  if (weight > 0.0) {
    others = aState.mReportedLoad.mRunning + aState.mReportedLoad.mWaiting -
             aState.mInFlightAtReport;
  }
  return aState.mInFlight + std::max(0.0, others) * weight;
}

double
UpstreamSelector::ReportWeight(const State& aState, TimePoint aNow) const
{
  if (!mOptions.mOverloadControl) {
    return HasRecentReport(aState, aNow) ? 1.0 : 0.0;
  }
  if (aState.mReportedAt == TimePoint{}) {
    return 0.0;
  }
  using Seconds = std::chrono::duration<double>;
  const auto age = aNow - aState.mReportedAt;
  if (aState.mInFlight > 0) {
    return age <= kFullWeightAge
             ? 1.0
             : std::exp(-(Seconds(age - kFullWeightAge) / kReportDecayTime));
  }
  return std::clamp(Seconds(kMaxReportAge - age) /
                      Seconds(kMaxReportAge - kIdleFullWeightAge),
                    0.0,
                    1.0);
}

int
UpstreamSelector::WaitingFor(const State& aState)
{
  // the last slots belong to the instance whose subset it is in
  const auto& load = aState.mReportedLoad;
  const int kept = aState.mIsInOwnSubset ? 0 : 1;
  const int excess =
    load.mRunning + load.mWaiting + kept - aState.mEntry.mSlots;
  return std::max(load.mWaiting, kept > 0 ? excess : 0);
}

ConcurrencyLimit::Bounds
UpstreamSelector::LimitBounds(const State& aState)
{
  // low outside the own subset, where all other instances may send, too
  const int slots = std::max(1, aState.mEntry.mSlots);
  const int initial =
    aState.mIsInOwnSubset
      ? (slots + aState.mSubsetSharers - 1) / aState.mSubsetSharers
      : 1;
  return { .mInitial = initial,
           .mMax = slots,
           .mMayPause = !aState.mIsInOwnSubset };
}

bool
UpstreamSelector::HasRecentReport(const State& aState, TimePoint aNow) const
{
  return aNow < aState.mReportedAt + kMaxReportAge;
}

double
UpstreamSelector::MeanRunning(std::string_view aService, TimePoint aNow) const
{
  double running = 0.0;
  int upstreams = 0;
  for (const auto& state : mStates | std::views::values) {
    if (state.mEntry.mService == aService && HasRecentReport(state, aNow)) {
      running += RunningRequests(state, aNow);
      ++upstreams;
    }
  }
  return upstreams == 0 ? 0.0 : running / upstreams;
}

bool
UpstreamSelector::IsPausing(const State& aState, TimePoint aNow)
{
  return aNow < aState.mNotice.mPausedUntil;
}

int
UpstreamSelector::MaxInFlight(const State& aState, TimePoint aNow)
{
  const auto slots = aState.mEntry.mSlots;
  const auto sinceReturn = aNow - aState.mNotice.mPausedUntil;
  if (sinceReturn >= kReturnRamp) {
    return slots;
  }
  return std::min(slots,
                  1 + static_cast<int>(slots * sinceReturn / kReturnRamp));
}

bool
UpstreamSelector::HasFreeSlot(const State& aState, TimePoint aNow) const
{
  const bool isFree = RunningRequests(aState, aNow) < aState.mEntry.mSlots &&
                      aState.mInFlight < MaxInFlight(aState, aNow);
  if (!isFree || !mOptions.mOverloadControl) {
    return isFree;
  }
  return aState.mLimit.IsOpen(aNow) &&
         aState.mInFlight < aState.mLimit.Value(LimitBounds(aState), aNow);
}

bool
UpstreamSelector::IsCovered(const PlacementQuery& aQuery, TimePoint aNow) const
{
  const auto found = mServices.find(aQuery.mService);
  if (found == mServices.end()) {
    return false;
  }
  const auto& paced = found->second.mPaced;
  return paced && paced->Covers(aQuery.mIsOverShare, aNow);
}

UpstreamSelector::Reach
UpstreamSelector::ReachOf(const PlacementQuery& aQuery, TimePoint aNow) const
{
  return { .mIsCovered = IsCovered(aQuery, aNow),
           .mMayUseOutside = MayUseOutside(aQuery.mService, aNow) };
}

bool
UpstreamSelector::HasRoom(const State& aState,
                          const Reach& aReach,
                          TimePoint aNow) const
{
  if (aReach.mIsCovered && aState.mIsShared) {
    // a pause that the upstream asked for ends gradually in any case
    const bool isReturning = aNow - aState.mNotice.mPausedUntil < kReturnRamp;
    return !isReturning || aState.mInFlight < MaxInFlight(aState, aNow);
  }
  return (aState.mIsInOwnSubset || aReach.mMayUseOutside) &&
         HasFreeSlot(aState, aNow);
}

bool
UpstreamSelector::IsPartitioned(const State& aState,
                                const PlacementQuery& aQuery,
                                TimePoint aNow) const
{
  const auto& domain = aState.mEntry.mDomain;
  return mDomainHealth.IsSuspected(domain) &&
         !(aQuery.mMayRetry && mDomainHealth.IsProbeDue(domain, aNow));
}

bool
UpstreamSelector::IsWithinColdRate(const State& aState, TimePoint aNow) const
{
  return aNow >= aState.mColdUntil || aNow >= aState.mNextColdRequestAt;
}

double
UpstreamSelector::ModelCostFactor(std::string_view aService,
                                  std::string_view aModel) const
{
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(aService) : nullptr;
  if (service == nullptr || !service->mEngine) {
    return 1.0;
  }
  // models are ordered by size: smallest, medium ones, largest
  const auto& models = service->mEngine->mModels;
  const auto found =
    std::ranges::find(models, aModel, &ingress::EngineModel::mName);
  constexpr double kSmallestFactor = 0.3;
  constexpr double kLargestFactor = 3.0;
  const auto rank = std::distance(models.begin(), found);
  const auto last = std::ssize(models) - 1;
  if (found == models.end() || last <= 0) {
    return 1.0;
  }
  return rank == 0 ? kSmallestFactor : rank == last ? kLargestFactor : 1.0;
}

double
UpstreamSelector::OtherSubsetMs(const State& aState) const
{
  const auto found = mServices.find(aState.mEntry.mService);
  if (!aState.mSpeed.IsReported() || found == mServices.end()) {
    return kOtherSubsetPrefillMs;
  }
  return std::min(kOtherSubsetPrefillMs,
                  kOtherSubsetPrefills * found->second.mPrefillMs);
}

double
UpstreamSelector::MeanSpeedLog(std::string_view aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? 0.0 : found->second.mSpeedLog;
}

bool
UpstreamSelector::MayUseOutside(std::string_view aService, TimePoint aNow) const
{
  const auto found = mServices.find(aService);
  return !mOptions.mOverloadControl || found == mServices.end() ||
         found->second.mOutsideInFlight <
           found->second.mOutsideLimit.Value(aNow);
}

UpstreamSelector::ServiceState&
UpstreamSelector::ServiceOf(std::string_view aService)
{
  const auto found = mServices.find(aService);
  return found != mServices.end()
           ? found->second
           : mServices.try_emplace(std::string(aService)).first->second;
}

void
UpstreamSelector::UpdateMeanSpeed(std::string_view aService, TimePoint aNow)
{
  auto& service = ServiceOf(aService);
  if (aNow < service.mComputedAt + kMeanSpeedInterval) {
    return;
  }
  double sum = 0.0;
  double weights = kPriorUpstreams;
  for (const auto& state : mStates | std::views::values) {
    if (state.mSpeed.IsReported() && state.mEntry.mService == aService) {
      const double weight =
        std::min(1.0, state.mSpeed.SampleWeight(aNow) / kFullSamples);
      sum += weight * state.mSpeed.MeanSampleLog();
      weights += weight;
    }
  }
  service.mSpeedLog = sum / weights;
  service.mComputedAt = aNow;
}

double
UpstreamSelector::ScaledPrefillMs(const State& aState,
                                  double aPrefillMs,
                                  TimePoint aNow) const
{
  if (!aState.mSpeed.IsReported()) {
    return aPrefillMs;
  }
  // relative to the mean, which the prefill rate stands for
  const double meanLog = MeanSpeedLog(aState.mEntry.mService);
  return ToMs(aState.mSpeed.Scale(
    FromMs(aPrefillMs * std::exp(-meanLog)), meanLog, aNow));
}

void
UpstreamSelector::SetExpectedTimes(Choice& aChoice,
                                   const State& aState,
                                   const ExpectedTimes& aUsual,
                                   TimePoint aNow) const
{
  aChoice.mUsualWork = aUsual.mWork;
  aChoice.mIsSpeedReported = aState.mSpeed.IsReported();
  aChoice.mUsualTimeToFirstEvent = aUsual.mWork + aUsual.mOther;
  aChoice.mTimeToFirstEvent =
    aState.mSpeed.Scale(
      aUsual.mWork, MeanSpeedLog(aState.mEntry.mService), aNow) +
    aUsual.mOther;
}

Choice
UpstreamSelector::Estimate(const State& aState,
                           const PlacementQuery& aQuery,
                           double aMeanRunning,
                           TimePoint aNow) const
{
  const auto& entry = aState.mEntry;
  Choice choice{ .mUpstream = &aState.mEntry };
  double workMs = 0.0;
  double otherMs = 0.0;
  const auto own = RunningRequests(aState, aNow);
  const auto running =
    HasRecentReport(aState, aNow) ? own : std::max(own, aMeanRunning);
  if (aQuery.mPrompt != nullptr) {
    const auto cached = aState.mCache.CachedTokens(
      PrefixHashesOf(*aQuery.mPrompt, aQuery.mModel));
    choice.mCachedTokens = std::min(cached, aQuery.mPromptTokens);
    choice.mPrefillTokens = aQuery.mPromptTokens - choice.mCachedTokens;
    const double prefillMs = static_cast<double>(choice.mPrefillTokens) /
                             mOptions.mPrefillTokensPerMs *
                             ModelCostFactor(aQuery.mService, aQuery.mModel);
    workMs = kIdleEngineMs + prefillMs + aState.mPrefillMs +
             running * kMsPerRunningRequest;
    otherMs = aState.mIsInOwnSubset ? 0.0 : OtherSubsetMs(aState);
  } else {
    const double utilization = running / std::max(1, entry.mSlots);
    workMs = kPlainServiceMs * (1.0 + utilization);
  }
  otherMs += entry.mDomain == mOptions.mDomain ? 0.0 : kOtherDomainPenaltyMs;
  otherMs += aState.mHealth.FailureRate() * kFailureCostMs;
  SetExpectedTimes(choice, aState, { FromMs(workMs), FromMs(otherMs) }, aNow);
  return choice;
}

const UpstreamSelector::State*
UpstreamSelector::OwnerOf(const PlacementQuery& aQuery,
                          const std::vector<const State*>& aAvailable)
{
  if (aQuery.mPrompt == nullptr || aQuery.mPrompt->size() < 2) {
    return nullptr;
  }
  // the last part is unique to the request; the one before is its subject
  const auto subject = aQuery.mPrompt->rbegin()[1].mId;
  return std::ranges::max(aAvailable, {}, [&](const State* aState) {
    return XXH3_64bits_withSeed(
      aState->mEntry.mId.data(), aState->mEntry.mId.size(), subject);
  });
}

Choice
UpstreamSelector::EstimateOwner(const State& aOwner,
                                const PlacementQuery& aQuery,
                                double aMeanRunning,
                                TimePoint aNow) const
{
  auto choice = Estimate(aOwner, aQuery, aMeanRunning, aNow);
  const auto subject =
    std::min(choice.mPrefillTokens, aQuery.mPrompt->rbegin()[1].mTokens);
  const double prefillMs = static_cast<double>(subject) /
                           mOptions.mPrefillTokensPerMs *
                           ModelCostFactor(aQuery.mService, aQuery.mModel);
  const auto saved = FromMs(prefillMs * kOwnerCachedFraction);
  const auto other = choice.mUsualTimeToFirstEvent - choice.mUsualWork;
  SetExpectedTimes(choice, aOwner, { choice.mUsualWork - saved, other }, aNow);
  return choice;
}

} // namespace figslip::placement
