#include <figslip/handover/peer_choice.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace figslip::handover {

PeerChoice::PeerChoice(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
}

void
PeerChoice::OnInstances(
  const std::vector<membership::InstanceLocation>& aInstances)
{
  std::map<std::string, State, std::less<>> states;
  for (const auto& instance : aInstances) {
    if (instance.mName == mOptions.mInstance || instance.mAddress.empty()) {
      continue;
    }
    const auto known = mStates.find(instance.mName);
    auto state = known == mStates.end() ? State{} : known->second;
    const bool hasMoved = state.mLocation.mAddress != instance.mAddress;
    if (hasMoved) {
      state.mFailures = 0;
      state.mNotBefore = {};
    }
    state.mLocation = instance;
    states.emplace(instance.mName, std::move(state));
  }
  mStates = std::move(states);
}

bool
PeerChoice::IsInRegions(const State& aState,
                        const std::vector<std::string>* aRegions) const
{
  if (aRegions == nullptr || aRegions->empty()) {
    return true;
  }
  const auto& domain = aState.mLocation.mFailureDomain;
  const auto region = mOptions.mRegions.find(domain);
  return region == mOptions.mRegions.end()
           ? domain == mOptions.mDomain
           : std::ranges::find(*aRegions, region->second) != aRegions->end();
}

bool
PeerChoice::MayAsk(const State& aState,
                   const PeerQuery& aQuery,
                   TimePoint aNow) const
{
  const bool wasAsked =
    aQuery.mAsked != nullptr && aQuery.mAsked->contains(aState.mLocation.mName);
  return !wasAsked && aNow >= aState.mNotBefore &&
         IsInRegions(aState, aQuery.mRegions) &&
         IsInRegions(aState, aQuery.mAccountRegions);
}

bool
PeerChoice::HasCandidate(const PeerQuery& aQuery, TimePoint aNow) const
{
  return std::ranges::any_of(
    mStates | std::views::values,
    [&](const State& aState) { return MayAsk(aState, aQuery, aNow); });
}

std::optional<membership::InstanceLocation>
PeerChoice::Choose(const PeerQuery& aQuery, TimePoint aNow)
{
  // both sides of a comparison are multiplied by the larger weight
  const auto loadOf = [&](const State& aState) {
    const bool isOwn = aState.mLocation.mFailureDomain == mOptions.mDomain;
    return (aState.mOpen + 1) * (isOwn ? 1 : mOptions.mOwnDomainWeight);
  };
  std::optional<int> least;
  std::vector<const State*> best;
  for (const auto& state : mStates | std::views::values) {
    if (!MayAsk(state, aQuery, aNow)) {
      continue;
    }
    const auto load = loadOf(state);
    if (!least || load < *least) {
      least = load;
      best.clear();
    }
    if (load == *least) {
      best.push_back(&state);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> distribution(0, best.size() - 1);
  return best.at(distribution(mRandom))->mLocation;
}

void
PeerChoice::OnSent(std::string_view aInstance)
{
  const auto found = mStates.find(aInstance);
  if (found != mStates.end()) {
    ++found->second.mOpen;
  }
}

void
PeerChoice::OnEnded(std::string_view aInstance)
{
  const auto found = mStates.find(aInstance);
  if (found != mStates.end()) {
    // the instance may have been registered anew meanwhile
    found->second.mOpen = std::max(0, found->second.mOpen - 1);
  }
}

void
PeerChoice::OnTaken(std::string_view aInstance)
{
  const auto found = mStates.find(aInstance);
  if (found != mStates.end()) {
    found->second.mFailures = 0;
  }
}

void
PeerChoice::OnDeclined(std::string_view aInstance,
                       Decline aReason,
                       TimePoint aNow)
{
  const auto found = mStates.find(aInstance);
  if (found != mStates.end()) {
    auto& state = found->second;
    state.mNotBefore =
      std::max(state.mNotBefore, aNow + PauseAfter(state, aReason));
  }
}

Duration
PeerChoice::PauseAfter(State& aState, Decline aReason) const
{
  constexpr int kMaxDoublings = 8;
  switch (aReason) {
    case Decline::NoContact:
      return mOptions.mNoContactPause;
    case Decline::Busy:
      return mOptions.mBusyPause;
    case Decline::Unreachable: {
      const auto doublings = std::min(aState.mFailures++, kMaxDoublings);
      return std::min(mOptions.mMaxUnreachablePause,
                      mOptions.mMinUnreachablePause * (1 << doublings));
    }
    case Decline::NotSuited:
      break;
  }
  return Duration::zero();
}

} // namespace figslip::handover
