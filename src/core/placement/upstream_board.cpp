#include <figslip/placement/subset.hpp>
#include <figslip/placement/upstream_board.hpp>

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <span>
#include <utility>

namespace figslip::placement {

namespace {

/// Age from which a stated load is ignored.
constexpr Duration kLoadAge = std::chrono::milliseconds(1500);

/// Part of an engine's memory that holds cached prefixes under load.
constexpr double kCachePart = 0.6;

/// Expected cost of one more running request for all others, ms.
constexpr double kRunningMs = 4.0;

/// Expected time to the first event of an idle engine, ms.
constexpr double kBaseMs = 12.0;

/// Penalty of an upstream in another failure domain, ms.
constexpr double kOtherDomainMs = 6.0;

/// Expected loss by a failed attempt, ms, times the failure rate.
constexpr double kFailureMs = 2'000.0;

/// Part of the subject of a prompt that its home is expected to keep.
constexpr double kHomePart = 0.7;

/// Expected wait for the prompts that another instance has queued at one of its
/// engines, ms.
constexpr double kOthersReadingMs = 120.0;

/// Reported running requests that a plain service counts as one slot.
constexpr double kPlainSlotMs = 30.0;

Duration
FromMs(double aMs)
{
  constexpr double kMicros = 1'000.0;
  return Duration(static_cast<Duration::rep>(aMs * kMicros));
}

} // namespace

UpstreamBoard::UpstreamBoard(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
  , mNeighbours({ mOptions.mInstance })
{
}

void
UpstreamBoard::OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries,
                           TimePoint aNow)
{
  std::set<std::string_view> present;
  for (const auto& entry : aEntries) {
    present.insert(entry.mId);
    Admit(mStates[entry.mId], entry, !mHasList, aNow);
  }
  std::erase_if(mStates, [&](const auto& aState) {
    return !present.contains(aState.first);
  });
  mHasList = true;
  Divide();
}

void
UpstreamBoard::Divide()
{
  std::map<std::pair<std::string_view, std::string_view>,
           std::vector<std::string>>
    groups;
  for (auto& state : mStates | std::views::values) {
    const auto& entry = state.mEntry;
    state.mIsOwn = false;
    const bool isShared = entry.mDomain == mOptions.mDomain &&
                          entry.mState == ingress::UpstreamState::Ready;
    if (isShared) {
      groups[{ entry.mService, entry.mVersion }].push_back(entry.mId);
    }
  }
  for (const auto& upstreams : groups | std::views::values) {
    for (const auto& id :
         SubsetOf(mOptions.mInstance, mNeighbours, upstreams)) {
      mStates.find(id)->second.mIsOwn = true;
    }
  }
}

void
UpstreamBoard::Admit(State& aState,
                     const ingress::UpstreamEntry& aEntry,
                     bool aIsFirstList,
                     TimePoint aNow) const
{
  const bool isNew = aState.mEntry.mId.empty();
  const bool isReborn =
    !isNew && aState.mEntry.mStartedAtMs != aEntry.mStartedAtMs;
  if (isReborn) {
    aState.mHealth.Reset();
    aState.mCache.Clear();
  }
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(aEntry.mService) : nullptr;
  auto cold = aEntry.mColdRemaining;
  if (service != nullptr) {
    if (service->mEngine) {
      const auto tokens =
        static_cast<double>(service->mEngine->mCapacityTokens);
      aState.mCache.SetCapacity(static_cast<std::int64_t>(tokens * kCachePart));
    }
    if (isReborn || (isNew && !aIsFirstList)) {
      cold = std::max(cold, service->mColdStart);
    }
  }
  const bool isNews = isNew || !(aState.mEntry == aEntry);
  aState.mEntry = aEntry;
  if (isNews && cold > Duration::zero()) {
    BeginCold(aState, cold, aNow);
  }
}

Duration
UpstreamBoard::ColdInterval(std::string_view aService) const
{
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(aService) : nullptr;
  if (service == nullptr || service->mColdPerSecond <= 0.0) {
    return Duration::zero();
  }
  constexpr double kMicros = 1e6;
  return Duration(
    static_cast<Duration::rep>(mInstances / service->mColdPerSecond * kMicros));
}

void
UpstreamBoard::BeginCold(State& aState, Duration aTime, TimePoint aNow) const
{
  aState.mColdUntil = std::max(aState.mColdUntil, aNow + aTime);
  // the instances take turns, as all of them see the upstream at once
  const auto interval = ColdInterval(aState.mEntry.mService);
  if (interval > Duration::zero()) {
    const auto turn =
      XXH3_64bits_withSeed(
        mOptions.mInstance.data(),
        mOptions.mInstance.size(),
        XXH3_64bits(aState.mEntry.mId.data(), aState.mEntry.mId.size())) %
      static_cast<std::uint64_t>(interval.count());
    aState.mNextCold = std::max(
      aState.mNextCold, aNow + Duration(static_cast<Duration::rep>(turn)));
  }
}

void
UpstreamBoard::OnConfiguration(ingress::ConfigurationPtr aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
  for (auto& state : mStates | std::views::values) {
    const auto* const service =
      mConfiguration->FindService(state.mEntry.mService);
    if (service != nullptr && service->mEngine) {
      const auto tokens =
        static_cast<double>(service->mEngine->mCapacityTokens);
      state.mCache.SetCapacity(static_cast<std::int64_t>(tokens * kCachePart));
    }
  }
}

void
UpstreamBoard::SetDrained(const std::set<std::string>& aDomains)
{
  mDrained = { aDomains.begin(), aDomains.end() };
}

void
UpstreamBoard::SetInstances(
  const std::vector<membership::InstanceLocation>& aInstances)
{
  mInstances = std::max(static_cast<int>(aInstances.size()), 1);
  // it may not be registered yet
  mNeighbours = { mOptions.mInstance };
  for (const auto& instance : aInstances) {
    if (instance.mFailureDomain == mOptions.mDomain) {
      mNeighbours.insert(instance.mName);
    }
  }
  Divide();
}

std::vector<const UpstreamBoard::State*>
UpstreamBoard::OpenFor(const PlacementQuery& aQuery, TimePoint aNow) const
{
  std::vector<const State*> open;
  std::vector<const State*> avoided;
  for (const auto& state : mStates | std::views::values) {
    const bool isOpen = IsCandidate(state, aQuery) && HasRoom(state, aNow) &&
                        HasColdRate(state, aNow);
    if (isOpen) {
      const bool isAvoided =
        state.mHealth.IsAvoided(aNow) || IsCutOff(state, aQuery, aNow);
      (isAvoided ? avoided : open).push_back(&state);
    }
  }
  // rather an upstream that failed lately than none
  return open.empty() ? avoided : open;
}

std::optional<Choice>
UpstreamBoard::Choose(const PlacementQuery& aQuery, TimePoint aNow)
{
  auto open = OpenFor(aQuery, aNow);
  if (open.empty()) {
    return std::nullopt;
  }
  const auto others = std::ranges::partition(
    open, [](const State* aState) { return aState->mIsOwn; });
  const auto own = std::span(open).first(open.size() - others.size());
  std::vector<const State*> compared;
  std::ranges::sample(
    own, std::back_inserter(compared), mOptions.mOwnCompared, mRandom);
  std::ranges::sample(
    others, std::back_inserter(compared), mOptions.mCompared, mRandom);
  const auto usual = UsualRunning(aQuery.mService, aNow);
  std::optional<Choice> best;
  if (const auto* const home = HomeOf(aQuery, open)) {
    best = EstimateHome(*home, aQuery, usual, aNow);
  }
  for (const auto* const state : compared) {
    auto choice = Estimate(*state, aQuery, usual, aNow);
    if (!best || choice.mFirstEvent < best->mFirstEvent) {
      best = choice;
    }
  }
  return best;
}

NoChoice
UpstreamBoard::Explain(const PlacementQuery& aQuery, TimePoint aNow) const
{
  auto reason = NoChoice::NoUpstream;
  for (const auto& state : mStates | std::views::values) {
    if (!IsCandidate(state, aQuery)) {
      continue;
    }
    if (!HasRoom(state, aNow)) {
      return NoChoice::AllFull;
    }
    reason = NoChoice::AllCold;
  }
  return reason;
}

bool
UpstreamBoard::MaySend(std::string_view aUpstream, TimePoint aNow) const
{
  const auto found = mStates.find(aUpstream);
  return found != mStates.end() &&
         found->second.mEntry.mState == ingress::UpstreamState::Ready &&
         !mDrained.contains(found->second.mEntry.mDomain) &&
         aNow >= TimePoint{};
}

Load
UpstreamBoard::Reserve(const Choice& aChoice,
                       const PlacementQuery& aQuery,
                       TimePoint aNow)
{
  auto& state = mStates.find(aChoice.mUpstream->mId)->second;
  const auto pace = PaceOf(aQuery.mService, aQuery.mModel);
  Load load{ .mUpstream = state.mEntry.mId,
             .mModel = std::string(aQuery.mModel),
             .mReadingMs = static_cast<double>(aChoice.mNewTokens) /
                           mOptions.mTokensPerMs * pace,
             .mDecodeWeight = pace,
             .mSentAt = aNow };
  mDomains.OnSent(state.mEntry.mDomain, aNow);
  ++state.mInFlight;
  state.mReadingMs += load.mReadingMs;
  state.mDecodeWeight += load.mDecodeWeight;
  if (aQuery.mPrompt != nullptr) {
    mReading[state.mEntry.mService].OnSent(load.mReadingMs, aNow);
    state.mCache.Touch(ChainOf(*aQuery.mPrompt, aQuery.mModel));
  }
  if (aNow < state.mColdUntil) {
    state.mNextCold =
      std::max(state.mNextCold, aNow) + ColdInterval(aQuery.mService);
  }
  return load;
}

void
UpstreamBoard::OnFirstEvent(Load& aLoad, TimePoint /*aNow*/)
{
  const auto found = mStates.find(aLoad.mUpstream);
  if (aLoad.mIsReading && found != mStates.end()) {
    auto& reading = found->second.mReadingMs;
    reading = std::max(0.0, reading - aLoad.mReadingMs);
  }
  aLoad.mIsReading = false;
}

void
UpstreamBoard::Release(Load& aLoad)
{
  const auto found = mStates.find(aLoad.mUpstream);
  if (found == mStates.end()) {
    return;
  }
  auto& state = found->second;
  state.mInFlight = std::max(0, state.mInFlight - 1);
  state.mDecodeWeight =
    std::max(0.0, state.mDecodeWeight - aLoad.mDecodeWeight);
  if (aLoad.mIsReading) {
    state.mReadingMs = std::max(0.0, state.mReadingMs - aLoad.mReadingMs);
  }
  if (state.mInFlight == 0) {
    state.mReadingMs = 0.0;
    state.mDecodeWeight = 0.0;
  }
}

void
UpstreamBoard::OnStatedLoad(std::string_view aUpstream,
                            const ingress::StatedLoad& aLoad,
                            TimePoint aNow)
{
  const auto found = mStates.find(aUpstream);
  if (found != mStates.end()) {
    found->second.mStated = aLoad;
    found->second.mStatedAt = aNow;
    found->second.mOwnAtStated = found->second.mInFlight;
  }
}

void
UpstreamBoard::OnOutcome(std::string_view aUpstream,
                         AttemptHealth aHealth,
                         TimePoint aNow)
{
  const auto found = mStates.find(aUpstream);
  if (found == mStates.end()) {
    return;
  }
  auto& state = found->second;
  state.mHealth.OnOutcome(aHealth, aNow);
  const bool isSilent =
    aHealth == AttemptHealth::Silent || aHealth == AttemptHealth::Unreachable;
  if (isSilent) {
    mDomains.OnSilent(state.mEntry.mDomain, aUpstream, aNow);
  } else {
    mDomains.OnAnswer(state.mEntry.mDomain);
  }
  // it may have crashed, and be back before its new entry is known here
  const bool mayRestart = isSilent || aHealth == AttemptHealth::Broken ||
                          aHealth == AttemptHealth::Refused;
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(state.mEntry.mService)
                   : nullptr;
  if (mayRestart && service != nullptr &&
      service->mColdStart > Duration::zero()) {
    BeginCold(state, service->mColdStart, aNow);
  }
}

const ingress::UpstreamEntry*
UpstreamBoard::Find(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? nullptr : &found->second.mEntry;
}

int
UpstreamBoard::InFlight(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? 0 : found->second.mInFlight;
}

std::set<std::string>
UpstreamBoard::VersionsOf(std::string_view aService) const
{
  std::set<std::string> versions;
  for (const auto& state : mStates | std::views::values) {
    if (state.mEntry.mService == aService &&
        state.mEntry.mState == ingress::UpstreamState::Ready) {
      versions.insert(state.mEntry.mVersion);
    }
  }
  return versions;
}

double
UpstreamBoard::Occupancy(std::string_view aService, TimePoint aNow) const
{
  double taken = 0.0;
  double slots = 0.0;
  for (const auto& state : mStates | std::views::values) {
    if (state.mEntry.mService == aService &&
        state.mEntry.mState == ingress::UpstreamState::Ready &&
        !mDrained.contains(state.mEntry.mDomain)) {
      taken += RunningOf(state, aNow);
      slots += state.mEntry.mSlots;
    }
  }
  return slots > 0.0 ? taken / slots : 1.0;
}

double
UpstreamBoard::ReadingShare(std::string_view aService, TimePoint aNow) const
{
  const auto reading = mReading.find(aService);
  if (reading == mReading.end()) {
    return 0.0;
  }
  int own = 0;
  int all = 0;
  for (const auto& state : mStates | std::views::values) {
    const bool serves = state.mEntry.mService == aService &&
                        state.mEntry.mState == ingress::UpstreamState::Ready &&
                        !mDrained.contains(state.mEntry.mDomain) &&
                        !state.mHealth.IsAvoided(aNow);
    all += serves ? 1 : 0;
    own += serves && state.mIsOwn ? 1 : 0;
  }
  // without engines of its own it takes its part of all
  const double engines =
    own > 0 ? own : std::max(1.0, static_cast<double>(all) / mInstances);
  return reading->second.BusyEngines(aNow) / engines;
}

bool
UpstreamBoard::IsCandidate(const State& aState,
                           const PlacementQuery& aQuery) const
{
  const auto& entry = aState.mEntry;
  return entry.mService == aQuery.mService &&
         entry.mState == ingress::UpstreamState::Ready &&
         !mDrained.contains(entry.mDomain) &&
         (aQuery.mAvoid == nullptr || !aQuery.mAvoid->contains(entry.mId)) &&
         (!aQuery.mAllowsVersion || aQuery.mAllowsVersion(entry.mVersion)) &&
         IsInRegions(aState, aQuery);
}

bool
UpstreamBoard::IsInRegions(const State& aState,
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
UpstreamBoard::RunningOf(const State& aState, TimePoint aNow) const
{
  double others = 0.0;
  if (HasStated(aState, aNow)) {
    others =
      aState.mStated.mRunning + aState.mStated.mWaiting - aState.mOwnAtStated;
  }
  return aState.mInFlight + std::max(0.0, others);
}

bool
UpstreamBoard::HasStated(const State& aState, TimePoint aNow) const
{
  return aNow < aState.mStatedAt + kLoadAge;
}

double
UpstreamBoard::UsualRunning(std::string_view aService, TimePoint aNow) const
{
  double running = 0.0;
  int upstreams = 0;
  for (const auto& state : mStates | std::views::values) {
    if (state.mEntry.mService == aService && HasStated(state, aNow)) {
      running += RunningOf(state, aNow);
      ++upstreams;
    }
  }
  return upstreams == 0 ? 0.0 : running / upstreams;
}

bool
UpstreamBoard::HasRoom(const State& aState, TimePoint aNow) const
{
  return RunningOf(aState, aNow) < aState.mEntry.mSlots;
}

bool
UpstreamBoard::IsCutOff(const State& aState,
                        const PlacementQuery& aQuery,
                        TimePoint aNow) const
{
  const auto& domain = aState.mEntry.mDomain;
  return mDomains.IsSuspected(domain) &&
         !(aQuery.mMayRepeat && mDomains.IsProbeDue(domain, aNow));
}

bool
UpstreamBoard::HasColdRate(const State& aState, TimePoint aNow) const
{
  return aNow >= aState.mColdUntil || aNow >= aState.mNextCold;
}

double
UpstreamBoard::PaceOf(std::string_view aService, std::string_view aModel) const
{
  const auto* const service =
    mConfiguration ? mConfiguration->FindService(aService) : nullptr;
  if (service == nullptr || !service->mEngine) {
    return 1.0;
  }
  // the time a model takes rises with its place among the sizes
  const auto& models = service->mEngine->mModels;
  const auto found =
    std::ranges::find(models, aModel, &ingress::EngineModel::mName);
  constexpr double kSmallest = 0.3;
  constexpr double kLargest = 3.0;
  const auto place = std::distance(models.begin(), found);
  const auto last = std::ssize(models) - 1;
  if (found == models.end() || last <= 0) {
    return 1.0;
  }
  return place == 0 ? kSmallest : place == last ? kLargest : 1.0;
}

Choice
UpstreamBoard::Estimate(const State& aState,
                        const PlacementQuery& aQuery,
                        double aUsualRunning,
                        TimePoint aNow) const
{
  const auto& entry = aState.mEntry;
  Choice choice{ .mUpstream = &aState.mEntry };
  double ms = 0.0;
  const auto own = RunningOf(aState, aNow);
  const auto running =
    HasStated(aState, aNow) ? own : std::max(own, aUsualRunning);
  if (aQuery.mPrompt != nullptr) {
    const auto cached =
      aState.mCache.CachedTokens(ChainOf(*aQuery.mPrompt, aQuery.mModel));
    choice.mCachedTokens = std::min(cached, aQuery.mPromptTokens);
    choice.mNewTokens = aQuery.mPromptTokens - choice.mCachedTokens;
    const double reading = static_cast<double>(choice.mNewTokens) /
                           mOptions.mTokensPerMs *
                           PaceOf(aQuery.mService, aQuery.mModel);
    ms = kBaseMs + reading + aState.mReadingMs + running * kRunningMs +
         (aState.mIsOwn ? 0.0 : kOthersReadingMs);
  } else {
    const double perSlot = running / std::max(1, entry.mSlots);
    ms = kPlainSlotMs * (1.0 + perSlot);
  }
  ms += entry.mDomain == mOptions.mDomain ? 0.0 : kOtherDomainMs;
  ms += aState.mHealth.FailureRate() * kFailureMs;
  choice.mFirstEvent = FromMs(ms);
  return choice;
}

const UpstreamBoard::State*
UpstreamBoard::HomeOf(const PlacementQuery& aQuery,
                      const std::vector<const State*>& aOpen)
{
  if (aQuery.mPrompt == nullptr || aQuery.mPrompt->size() < 2) {
    return nullptr;
  }
  // the last part is the request's own; the one before is its subject
  const auto subject = aQuery.mPrompt->rbegin()[1].mId;
  return std::ranges::max(aOpen, {}, [&](const State* aState) {
    return XXH3_64bits_withSeed(
      aState->mEntry.mId.data(), aState->mEntry.mId.size(), subject);
  });
}

Choice
UpstreamBoard::EstimateHome(const State& aHome,
                            const PlacementQuery& aQuery,
                            double aUsualRunning,
                            TimePoint aNow) const
{
  auto choice = Estimate(aHome, aQuery, aUsualRunning, aNow);
  const auto subject =
    std::min(choice.mNewTokens, aQuery.mPrompt->rbegin()[1].mTokens);
  const double reading = static_cast<double>(subject) / mOptions.mTokensPerMs *
                         PaceOf(aQuery.mService, aQuery.mModel);
  choice.mFirstEvent -= FromMs(reading * kHomePart);
  return choice;
}

} // namespace figslip::placement
