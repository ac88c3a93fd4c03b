#pragma once

#include <figslip/error/result.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::billing {

/// @brief Bills one attempt.
struct BilledAttempt
{
  std::string mUpstream;
  std::string mVersion;     ///< empty for plain services
  std::int64_t mTokens = 0; ///< tokens generated, >= 0
  std::int64_t mCost = 0;   ///< micro currency units, >= 0

  bool operator==(const BilledAttempt&) const = default;
};

/// @brief Bills one answered request.
struct BillingRecord
{
  std::string mRequestId; ///< key: a second record of it is dropped
  std::string mAccount;
  std::string mTarget;  ///< cascade, model, version or service operation
  std::string mVersion; ///< version of the answer; empty for plain services
  std::int64_t mAnsweredAtMs = 0; ///< Unix milliseconds
  std::int64_t mLatencyMs = 0;    ///< from arrival to the whole answer
  std::vector<BilledAttempt> mAttempts;

  /// @brief Sums the cost of all attempts, micro currency units.
  [[nodiscard]] std::int64_t Cost() const;

  bool operator==(const BillingRecord&) const = default;
};

/// @brief Prints one record as JSON text.
[[nodiscard]] std::string
PrintRecord(const BillingRecord& aRecord);

/// @brief Joins printed records to the JSON text of a batch.
/// @param[in] aRecords texts that `PrintRecord` made
[[nodiscard]] std::string
JoinBatch(std::span<const std::string> aRecords);

/// @brief Prints a batch of records as one JSON text.
[[nodiscard]] std::string
PrintBatch(const std::vector<BillingRecord>& aRecords);

/// @brief Parses a batch of records.
/// @return the records, or all findings, each with its JSON pointer
[[nodiscard]] Result<std::vector<BillingRecord>>
ParseBatch(std::string_view aText);

} // namespace figslip::billing
