#include <figslip/coldstart/cold_start_gate.hpp>

#include <algorithm>

namespace figslip::coldstart {

ColdStartGate::ColdStartGate(Options aOptions)
  : mOptions(aOptions)
{
}

void
ColdStartGate::EnterColdStart(State& aState, TimePoint aNow)
{
  aState.mWarmupState = WarmupState::Cold;
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
    // the process restarted: successes before the restart do not count
    EnterColdStart(state, aNow);
    state.mFailureSignalAt = aNow;
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
  if (state.mSuccesses >= mOptions.mMinSuccesses &&
      aNow - *state.mColdSince >= mOptions.mMinColdTime) {
    state.mWarmupState = WarmupState::Warm;
  }
}

void
ColdStartGate::OnFailureSignal(std::string_view aUpstream, TimePoint aNow)
{
  auto& state = mStates[std::string(aUpstream)];
  EnterColdStart(state, aNow);
  state.mFailureSignalAt = aNow;
}

void
ColdStartGate::OnPeerFailureSignal(std::string_view aUpstream,
                                   TimePoint aAt,
                                   TimePoint aNow)
{
  auto& state = mStates[std::string(aUpstream)];
  if (state.mFailureSignalAt &&
      aAt <= *state.mFailureSignalAt + mOptions.mSameFailureWindow) {
    return;
  }
  EnterColdStart(state, aNow);
  state.mFailureSignalAt = aAt;
}

void
ColdStartGate::OnPeerWarm(std::string_view aUpstream,
                          std::string_view aBootId,
                          std::optional<TimePoint> aFailureSignalAt)
{
  auto& state = mStates[std::string(aUpstream)];
  const bool isSameRun = state.mBootId.empty() || state.mBootId == aBootId;
  const bool isPeerUpToDate =
    !state.mFailureSignalAt ||
    (aFailureSignalAt && *aFailureSignalAt + mOptions.mSameFailureWindow >=
                           *state.mFailureSignalAt);
  if (isSameRun && isPeerUpToDate) {
    state.mBootId = aBootId;
    state.mWarmupState = WarmupState::Warm;
  }
}

std::optional<TimePoint>
ColdStartGate::FailureSignalAt(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? std::nullopt : found->second.mFailureSignalAt;
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

WarmupState
ColdStartGate::WarmupStateOf(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? WarmupState::Cold
                                : found->second.mWarmupState;
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
  if (state.mWarmupState == WarmupState::Warm) {
    return aUpstream.mConcurrency;
  }
  if (aNow >= state.mGrant.mExpiry) {
    return 0;
  }
  return std::min(state.mGrant.mSlots, aUpstream.mColdConcurrency);
#endif
}

} // namespace figslip::coldstart
