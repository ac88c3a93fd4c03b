#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace figslip::rollout {

/// @brief Counts attempts on the new version at one upstream that reports the
/// speed of its machine.
struct MachineCounts
{
  std::int64_t mAttempts = 0;
  std::int64_t mSlow = 0;

  MachineCounts& operator+=(const MachineCounts& aOther);
  bool operator==(const MachineCounts&) const = default;
};

/// @brief Counts attempts on the new version and on the other ones, and the
/// degraded ones among them: those that failed or were slow.
struct RouteCounts
{
  std::int64_t mTarget = 0; ///< attempts on the new version
  std::int64_t mTargetDegraded = 0;
  std::int64_t mOthers = 0; ///< attempts on the other versions
  std::int64_t mOthersDegraded = 0;
  /// those of the attempts on the new version whose slowness counts by
  /// upstream; the slow ones among them are not in `mTargetDegraded`
  std::map<std::string, MachineCounts> mMachines;

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
  /// upstreams of the new version, as this instance knows; 0: unknown
  std::int64_t mMachineCount = 0;

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
  ///
  /// Slow attempts that count by upstream: one of each upstream counts in full,
  /// further ones only as far as they are as frequent at the better upstreams,
  /// without as many as may run on slow machines by chance. A slow version is
  /// slow at all of them, a slow machine is not.
  [[nodiscard]] double Evidence() const;

  /// @brief Returns the same for a part of the attempts. All of them tell at
  /// which upstreams slow attempts are frequent.
  [[nodiscard]] double EvidenceAmong(const ComparisonCounts& aAll) const;

  /// @brief Returns the total counts and the evidence for logs.
  [[nodiscard]] std::string Text() const;
  [[nodiscard]] std::string TextAmong(const ComparisonCounts& aAll) const;

private:
  /// Returns the part of each upstream's slow attempts that counts, [0, 1].
  [[nodiscard]] std::map<std::string, double> SlowWeights() const;
};

/// @brief Maximum numbers of latest attempts that an instance counts.
inline constexpr std::int64_t kMaxTargetAttempts = 128;
inline constexpr std::int64_t kMaxBaselineAttempts = 256;

} // namespace figslip::rollout
