#include <figslip/membership/rendezvous.hpp>
#include <figslip/routing/upstream_table.hpp>

#include <algorithm>
#include <cassert>
#include <string>
#include <vector>

namespace figslip::routing {

namespace {

/// Age above which a load report is ignored.
constexpr Duration kMaxReportAge = std::chrono::seconds(5);
/// Load, as a multiple of the average, up to which an upstream accepts requests
/// of a prefix, as in consistent hashing with bounded loads.
constexpr double kBoundedLoadFactor = 1.25;

} // namespace

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

double
UpstreamTable::LoadOf(const manifest::Upstream& aUpstream, TimePoint aNow) const
{
  const auto found = mStates.find(aUpstream.mName);
  if (found == mStates.end()) {
    return 0.0;
  }
  const auto& report = found->second.mReport;
  const int inFlight = found->second.mInFlight;
  const bool fresh = aNow - report.mAt <= kMaxReportAge;
  const int running = fresh ? std::max(inFlight, report.mRunning) : inFlight;
  return static_cast<double>(running) / aUpstream.mConcurrency;
}

const manifest::Upstream*
UpstreamTable::PrefixOwner(std::span<const UpstreamLoad> aAvailable,
                           std::uint64_t aPrefixHash)
{
  std::vector<std::string_view> names;
  double sum = 0.0;
  for (const auto& available : aAvailable) {
    names.emplace_back(available.mUpstream->mName);
    sum += available.mLoad;
  }
  const double maxLoad =
    kBoundedLoadFactor * sum / static_cast<double>(aAvailable.size());
  const auto ranked =
    membership::RankByRendezvous(std::to_string(aPrefixHash), names);
  for (const auto name : ranked) {
    const auto found =
      std::ranges::find_if(aAvailable, [&](const UpstreamLoad& aLoad) {
        return aLoad.mUpstream->mName == name;
      });
    // one request above the bound is tolerated, also on upstreams that are
    // nearly idle
    if (found->mLoad <= maxLoad + 1.0 / found->mUpstream->mConcurrency) {
      return found->mUpstream;
    }
  }
  return nullptr;
}

const manifest::Upstream*
UpstreamTable::Choose(std::span<const manifest::Upstream* const> aCandidates,
                      std::uint64_t aPrefixHash,
                      std::mt19937_64& aRandom,
                      TimePoint aNow) const
{
  std::vector<UpstreamLoad> available;
  for (const auto* const upstream : aCandidates) {
    if (OccupiedSlots(upstream->mName) < mColdStart.Limit(*upstream, aNow)) {
      available.push_back({ upstream, LoadOf(*upstream, aNow) });
    }
  }
  if (available.empty()) {
    return nullptr;
  }
  if (aPrefixHash != 0) {
    if (const auto* const owner = PrefixOwner(available, aPrefixHash)) {
      return owner;
    }
  }
  const double minLoad =
    std::ranges::min_element(available, {}, &UpstreamLoad::mLoad)->mLoad;
  std::erase_if(available, [&](const UpstreamLoad& aLoad) {
    return aLoad.mLoad > minLoad;
  });
  std::uniform_int_distribution<std::size_t> pick(0, available.size() - 1);
  return available[pick(aRandom)].mUpstream;
}

bool
UpstreamTable::HasFreeSlot(
  std::span<const manifest::Upstream* const> aCandidates,
  TimePoint aNow) const
{
  return std::ranges::any_of(aCandidates,
                             [&](const manifest::Upstream* aUpstream) {
                               return OccupiedSlots(aUpstream->mName) <
                                      mColdStart.Limit(*aUpstream, aNow);
                             });
}

void
UpstreamTable::Reserve(std::string_view aUpstream)
{
  ++mStates[std::string(aUpstream)].mInFlight;
}

int
UpstreamTable::OccupiedSlots(std::string_view aUpstream) const
{
  const auto found = mStates.find(aUpstream);
  return found == mStates.end()
           ? 0
           : found->second.mInFlight +
               static_cast<int>(found->second.mAbandonedUntil.size());
}

void
UpstreamTable::ReleaseAt(std::string_view aUpstream, TimePoint aUntil)
{
  Release(aUpstream);
  mStates[std::string(aUpstream)].mAbandonedUntil.push_back(aUntil);
}

void
UpstreamTable::Expire(TimePoint aNow)
{
  for (auto& [upstream, state] : mStates) {
    std::erase_if(state.mAbandonedUntil,
                  [aNow](TimePoint aUntil) { return aUntil <= aNow; });
  }
}

void
UpstreamTable::Release(std::string_view aUpstream)
{
  auto& state = mStates[std::string(aUpstream)];
  assert(state.mInFlight > 0);
  --state.mInFlight;
}

} // namespace figslip::routing
