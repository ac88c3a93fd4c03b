#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace figslip::routing {

/// @brief Classifies how an attempt ended.
enum class AttemptEnd
{
  Completed,    ///< the whole answer arrived
  NotConnected, ///< no connection was made, so no byte left
  Rejected,     ///< the upstream said that it did not run the request
  Broken,       ///< the connection broke after bytes may have left
  TimedOut,     ///< a step took too long after bytes may have left
  Failed,       ///< the upstream answered with an error after running it
  Cancelled     ///< the caller went away or the dispatch check said no
};

/// @brief Returns the name that logs use.
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

/// @brief Describes how an attempt ended.
struct AttemptOutcome
{
  AttemptEnd mEnd = AttemptEnd::Broken;
  std::string mBootId;      ///< boot id of the upstream, if it answered
  std::int64_t mTokens = 0; ///< tokens generated
  double mScore = 1.0;      ///< the engine's own score of its answer, [0, 1]
  bool mResponseStarted = false;  ///< part of the answer already left
  bool mReusedConnection = false; ///< a failure may be the connection's alone
  Duration mLatency{};            ///< from dispatch to the end
};

/// @brief Tells whether the upstream may have run the request.
[[nodiscard]] constexpr bool
MayHaveRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::Completed || aEnd == AttemptEnd::Broken ||
         aEnd == AttemptEnd::TimedOut || aEnd == AttemptEnd::Failed;
}

/// @brief Tells whether a failure may be that of an old connection alone.
///
/// Something between the two ends may have lost track of the connection while
/// new ones work, so the failure says nothing about the upstream.
[[nodiscard]] constexpr bool
IsConnectionFault(const AttemptOutcome& aOutcome)
{
  return aOutcome.mReusedConnection && (aOutcome.mEnd == AttemptEnd::Broken ||
                                        aOutcome.mEnd == AttemptEnd::TimedOut);
}

} // namespace figslip::routing
