#pragma once

namespace figslip::claim {

/// @brief Classifies the end of an attempt to claim an idempotency key.
enum class ClaimOutcome
{
  Won,         ///< this request holds the key and runs
  Answered,    ///< an earlier request with the key has an answer
  Unknown,     ///< the key is held and its outcome cannot be known
  Unavailable, ///< the platform does not answer; the request is not run
  Expired,     ///< the key is older than the retention
  FromFuture,  ///< the time of the key is ahead of the clock
  OtherRequest ///< the key was used for a different request
};

} // namespace figslip::claim
