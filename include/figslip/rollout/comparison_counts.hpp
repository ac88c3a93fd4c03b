#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace figslip::rollout {

/// @brief Counts attempts on the new version and on the other ones, and the
/// degraded ones among them: those that failed or were slow.
struct RouteCounts
{
  std::int64_t mTarget = 0; ///< attempts on the new version
  std::int64_t mTargetDegraded = 0;
  std::int64_t mOthers = 0; ///< attempts on the other versions
  std::int64_t mOthersDegraded = 0;

  RouteCounts& operator+=(const RouteCounts& aOther);
  bool operator==(const RouteCounts&) const = default;
};

/// @brief Holds the counts of a roll-out for each route.
///
/// Routes differ in how often their requests fail or are slow without any fault
/// of a version, so each is compared with itself.
struct ComparisonCounts
{
  std::map<std::string, RouteCounts> mRoutes;

  ComparisonCounts& operator+=(const ComparisonCounts& aOther);
  bool operator==(const ComparisonCounts&) const = default;

  /// @brief Returns the counts of all routes together.
  [[nodiscard]] RouteCounts Total() const;

  /// @brief Checks whether counts from outside are possible ones of an
  /// instance.
  [[nodiscard]] bool IsPlausible() const;

  /// @brief Returns the log evidence that attempts on the new version are
  /// degraded more often, on all routes or on one of them.
  ///
  /// The likelihood ratio of the attempts on the new version, averaged over
  /// several alternatives of how many more are degraded. The expected rate is
  /// that of the other versions on the same route, raised by its standard error
  /// and a tolerance. For a version that is no worse, the probability to reach
  /// a value x on given routes is about exp(-x).
  [[nodiscard]] double Evidence() const;

  /// @brief Returns the total counts and the evidence for logs.
  [[nodiscard]] std::string Text() const;
};

/// @brief Maximum numbers of latest attempts that an instance counts.
inline constexpr std::int64_t kMaxTargetAttempts = 128;
inline constexpr std::int64_t kMaxBaselineAttempts = 256;

} // namespace figslip::rollout
