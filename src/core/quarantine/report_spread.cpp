#include <figslip/quarantine/report_spread.hpp>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace figslip::quarantine {

namespace {

using std::chrono::milliseconds;

/// Instances up to which all report at once, and the time by which each further
/// one lengthens the spread.
constexpr int kPromptInstances = 10;
constexpr Duration kSpreadPerInstance = milliseconds(10);

/// Longest spread. With the interval of the housekeeping that writes the
/// reports, 250 ms, each is due within a second.
constexpr Duration kMaxSpread = milliseconds(750);

} // namespace

void
ReportSpread::SetInstanceCount(int aInstances)
{
  mInstances = aInstances;
  mSpread =
    std::min(kSpreadPerInstance * std::max(0, aInstances - kPromptInstances),
             kMaxSpread);
}

Duration
ReportSpread::DelayOf(std::string_view aSubject) const
{
  const auto hash =
    XXH3_64bits_withSeed(aSubject.data(), aSubject.size(), mSeed);
  constexpr auto kMaxHash =
    static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const auto part = static_cast<double>(hash) / kMaxHash;
  // few early and most late: with an exponential density a report of the first
  // ones reaches the others before most of them are due
  const auto steepness = std::log(std::max(mInstances, 1)) + 1.0;
  const auto time = std::log1p(std::expm1(steepness) * part) / steepness;
  return std::chrono::duration_cast<Duration>(mSpread * std::min(time, 1.0));
}

} // namespace figslip::quarantine
