#include <figslip/load/measures.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace figslip::load {

namespace {

constexpr double kThousand = 1000.0;

double
Ratio(std::int64_t aPart, std::int64_t aWhole)
{
  return aWhole == 0 ? 1.0
                     : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

} // namespace

double
Measures::CostPerThousand() const
{
  return Ratio(mCost, mAnswered) * kThousand;
}

double
Measures::Quality() const
{
  return Ratio(mGood, mAnswered);
}

double
Measures::LatencyMs(double aShare) const
{
  if (mLatencies.empty()) {
    return 0.0;
  }
  auto sorted = mLatencies;
  const auto rank =
    static_cast<std::size_t>(aShare * static_cast<double>(sorted.size() - 1));
  const auto position = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
  std::ranges::nth_element(sorted, position);
  return static_cast<double>(position->count()) / kThousand;
}

double
Measures::ServedShare() const
{
  return Ratio(mIdempotentAnswered, mIdempotent);
}

double
Measures::FaultServedShare() const
{
  return Ratio(mFaultAnswered, mFaultIdempotent);
}

double
Measures::AttemptsPerRequest() const
{
  return Ratio(mAttempts, mRequests);
}

nlohmann::json
ToJson(const Measures& aMeasures)
{
  return { { "deployment", aMeasures.mDeployment },
           { "scenario", aMeasures.mScenario },
           { "policy", aMeasures.mPolicy },
           { "requests", aMeasures.mRequests },
           { "cost_per_1000", aMeasures.CostPerThousand() },
           { "quality", aMeasures.Quality() },
           { "p50_ms", aMeasures.LatencyMs(0.5) },
           { "p95_ms", aMeasures.LatencyMs(0.95) },
           { "p99_ms", aMeasures.LatencyMs(0.99) },
           { "exposure", aMeasures.mExposed },
           { "served_share", aMeasures.ServedShare() },
           { "fault_served_share", aMeasures.FaultServedShare() },
           { "attempts_per_request", aMeasures.AttemptsPerRequest() },
           { "cold_overloads", aMeasures.mOverloads },
           { "false_stops", aMeasures.mFalseStops },
           { "bad_stops", aMeasures.mBadStops } };
}

std::string
ToTable(const std::vector<Measures>& aMeasures)
{
  std::ostringstream out;
  out << std::fixed
      << "| deployment | scenario | policy | cost/1000 | quality | p50 ms | "
         "p95 ms | p99 ms | exposure | served | served in fault | "
         "attempts/request | cold overloads | false stops |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& run : aMeasures) {
    out << "| " << run.mDeployment << " | " << run.mScenario << " | "
        << run.mPolicy << " | " << std::setprecision(0) << run.CostPerThousand()
        << " | " << std::setprecision(3) << run.Quality() << " | "
        << std::setprecision(0) << run.LatencyMs(0.5) << " | "
        << run.LatencyMs(0.95) << " | " << run.LatencyMs(0.99) << " | "
        << run.mExposed << " | " << std::setprecision(4) << run.ServedShare()
        << " | " << run.FaultServedShare() << " | " << std::setprecision(3)
        << run.AttemptsPerRequest() << " | " << run.mOverloads << " | "
        << run.mFalseStops << " |\n";
  }
  return out.str();
}

} // namespace figslip::load
