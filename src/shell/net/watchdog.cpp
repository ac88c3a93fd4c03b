#include <figslip/net/watchdog.hpp>

namespace figslip::net {

struct Watchdog::State
{
  State(const asio::any_io_executor& aExecutor, std::function<void()> aCallback)
    : mTimer(aExecutor)
    , mOnExpired(std::move(aCallback))
  {
  }

  asio::steady_timer mTimer;
  std::function<void()> mOnExpired;
  Clock::time_point mDeadline = Clock::time_point::max();
  Clock::time_point mArmedFor = Clock::time_point::max();
  bool mExpired = false;
};

Watchdog::Watchdog(const asio::any_io_executor& aExecutor,
                   std::function<void()> aOnExpired)
  : mState(std::make_shared<State>(aExecutor, std::move(aOnExpired)))
{
}

Watchdog::~Watchdog()
{
  mState->mOnExpired = nullptr;
  mState->mTimer.cancel();
}

void
Watchdog::Set(Clock::duration aFromNow)
{
  mState->mDeadline = Clock::now() + aFromNow;
  mState->mExpired = false;
  if (mState->mDeadline < mState->mArmedFor) {
    Arm(mState);
  }
}

void
Watchdog::Clear()
{
  mState->mDeadline = Clock::time_point::max();
}

bool
Watchdog::HasExpired() const
{
  return mState->mExpired;
}

void
Watchdog::Arm(const std::shared_ptr<State>& aState)
{
  aState->mArmedFor = aState->mDeadline;
  aState->mTimer.expires_at(aState->mDeadline);
  aState->mTimer.async_wait([state = aState](const error_code& aError) {
    if (aError || !state->mOnExpired) {
      return;
    }
    state->mArmedFor = Clock::time_point::max();
    if (state->mDeadline == Clock::time_point::max()) {
      return;
    }
    if (Clock::now() < state->mDeadline) {
      Arm(state);
      return;
    }
    state->mDeadline = Clock::time_point::max();
    state->mExpired = true;
    state->mOnExpired();
  });
}

} // namespace figslip::net
