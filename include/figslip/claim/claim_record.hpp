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
  Claimed,  ///< its holder may send the request, or may have sent it
  Answered, ///< the answer is stored
  Released  ///< its holder has not sent the request and never will
};

/// @brief Holds what the platform stores of one idempotency key.
struct ClaimRecord
{
  membership::Incarnation mHolder;
  std::uint64_t mTicket = 0;      ///< number of the request at its holder
  std::uint64_t mFingerprint = 0; ///< hash of client account and body
  ClaimState mState = ClaimState::Claimed;
  std::string mAnswer;        ///< JSON text if `Answered`
  std::string mBillingRecord; ///< JSON text if `Answered`

  /// @brief Tells whether two records are the same use of the key.
  [[nodiscard]] bool IsSameUse(const ClaimRecord& aOther) const
  {
    return mHolder == aOther.mHolder && mTicket == aOther.mTicket;
  }

  bool operator==(const ClaimRecord&) const = default;
};

/// @brief Prints a record as JSON.
[[nodiscard]] std::string
PrintClaim(const ClaimRecord& aRecord);

/// @brief Parses a record.
/// @return the record, or all findings, each with its JSON pointer
[[nodiscard]] Result<ClaimRecord>
ParseClaim(std::string_view aText);

/// @brief Reads the time that a UUID of version 7 names.
/// @return the time, or nothing where the text is no such UUID
[[nodiscard]] std::optional<TimePoint>
TimeOfKey(std::string_view aKey);

} // namespace figslip::claim
