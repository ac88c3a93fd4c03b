#pragma once

#include <string>

namespace figslip::claim {

/// @brief Classifies the attempt to claim an idempotency key.
enum class ClaimEnd
{
  Won,         ///< this request holds the key and runs
  Answered,    ///< an earlier request with the key has an answer
  Unknown,     ///< the key is held and its outcome cannot be known
  Unavailable, ///< the platform gave no answer and nothing was claimed
  Expired,     ///< the key is older than the retention
  OtherRequest ///< the key was used for a different request
};

/// @brief Describes the result of claiming an idempotency key.
struct ClaimOutcome
{
  ClaimEnd mEnd = ClaimEnd::Unavailable;
  std::string mAnswer; ///< the stored answer if `Answered`
};

} // namespace figslip::claim
