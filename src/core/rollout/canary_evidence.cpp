#include <figslip/rollout/canary_evidence.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <string>
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

/// Latency ratio from which an attempt counts as slow.
constexpr double kSlowRatio = 2.0;

/// Sizes of the windows of slow attempts.
constexpr std::size_t kSlownessTargetSamples = 128;
constexpr std::size_t kSlownessBaselineSamples = 128;

/// Attempts required of the other versions to compare the rates of slow ones.
constexpr std::int64_t kMinSlownessBaseline = 8;

/// The rate of slow attempts of the other versions is raised by this number of
/// standard errors, and to this minimum.
constexpr double kSlowRateErrors = 2.0;
constexpr double kMinSlowRate = 0.1;

/// Log evidence at which a version is rejected as slow: the probability that a
/// version as fast as the others reaches it in one window is at most exp(-10)
/// (Chernoff bound).
constexpr double kSlownessThreshold = 10.0;

/// Log evidence required besides a high median, which few samples may show by
/// chance.
constexpr double kMedianThreshold = 5.0;

/// Log evidence at which the share of a version stops to grow.
constexpr double kSuspicionThreshold = 2.5;

/// Maximum number of silent attempts that are remembered.
constexpr std::size_t kMaxSilentAttempts = 64;

/// An upstream that sends an event within this time after a silent attempt was
/// slow rather than down.
constexpr Duration kAnswerWindow = std::chrono::seconds(3);

/// Aborts by several upstreams within this time have a common cause, such as
/// lost machines, and are not evidence against the version.
constexpr Duration kCommonCauseWindow = std::chrono::seconds(3);

/// Added to both times, so that small absolute delays have little effect.
constexpr Duration kLatencyOffset = std::chrono::milliseconds(100);

} // namespace

SlownessCounts&
SlownessCounts::operator+=(const SlownessCounts& aOther)
{
  mTarget += aOther.mTarget;
  mTargetSlow += aOther.mTargetSlow;
  mOthers += aOther.mOthers;
  mOthersSlow += aOther.mOthersSlow;
  return *this;
}

bool
SlownessCounts::IsPlausible() const
{
  return 0 <= mTargetSlow && mTargetSlow <= mTarget &&
         mTarget <= static_cast<std::int64_t>(kSlownessTargetSamples) &&
         0 <= mOthersSlow && mOthersSlow <= mOthers &&
         mOthers <= static_cast<std::int64_t>(kSlownessBaselineSamples);
}

double
SlownessCounts::Evidence() const
{
  if (mOthers < kMinSlownessBaseline || mTarget == 0) {
    return 0.0;
  }
  const auto others = static_cast<double>(mOthers);
  const auto count = static_cast<double>(mTarget);
  const double rate =
    std::max(kMinSlowRate, static_cast<double>(mOthersSlow) / others);
  const double reference =
    rate + kSlowRateErrors * std::sqrt(rate * (1.0 - rate) / others);
  const double observed = static_cast<double>(mTargetSlow) / count;
  if (observed <= reference) {
    return 0.0;
  }
  const double rest = 1.0 - observed;
  const double restEvidence =
    rest > 0.0 ? rest * std::log(rest / (1.0 - reference)) : 0.0;
  return count * (observed * std::log(observed / reference) + restEvidence);
}

std::string
SlownessCounts::Text() const
{
  return std::to_string(mTargetSlow) + " of " + std::to_string(mTarget) +
         " attempts slow, others " + std::to_string(mOthersSlow) + " of " +
         std::to_string(mOthers);
}

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

void
CanaryEvidence::SlownessWindow::Add(bool aIsSlow, std::size_t aMaxCount)
{
  mIsSlow.push_back(aIsSlow);
  if (mIsSlow.size() > aMaxCount) {
    mIsSlow.pop_front();
  }
}

void
CanaryEvidence::SlownessWindow::Add(const CanarySample& aSample,
                                    std::size_t aMaxCount)
{
  if (aSample.mLatencyRatio) {
    Add(*aSample.mLatencyRatio > kSlowRatio, aMaxCount);
  }
}

std::int64_t
CanaryEvidence::SlownessWindow::SlowCount() const
{
  return std::ranges::count(mIsSlow, true);
}

void
CanaryEvidence::SlownessWindow::Correct()
{
  const auto fast = std::ranges::find(mIsSlow, false);
  if (fast != mIsSlow.end()) {
    *fast = true;
  }
}

void
CanaryEvidence::AddSlow(const SilentAttempt& aAttempt)
{
  auto& window = aAttempt.mIsTarget ? mTargetSlowness : mBaselineSlowness;
  if (aAttempt.mHadEvent) {
    window.Correct();
  } else {
    window.Add(true,
               aAttempt.mIsTarget ? kSlownessTargetSamples
                                  : kSlownessBaselineSamples);
  }
}

void
CanaryEvidence::OnSilence(const CanarySample& aSample, bool aIsTarget)
{
  const SilentAttempt attempt{ .mIsTarget = aIsTarget,
                               .mHadEvent = aSample.mHadEvent,
                               .mEndedAt = aSample.mAbortedAt };
  const auto last = mLastEvents.find(aSample.mAbortedBy);
  const bool isAlive =
    last != mLastEvents.end() &&
    last->second > aSample.mAbortedAt - aSample.mSilentFor / 2;
  if (isAlive) {
    AddSlow(attempt);
  } else if (mSilentAttempts.size() < kMaxSilentAttempts) {
    mSilentAttempts.emplace(aSample.mAbortedBy, attempt);
  }
}

void
CanaryEvidence::OnEvent(const std::string& aUpstream, TimePoint aNow)
{
  mLastEvents.insert_or_assign(aUpstream, aNow);
  const auto [begin, end] = mSilentAttempts.equal_range(aUpstream);
  for (auto attempt = begin; attempt != end; ++attempt) {
    if (aNow < attempt->second.mEndedAt + kAnswerWindow) {
      AddSlow(attempt->second);
    }
  }
  mSilentAttempts.erase(begin, end);
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
  if (aSample.mSilentFor > Duration::zero()) {
    OnSilence(aSample, true);
  }
  mTargetSlowness.Add(aSample, kSlownessTargetSamples);
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
  if (aSample.mSilentFor > Duration::zero()) {
    OnSilence(aSample, false);
  }
  mBaselineSlowness.Add(aSample, kSlownessBaselineSamples);
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

SlownessCounts
CanaryEvidence::OwnCounts() const
{
  return { .mTarget = std::ssize(mTargetSlowness.mIsSlow),
           .mTargetSlow = mTargetSlowness.SlowCount(),
           .mOthers = std::ssize(mBaselineSlowness.mIsSlow),
           .mOthersSlow = mBaselineSlowness.SlowCount() };
}

SlownessCounts
CanaryEvidence::MergedCounts() const
{
  auto counts = OwnCounts();
  return counts += mPeers;
}

bool
CanaryEvidence::MayBeSlow() const
{
  const auto silent = std::ranges::count_if(
    mSilentAttempts | std::views::values, &SilentAttempt::mIsTarget);
  auto counts = MergedCounts();
  counts.mTarget += silent;
  counts.mTargetSlow += silent;
  return counts.Evidence() >= kSuspicionThreshold;
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
  const auto counts = MergedCounts();
  const auto evidence = counts.Evidence();
  const bool hasHighMedian =
    isTimed &&
    mAllTarget.MedianLatencyRatio() >
      kMaxLatencyFactor * std::max(1.0, mAllBaseline.MedianLatencyRatio());
  if (evidence >= (hasHighMedian ? kMedianThreshold : kSlownessThreshold)) {
    return "slowness: " + counts.Text();
  }
  return std::nullopt;
}

} // namespace figslip::rollout
