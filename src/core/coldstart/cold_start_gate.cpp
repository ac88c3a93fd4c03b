#include <figslip/coldstart/cold_start_gate.hpp>

#include <algorithm>

namespace figslip::coldstart {

ColdStartGate::ColdStartGate(Options aOptions)
  : mOptions(aOptions)
{
}

void
ColdStartGate::Restart(State& aState, TimePoint aNow)
{
  aState.mWarmth = Warmth::Cold;
  aState.mSuccesses = 0;
  aState.mColdSince = aNow;
}

void
ColdStartGate::OnBootId(std::string_view aUpstream,
                        std::string_view aBootId,
                        TimePoint aNow)
{
  auto& state = mStates[std::string(aUpstream)];
  if (state.mBootId == aBootId) {
    return;
  }
  const bool isFirst = state.mBootId.empty();
  state.mBootId = aBootId;
  if (!isFirst) {
    // another run: what was seen of the one before says nothing
    Restart(state, aNow);
    state.mSurpriseAt = aNow;
  }
}

void
ColdStartGate::OnSuccess(std::string_view aUpstream,
                         std::string_view aBootId,
                         TimePoint aNow)
{
  OnBootId(aUpstream, aBootId, aNow);
  auto& state = mStates.find(aUpstream)->second;
  if (!state.mColdSince) {
    state.mColdSince = aNow;
  }
  ++state.mSuccesses;
  if (state.mSuccesses >= mOptions.mWarmSuccesses &&
      aNow - *state.mColdSince >= mOptions.mWarmTime) {
    state.mWarmth = Warmth::Warm;
  }
}

void
ColdStartGate::OnSurprise(std::string_view aUpstream, TimePoint aNow)
{
  auto& state = mStates[std::string(aUpstream)];
  Restart(state, aNow);
  state.mSurpriseAt = aNow;
}

void
ColdStartGate::OnPeerSurprise(std::string_view aUpstream,
                              TimePoint aAt,
                              TimePoint aNow)
{
  auto& state = mStates[std::string(aUpstream)];
  if (state.mSurpriseAt && aAt <= *state.mSurpriseAt + mOptions.mSameSurprise) {
    return;
  }
  Restart(state, aNow);
  state.mSurpriseAt = aAt;
}

void
ColdStartGate::OnPeerWarm(std::string_view aUpstream,
                          std::string_view aBootId,
                          std::optional<TimePoint> aSurpriseAt)
{
  auto& state = mStates[std::string(aUpstream)];
  const bool isSameRun = state.mBootId.empty() || state.mBootId == aBootId;
  const bool knowsSurprise =
    !state.mSurpriseAt ||
    (aSurpriseAt &&
     *aSurpriseAt + mOptions.mSameSurprise >= *state.mSurpriseAt);
  if (isSameRun && knowsSurprise) {
    state.mBootId = aBootId;
    state.mWarmth = Warmth::Warm;
  }
}

std::optional<TimePoint>
ColdStartGate::SurpriseAt(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? std::nullopt : found->second.mSurpriseAt;
}

std::string
ColdStartGate::BootIdOf(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? std::string() : found->second.mBootId;
}

void
ColdStartGate::OnGrant(const Grant& aGrant)
{
  mStates[aGrant.mUpstream].mGrant = aGrant;
}

Warmth
ColdStartGate::WarmthOf(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? Warmth::Cold : found->second.mWarmth;
}

int
ColdStartGate::Limit(const manifest::Upstream& aUpstream, TimePoint aNow) const
{
#ifdef FIGSLIP_WITHOUT_COLDSTART
  (void)aNow;
  return aUpstream.mConcurrency;
#else
  const auto found = mStates.find(aUpstream.mName);
  if (found == mStates.end()) {
    return 0;
  }
  const auto& state = found->second;
  if (state.mWarmth == Warmth::Warm) {
    return aUpstream.mConcurrency;
  }
  if (aNow >= state.mGrant.mExpiry) {
    return 0;
  }
  return std::min(state.mGrant.mSlots, aUpstream.mColdConcurrency);
#endif
}

} // namespace figslip::coldstart
