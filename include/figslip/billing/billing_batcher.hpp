#pragma once

#include <figslip/billing/billing_record.hpp>
#include <figslip/membership/instance.hpp>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

namespace figslip::billing {

/// @brief Numbers the records of one incarnation from 1 in order of arrival.
using Position = std::int64_t;

/// @brief Holds a batch with the name that it keeps at every try.
struct NamedBatch
{
  std::string mName;        ///< instance, incarnation and sequence
  std::string mText;        ///< JSON text of the records
  std::size_t mRecords = 0; ///< number of records, >= 1
};

/// @brief Holds consecutive records as a copy for another instance.
struct RecordCopy
{
  membership::Incarnation mOrigin;
  Position mUpTo = 0; ///< position of the last record; numbers the copy
  std::string mText;  ///< JSON text of the records
};

/// @brief Splits the billing records of one instance into named batches.
///
/// A deterministic state machine. The name and the content of a batch are
/// fixed before its first try and stay until it is written, so that a repeat
/// after a lost answer is harmless. Records are kept as printed texts until
/// they are written; their total size is bounded.
class BillingBatcher
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::size_t mMaxBatchRecords = 1000;      ///< records in a batch, >= 1
    std::size_t mMaxBatchBytes = 800'000;     ///< below the platform's limit
    std::size_t mMaxPendingBytes = 8'000'000; ///< of all records kept
    std::size_t mReservedBytes = 1'000'000;   ///< for requests that run
  };

  explicit BillingBatcher(Options aOptions);

  /// @name Observers
  /// @{
  /// @brief Tells whether new requests may be admitted.
  /// @return false once only the reserve is left, which the records of
  /// requests that already run need
  [[nodiscard]] bool HasRoom() const;
  [[nodiscard]] std::size_t Pending() const { return mTexts.size(); }
  [[nodiscard]] std::size_t PendingBytes() const { return mBytes; }
  [[nodiscard]] Position WrittenUpTo() const { return mWrittenUpTo; }
  [[nodiscard]] Position Last() const
  {
    return mWrittenUpTo + static_cast<Position>(mTexts.size());
  }
  /// @brief Tells whether a batch has its name and is not yet written.
  [[nodiscard]] bool HasOpenBatch() const { return mInBatch > 0; }
  /// @brief Tells whether the records kept fill a whole batch.
  [[nodiscard]] bool HasFullBatch() const;
  /// @brief Copies consecutive records after a position.
  /// @param[in] aMaxBytes size of the copy; one record always fits
  /// @return nothing where all records up to the last are written or known
  [[nodiscard]] std::optional<RecordCopy> CopyAfter(
    Position aAfter,
    std::size_t aMaxBytes) const;
  /// @}

  /// @brief Keeps a record until it is written.
  /// @return its position, or nothing at the bound; the record is dropped then
  [[nodiscard]] std::optional<Position> Add(const BillingRecord& aRecord);

  /// @brief Returns the batch to write next, the same one until `OnWritten`.
  [[nodiscard]] std::optional<NamedBatch> NextBatch();

  /// @brief Notes that the open batch exists at the platform.
  ///
  /// A conflict is no failure: the batch was written by a try whose answer was
  /// lost.
  void OnWritten();

private:
  /// Returns how many of the first records fit into a batch.
  [[nodiscard]] std::size_t BatchLength() const;

  Options mOptions;
  std::deque<std::string> mTexts; ///< from position `mWrittenUpTo` + 1 on
  std::size_t mBytes = 0;
  std::size_t mInBatch = 0; ///< records of the open batch
  Position mWrittenUpTo = 0;
  std::int64_t mSequence = 1;
};

} // namespace figslip::billing
