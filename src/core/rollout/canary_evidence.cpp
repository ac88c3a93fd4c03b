#include <figslip/rollout/canary_evidence.hpp>

#include <algorithm>
#include <vector>

namespace figslip::rollout {

namespace {

/// Latest attempts that count, of each series.
constexpr std::size_t kWindow = 24;

/// Failures without which no version is found to fail.
constexpr int kLeastFailures = 3;

/// Failure rate by which a bad version exceeds the others.
constexpr double kExcessRate = 0.2;

/// Attempts without which no version is found to be slow.
constexpr std::size_t kLeastTimes = 8;

/// A version is slow from this multiple of the others' time.
constexpr double kSlowFactor = 3.0;

/// Upstreams that break attempts off within this time of each other have a
/// cause in common, such as lost machines, which is not their version.
constexpr Duration kSameCause = std::chrono::seconds(3);

/// Added to both times, so that short ones do not count for much.
constexpr Duration kTimeSlack = std::chrono::milliseconds(100);

} // namespace

CanarySample
SampleOf(std::string aRoute, Duration aTook, Duration aExpected)
{
  const auto took = static_cast<double>((aTook + kTimeSlack).count());
  const auto expected = static_cast<double>((aExpected + kTimeSlack).count());
  return { .mRoute = std::move(aRoute),
           .mFailed = false,
           .mSlowness = took / expected };
}

void
CanaryEvidence::Series::Add(const CanarySample& aSample)
{
  mFailed.push_back(aSample.mFailed);
  if (mFailed.size() > kWindow) {
    mFailed.pop_front();
  }
  if (aSample.mSlowness) {
    mSlowness.push_back(*aSample.mSlowness);
    if (mSlowness.size() > kWindow) {
      mSlowness.pop_front();
    }
  }
}

int
CanaryEvidence::Series::Failures() const
{
  return static_cast<int>(std::ranges::count(mFailed, true));
}

double
CanaryEvidence::Series::FailureRate() const
{
  return mFailed.empty() ? 0.0
                         : static_cast<double>(Failures()) /
                             static_cast<double>(mFailed.size());
}

double
CanaryEvidence::Series::MedianSlowness() const
{
  std::vector<double> sorted(mSlowness.begin(), mSlowness.end());
  if (sorted.empty()) {
    return 1.0;
  }
  const auto middle = sorted.begin() + std::ssize(sorted) / 2;
  std::ranges::nth_element(sorted, middle);
  return *middle;
}

bool
CanaryEvidence::IsCounted(const CanarySample& aSample)
{
  if (aSample.mBrokenAt.empty()) {
    return false;
  }
  const bool isNew = mBroken.insert(aSample.mBrokenAt).second;
  const bool hasSameCause =
    mLastBreak && aSample.mAt < *mLastBreak + kSameCause;
  if (!isNew || hasSameCause) {
    return true;
  }
  mLastBreak = aSample.mAt;
  return false;
}

void
CanaryEvidence::OnTarget(const CanarySample& aSample)
{
  if (IsCounted(aSample)) {
    return;
  }
  ++mSamples;
  mAllTarget.Add(aSample);
  mTarget[aSample.mRoute].Add(aSample);
}

void
CanaryEvidence::OnOthers(const CanarySample& aSample)
{
  if (IsCounted(aSample)) {
    return;
  }
  mAllOthers.Add(aSample);
  mOthers[aSample.mRoute].Add(aSample);
}

bool
CanaryEvidence::IsFailing(const Series& aTarget, const Series& aOthers)
{
  return aTarget.Failures() >= kLeastFailures &&
         aTarget.FailureRate() > aOthers.FailureRate() + kExcessRate;
}

std::optional<std::string>
CanaryEvidence::Verdict() const
{
  if (IsFailing(mAllTarget, mAllOthers)) {
    return "failures";
  }
  for (const auto& [route, series] : mTarget) {
    const auto others = mOthers.find(route);
    if (IsFailing(series,
                  others == mOthers.end() ? Series{} : others->second)) {
      return "failures on route " + route;
    }
  }
  const bool isTimed = mAllTarget.mSlowness.size() >= kLeastTimes &&
                       mAllOthers.mSlowness.size() >= kLeastTimes;
  if (isTimed && mAllTarget.MedianSlowness() >
                   kSlowFactor * std::max(1.0, mAllOthers.MedianSlowness())) {
    return "slowness";
  }
  return std::nullopt;
}

} // namespace figslip::rollout
