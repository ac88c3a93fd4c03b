#pragma once

#include "harness/history.hpp"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::test {

/// Lists what must always hold.
enum class Promise
{
  Permission,
  Withdrawn,
  Session,
  BilledOnce,
  ColdStart,
  DrainedDomain,
  LeavingUpstream,
  WholeAnswer,
  NotRunIsTrue,
  AtMostOnce,
  GracefulStop,
  Generation
};

/// Names the promises, in the order of the enumeration.
inline constexpr std::array<std::string_view, 12> kPromiseNames = {
  "permission",      "withdrawn",      "session",          "billed_once",
  "cold_start",      "drained_domain", "leaving_upstream", "whole_answer",
  "not_run_is_true", "at_most_once",   "graceful_stop",    "generation"
};

/// Reports one breach of a promise.
struct BrokenPromise
{
  Promise mPromise;
  std::string mText;
};

using BrokenPromises = std::vector<BrokenPromise>;

/// Time within which a change is in force everywhere, milliseconds.
inline constexpr Millis kChangeBound = 5'000;

/// @name Checks, one a promise
/// Each judges the records alone and reports every breach that it finds.
/// @{
[[nodiscard]] BrokenPromises
CheckPermission(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckWithdrawn(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckSession(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckBilledOnce(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckColdStart(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckDrainedDomain(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckLeavingUpstream(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckWholeAnswer(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckNotRunIsTrue(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckAtMostOnce(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckGracefulStop(const History& aHistory);
[[nodiscard]] BrokenPromises
CheckGeneration(const History& aHistory);
/// @}

/// Runs all checks.
[[nodiscard]] BrokenPromises
CheckHistory(const History& aHistory);

/// Prints one breach a line, each with the name of its promise.
[[nodiscard]] std::string
PrintBreaches(const BrokenPromises& aBreaches);

} // namespace figslip::test
