#pragma once

#include <figslip/billing/billing_batcher.hpp>
#include <figslip/billing/billing_neighbour.hpp>
#include <figslip/billing/hand_over.hpp>
#include <figslip/time/time_point.hpp>

#include <optional>
#include <string>
#include <vector>

namespace figslip::billing {

/// @brief Orders to hand a copy of records to a peer.
struct HandOverOrder
{
  BillingPeer mPeer;
  RecordCopy mCopy;
};

/// @brief Takes every decision on the billing records of one instance.
///
/// A deterministic state machine of three parts: the batches of this instance,
/// the copies that it hands to a neighbour, and the copies that it keeps for
/// others. It is not thread-safe. The shell asks for the next step
/// (`NextBatch`, `NextHandOver`, `NextRelease`), carries it out and reports its
/// end.
class BillingCore
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
    /// time between batches while a neighbour holds all records
    Duration mHeldInterval = std::chrono::seconds(2);
    /// time between batches while this instance alone has some record
    Duration mAloneInterval = std::chrono::milliseconds(200);
    Duration mMaxRetryDelay = std::chrono::seconds(5); ///< in an outage
    std::size_t mMaxBatchRecords = 1000;               ///< >= 1
    std::size_t mMaxCopyBytes = 250'000; ///< of one hand-over message
    std::size_t mMaxPendingBytes = 8'000'000;
    std::size_t mReservedBytes = 1'000'000;
    BillingNeighbour::Options mNeighbour;
  };

  explicit BillingCore(const Options& aOptions);

  /// @name Own records
  /// @{
  /// @brief Tells whether new requests may be admitted; see `BillingBatcher`.
  [[nodiscard]] bool HasRoom() const { return mBatcher.HasRoom(); }
  [[nodiscard]] std::optional<Position> Add(const BillingRecord& aRecord);
  /// @brief Tells whether a record survives a crash of this instance.
  [[nodiscard]] bool IsSafe(Position aPosition) const;
  [[nodiscard]] std::size_t Pending() const { return mBatcher.Pending(); }
  /// @brief Counts the records that a crash of this instance would lose.
  [[nodiscard]] std::size_t Unsafe() const;
  /// @}

  /// @name Batches
  /// @{
  [[nodiscard]] std::optional<NamedBatch> NextBatch(TimePoint aNow);
  void OnWritten(TimePoint aNow);
  /// @brief Notes a failed try, whether or not it may have taken effect.
  void OnWriteFailed(TimePoint aNow);
  /// @}

  /// @name Copies at a neighbour
  /// @{
  void OnPeers(const std::vector<BillingPeer>& aPeers);
  /// @brief Tells whether some neighbour can be tried now.
  [[nodiscard]] bool CanHandOver(TimePoint aNow) const;
  [[nodiscard]] std::optional<HandOverOrder> NextHandOver(TimePoint aNow) const;
  void OnHandOver(const HandOverOrder& aOrder, bool aHeld, TimePoint aNow);
  [[nodiscard]] std::optional<ReleaseOrder> NextRelease(TimePoint aNow) const;
  void OnRelease(const ReleaseOrder& aOrder, bool aConfirmed, TimePoint aNow);
  /// @}

  /// @name Copies for others
  /// @{
  [[nodiscard]] HoldOutcome Hold(const RecordCopy& aCopy, TimePoint aNow);
  void Release(const membership::Incarnation& aOrigin, Position aUpTo);
  void OnIncarnation(const membership::Incarnation& aRun);
  void OnInstances(const membership::InstanceList& aInstances, TimePoint aNow);
  /// @brief Makes the copies that are due own records.
  /// @return the number of records taken over
  std::size_t TakeOver(TimePoint aNow);
  /// @}

  /// @brief Begins a graceful shutdown: no more copies are kept, and those kept
  /// become own records, as far as there is room.
  void BeginStop();
  /// @brief Tells whether a stop now loses nothing.
  [[nodiscard]] bool MayStop() const { return Unsafe() == 0; }

private:
  [[nodiscard]] bool BatchIsDue(TimePoint aNow) const;
  [[nodiscard]] std::size_t Adopt(const RecordCopy& aCopy);

  Options mOptions;
  BillingBatcher mBatcher;
  HandOver mHandOver;
  BillingNeighbour mNeighbour;
  TimePoint mNextTry;   ///< after a failure; not before this
  Duration mRetryDelay; ///< of the next failure
  TimePoint mLastWritten;
  bool mStopping = false;
};

} // namespace figslip::billing
