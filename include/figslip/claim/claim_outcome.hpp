#pragma once

namespace figslip::claim {

/// @brief Classifies the outcome of an attempt to claim an idempotency key.
enum class ClaimOutcome
{
  Won,         ///< this request holds the key and may run
  Answered,    ///< the answer of an earlier request with the key is stored
  Unknown,     ///< the key is held and its outcome cannot be determined
  Unavailable, ///< the platform does not respond; the request is not run
  Expired,     ///< the key is malformed or older than the retention time
  FromFuture,  ///< the time of the key is too far ahead of the clock
  OtherRequest ///< the key was used for a different request
};

} // namespace figslip::claim
