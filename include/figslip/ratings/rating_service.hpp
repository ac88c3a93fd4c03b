#pragma once

#include <figslip/entry/router_service.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/time/time_point.hpp>

#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace figslip::ratings {

/// @brief Sends answers to the rating service and learns from its ratings.
class RatingService
{
public:
  struct Options
  {
    std::string mSource; ///< name under which answers are submitted
    Duration mPollEvery = std::chrono::milliseconds(500);
    std::size_t mMaxQueue = 1000; ///< answers waiting; more are dropped
  };

  RatingService(Options aOptions,
                std::shared_ptr<platform::PlatformClient> aPlatform,
                std::shared_ptr<entry::RouterService> aRouter);
  RatingService(const RatingService&) = delete;
  RatingService& operator=(const RatingService&) = delete;
  ~RatingService() { Stop(); }

  void Start();
  void Stop();

  /// @brief Queues an answer to be rated; drops it if too many wait.
  void Submit(platform::RatableAnswer aAnswer);

private:
  void Run();
  void SendQueued();
  void ReadRatings();

  Options mOptions;
  std::shared_ptr<platform::PlatformClient> mPlatform;
  std::shared_ptr<entry::RouterService> mRouter;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<platform::RatableAnswer> mQueue;
  std::int64_t mNextRating = 0;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace figslip::ratings
