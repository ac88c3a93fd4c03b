#include <figslip/billing/billing_service.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace figslip::billing {

BillingService::BillingService(
  Options aOptions,
  std::shared_ptr<platform::PlatformClient> aPlatform)
  : mOptions(std::move(aOptions))
  , mPlatform(std::move(aPlatform))
{
}

void
BillingService::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
BillingService::Add(BillingRecord aRecord)
{
  const std::lock_guard lock(mMutex);
  mQueue.push_back(std::move(aRecord));
}

std::size_t
BillingService::Pending() const
{
  const std::lock_guard lock(mMutex);
  return mQueue.size() + mBatch.size();
}

std::size_t
BillingService::Stop(Duration aPatience)
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
    mStopDeadline = ReadClock() + aPatience;
  }
  mChanged.notify_one();
  if (mThread.joinable()) {
    mThread.join();
  }
  return Pending();
}

bool
BillingService::Flush()
{
  std::string name;
  std::string text;
  {
    const std::lock_guard lock(mMutex);
    if (mBatch.empty()) {
      const auto count = std::min(mQueue.size(), mOptions.mMaxBatch);
      const auto end = mQueue.begin() + static_cast<std::ptrdiff_t>(count);
      std::move(mQueue.begin(), end, std::back_inserter(mBatch));
      mQueue.erase(mQueue.begin(), end);
    }
    if (mBatch.empty()) {
      return true;
    }
    name = mOptions.mSelf.mInstance + "-" +
           std::to_string(mOptions.mSelf.mStartedAt) + "-" +
           std::to_string(mSequence);
    text = PrintBatch(mBatch);
  }
  const auto written =
    mPlatform->Write({ .mKind = "billing", .mName = name }, 0, text);
  if (!written) {
    log::Write(log::Level::Warning,
               "billing_batch_not_written",
               { { "batch", name },
                 { "error", error::JoinMessages(written.assume_error()) } });
    return false;
  }
  // a conflict is our own batch, written by a try whose answer was lost
  const std::lock_guard lock(mMutex);
  mBatch.clear();
  ++mSequence;
  return mQueue.empty();
}

void
BillingService::Run()
{
  while (true) {
    const bool isEmpty = Flush();
    std::unique_lock lock(mMutex);
    if (mStopping && (isEmpty || ReadClock() >= mStopDeadline)) {
      return;
    }
    mChanged.wait_for(
      lock, mOptions.mInterval, [&] { return mStopping && isEmpty; });
  }
}

} // namespace figslip::billing
