#include <figslip/rollout/sequential_test.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <map>

namespace figslip::rollout {

namespace {

using evidence::EvidenceCounts;

/// Factors on the odds of a good rating under the alternatives.
constexpr std::array kRatingFactors{ 0.5, 0.25, 0.1 };
/// Factors on the odds of an error under the alternatives.
constexpr std::array kErrorFactors{ 3.0, 10.0, 30.0 };
/// Odds factor of a version too bad to grow.
constexpr double kGrowthFactor = 0.5;
/// Ratings or attempts that a reference rate needs.
constexpr double kLeastReference = 20.0;
/// Standard errors by which a reference rate is eased.
constexpr double kEase = 2.5;
/// Share of errors that is borne from any version.
constexpr double kBorneErrors = 0.02;
constexpr double kLowestRate = 0.05;
constexpr double kHighestRate = 0.98;

/// Logs of the evidence for each alternative.
using Logs = std::array<double, kRatingFactors.size()>;

double
ScaleOdds(double aRate, double aFactor)
{
  const double odds = aFactor * aRate / (1.0 - aRate);
  return odds / (1.0 + odds);
}

double
LogRatio(double aHits, double aMisses, double aBase, double aAlternative)
{
  return aHits * std::log(aAlternative / aBase) +
         aMisses * std::log((1.0 - aAlternative) / (1.0 - aBase));
}

/// Averages evidence that is given as logs.
double
LogMean(const Logs& aLogs)
{
  const double largest = *std::ranges::max_element(aLogs);
  double sum = 0.0;
  for (const double log : aLogs) {
    sum += std::exp(log - largest);
  }
  return largest + std::log(sum / static_cast<double>(aLogs.size()));
}

struct Bernoulli
{
  double mHits = 0.0;
  double mMisses = 0.0;

  [[nodiscard]] double Count() const { return mHits + mMisses; }
};

Bernoulli
RatingsOf(const EvidenceCounts& aCounts)
{
  return { static_cast<double>(aCounts.mGood),
           static_cast<double>(aCounts.mBad) };
}

Bernoulli
ScoresOf(const EvidenceCounts& aCounts)
{
  return { static_cast<double>(aCounts.mAccepted),
           static_cast<double>(aCounts.mEscalated) };
}

Bernoulli
ErrorsOf(const EvidenceCounts& aCounts)
{
  return { static_cast<double>(aCounts.mErrors),
           static_cast<double>(aCounts.mAnswered) };
}

/// Eases a rate in the given direction by its standard error.
double
EasedRate(const Bernoulli& aReference, double aDirection)
{
  const double rate = (aReference.mHits + 1.0) / (aReference.Count() + 2.0);
  const double error =
    std::sqrt(rate * (1.0 - rate) / (aReference.Count() + 2.0));
  return rate + aDirection * kEase * error;
}

void
AddRatings(Logs& aLogs, const Bernoulli& aSeen, const Bernoulli& aReference)
{
  if (aReference.Count() < kLeastReference) {
    return;
  }
  const double base =
    std::clamp(EasedRate(aReference, -1.0), kLowestRate, kHighestRate);
  for (std::size_t index = 0; index < aLogs.size(); ++index) {
    aLogs[index] += LogRatio(
      aSeen.mHits, aSeen.mMisses, base, ScaleOdds(base, kRatingFactors[index]));
  }
}

void
AddErrors(Logs& aLogs, const Bernoulli& aSeen, const Bernoulli& aReference)
{
  const bool known = aReference.Count() >= kLeastReference;
  const double base =
    std::clamp(known ? EasedRate(aReference, 1.0) : kBorneErrors,
               kBorneErrors,
               kHighestRate);
  for (std::size_t index = 0; index < aLogs.size(); ++index) {
    aLogs[index] += LogRatio(
      aSeen.mHits, aSeen.mMisses, base, ScaleOdds(base, kErrorFactors[index]));
  }
}

/// Sums the counts at or after a span, and those before it.
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

/// Lists the spans in which any stratum has counts.
std::vector<std::int64_t>
Starts(const std::vector<TestStratum>& aStrata)
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

/// Weighs the ratings seen for a version no worse than its reference.
double
Growth(const std::vector<TestStratum>& aStrata)
{
  double growth = 0.0;
  for (const auto& stratum : aStrata) {
    const auto reference = RatingsOf(stratum.mReference);
    if (reference.Count() < kLeastReference) {
      continue;
    }
    const auto seen = RatingsOf(SplitAt(*stratum.mSeries, 0).mAfter);
    const double base =
      std::clamp(EasedRate(reference, -1.0), kLowestRate, kHighestRate);
    growth -=
      LogRatio(seen.mHits, seen.mMisses, base, ScaleOdds(base, kGrowthFactor));
  }
  return growth;
}

} // namespace

TestResult
TestVersion(const std::vector<TestStratum>& aStrata)
{
  TestResult result{ .mGrowth = Growth(aStrata) };
  for (const auto start : Starts(aStrata)) {
    Logs ratings{};
    Logs errors{};
    Logs scores{};
    for (const auto& stratum : aStrata) {
      const auto split = SplitAt(*stratum.mSeries, start);
      auto reference = stratum.mReference;
      reference += split.mBefore;
      AddRatings(ratings, RatingsOf(split.mAfter), RatingsOf(reference));
      AddRatings(scores, ScoresOf(split.mAfter), ScoresOf(reference));
      AddErrors(errors, ErrorsOf(split.mAfter), ErrorsOf(reference));
    }
    result.mRatings = std::max(result.mRatings, LogMean(ratings));
    result.mScores = std::max(result.mScores, LogMean(scores));
    result.mErrors = std::max(result.mErrors, LogMean(errors));
  }
  return result;
}

} // namespace figslip::rollout
