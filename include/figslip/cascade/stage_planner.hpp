#pragma once

#include <figslip/cascade/stage_policy.hpp>
#include <figslip/evidence/evidence_store.hpp>
#include <figslip/manifest/manifest_index.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace figslip::cascade {

/// @brief Describes a stage that is available to a request.
struct StageOption
{
  std::size_t mStage = 0;                  ///< index in the cascade
  std::string mVersion;                    ///< version that would run
  std::int64_t mCostPerThousandTokens = 0; ///< micro currency units
  Duration mExpectedLatency{};             ///< of a complete answer
};

/// @brief Holds the properties of a request that the planner uses.
struct PlanRequest
{
  const manifest::Cascade& mCascade;
  std::string mTaskKind;
  bool mCommitted = false; ///< no escalation is possible, as for streams
  Duration mTimeLeft{};    ///< until the deadline
};

/// @brief Chooses the stage of a cascade at which a request starts.
///
/// Draws the quality of each stage, including escalations, from its posterior
/// (Thompson sampling). Among the stages whose draw reaches the quality target,
/// chooses the one with the minimum expected cost; if none does, the one with
/// the highest quality. Stages that would end after the deadline are skipped,
/// unless all would.
class StagePlanner
{
public:
  explicit StagePlanner(const evidence::EvidenceStore& aEvidence,
                        StagePolicy aPolicy = ExpectedCost{});

  /// @brief Chooses the start stage by the policy.
  /// @param[in] aOptions available stages, cheapest first; not empty
  /// @param[in] aRandom source of the draws
  /// @return index into `aOptions`
  [[nodiscard]] std::size_t ChooseStartStage(
    const PlanRequest& aRequest,
    std::span<const StageOption> aOptions,
    std::mt19937_64& aRandom);

private:
  [[nodiscard]] std::size_t MinExpectedCostStage(
    const PlanRequest& aRequest,
    std::span<const StageOption> aOptions,
    std::mt19937_64& aRandom) const;

  const evidence::EvidenceStore& mEvidence;
  StagePolicy mPolicy;
  std::size_t mRoundRobinCount = 0; ///< choices made by `RoundRobin`
};

} // namespace figslip::cascade
