#include <figslip/kernel/control_loop.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <utility>

namespace figslip::kernel {

namespace {

constexpr Duration kLongestSleep = std::chrono::seconds(1);

} // namespace

void
ControlLoop::Every(Duration aInterval, Task aTask)
{
  mRepeating.push_back({ aInterval, std::move(aTask), TimePoint{} });
}

void
ControlLoop::Post(Task aTask)
{
  {
    const std::lock_guard lock(mMutex);
    if (mStopping) {
      return;
    }
    mQueue.push_back(std::move(aTask));
  }
  mChanged.notify_one();
}

void
ControlLoop::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
ControlLoop::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
}

TimePoint
ControlLoop::NextTime() const
{
  auto next = ReadClock() + kLongestSleep;
  for (const auto& repeating : mRepeating) {
    next = std::min(next, repeating.mNext);
  }
  return next;
}

void
ControlLoop::Run()
{
  while (true) {
    std::vector<Task> tasks;
    bool stopping = false;
    {
      std::unique_lock lock(mMutex);
      const auto sleep = std::max(Duration::zero(), NextTime() - ReadClock());
      mChanged.wait_for(
        lock, sleep, [this] { return mStopping || !mQueue.empty(); });
      tasks = std::exchange(mQueue, {});
      stopping = mStopping;
    }
    for (const auto& task : tasks) {
      task(ReadClock());
    }
    if (stopping) {
      return;
    }
    for (auto& repeating : mRepeating) {
      const auto now = ReadClock();
      if (now >= repeating.mNext) {
        repeating.mTask(now);
        repeating.mNext = now + repeating.mInterval;
      }
    }
  }
}

} // namespace figslip::kernel
