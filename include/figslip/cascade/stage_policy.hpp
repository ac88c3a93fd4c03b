#pragma once

#include <string_view>
#include <variant>

namespace figslip::cascade {

/// @brief Starts on the stage of least expected cost at the quality target.
struct ExpectedCost
{
  static constexpr std::string_view kName = "figslip";
};

/// @brief Starts on the last stage, whatever it costs.
struct AlwaysBest
{
  static constexpr std::string_view kName = "always-best";
};

/// @brief Starts on the first stage and escalates by the engine's score.
struct CheapestFirst
{
  static constexpr std::string_view kName = "cheapest-first";
};

/// @brief Spreads requests over the stages by chance, each as likely.
struct FixedShares
{
  static constexpr std::string_view kName = "fixed-shares";
};

/// @brief Takes the stages by turns.
struct RoundRobin
{
  static constexpr std::string_view kName = "round-robin";
};

/// @brief Holds the way to pick a start stage.
///
/// All but `ExpectedCost` are baselines for measurements: they do not learn,
/// keep the share of a roll-out as it is and stop no version. Only
/// `ExpectedCost` and `CheapestFirst` escalate.
using StagePolicy = std::
  variant<ExpectedCost, AlwaysBest, CheapestFirst, FixedShares, RoundRobin>;

/// @brief Tells whether a policy learns from evidence.
[[nodiscard]] inline bool
Learns(const StagePolicy& aPolicy)
{
  return std::holds_alternative<ExpectedCost>(aPolicy);
}

/// @brief Tells whether a policy escalates answers of low score.
[[nodiscard]] inline bool
Escalates(const StagePolicy& aPolicy)
{
  return Learns(aPolicy) || std::holds_alternative<CheapestFirst>(aPolicy);
}

/// @brief Returns the name of a policy, as results print it.
[[nodiscard]] inline std::string_view
NameOf(const StagePolicy& aPolicy)
{
  return std::visit([](const auto& aKind) { return aKind.kName; }, aPolicy);
}

} // namespace figslip::cascade
