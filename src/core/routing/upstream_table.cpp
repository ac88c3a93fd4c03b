#include <figslip/routing/upstream_table.hpp>

#include <algorithm>
#include <cassert>
#include <limits>
#include <vector>

namespace figslip::routing {

UpstreamTable::UpstreamTable(coldstart::ColdStartGate::Options aColdStart)
  : mColdStart(aColdStart)
{
}

void
UpstreamTable::OnLoadReport(const LoadReport& aReport)
{
  auto& state = mStates[aReport.mUpstream];
  if (aReport.mAt >= state.mReport.mAt) {
    state.mReport = aReport;
    if (!aReport.mBootId.empty()) {
      mColdStart.OnBootId(aReport.mUpstream, aReport.mBootId, aReport.mAt);
    }
  }
}

int
UpstreamTable::InFlight(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end() ? 0 : found->second.mInFlight;
}

int
UpstreamTable::LoadOf(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  if (found == mStates.end()) {
    return 0;
  }
  return std::max(found->second.mInFlight, found->second.mReport.mRunning);
}

const manifest::Upstream*
UpstreamTable::Choose(std::span<const manifest::Upstream* const> aCandidates,
                      std::uint64_t /*aPrefixHash*/,
                      std::mt19937_64& aRandom,
                      TimePoint aNow) const
{
  std::vector<const manifest::Upstream*> best;
  double bestLoad = std::numeric_limits<double>::infinity();
  for (const auto* const upstream : aCandidates) {
    if (InFlight(upstream->mName) >= mColdStart.Limit(*upstream, aNow)) {
      continue;
    }
    const double load =
      static_cast<double>(LoadOf(upstream->mName)) / upstream->mConcurrency;
    if (load < bestLoad) {
      best.clear();
      bestLoad = load;
    }
    if (load == bestLoad) {
      best.push_back(upstream);
    }
  }
  if (best.empty()) {
    return nullptr;
  }
  std::uniform_int_distribution<std::size_t> pick(0, best.size() - 1);
  return best[pick(aRandom)];
}

void
UpstreamTable::Reserve(std::string_view aUpstream)
{
  ++mStates[std::string(aUpstream)].mInFlight;
}

void
UpstreamTable::Release(std::string_view aUpstream)
{
  auto& state = mStates[std::string(aUpstream)];
  assert(state.mInFlight > 0);
  --state.mInFlight;
}

} // namespace figslip::routing
