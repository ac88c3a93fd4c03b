#include <figslip/rollout/canary_evidence.hpp>

#include <algorithm>
#include <vector>

namespace figslip::rollout {

namespace {

/// Size of each sliding window.
constexpr std::size_t kWindowSamples = 24;

/// Failures required to reject a version.
constexpr int kMinFailures = 3;

/// A version is rejected if its failure rate exceeds that of the others by more
/// than this fraction.
constexpr double kFailureRateMargin = 0.2;

/// Latency samples required of both sides to reject a version as slow.
constexpr std::size_t kMinLatencySamples = 8;

/// A version is rejected if its median latency ratio exceeds that of the others
/// by more than this factor.
constexpr double kMaxLatencyFactor = 3.0;

/// Aborts by several upstreams within this time have a common cause, such as
/// lost machines, and are not evidence against the version.
constexpr Duration kCommonCauseWindow = std::chrono::seconds(3);

/// Added to both times, so that small absolute delays have little effect.
constexpr Duration kLatencyOffset = std::chrono::milliseconds(100);

} // namespace

CanarySample
SampleOf(std::string aRoute, Duration aElapsed, Duration aExpected)
{
  const auto took = static_cast<double>((aElapsed + kLatencyOffset).count());
  const auto expected =
    static_cast<double>((aExpected + kLatencyOffset).count());
  return { .mRoute = std::move(aRoute),
           .mFailed = false,
           .mLatencyRatio = took / expected };
}

void
CanaryEvidence::SampleWindow::Add(const CanarySample& aSample)
{
  mFailed.push_back(aSample.mFailed);
  if (mFailed.size() > kWindowSamples) {
    mFailed.pop_front();
  }
  if (aSample.mLatencyRatio) {
    mLatencyRatios.push_back(*aSample.mLatencyRatio);
    if (mLatencyRatios.size() > kWindowSamples) {
      mLatencyRatios.pop_front();
    }
  }
}

int
CanaryEvidence::SampleWindow::FailureCount() const
{
  return static_cast<int>(std::ranges::count(mFailed, true));
}

double
CanaryEvidence::SampleWindow::FailureRate() const
{
  return mFailed.empty() ? 0.0
                         : static_cast<double>(FailureCount()) /
                             static_cast<double>(mFailed.size());
}

double
CanaryEvidence::SampleWindow::MedianLatencyRatio() const
{
  std::vector<double> sorted(mLatencyRatios.begin(), mLatencyRatios.end());
  if (sorted.empty()) {
    return 1.0;
  }
  const auto middle = sorted.begin() + std::ssize(sorted) / 2;
  std::ranges::nth_element(sorted, middle);
  return *middle;
}

bool
CanaryEvidence::IsRepeatedAbort(const CanarySample& aSample)
{
  if (aSample.mAbortedBy.empty()) {
    return false;
  }
  const bool isNew = mAbortingUpstreams.insert(aSample.mAbortedBy).second;
  const bool hasSameCause =
    mLastCountedAbort &&
    aSample.mAbortedAt < *mLastCountedAbort + kCommonCauseWindow;
  if (!isNew || hasSameCause) {
    return true;
  }
  mLastCountedAbort = aSample.mAbortedAt;
  return false;
}

void
CanaryEvidence::OnTargetSample(const CanarySample& aSample)
{
  if (IsRepeatedAbort(aSample)) {
    return;
  }
  ++mTargetSampleCount;
  mAllTarget.Add(aSample);
  mTargetByRoute[aSample.mRoute].Add(aSample);
}

void
CanaryEvidence::OnBaselineSample(const CanarySample& aSample)
{
  if (IsRepeatedAbort(aSample)) {
    return;
  }
  mAllBaseline.Add(aSample);
  mBaselineByRoute[aSample.mRoute].Add(aSample);
}

bool
CanaryEvidence::IsFailing(const SampleWindow& aTarget,
                          const SampleWindow& aOthers)
{
  return aTarget.FailureCount() >= kMinFailures &&
         aTarget.FailureRate() > aOthers.FailureRate() + kFailureRateMargin;
}

std::optional<std::string>
CanaryEvidence::RejectionReason() const
{
  if (IsFailing(mAllTarget, mAllBaseline)) {
    return "failures";
  }
  for (const auto& [route, series] : mTargetByRoute) {
    const auto others = mBaselineByRoute.find(route);
    if (IsFailing(series,
                  others == mBaselineByRoute.end() ? SampleWindow{}
                                                   : others->second)) {
      return "failures on route " + route;
    }
  }
  const bool isTimed = mAllTarget.mLatencyRatios.size() >= kMinLatencySamples &&
                       mAllBaseline.mLatencyRatios.size() >= kMinLatencySamples;
  if (isTimed &&
      mAllTarget.MedianLatencyRatio() >
        kMaxLatencyFactor * std::max(1.0, mAllBaseline.MedianLatencyRatio())) {
    return "slowness";
  }
  return std::nullopt;
}

} // namespace figslip::rollout
