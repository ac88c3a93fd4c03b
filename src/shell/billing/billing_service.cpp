#include <figslip/billing/billing_service.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <utility>

namespace figslip::billing {

namespace {

constexpr Duration kWriterPoll = std::chrono::milliseconds(200);
constexpr Duration kStoppingPoll = std::chrono::milliseconds(20);
constexpr Duration kPeerPoll = std::chrono::milliseconds(200);

BillingCore::Options
CoreOptions(const BillingService::Options& aOptions)
{
  return { .mSelf = aOptions.mSelf,
           .mFailureDomain = aOptions.mFailureDomain,
           .mMaxBatchRecords = aOptions.mMaxBatch,
           .mNeighbour = aOptions.mNeighbour };
}

} // namespace

BillingService::BillingService(
  Options aOptions,
  std::shared_ptr<platform::PlatformClient> aPlatform)
  : mOptions(std::move(aOptions))
  , mPlatform(std::move(aPlatform))
  , mCore(CoreOptions(mOptions))
{
}

void
BillingService::Start()
{
  if (mCalls.mPeers) {
    // the first record finds its neighbour already
    std::unique_lock lock(mMutex);
    RefreshPeers(lock);
    mPeerThread = std::thread([this] { TalkToPeers(); });
  }
  mWriter = std::thread([this] { WriteBatches(); });
}

void
BillingService::Add(BillingRecord aRecord)
{
  std::unique_lock lock(mMutex);
  const auto position = mCore.Add(aRecord);
  if (!position) {
    log::Write(log::Level::Error,
               "billing_record_dropped",
               { { "request_id", aRecord.mRequestId },
                 { "record", PrintRecord(aRecord) } });
    return;
  }
  mPeersChanged.notify_one();
  mSafe.wait_for(lock, mOptions.mHandOverWait, [&] {
    return mCore.IsSafe(*position) || !mCore.CanHandOver(ReadClock());
  });
}

std::size_t
BillingService::Pending() const
{
  const std::lock_guard lock(mMutex);
  return mCore.Pending();
}

bool
BillingService::HasRoom() const
{
  const std::lock_guard lock(mMutex);
  return mCore.HasRoom();
}

bool
BillingService::Hold(const RecordCopy& aCopy)
{
  const std::lock_guard lock(mMutex);
  // what is taken now would be lost with this instance
  return !mStopping && mCore.Hold(aCopy, ReadClock()) == HoldOutcome::Held;
}

void
BillingService::Release(const membership::Incarnation& aOrigin, Position aUpTo)
{
  const std::lock_guard lock(mMutex);
  mCore.Release(aOrigin, aUpTo);
}

void
BillingService::OnIncarnation(const membership::Incarnation& aRun)
{
  const std::lock_guard lock(mMutex);
  mCore.OnIncarnation(aRun);
}

void
BillingService::OnInstances(const membership::InstanceList& aInstances)
{
  const std::lock_guard lock(mMutex);
  mCore.OnInstances(aInstances, ReadClock());
}

std::size_t
BillingService::Stop(Duration aPatience)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mStopping) {
      mCore.BeginStop();
    }
    mStopping = true;
    mStopDeadline = ReadClock() + aPatience;
  }
  mWriterChanged.notify_all();
  mPeersChanged.notify_all();
  if (mWriter.joinable()) {
    mWriter.join();
  }
  {
    const std::lock_guard lock(mMutex);
    mWriterEnded = true;
  }
  mPeersChanged.notify_all();
  if (mPeerThread.joinable()) {
    mPeerThread.join();
  }
  const std::lock_guard lock(mMutex);
  return mCore.Unsafe();
}

bool
BillingService::WriteOne(std::unique_lock<std::mutex>& aLock)
{
  const auto batch = mCore.NextBatch(ReadClock());
  if (!batch) {
    return false;
  }
  aLock.unlock();
  const auto written = mPlatform->Write(
    { .mKind = "billing", .mName = batch->mName }, 0, batch->mText);
  aLock.lock();
  if (!written) {
    mCore.OnWriteFailed(ReadClock());
    log::Write(log::Level::Warning,
               "billing_batch_not_written",
               { { "batch", batch->mName },
                 { "error", error::JoinMessages(written.assume_error()) } });
    return false;
  }
  // a conflict is our own batch, written by a try whose answer was lost
  mCore.OnWritten(ReadClock());
  mSafe.notify_all();
  mPeersChanged.notify_one();
  return true;
}

void
BillingService::WriteBatches()
{
  std::unique_lock lock(mMutex);
  while (true) {
    if (const auto count = mCore.TakeOver(ReadClock()); count > 0) {
      log::Write(log::Level::Info,
                 "billing_records_taken_over",
                 { { "count", std::to_string(count) } });
    }
    if (WriteOne(lock)) {
      continue;
    }
    const bool isDone = mCore.Pending() == 0 || mCore.MayStop();
    if (mStopping && (isDone || ReadClock() >= mStopDeadline)) {
      return;
    }
    // records that a neighbour does not hold yet may become safe at any time
    mWriterChanged.wait_for(lock,
                            mStopping ? kStoppingPoll : kWriterPoll,
                            [this] { return mStopping && mCore.MayStop(); });
  }
}

void
BillingService::RefreshPeers(std::unique_lock<std::mutex>& aLock)
{
  aLock.unlock();
  const auto peers = mCalls.mPeers();
  aLock.lock();
  mCore.OnPeers(peers);
}

bool
BillingService::HandOverOne(std::unique_lock<std::mutex>& aLock)
{
  const auto order = mCore.NextHandOver(ReadClock());
  if (!order) {
    return false;
  }
  aLock.unlock();
  const bool isHeld = mCalls.mHold(*order);
  aLock.lock();
  mCore.OnHandOver(*order, isHeld, ReadClock());
  mSafe.notify_all();
  mWriterChanged.notify_one();
  return true;
}

bool
BillingService::ReleaseOne(std::unique_lock<std::mutex>& aLock)
{
  const auto order = mCore.NextRelease(ReadClock());
  if (!order) {
    return false;
  }
  aLock.unlock();
  const bool isConfirmed = mCalls.mRelease(*order, mOptions.mSelf);
  aLock.lock();
  mCore.OnRelease(*order, isConfirmed, ReadClock());
  return true;
}

void
BillingService::TalkToPeers()
{
  std::unique_lock lock(mMutex);
  auto nextRefresh = ReadClock();
  while (!mWriterEnded) {
    if (ReadClock() >= nextRefresh) {
      RefreshPeers(lock);
      nextRefresh = ReadClock() + kPeerPoll;
    }
    if (HandOverOne(lock) || ReleaseOne(lock)) {
      continue;
    }
    mPeersChanged.wait_for(lock, kPeerPoll, [this] {
      return mWriterEnded || mCore.NextHandOver(ReadClock()) ||
             mCore.NextRelease(ReadClock());
    });
  }
  // the last releases spare the neighbours a second write
  while (ReadClock() < mStopDeadline && ReleaseOne(lock)) {
  }
}

} // namespace figslip::billing
