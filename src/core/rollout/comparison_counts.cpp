#include <figslip/rollout/comparison_counts.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <ranges>

namespace figslip::rollout {

namespace {

/// Alternatives: fractions of the attempts that a bad version degrades beyond
/// those that are degraded anyway.
constexpr auto kAlternatives = std::to_array<double>({ 0.15, 0.3, 0.5 });

/// Expected rate of degraded attempts before any are counted, and the number of
/// attempts that this expectation is worth.
constexpr double kPriorRate = 0.02;
constexpr double kPriorAttempts = 5.0;

/// Number of attempts that are added for the standard error of the rate.
constexpr double kErrorAttempts = 20.0;

/// A version may be degraded this much more often than the others.
constexpr double kTolerance = 0.01;
constexpr double kMaxExpectedRate = 0.95;

/// Limits of counts from outside.
constexpr std::size_t kMaxRoutes = 64;
constexpr std::size_t kMaxRouteNameBytes = 256;

using LogRatios = std::array<double, kAlternatives.size()>;

/// Returns a rate that is drawn towards an expected one while there are few
/// attempts.
double
ShrunkRate(std::int64_t aDegraded, std::int64_t aAttempts, double aExpected)
{
  return (static_cast<double>(aDegraded) + kPriorAttempts * aExpected) /
         (static_cast<double>(aAttempts) + kPriorAttempts);
}

/// Returns the log likelihood ratio of a route for each alternative.
LogRatios
LogRatiosOf(const RouteCounts& aCounts, double aUsualRate)
{
  const double rate =
    ShrunkRate(aCounts.mOthersDegraded, aCounts.mOthers, aUsualRate);
  const double error =
    std::sqrt(rate * (1.0 - rate) /
              (static_cast<double>(aCounts.mOthers) + kErrorAttempts));
  const double expected = std::min(kMaxExpectedRate, rate + error + kTolerance);
  const auto degraded = static_cast<double>(aCounts.mTargetDegraded);
  const auto sound = static_cast<double>(aCounts.mTarget) - degraded;
  LogRatios ratios{};
  std::ranges::transform(kAlternatives, ratios.begin(), [&](double aExcess) {
    const double alternative = expected + (1.0 - expected) * aExcess;
    return degraded * std::log(alternative / expected) +
           sound * std::log(1.0 - aExcess);
  });
  return ratios;
}

/// Returns the logarithm of the mean likelihood ratio.
double
LogMeanOf(const LogRatios& aRatios)
{
  const double largest = std::ranges::max(aRatios);
  double sum = 0.0;
  for (const double ratio : aRatios) {
    sum += std::exp(ratio - largest);
  }
  return largest + std::log(sum / static_cast<double>(aRatios.size()));
}

bool
IsPossible(std::int64_t aDegraded, std::int64_t aAttempts, std::int64_t aMax)
{
  return 0 <= aDegraded && aDegraded <= aAttempts && aAttempts <= aMax;
}

} // namespace

RouteCounts&
RouteCounts::operator+=(const RouteCounts& aOther)
{
  mTarget += aOther.mTarget;
  mTargetDegraded += aOther.mTargetDegraded;
  mOthers += aOther.mOthers;
  mOthersDegraded += aOther.mOthersDegraded;
  return *this;
}

ComparisonCounts&
ComparisonCounts::operator+=(const ComparisonCounts& aOther)
{
  for (const auto& [route, counts] : aOther.mRoutes) {
    mRoutes[route] += counts;
  }
  return *this;
}

RouteCounts
ComparisonCounts::Total() const
{
  RouteCounts total;
  for (const auto& counts : mRoutes | std::views::values) {
    total += counts;
  }
  return total;
}

bool
ComparisonCounts::IsPlausible() const
{
  const bool areRoutesPossible =
    mRoutes.size() <= kMaxRoutes &&
    std::ranges::all_of(mRoutes, [](const auto& aRoute) {
      const auto& [name, counts] = aRoute;
      return name.size() <= kMaxRouteNameBytes &&
             IsPossible(
               counts.mTargetDegraded, counts.mTarget, kMaxTargetAttempts) &&
             IsPossible(
               counts.mOthersDegraded, counts.mOthers, kMaxBaselineAttempts);
    });
  if (!areRoutesPossible) {
    return false;
  }
  const auto total = Total();
  return total.mTarget <= kMaxTargetAttempts &&
         total.mOthers <= kMaxBaselineAttempts;
}

double
ComparisonCounts::Evidence() const
{
  const auto total = Total();
  const double usualRate = std::max(
    kPriorRate, ShrunkRate(total.mOthersDegraded, total.mOthers, kPriorRate));
  LogRatios all{};
  double worstRoute = -std::numeric_limits<double>::infinity();
  bool isTried = false;
  for (const auto& counts : mRoutes | std::views::values) {
    if (counts.mTarget == 0) {
      continue;
    }
    const auto ratios = LogRatiosOf(counts, usualRate);
    std::ranges::transform(all, ratios, all.begin(), std::plus<>{});
    worstRoute = std::max(worstRoute, LogMeanOf(ratios));
    isTried = true;
  }
  return isTried ? std::max(LogMeanOf(all), worstRoute) : 0.0;
}

std::string
ComparisonCounts::Text() const
{
  constexpr double kHundredths = 100.0;
  const auto total = Total();
  const auto hundredths = std::llround(Evidence() * kHundredths);
  return std::to_string(total.mTargetDegraded) + " of " +
         std::to_string(total.mTarget) + " attempts degraded, others " +
         std::to_string(total.mOthersDegraded) + " of " +
         std::to_string(total.mOthers) + ", evidence " +
         std::to_string(hundredths) + "/100";
}

} // namespace figslip::rollout
