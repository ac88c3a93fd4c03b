#pragma once

#include <figslip/billing/billing_record.hpp>
#include <figslip/error/finding.hpp>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::billing {

/// @brief Reports a record that was dropped, since its request is billed.
struct DroppedRecord
{
  std::string mRequestId;
  std::string mKeptIn;      ///< batch of the record that counts
  std::string mDroppedFrom; ///< batch of the record that does not
  bool mDiffers = false;    ///< whether the two records are unequal
};

/// @brief Names a line of the totals.
struct LedgerKey
{
  std::string mAccount;
  std::string mVersion; ///< empty for plain services

  auto operator<=>(const LedgerKey&) const = default;
};

/// @brief Sums what one client account used of one version.
struct LedgerTotal
{
  std::int64_t mRequests = 0; ///< answered by this version
  std::int64_t mAttempts = 0;
  std::int64_t mTokens = 0;
  std::int64_t mCost = 0; ///< micro currency units

  bool operator==(const LedgerTotal&) const = default;
};

/// @brief Audits billing batches and bills each request once.
///
/// Of several records of a request id the one answered first counts, then the
/// one of the batch whose name sorts first, so that the result does not depend
/// on the order of the batches.
class Ledger
{
public:
  /// @brief Adds a batch; malformed ones are findings, and none of their
  /// records counts.
  /// @param[in] aName name of the batch, used as the place of findings
  void AddBatch(std::string_view aName, std::string_view aText);

  /// @brief Adds a finding about a batch that could not be read.
  void AddFinding(error::Finding aFinding);

  /// @brief Drops second records and sums up; after the last batch.
  void Close();

  /// @name Observers; totals and dropped records only after `Close`
  /// @{
  [[nodiscard]] std::size_t Batches() const { return mBatches; }
  [[nodiscard]] std::size_t Requests() const { return mRequests; }
  [[nodiscard]] const error::Findings& Findings() const { return mFindings; }
  [[nodiscard]] const std::vector<DroppedRecord>& Dropped() const
  {
    return mDropped;
  }
  [[nodiscard]] const std::map<LedgerKey, LedgerTotal>& Totals() const
  {
    return mTotals;
  }
  /// @}

private:
  struct Entry
  {
    std::string mBatch;
    BillingRecord mRecord;
  };

  void Count(const BillingRecord& aRecord);

  std::vector<Entry> mEntries;
  std::size_t mBatches = 0;
  std::size_t mRequests = 0;
  error::Findings mFindings;
  std::vector<DroppedRecord> mDropped;
  std::map<LedgerKey, LedgerTotal> mTotals;
};

/// @brief Prints a closed ledger for readers.
[[nodiscard]] std::string
PrintText(const Ledger& aLedger);

/// @brief Prints a closed ledger as JSON.
[[nodiscard]] std::string
PrintJson(const Ledger& aLedger);

} // namespace figslip::billing
