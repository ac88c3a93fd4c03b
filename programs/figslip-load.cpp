#include <figslip/load/experiment.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <string>
#include <vector>

namespace {

namespace load = figslip::load;
namespace cascade = figslip::cascade;

struct Selection
{
  std::uint64_t mSeed = 1;
  int mMinutes = 20;
  std::string mDeployment;
  std::string mScenario;
  std::string mPolicy;
  bool mTable = false;
};

bool
Matches(const std::string& aWanted, std::string_view aName)
{
  return aWanted.empty() || aWanted == aName;
}

std::vector<load::Measures>
RunAll(const Selection& aSelection)
{
  const cascade::StagePolicy policies[] = {
    cascade::ExpectedCost{}, cascade::AlwaysBest{}, cascade::CheapestFirst{},
    cascade::FixedShares{},  cascade::RoundRobin{},
  };
  std::vector<load::Measures> runs;
  for (const auto& deployment :
       { load::TesouraAndante(), load::PointeFitting() }) {
    for (const auto scenario : load::kScenarios) {
      for (const auto& policy : policies) {
        if (Matches(aSelection.mDeployment, deployment.mName) &&
            Matches(aSelection.mScenario, load::NameOf(scenario)) &&
            Matches(aSelection.mPolicy, cascade::NameOf(policy))) {
          runs.push_back(load::RunExperiment(
            deployment,
            { .mScenario = scenario,
              .mPolicy = policy,
              .mSeed = aSelection.mSeed,
              .mLength = std::chrono::minutes(aSelection.mMinutes) }));
        }
      }
    }
  }
  return runs;
}

} // namespace

int
main(int aCount, char** aValues)
{
  CLI::App app("Measures routing policies in virtual time");
  Selection selection;
  app.add_option("--seed", selection.mSeed, "seed of all random choices");
  app.add_option("--minutes", selection.mMinutes, "virtual length of a run");
  app.add_option("--deployment", selection.mDeployment, "only this one");
  app.add_option("--scenario", selection.mScenario, "only this one");
  app.add_option("--policy", selection.mPolicy, "only this one");
  app.add_flag("--table", selection.mTable, "print a table, not JSON");
  CLI11_PARSE(app, aCount, aValues);

  const auto runs = RunAll(selection);
  if (selection.mTable) {
    std::cout << load::ToTable(runs);
    return 0;
  }
  nlohmann::json result{ { "seed", selection.mSeed },
                         { "minutes", selection.mMinutes },
                         { "runs", nlohmann::json::array() } };
  for (const auto& run : runs) {
    result["runs"].push_back(load::ToJson(run));
  }
  std::cout << result.dump(2) << '\n';
  return 0;
}
