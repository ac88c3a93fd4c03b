#pragma once

#include <figslip/billing/billing_record.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/time/time_point.hpp>

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figslip::billing {

/// @brief Writes billing records to the platform in batches.
///
/// A batch has its name (instance, incarnation, sequence) before its first
/// try and is created only if absent, so that a repeat after a lost answer is
/// harmless.
class BillingService
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    Duration mInterval = std::chrono::milliseconds(200); ///< between batches
    std::size_t mMaxBatch = 1000; ///< records in a batch, >= 1
  };

  BillingService(Options aOptions,
                 std::shared_ptr<platform::PlatformClient> aPlatform);
  BillingService(const BillingService&) = delete;
  BillingService& operator=(const BillingService&) = delete;
  ~BillingService() { Stop(std::chrono::seconds(0)); }

  void Start();

  /// @brief Queues a record; it is written with the next batch.
  void Add(BillingRecord aRecord);

  /// @brief Writes what is queued, for at most a time, and ends the thread.
  /// @return the number of records that could not be written
  std::size_t Stop(Duration aPatience);

  /// @brief Returns the number of records not yet written.
  [[nodiscard]] std::size_t Pending() const;

private:
  void Run();
  /// @return whether nothing is left to write
  bool Flush();

  Options mOptions;
  std::shared_ptr<platform::PlatformClient> mPlatform;
  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<BillingRecord> mQueue;
  std::vector<BillingRecord> mBatch; ///< being written under one name
  std::int64_t mSequence = 1;
  bool mStopping = false;
  TimePoint mStopDeadline;
  std::thread mThread;
};

} // namespace figslip::billing
