#pragma once

#include <figslip/entry/router_service.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/time/time_point.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace figslip::ratings {

/// @brief Sends answers to the rating service and learns from its ratings.
class RatingService
{
public:
  struct Options
  {
    std::string mSource; ///< name under which answers are submitted
    Duration mPollEvery = std::chrono::milliseconds(500);
    std::size_t mMaxQueue = 1000;     ///< answers waiting; more are dropped
    std::size_t mMaxUnrated = 10'000; ///< answers whose account is remembered
    /// is told the client account of each answer that is rated bad
    std::function<void(const std::string&)> mOnBadRating;
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
  void RememberAccount(const platform::RatableAnswer& aAnswer);
  void ReportBadRating(const std::string& aRequestId);

  Options mOptions;
  std::shared_ptr<platform::PlatformClient> mPlatform;
  std::shared_ptr<entry::RouterService> mRouter;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<platform::RatableAnswer> mQueue;
  /// client accounts of submitted answers by request id, and their order;
  /// used by the service's own thread alone
  std::unordered_map<std::string, std::string> mAccounts;
  std::deque<std::string> mAccountOrder;
  std::int64_t mNextRating = 0;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace figslip::ratings
