#pragma once

#include <figslip/error/result.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figslip::claim {

/// @brief Lists the states of a claimed idempotency key.
enum class ClaimState
{
  Claimed,  ///< the holder may send the request or may have sent it
  Answered, ///< the answer is stored
  Released  ///< the holder has not sent the request and never will
};

/// @brief Holds the record that the platform stores for an idempotency key.
struct ClaimRecord
{
  membership::Incarnation mHolder; ///< run of the instance that claimed it
  std::uint64_t mTicket = 0;       ///< number of the request at the holder
  std::uint64_t mFingerprint = 0;  ///< hash of client account and body
  ClaimState mState = ClaimState::Claimed;
  std::string mAnswer;        ///< JSON text if `Answered`
  std::string mBillingRecord; ///< JSON text if `Answered`

  /// @brief Checks whether two records were written for the same request.
  [[nodiscard]] bool IsSameUse(const ClaimRecord& aOther) const
  {
    return mHolder == aOther.mHolder && mTicket == aOther.mTicket;
  }

  bool operator==(const ClaimRecord&) const = default;
};

/// @brief Prints a record as JSON.
/// @note Invalid UTF-8 is replaced by U+FFFD.
[[nodiscard]] std::string
PrintClaim(const ClaimRecord& aRecord);

/// @brief Parses a record from JSON.
/// @return the record, or all findings, each with its JSON pointer
[[nodiscard]] Result<ClaimRecord>
ParseClaim(std::string_view aText);

/// @brief Extracts the timestamp of a UUID of version 7.
/// @param[in] aKey UUID text of 36 characters
/// @return the time, or nothing if the text is not a UUID of version 7
[[nodiscard]] std::optional<TimePoint>
TimeOfKey(std::string_view aKey);

} // namespace figslip::claim
