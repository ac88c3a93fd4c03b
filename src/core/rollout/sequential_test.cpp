#include <figslip/rollout/sequential_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>

namespace figslip::rollout {

namespace {

using evidence::EvidenceCounts;

/// Factors on the odds of a good rating, one for each alternative.
constexpr std::array kRatingOddsFactors{ 0.5, 0.25, 0.1 };
/// Factors on the odds of an error, one for each alternative.
constexpr std::array kErrorOddsFactors{ 3.0, 10.0, 30.0 };
/// Factor on the odds of a good rating at which a version must not grow.
constexpr double kGrowthOddsFactor = 0.5;
/// Ratings or attempts required for a reference rate.
constexpr double kMinReferenceCount = 20.0;
/// Margin of a reference rate, in standard errors.
constexpr double kMarginStandardErrors = 2.5;
/// Fraction of errors that is tolerated of any version.
constexpr double kToleratedErrorFraction = 0.02;
constexpr double kMinReferenceRate = 0.05;
constexpr double kMaxReferenceRate = 0.98;

/// Log likelihood ratio of each alternative.
using LogLikelihoods = std::array<double, kRatingOddsFactors.size()>;

double
ScaleOdds(double aRate, double aFactor)
{
  const double odds = aFactor * aRate / (1.0 - aRate);
  return odds / (1.0 + odds);
}

double
LogLikelihoodRatio(double aHits,
                   double aMisses,
                   double aBase,
                   double aAlternative)
{
  return aHits * std::log(aAlternative / aBase) +
         aMisses * std::log((1.0 - aAlternative) / (1.0 - aBase));
}

/// Returns the logarithm of the mean of values given as logarithms; subtracts
/// the largest one first, against overflow.
double
LogMeanExp(const LogLikelihoods& aLogs)
{
  const double largest = *std::ranges::max_element(aLogs);
  double sum = 0.0;
  for (const double log : aLogs) {
    sum += std::exp(log - largest);
  }
  return largest + std::log(sum / static_cast<double>(aLogs.size()));
}

struct BernoulliCounts
{
  double mHits = 0.0;
  double mMisses = 0.0;

  [[nodiscard]] double Total() const { return mHits + mMisses; }
};

BernoulliCounts
RatingsOf(const EvidenceCounts& aCounts)
{
  return { static_cast<double>(aCounts.mGood),
           static_cast<double>(aCounts.mBad) };
}

BernoulliCounts
ScoresOf(const EvidenceCounts& aCounts)
{
  return { static_cast<double>(aCounts.mAccepted),
           static_cast<double>(aCounts.mEscalated) };
}

BernoulliCounts
ErrorsOf(const EvidenceCounts& aCounts)
{
  return { static_cast<double>(aCounts.mErrors),
           static_cast<double>(aCounts.mAnswered) };
}

/// Returns the rate of a reference, shifted by its margin for sampling error.
/// @param[in] aDirection 1 raises the rate, -1 lowers it
double
RateWithMargin(const BernoulliCounts& aReference, double aDirection)
{
  const double rate = (aReference.mHits + 1.0) / (aReference.Total() + 2.0);
  const double error =
    std::sqrt(rate * (1.0 - rate) / (aReference.Total() + 2.0));
  return rate + aDirection * kMarginStandardErrors * error;
}

void
AddSuccessEvidence(LogLikelihoods& aLogs,
                   const BernoulliCounts& aSeen,
                   const BernoulliCounts& aReference)
{
  if (aReference.Total() < kMinReferenceCount) {
    return;
  }
  const double base = std::clamp(
    RateWithMargin(aReference, -1.0), kMinReferenceRate, kMaxReferenceRate);
  for (std::size_t index = 0; index < aLogs.size(); ++index) {
    aLogs[index] +=
      LogLikelihoodRatio(aSeen.mHits,
                         aSeen.mMisses,
                         base,
                         ScaleOdds(base, kRatingOddsFactors[index]));
  }
}

void
AddErrorEvidence(LogLikelihoods& aLogs,
                 const BernoulliCounts& aSeen,
                 const BernoulliCounts& aReference)
{
  const bool known = aReference.Total() >= kMinReferenceCount;
  const double base = std::clamp(known ? RateWithMargin(aReference, 1.0)
                                       : kToleratedErrorFraction,
                                 kToleratedErrorFraction,
                                 kMaxReferenceRate);
  for (std::size_t index = 0; index < aLogs.size(); ++index) {
    aLogs[index] +=
      LogLikelihoodRatio(aSeen.mHits,
                         aSeen.mMisses,
                         base,
                         ScaleOdds(base, kErrorOddsFactors[index]));
  }
}

/// Sums of the counts from a bucket on, and of those before it.
struct Split
{
  EvidenceCounts mAfter;
  EvidenceCounts mBefore;
};

Split
SplitAt(const evidence::EvidenceSeries& aSeries, std::int64_t aStart)
{
  Split split;
  for (const auto& [bucket, counts] : aSeries) {
    (bucket < aStart ? split.mBefore : split.mAfter) += counts;
  }
  return split;
}

/// Returns the buckets in which any stratum has counts, in ascending order.
std::vector<std::int64_t>
CandidateStarts(const std::vector<TestStratum>& aStrata)
{
  std::vector<std::int64_t> starts;
  for (const auto& stratum : aStrata) {
    for (const auto& [bucket, counts] : *stratum.mSeries) {
      starts.push_back(bucket);
    }
  }
  std::ranges::sort(starts);
  const auto rest = std::ranges::unique(starts);
  starts.erase(rest.begin(), rest.end());
  return starts;
}

/// Returns the log evidence that the ratings are no worse than the reference.
double
GrowthEvidence(const std::vector<TestStratum>& aStrata)
{
  double growth = 0.0;
  for (const auto& stratum : aStrata) {
    const auto reference = RatingsOf(stratum.mReference);
    if (reference.Total() < kMinReferenceCount) {
      continue;
    }
    const auto seen = RatingsOf(SplitAt(*stratum.mSeries, 0).mAfter);
    const double base = std::clamp(
      RateWithMargin(reference, -1.0), kMinReferenceRate, kMaxReferenceRate);
    growth -= LogLikelihoodRatio(
      seen.mHits, seen.mMisses, base, ScaleOdds(base, kGrowthOddsFactor));
  }
  return growth;
}

} // namespace

TestResult
TestVersion(const std::vector<TestStratum>& aStrata)
{
  TestResult result{ .mGrowthEvidence = GrowthEvidence(aStrata) };
  for (const auto start : CandidateStarts(aStrata)) {
    LogLikelihoods ratings{};
    LogLikelihoods errors{};
    LogLikelihoods scores{};
    for (const auto& stratum : aStrata) {
      const auto split = SplitAt(*stratum.mSeries, start);
      auto reference = stratum.mReference;
      reference += split.mBefore;
      AddSuccessEvidence(
        ratings, RatingsOf(split.mAfter), RatingsOf(reference));
      AddSuccessEvidence(scores, ScoresOf(split.mAfter), ScoresOf(reference));
      AddErrorEvidence(errors, ErrorsOf(split.mAfter), ErrorsOf(reference));
    }
    result.mRatingEvidence =
      std::max(result.mRatingEvidence, LogMeanExp(ratings));
    result.mScoreEvidence = std::max(result.mScoreEvidence, LogMeanExp(scores));
    result.mErrorEvidence = std::max(result.mErrorEvidence, LogMeanExp(errors));
  }
  return result;
}

} // namespace figslip::rollout
