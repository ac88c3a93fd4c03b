#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace figslip::routing {

/// @brief Lists the ways in which an attempt can end.
enum class AttemptEnd
{
  Completed,    ///< the complete answer was received
  NotConnected, ///< no connection was established, so no byte was sent
  Rejected,     ///< the upstream reported that it did not run the request
  Broken,       ///< the connection broke after bytes may have been sent
  TimedOut,     ///< a step timed out after bytes may have been sent
  Failed,       ///< the upstream ran the request and returned an error
  Cancelled     ///< the caller disconnected or the dispatch check failed
};

/// @brief Returns the name of an attempt end as written to logs.
[[nodiscard]] constexpr std::string_view
NameOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::Completed:
      return "whole";
    case AttemptEnd::NotConnected:
      return "not_connected";
    case AttemptEnd::Rejected:
      return "rejected";
    case AttemptEnd::Broken:
      return "broken";
    case AttemptEnd::TimedOut:
      return "timed_out";
    case AttemptEnd::Failed:
      return "failed";
    case AttemptEnd::Cancelled:
      break;
  }
  return "cancelled";
}

/// @brief Holds the result of one attempt at an upstream.
struct AttemptOutcome
{
  AttemptEnd mEnd = AttemptEnd::Broken;
  std::string mBootId; ///< boot id of the upstream; empty if it did not answer
  std::int64_t mTokens = 0; ///< number of generated tokens
  double mScore = 1.0;      ///< score that the engine gave its answer, [0, 1]
  bool mResponseStarted = false;  ///< part of the answer was sent to the caller
  bool mReusedConnection = false; ///< the connection may be stale
  Duration mLatency{}; ///< time from dispatch to the end of the attempt
};

/// @brief Checks whether the upstream may have run the request.
[[nodiscard]] constexpr bool
MayHaveRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::Completed || aEnd == AttemptEnd::Broken ||
         aEnd == AttemptEnd::TimedOut || aEnd == AttemptEnd::Failed;
}

/// @brief Checks whether a stale pooled connection may explain a failure.
///
/// A device on the path may have dropped the state of an idle connection while
/// new connections work, so the failure is no evidence against the upstream.
[[nodiscard]] constexpr bool
IsConnectionFault(const AttemptOutcome& aOutcome)
{
  return aOutcome.mReusedConnection && (aOutcome.mEnd == AttemptEnd::Broken ||
                                        aOutcome.mEnd == AttemptEnd::TimedOut);
}

} // namespace figslip::routing
