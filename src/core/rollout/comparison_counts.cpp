#include <figslip/rollout/comparison_counts.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <iterator>
#include <limits>
#include <ranges>
#include <vector>

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

/// Fraction of the machines that may be slow, and the standard errors by which
/// those that run the new version may exceed it by chance (1 in 200).
constexpr double kSlowMachines = 0.25;
constexpr double kSlowMachineErrors = 2.6;

/// Sound attempts that are added for the common rate.
constexpr std::int64_t kPriorCommonAttempts = 2;

/// Slow attempts of each upstream that count in any case. They compare machines
/// drawn at random with the machines of the others.
constexpr double kFreeSlowAttempts = 1.0;

/// Number of upstreams below which the draw may be too uneven for that: then
/// more upstreams must have slow attempts than there are slow machines by
/// chance.
constexpr std::int64_t kManyMachines = 8;

/// Limits of counts from outside.
constexpr std::size_t kMaxRoutes = 64;
constexpr std::size_t kMaxRouteNameBytes = 256;
constexpr std::size_t kMaxUpstreamNameBytes = 256;

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
LogRatiosOf(const RouteCounts& aCounts, double aDegraded, double aUsualRate)
{
  const double rate =
    ShrunkRate(aCounts.mOthersDegraded, aCounts.mOthers, aUsualRate);
  const double error =
    std::sqrt(rate * (1.0 - rate) /
              (static_cast<double>(aCounts.mOthers) + kErrorAttempts));
  const double expected = std::min(kMaxExpectedRate, rate + error + kTolerance);
  const auto sound = static_cast<double>(aCounts.mTarget) - aDegraded;
  LogRatios ratios{};
  std::ranges::transform(kAlternatives, ratios.begin(), [&](double aExcess) {
    const double alternative = expected + (1.0 - expected) * aExcess;
    return aDegraded * std::log(alternative / expected) +
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

double
RateOf(const MachineCounts& aCounts)
{
  return static_cast<double>(aCounts.mSlow) /
         static_cast<double>(std::max<std::int64_t>(1, aCounts.mAttempts));
}

/// Returns how many of some machines may be slow by chance.
std::int64_t
MaxSlowMachines(std::int64_t aMachines)
{
  const auto count = static_cast<double>(aMachines);
  const double error = std::sqrt(count * kSlowMachines * (1.0 - kSlowMachines));
  return std::min(aMachines,
                  static_cast<std::int64_t>(count * kSlowMachines +
                                            kSlowMachineErrors * error));
}

/// Returns the degraded attempts on the new version, with the slow ones by
/// their weights.
double
DegradedOf(const RouteCounts& aCounts,
           const std::map<std::string, double>& aWeights)
{
  auto degraded = static_cast<double>(aCounts.mTargetDegraded);
  for (const auto& [upstream, counts] : aCounts.mMachines) {
    degraded += static_cast<double>(counts.mSlow) * aWeights.at(upstream);
  }
  return degraded;
}

bool
AreMachinesPossible(const RouteCounts& aCounts)
{
  MachineCounts total;
  for (const auto& counts : aCounts.mMachines | std::views::values) {
    const bool isPossible = 0 <= counts.mSlow &&
                            counts.mSlow <= counts.mAttempts &&
                            counts.mAttempts <= aCounts.mTarget;
    if (!isPossible) {
      return false;
    }
    total += counts;
  }
  return total.mAttempts <= aCounts.mTarget &&
         total.mSlow + aCounts.mTargetDegraded <= aCounts.mTarget &&
         std::ranges::all_of(aCounts.mMachines, [](const auto& aMachine) {
           return aMachine.first.size() <= kMaxUpstreamNameBytes;
         });
}

bool
IsPossible(std::int64_t aDegraded, std::int64_t aAttempts, std::int64_t aMax)
{
  return 0 <= aDegraded && aDegraded <= aAttempts && aAttempts <= aMax;
}

} // namespace

MachineCounts&
MachineCounts::operator+=(const MachineCounts& aOther)
{
  mAttempts += aOther.mAttempts;
  mSlow += aOther.mSlow;
  return *this;
}

RouteCounts&
RouteCounts::operator+=(const RouteCounts& aOther)
{
  mTarget += aOther.mTarget;
  mTargetDegraded += aOther.mTargetDegraded;
  mOthers += aOther.mOthers;
  mOthersDegraded += aOther.mOthersDegraded;
  for (const auto& [upstream, counts] : aOther.mMachines) {
    mMachines[upstream] += counts;
  }
  return *this;
}

ComparisonCounts&
ComparisonCounts::operator+=(const ComparisonCounts& aOther)
{
  for (const auto& [route, counts] : aOther.mRoutes) {
    mRoutes[route] += counts;
  }
  mMachineCount = std::max(mMachineCount, aOther.mMachineCount);
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
               counts.mOthersDegraded, counts.mOthers, kMaxBaselineAttempts) &&
             AreMachinesPossible(counts);
    });
  if (!areRoutesPossible) {
    return false;
  }
  const auto total = Total();
  return total.mTarget <= kMaxTargetAttempts &&
         total.mOthers <= kMaxBaselineAttempts;
}

std::map<std::string, double>
ComparisonCounts::SlowWeights() const
{
  const auto machines = Total().mMachines;
  const auto known = std::max<std::int64_t>(
    std::ssize(machines), std::min(mMachineCount, kManyMachines));
  const auto excluded = MaxSlowMachines(known);
  std::vector<MachineCounts> counts;
  std::ranges::copy(machines | std::views::values, std::back_inserter(counts));
  std::ranges::sort(counts, std::greater<>{}, RateOf);
  const bool isFree = known >= kManyMachines;
  MachineCounts rest;
  for (const auto& machine : counts | std::views::drop(excluded)) {
    rest += machine;
  }
  // few attempts tell little of the common rate
  rest.mAttempts += kPriorCommonAttempts;
  const double commonRate = RateOf(rest);
  std::map<std::string, double> weights;
  for (const auto& [upstream, machine] : machines) {
    const double common = commonRate * static_cast<double>(machine.mAttempts);
    // the common number may be exceeded by chance
    const double limit =
      (isFree ? kFreeSlowAttempts : 0.0) + common + std::sqrt(common);
    weights[upstream] =
      std::min(1.0, limit / std::max(1.0, static_cast<double>(machine.mSlow)));
  }
  return weights;
}

double
ComparisonCounts::Evidence() const
{
  return EvidenceAmong(*this);
}

double
ComparisonCounts::EvidenceAmong(const ComparisonCounts& aAll) const
{
  const auto total = Total();
  const auto weights = aAll.SlowWeights();
  const double usualRate = std::max(
    kPriorRate, ShrunkRate(total.mOthersDegraded, total.mOthers, kPriorRate));
  LogRatios all{};
  double worstRoute = -std::numeric_limits<double>::infinity();
  bool isTried = false;
  for (const auto& counts : mRoutes | std::views::values) {
    if (counts.mTarget == 0) {
      continue;
    }
    const auto ratios =
      LogRatiosOf(counts, DegradedOf(counts, weights), usualRate);
    std::ranges::transform(all, ratios, all.begin(), std::plus<>{});
    worstRoute = std::max(worstRoute, LogMeanOf(ratios));
    isTried = true;
  }
  return isTried ? std::max(LogMeanOf(all), worstRoute) : 0.0;
}

std::string
ComparisonCounts::Text() const
{
  return TextAmong(*this);
}

std::string
ComparisonCounts::TextAmong(const ComparisonCounts& aAll) const
{
  constexpr double kHundredths = 100.0;
  const auto total = Total();
  const auto hundredths = std::llround(EvidenceAmong(aAll) * kHundredths);
  const auto degraded = std::llround(DegradedOf(total, aAll.SlowWeights()));
  std::int64_t slow = 0;
  for (const auto& machine : total.mMachines | std::views::values) {
    slow += machine.mSlow;
  }
  return std::to_string(degraded) + " of " + std::to_string(total.mTarget) +
         " attempts degraded, " +
         (slow > 0 ? std::to_string(slow) + " slow ones counted by upstream, "
                   : std::string()) +
         "others " + std::to_string(total.mOthersDegraded) + " of " +
         std::to_string(total.mOthers) + ", evidence " +
         std::to_string(hundredths) + "/100";
}

} // namespace figslip::rollout
