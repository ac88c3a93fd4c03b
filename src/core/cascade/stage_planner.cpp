#include <figslip/cascade/stage_planner.hpp>

#include <figslip/evidence/task_key.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <optional>
#include <vector>

namespace figslip::cascade {

namespace {

/// Pseudo-counts of the prior, which applies before any evidence.
constexpr double kPriorGood = 4.0;
constexpr double kPriorBad = 1.0;
constexpr double kPriorAccepted = 2.0;
constexpr double kPriorEscalated = 1.0;

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};

template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

/// Standard errors by which the mean draw of quality is below the posterior.
constexpr double kQualityMarginStdErrors = 0.3;

struct StageEstimate
{
  double mAcceptProbability; ///< that the score reaches the stage's threshold
  double mGoodProbability;   ///< that a delivered answer is rated good
};

/// Draws from the posterior, so that stages with little evidence are explored.
StageEstimate
Estimate(const evidence::EvidenceCounts& aCounts, std::mt19937_64& aRandom)
{
  const auto good = static_cast<double>(aCounts.mGood) + kPriorGood;
  const auto bad = static_cast<double>(aCounts.mBad) + kPriorBad;
  const auto accepted = static_cast<double>(aCounts.mAccepted) + kPriorAccepted;
  const auto escalated =
    static_cast<double>(aCounts.mEscalated) + kPriorEscalated;
  const double rate = good / (good + bad);
  const double error = std::sqrt(rate * (1.0 - rate) / (good + bad));
  std::normal_distribution<double> draw;
  return { accepted / (accepted + escalated),
           std::clamp(rate + (draw(aRandom) - kQualityMarginStdErrors) * error,
                      0.0,
                      1.0) };
}

/// Holds the expected outcome of a request that starts at a stage, including
/// later escalations.
struct ExpectedOutcome
{
  double mCost = 0.0; ///< micro currency units per thousand tokens
  double mQuality = 0.0;
  Duration mLatency{}; ///< of the start stage alone
};

ExpectedOutcome
WithEscalation(const StageOption& aOption,
               const StageEstimate& aEstimate,
               const ExpectedOutcome& aNext)
{
  const double escalateProbability = 1.0 - aEstimate.mAcceptProbability;
  return { .mCost = static_cast<double>(aOption.mCostPerThousandTokens) +
                    escalateProbability * aNext.mCost,
           .mQuality =
             aEstimate.mAcceptProbability * aEstimate.mGoodProbability +
             escalateProbability * aNext.mQuality,
           .mLatency = aOption.mExpectedLatency };
}

} // namespace

StagePlanner::StagePlanner(const evidence::EvidenceStore& aEvidence,
                           StagePolicy aPolicy)
  : mEvidence(aEvidence)
  , mPolicy(aPolicy)
{
}

std::size_t
StagePlanner::ChooseStartStage(const PlanRequest& aRequest,
                               std::span<const StageOption> aOptions,
                               std::mt19937_64& aRandom)
{
  assert(!aOptions.empty());
  const auto last = aOptions.size() - 1;
  return std::visit(
    Overloaded{
      [&](const ExpectedCost&) {
        return MinExpectedCostStage(aRequest, aOptions, aRandom);
      },
      [&](const AlwaysBest&) { return last; },
      [&](const CheapestFirst&) { return std::size_t{ 0 }; },
      [&](const FixedShares&) {
        return std::uniform_int_distribution<std::size_t>(0, last)(aRandom);
      },
      [&](const RoundRobin&) { return mRoundRobinCount++ % aOptions.size(); },
    },
    mPolicy);
}

std::size_t
StagePlanner::MinExpectedCostStage(const PlanRequest& aRequest,
                                   std::span<const StageOption> aOptions,
                                   std::mt19937_64& aRandom) const
{
  using evidence::StagePath;
  const auto estimate = [&](const StageOption& aOption, StagePath aPath) {
    const auto taskKey =
      evidence::TaskKey(aRequest.mCascade.mName, aRequest.mTaskKind, aPath);
    return Estimate(mEvidence.Sum({ aOption.mVersion, taskKey }), aRandom);
  };
  std::vector<ExpectedOutcome> outcomes(aOptions.size());
  ExpectedOutcome escalated;
  // from the last stage to the first, as each depends on its successor
  for (std::size_t step = aOptions.size(); step-- > 0;) {
    const auto& option = aOptions[step];
    const bool isLast = step + 1 == aOptions.size();
    const bool isChecked = !isLast && !aRequest.mCommitted;
    auto first =
      estimate(option, isChecked ? StagePath::Checked : StagePath::Committed);
    auto later = estimate(option, StagePath::Escalated);
    if (!isChecked) {
      first.mAcceptProbability = 1.0;
      later.mAcceptProbability = 1.0;
    }
    outcomes[step] = WithEscalation(option, first, escalated);
    escalated = WithEscalation(option, later, escalated);
  }
  const auto inTime = [&](const ExpectedOutcome& aOutcome) {
    return aOutcome.mLatency <= aRequest.mTimeLeft;
  };
  const bool anyInTime = std::ranges::any_of(outcomes, inTime);
  std::optional<std::size_t> cheapest;
  std::size_t best = 0;
  double bestQuality = -1.0;
  for (std::size_t index = 0; index < outcomes.size(); ++index) {
    const auto& outcome = outcomes[index];
    if (anyInTime && !inTime(outcome)) {
      continue;
    }
    if (outcome.mQuality >= aRequest.mCascade.mQualityTarget &&
        (!cheapest || outcome.mCost < outcomes[*cheapest].mCost)) {
      cheapest = index;
    }
    if (outcome.mQuality >= bestQuality) {
      best = index;
      bestQuality = outcome.mQuality;
    }
  }
  return cheapest.value_or(best);
}

} // namespace figslip::cascade
