#include <figslip/admission/served_fractions.hpp>

#include <algorithm>
#include <cmath>
#include <ranges>

namespace figslip::admission {

namespace {

/// Bursts last for seconds, and their requests wait for up to some seconds:
/// the kinds of one burst must be compared with each other.
constexpr double kHalfLifeSeconds = 10.0;

/// Fraction by which a less urgent kind may be ahead. Callers tolerate 0.05;
/// the rest covers the delay of the outcomes of requests that wait.
constexpr double kTolerance = 0.02;

/// Outcomes of a kind that its fraction needs; with fewer ones a single refusal
/// of an urgent request would get less urgent ones refused.
constexpr double kMinOutcomes = 8.0;

} // namespace

ServedFractions::Counts
ServedFractions::DecayedAt(const Counts& aCounts, TimePoint aNow)
{
  const auto elapsed =
    std::chrono::duration<double>(aNow - aCounts.mUpdatedAt).count();
  const auto decay = std::exp2(-std::max(0.0, elapsed) / kHalfLifeSeconds);
  return { .mServed = aCounts.mServed * decay,
           .mRefused = aCounts.mRefused * decay,
           .mUpdatedAt = std::max(aCounts.mUpdatedAt, aNow) };
}

ServedFractions::Counts&
ServedFractions::CountsOf(int aPriority, TimePoint aNow)
{
  auto& counts = mCounts[aPriority];
  counts = DecayedAt(counts, aNow);
  return counts;
}

void
ServedFractions::OnServed(int aPriority, TimePoint aNow)
{
  CountsOf(aPriority, aNow).mServed += 1.0;
}

void
ServedFractions::OnServiceRejected(int aPriority, TimePoint aNow)
{
  auto& served = CountsOf(aPriority, aNow).mServed;
  served = std::max(0.0, served - 1.0);
}

void
ServedFractions::OnRefused(int aPriority, TimePoint aNow)
{
  CountsOf(aPriority, aNow).mRefused += 1.0;
}

bool
ServedFractions::IsAhead(int aPriority, TimePoint aNow) const
{
  const auto own = mCounts.find(aPriority);
  if (own == mCounts.end()) {
    return false;
  }
  const auto ownCounts = DecayedAt(own->second, aNow);
  if (ownCounts.Total() < 1.0) {
    return false;
  }
  // the request in question would be served as well
  const auto fraction = (ownCounts.mServed + 1.0) / (ownCounts.Total() + 1.0);
  return std::any_of(mCounts.begin(), own, [&](const auto& aEntry) {
    const auto counts = DecayedAt(aEntry.second, aNow);
    return counts.Total() >= kMinOutcomes &&
           fraction > counts.Fraction() + kTolerance;
  });
}

bool
ServedFractions::IsAnyAhead(TimePoint aNow) const
{
  return std::ranges::any_of(mCounts | std::views::keys, [&](int aPriority) {
    return IsAhead(aPriority, aNow);
  });
}

bool
ServedFractions::IsOutdated(TimePoint aNow) const
{
  return std::ranges::all_of(mCounts | std::views::values,
                             [&](const Counts& aCounts) {
                               return DecayedAt(aCounts, aNow).Total() < 1.0;
                             });
}

} // namespace figslip::admission
