#pragma once

#include <string_view>
#include <variant>

namespace figslip::cascade {

/// @brief Starts at the stage with the minimum expected cost that reaches the
/// quality target.
struct ExpectedCost
{
  static constexpr std::string_view kName = "figslip";
};

/// @brief Starts at the last stage, regardless of its cost.
struct AlwaysBest
{
  static constexpr std::string_view kName = "always-best";
};

/// @brief Starts at the first stage and escalates by the engine's score.
struct CheapestFirst
{
  static constexpr std::string_view kName = "cheapest-first";
};

/// @brief Starts at a random stage, with equal probabilities.
struct FixedShares
{
  static constexpr std::string_view kName = "fixed-shares";
};

/// @brief Starts at each stage in turn.
struct RoundRobin
{
  static constexpr std::string_view kName = "round-robin";
};

/// @brief Selects the algorithm that chooses a start stage.
///
/// All policies except `ExpectedCost` are baselines for measurements: they do
/// not learn, do not change the share of a roll-out and stop no version. Only
/// `ExpectedCost` and `CheapestFirst` escalate.
using StagePolicy = std::
  variant<ExpectedCost, AlwaysBest, CheapestFirst, FixedShares, RoundRobin>;

/// @brief Returns whether a policy learns from evidence.
[[nodiscard]] inline bool
Learns(const StagePolicy& aPolicy)
{
  return std::holds_alternative<ExpectedCost>(aPolicy);
}

/// @brief Returns whether a policy escalates answers with a low score.
[[nodiscard]] inline bool
Escalates(const StagePolicy& aPolicy)
{
  return Learns(aPolicy) || std::holds_alternative<CheapestFirst>(aPolicy);
}

/// @brief Returns the name of a policy in printed results.
[[nodiscard]] inline std::string_view
NameOf(const StagePolicy& aPolicy)
{
  return std::visit([](const auto& aKind) { return aKind.kName; }, aPolicy);
}

} // namespace figslip::cascade
