#pragma once

#include <figslip/time/time_point.hpp>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace figslip::kernel {

/// @brief Runs all changes of control state on one thread.
///
/// Other threads hand work over with `Post`; work that repeats is added with
/// `Every`. No task may block on the network.
class ControlLoop
{
public:
  using Task = std::function<void(TimePoint)>;

  ControlLoop() = default;
  ControlLoop(const ControlLoop&) = delete;
  ControlLoop& operator=(const ControlLoop&) = delete;
  ~ControlLoop() { Stop(); }

  /// @brief Adds a repeating task; only before `Start`.
  void Every(Duration aInterval, Task aTask);

  /// @brief Queues a task; ignored once the loop has stopped.
  void Post(Task aTask);

  void Start();

  /// @brief Finishes the queued tasks and ends the thread; may be repeated.
  void Stop();

private:
  struct Repeating
  {
    Duration mInterval;
    Task mTask;
    TimePoint mNext;
  };

  void Run();
  [[nodiscard]] TimePoint NextTime() const;

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<Task> mQueue;
  std::vector<Repeating> mRepeating;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace figslip::kernel
