#pragma once

#include <figslip/billing/billing_core.hpp>
#include <figslip/billing/billing_record.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/platform/platform_client.hpp>
#include <figslip/time/time_point.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figslip::billing {

/// @brief Calls the other instances; each call blocks for a bounded time.
struct BillingPeerCalls
{
  /// lists the live peers, leaving ones left out
  std::function<std::vector<BillingPeer>()> mPeers;
  /// hands over a copy; returns whether the peer keeps it
  std::function<bool(const HandOverOrder&)> mHold;
  /// tells that records of this instance are written
  std::function<bool(const ReleaseOrder&, const membership::Incarnation&)>
    mRelease;
};

/// @brief Writes billing records to the platform and keeps them safe until
/// then.
///
/// A batch has its name (instance, incarnation, sequence) before its first
/// try and is created only if absent, so that a repeat after a lost answer is
/// harmless. Until a record is written, a neighbour holds a copy of it. One
/// thread writes batches, another one talks to the neighbours. Thread-safe.
class BillingService
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
    /// longest time that an answer waits for a neighbour
    Duration mHandOverWait = std::chrono::milliseconds(20);
    std::size_t mMaxBatch = 1000; ///< records in a batch, >= 1
    BillingNeighbour::Options mNeighbour;
  };

  BillingService(Options aOptions,
                 std::shared_ptr<platform::PlatformClient> aPlatform);
  BillingService(const BillingService&) = delete;
  BillingService& operator=(const BillingService&) = delete;
  ~BillingService() { Stop(std::chrono::seconds(0)); }

  /// @brief Sets the way to the other instances; only before `Start`.
  ///
  /// Without it every record stays with this instance until it is written.
  void SetPeerCalls(BillingPeerCalls aCalls) { mCalls = std::move(aCalls); }

  void Start();

  /// @brief Queues a record and waits until a neighbour holds it, it is
  /// written, no neighbour can be tried, or the wait is over.
  void Add(BillingRecord aRecord);

  /// @brief Writes what is queued, for at most a time, and ends the threads.
  ///
  /// While the platform is away, it is enough that a neighbour holds the rest.
  /// @return the number of records neither written nor held by a neighbour
  std::size_t Stop(Duration aPatience);

  /// @brief Returns the number of records not yet written.
  [[nodiscard]] std::size_t Pending() const;

  /// @brief Tells whether new requests may be admitted.
  /// @return false while the memory for records is nearly used up
  [[nodiscard]] bool HasRoom() const;

  /// @name Calls and news from the other instances
  /// @{
  /// @brief Keeps a copy of records for their origin.
  /// @return whether the copy is kept; never while this instance stops
  [[nodiscard]] bool Hold(const RecordCopy& aCopy);
  /// @brief Forgets the copies of an origin up to a position.
  void Release(const membership::Incarnation& aOrigin, Position aUpTo);
  /// @brief Notes the run of an instance, as its messages tell it.
  void OnIncarnation(const membership::Incarnation& aRun);
  /// @brief Takes an instance list that the platform has just confirmed.
  void OnInstances(const membership::InstanceList& aInstances);
  /// @}

private:
  void WriteBatches();
  void TalkToPeers();
  /// Writes one batch if one is due.
  /// @return whether the next one may be tried at once
  bool WriteOne(std::unique_lock<std::mutex>& aLock);
  /// Carries out one step of the hand-over.
  /// @return whether there was one
  bool HandOverOne(std::unique_lock<std::mutex>& aLock);
  bool ReleaseOne(std::unique_lock<std::mutex>& aLock);
  void RefreshPeers(std::unique_lock<std::mutex>& aLock);

  Options mOptions;
  std::shared_ptr<platform::PlatformClient> mPlatform;
  BillingPeerCalls mCalls;
  mutable std::mutex mMutex;
  std::condition_variable mWriterChanged;
  std::condition_variable mPeersChanged;
  std::condition_variable mSafe; ///< some record became safe
  BillingCore mCore;
  bool mStopping = false;    ///< the writer shall end
  bool mWriterEnded = false; ///< the thread of the peers shall end
  TimePoint mStopDeadline;
  std::thread mWriter;
  std::thread mPeerThread;
};

} // namespace figslip::billing
