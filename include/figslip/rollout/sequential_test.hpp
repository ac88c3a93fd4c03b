#pragma once

#include <figslip/evidence/evidence_store.hpp>

#include <vector>

namespace figslip::rollout {

/// @brief Holds the counts of the tested version and its reference for one task
/// key.
struct TestStratum
{
  const evidence::EvidenceSeries* mSeries = nullptr; ///< of the tested version
  evidence::EvidenceCounts mReference; ///< of the other stable versions
};

/// @brief Natural logarithms of the evidence (likelihood ratios) on a version.
struct TestResult
{
  double mRatingEvidence = 0.0; ///< that ratings are worse, >= 0
  double mErrorEvidence = 0.0;  ///< that errors are more frequent, >= 0
  double mScoreEvidence = 0.0;  ///< that engine scores are worse, >= 0
  double mGrowthEvidence = 0.0; ///< that ratings are no worse
};

/// @brief Log evidence at which a version is stopped.
///
/// With a correct reference, the probability that one of the two tests (ratings
/// and errors) stops a good version in a given bucket is at most
/// 2 exp(-12.2) = 1e-5: the evidence from each start is a test martingale with
/// mean one (Ville's inequality), and there is one start per bucket.
inline constexpr double kStopThreshold = 12.2;

/// @brief Log evidence, including scores, at which a roll-out is held back.
///
/// Engine scores are available immediately and for every checked answer, but
/// they are not ratings: they can hold back a roll-out but never stop a
/// version.
inline constexpr double kHoldThreshold = 3.5;

/// @brief Tests whether a version became worse at an unknown point in time.
///
/// Every bucket is a candidate for the start of the degradation. For each one,
/// the likelihood ratios of the counts from that bucket on are multiplied, and
/// averaged over several alternatives (a mixture test with an unknown change
/// point). The reference rate combines the other stable versions with the
/// version itself before the start, and is relaxed by a margin for its sampling
/// error. The result depends on the counts only, so that instances with equal
/// counts reach the same decision regardless of the order of arrival. The
/// complexity is O(strata * buckets).
[[nodiscard]] TestResult
TestVersion(const std::vector<TestStratum>& aStrata);

} // namespace figslip::rollout
