#include <figslip/control/pause_guard.hpp>

namespace figslip::control {

bool
PauseGuard::OnTick(TimePoint aNow)
{
  const bool paused =
    mLastTick != TimePoint{} && aNow - mLastTick > mOptions.mLongestGap;
  if (paused) {
    mBeforePause = mWaiting ? mBeforePause : mLastTick;
    mResumedAt = aNow;
    mWaiting = true;
  }
  mLastTick = aNow;
  return paused;
}

TimePoint
PauseGuard::Heartbeat(TimePoint aConfirmedAt, TimePoint aNow)
{
  if (mWaiting &&
      (aConfirmedAt >= mResumedAt || aNow - mResumedAt >= mOptions.mGrace)) {
    mWaiting = false;
  }
  return mWaiting ? mBeforePause : aNow;
}

} // namespace figslip::control
