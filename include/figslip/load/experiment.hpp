#pragma once

#include <figslip/cascade/stage_policy.hpp>
#include <figslip/load/deployment.hpp>
#include <figslip/load/measures.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string_view>

namespace figslip::load {

/// @brief Lists what happens during a run.
enum class Scenario
{
  Steady,        ///< nothing; each model has a good version in roll-out
  BadRollOut,    ///< the versions in roll-out are bad from the start
  TurnsBad,      ///< the versions in roll-out turn bad halfway
  DomainLost,    ///< a failure domain dies, is taken out and returns cold
  GreedyAccount, ///< one account sends ten times its share
  UpstreamDies   ///< one upstream dies and comes back cold
};

/// @brief Returns the name of a scenario, as results print it.
[[nodiscard]] std::string_view
NameOf(Scenario aScenario);

/// @brief Lists all scenarios.
inline constexpr Scenario kScenarios[] = {
  Scenario::Steady,     Scenario::BadRollOut,    Scenario::TurnsBad,
  Scenario::DomainLost, Scenario::GreedyAccount, Scenario::UpstreamDies,
};

/// @brief Describes one run.
struct ExperimentOptions
{
  Scenario mScenario = Scenario::Steady;
  cascade::StagePolicy mPolicy;
  std::uint64_t mSeed = 1;
  Duration mLength = std::chrono::minutes(20);
  double mRatedShare = 0.3; ///< part of the answers that get a rating, [0, 1]
  Duration mRatingDelay = std::chrono::seconds(15); ///< mean
  Duration mGossipDelay = std::chrono::milliseconds(200);
};

/// @brief Runs one policy in one deployment through one scenario.
///
/// Each entry instance has its own `Router`; upstreams, callers, ratings and
/// the exchange between entries are fakes in virtual time. Equal options give
/// equal results.
[[nodiscard]] Measures
RunExperiment(const Deployment& aDeployment, const ExperimentOptions& aOptions);

} // namespace figslip::load
