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

/// @brief Describes one stage that a request may run on now.
struct StageOption
{
  std::size_t mStage = 0;                  ///< index in the cascade
  std::string mVersion;                    ///< version that would run
  std::int64_t mCostPerThousandTokens = 0; ///< micro currency units
  Duration mExpectedLatency{};             ///< of one whole answer
};

/// @brief Holds what the planner needs to know of a request.
struct PlanRequest
{
  const manifest::Cascade& mCascade;
  std::string mTaskKind;
  bool mCommitted = false; ///< no escalation is possible, as in a stream
  Duration mTimeLeft{};    ///< until the deadline
};

/// @brief Chooses the stage of a cascade that a request starts on.
///
/// Draws the quality of each stage, escalations included, from what is known
/// of it (Thompson sampling). Among the stages whose draw reaches the target,
/// takes the one of least expected cost; where none does, the one of highest
/// quality. Stages that would end after the deadline are left out.
class StagePlanner
{
public:
  explicit StagePlanner(const evidence::EvidenceStore& aEvidence,
                        StagePolicy aPolicy = ExpectedCost{});

  /// @brief Picks the start stage.
  /// @param[in] aRequest the request
  /// @param[in] aOptions the stages open to it, cheapest first; not empty
  /// @param[in] aRandom seeded generator
  /// @return index into aOptions
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
  std::size_t mRoundRobinCount = 0; ///< of the round robin
};

} // namespace figslip::cascade
