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
    const auto& domain = aState.mLocation.mFailureDomain;
    const int weight =
      domain == mOptions.mDomain ? 1 : mOptions.mOwnDomainWeight;
    return std::pair(IsSuspected(domain, aNow), (aState.mOpen + 1) * weight);
  };
  std::optional<std::pair<bool, int>> least;
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
    mSuspicions.erase(found->second.mLocation.mFailureDomain);
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
    if (aReason == Decline::NoContact) {
      auto& suspicion = mSuspicions[state.mLocation.mFailureDomain];
      ++suspicion.mCount;
      suspicion.mLastAt = aNow;
    }
    state.mNotBefore =
      std::max(state.mNotBefore, aNow + PauseAfter(state, aReason));
  }
}

bool
PeerChoice::IsSuspected(const std::string& aDomain, TimePoint aNow) const
{
  const auto found = mSuspicions.find(aDomain);
  return found != mSuspicions.end() &&
         found->second.mCount >= mOptions.mMinSuspicious &&
         aNow - found->second.mLastAt < mOptions.mMaxSuspicion;
}

Duration
PeerChoice::PauseAfter(State& aState, Decline aReason) const
{
  const auto grow = [&](Duration aMin, Duration aMax) {
    constexpr int kMaxDoublings = 8;
    const auto doublings = std::min(aState.mFailures++, kMaxDoublings);
    return std::min(aMax, aMin * (1 << doublings));
  };
  switch (aReason) {
    case Decline::NoContact:
      return grow(mOptions.mMinNoContactPause, mOptions.mMaxNoContactPause);
    case Decline::Busy:
      return mOptions.mBusyPause;
    case Decline::Unreachable:
      return grow(mOptions.mMinUnreachablePause, mOptions.mMaxUnreachablePause);
    case Decline::NotSuited:
      break;
  }
  return Duration::zero();
}

} // namespace figslip::handover
