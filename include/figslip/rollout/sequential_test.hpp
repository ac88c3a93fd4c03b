#pragma once

#include <figslip/evidence/evidence_store.hpp>

#include <vector>

namespace figslip::rollout {

/// @brief Holds the counts of one version on one task key.
struct TestStratum
{
  const evidence::EvidenceSeries* mSeries = nullptr; ///< of the version tested
  evidence::EvidenceCounts mReference; ///< of the other stable versions
};

/// @brief Weighs the evidence that a version is bad.
struct TestResult
{
  double mRatingEvidence = 0.0; ///< log of the evidence by ratings, >= 0
  double mErrorEvidence = 0.0;  ///< log of the evidence by errors, >= 0
  double mScoreEvidence =
    0.0; ///< log of the evidence by the engine's scores, >= 0
  double mGrowthEvidence =
    0.0; ///< log of the evidence that ratings are no worse
};

/// @brief Log evidence at which a version is stopped.
///
/// With a right reference, a good version is stopped by one of the two tests
/// in a given span of time with a chance of at most 2 exp(-12.2) = 1e-5: the
/// evidence from each start is a test martingale of mean one (Ville), and
/// there is one start a span.
inline constexpr double kStopThreshold = 12.2;

/// @brief Log evidence, scores included, at which a roll-out is held back.
///
/// An engine's own score comes at once and for every checked answer, but it is
/// no rating: it may hold a roll-out back, and never stops a version.
inline constexpr double kHoldThreshold = 3.5;

/// @brief Tests a version on the counts of the spans kept.
///
/// From each span as the possible start of trouble, multiplies the likelihood
/// ratios of the later counts, averaged over several alternatives (a mixture
/// test with unknown time of change). The reference rate of a start is that of
/// the other stable versions and of the version itself before the start, less
/// an allowance for its own error. The result depends on the counts alone, so
/// entries with equal counts come to equal verdicts, in whatever order the
/// counts came. O(strata * spans).
[[nodiscard]] TestResult
TestVersion(const std::vector<TestStratum>& aStrata);

} // namespace figslip::rollout
