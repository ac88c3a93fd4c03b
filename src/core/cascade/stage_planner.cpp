#include <figslip/cascade/stage_planner.hpp>

#include <cassert>
#include <utility>

namespace figslip::cascade {

namespace {

/// Pseudo-counts that stand for an answer to be expected before any is seen.
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

struct StageEstimate
{
  double mAccept; ///< probability that the score reaches the stage
  double mGood;   ///< probability that an answer is rated good
};

StageEstimate
Estimate(const evidence::EvidenceCounts& aCounts)
{
  const auto good = static_cast<double>(aCounts.mGood) + kPriorGood;
  const auto bad = static_cast<double>(aCounts.mBad) + kPriorBad;
  const auto accepted = static_cast<double>(aCounts.mAccepted) + kPriorAccepted;
  const auto escalated =
    static_cast<double>(aCounts.mEscalated) + kPriorEscalated;
  return { accepted / (accepted + escalated), good / (good + bad) };
}

} // namespace

StagePlanner::StagePlanner(const evidence::EvidenceStore& aEvidence,
                           StagePolicy aPolicy)
  : mEvidence(aEvidence)
  , mPolicy(std::move(aPolicy))
{
}

std::size_t
StagePlanner::Start(const PlanRequest& aRequest,
                    std::span<const StageOption> aOptions,
                    std::mt19937_64& aRandom)
{
  assert(!aOptions.empty());
  const auto last = aOptions.size() - 1;
  return std::visit(
    Overloaded{
      [&](const ExpectedCost&) {
        return LeastExpectedCost(aRequest, aOptions);
      },
      [&](const AlwaysBest&) { return last; },
      [&](const CheapestFirst&) { return std::size_t{ 0 }; },
      [&](const FixedShares&) {
        return std::uniform_int_distribution<std::size_t>(0, last)(aRandom);
      },
      [&](const RoundRobin&) { return mTurn++ % aOptions.size(); },
    },
    mPolicy);
}

std::size_t
StagePlanner::LeastExpectedCost(const PlanRequest& aRequest,
                                std::span<const StageOption> aOptions) const
{
  std::size_t chosen = aOptions.size() - 1;
  double chosenCost = 0.0;
  double chosenQuality = -1.0;
  double costAfter = 0.0;
  double qualityAfter = 0.0;
  // from the last stage to the first, so that each builds on its successor
  for (std::size_t step = aOptions.size(); step-- > 0;) {
    const auto& option = aOptions[step];
    const auto estimate =
      Estimate(mEvidence.Sum({ option.mVersion, aRequest.mTaskKind }));
    const bool isLast = step + 1 == aOptions.size();
    const double accept =
      isLast || aRequest.mCommitted ? 1.0 : estimate.mAccept;
    const double cost = static_cast<double>(option.mCostPerThousandTokens) +
                        (1.0 - accept) * costAfter;
    const double quality =
      accept * estimate.mGood + (1.0 - accept) * qualityAfter;
    const double target = aRequest.mCascade.mQualityTarget;
    const bool reaches = quality >= target;
    const bool chosenReaches = chosenQuality >= target;
    const bool better =
      reaches && chosenReaches ? cost < chosenCost : quality > chosenQuality;
    if (better) {
      chosen = step;
      chosenCost = cost;
      chosenQuality = quality;
    }
    costAfter = cost;
    qualityAfter = quality;
  }
  return chosen;
}

} // namespace figslip::cascade
