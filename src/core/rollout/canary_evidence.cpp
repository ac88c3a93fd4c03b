#include <figslip/rollout/canary_evidence.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace figslip::rollout {

namespace {

/// Latest attempts that are also judged by themselves, so that a version that
/// served many requests is rejected soon after it begins to fail.
constexpr std::ptrdiff_t kRecentAttempts = 24;

/// Latency ratio, as a multiple of the usual one, from which an attempt counts
/// as slow.
constexpr double kSlowRatio = 2.0;

/// Latest attempts on the other versions that tell the usual ratio of a route,
/// and the fewest that do.
constexpr std::size_t kUsualAttempts = 48;
constexpr std::size_t kMinUsualAttempts = 8;

/// Added to both times, so that small absolute delays have little effect.
constexpr Duration kLatencyOffset = std::chrono::milliseconds(50);

/// Bounds of a reported time factor. A false report hides no slowness beyond.
constexpr double kMinTimeFactor = 0.5;
constexpr double kMaxTimeFactor = 4.0;

/// Number of upstreams of a version from which slowness at one is compared with
/// that at the others.
constexpr int kMinMachines = 3;

/// Latency ratio, as a multiple of the usual one, that no slow machine
/// explains: they take about twice the usual time. With fewer upstreams, only
/// slowness beyond this counts each time.
constexpr double kExtremeRatio = 5.0;

/// Log evidence at which a version is rejected.
constexpr double kRejectionThreshold = 5.25;

/// The same for the latest attempts, which are judged again and again.
constexpr double kRecentThreshold = 6.0;

/// Number of instances up to which the thresholds hold. With more of them, the
/// chance that one rejects a good version would grow with their number.
constexpr double kJudgingInstances = 5.0;

/// Log evidence at which the share of a version stops to grow.
constexpr double kSuspicionThreshold = 2.0;

/// Log evidence at which a version is not completed. A bad version that is
/// completed cannot be rolled back.
constexpr double kDoubtThreshold = 2.5;

/// Maximum number of silent attempts that are remembered.
constexpr std::size_t kMaxSilentAttempts = 64;

/// An upstream that sends an event within this time after a silent attempt was
/// slow rather than down.
constexpr Duration kAnswerWindow = std::chrono::seconds(3);

/// Aborts by several upstreams within this time have a common cause, such as
/// lost machines, and are not evidence against the version.
constexpr Duration kCommonCauseWindow = std::chrono::seconds(3);

} // namespace

CanarySample
SampleOf(std::string aRoute,
         Duration aElapsed,
         Duration aExpected,
         const std::optional<MachineSpeed>& aMachine)
{
  auto took = static_cast<double>(aElapsed.count());
  if (aMachine) {
    took /= std::clamp(aMachine->mTimeFactor, kMinTimeFactor, kMaxTimeFactor);
  }
  took += static_cast<double>(kLatencyOffset.count());
  const auto expected =
    static_cast<double>((aExpected + kLatencyOffset).count());
  return { .mRoute = std::move(aRoute),
           .mFailed = false,
           .mLatencyRatio = took / expected,
           .mMachine = aMachine ? aMachine->mUpstream : std::string(),
           .mMachineCount = aMachine ? aMachine->mCount : 0 };
}

void
CanaryEvidence::OnTargetSample(const CanarySample& aSample)
{
  OnSample(aSample, true);
}

void
CanaryEvidence::OnBaselineSample(const CanarySample& aSample)
{
  OnSample(aSample, false);
}

void
CanaryEvidence::OnSample(const CanarySample& aSample, bool aIsTarget)
{
  const bool isRepeated = IsRepeatedAbort(aSample);
  if (aSample.mSilentFor > Duration::zero()) {
    OnSilence(aSample, aIsTarget);
    return;
  }
  if (isRepeated) {
    return;
  }
  const double ratio = aSample.mLatencyRatio
                         ? *aSample.mLatencyRatio / UsualRatio(aSample.mRoute)
                         : 0.0;
  const bool isSlow = ratio > kSlowRatio;
  if (aSample.mLatencyRatio && !aIsTarget) {
    auto& ratios = mBaselineRatios[aSample.mRoute];
    ratios.push_back(*aSample.mLatencyRatio);
    if (ratios.size() > kUsualAttempts) {
      ratios.pop_front();
    }
  }
  Add({ .mRoute = aSample.mRoute,
        .mIsDegraded = aSample.mFailed || isSlow,
        .mMachine = aSample.mFailed
                      ? std::string()
                      : MachineOf(aSample, ratio > kExtremeRatio) },
      aIsTarget);
}

std::string
CanaryEvidence::MachineOf(const CanarySample& aSample, bool aIsExtreme)
{
  const bool isAlone = aSample.mMachineCount < kMinMachines;
  return isAlone && aIsExtreme ? std::string() : aSample.mMachine;
}

double
CanaryEvidence::UsualRatio(const std::string& aRoute) const
{
  const auto found = mBaselineRatios.find(aRoute);
  if (found == mBaselineRatios.end() ||
      found->second.size() < kMinUsualAttempts) {
    return 1.0;
  }
  std::vector<double> ratios(found->second.begin(), found->second.end());
  const auto median =
    ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
  std::ranges::nth_element(ratios, median);
  return std::min(1.0, *median);
}

void
CanaryEvidence::Add(Attempt aAttempt, bool aIsTarget)
{
  auto& window = aIsTarget ? mTargetAttempts : mBaselineAttempts;
  const auto limit = aIsTarget ? kMaxTargetAttempts : kMaxBaselineAttempts;
  mTargetSampleCount += aIsTarget ? 1 : 0;
  Count(aAttempt, aIsTarget, 1);
  window.push_back(std::move(aAttempt));
  if (std::ssize(window) > limit) {
    Count(window.front(), aIsTarget, -1);
    window.pop_front();
  }
}

void
CanaryEvidence::Count(const Attempt& aAttempt, bool aIsTarget, int aChange)
{
  auto& counts = mOwn.mRoutes[aAttempt.mRoute];
  const int degraded = aAttempt.mIsDegraded ? aChange : 0;
  if (aIsTarget) {
    CountTarget(counts, aAttempt, aChange);
  } else {
    counts.mOthers += aChange;
    counts.mOthersDegraded += degraded;
  }
  if (counts == RouteCounts{}) {
    mOwn.mRoutes.erase(aAttempt.mRoute);
  }
}

void
CanaryEvidence::CountTarget(RouteCounts& aCounts,
                            const Attempt& aAttempt,
                            int aChange)
{
  const int degraded = aAttempt.mIsDegraded ? aChange : 0;
  aCounts.mTarget += aChange;
  if (aAttempt.mMachine.empty()) {
    aCounts.mTargetDegraded += degraded;
    return;
  }
  auto& machine = aCounts.mMachines[aAttempt.mMachine];
  machine.mAttempts += aChange;
  machine.mSlow += degraded;
  if (machine == MachineCounts{}) {
    aCounts.mMachines.erase(aAttempt.mMachine);
  }
}

void
CanaryEvidence::AddSilent(const SilentAttempt& aAttempt)
{
  if (!aAttempt.mHadEvent) {
    Add({ .mRoute = aAttempt.mRoute,
          .mIsDegraded = true,
          .mMachine = aAttempt.mMachine },
        aAttempt.mIsTarget);
    return;
  }
  // the attempt was added as a sound one when its first event came
  auto& window = aAttempt.mIsTarget ? mTargetAttempts : mBaselineAttempts;
  const auto sound = std::ranges::find_if(window, [&](const Attempt& aOther) {
    return !aOther.mIsDegraded && aOther.mRoute == aAttempt.mRoute &&
           (aAttempt.mMachine.empty() || aOther.mMachine == aAttempt.mMachine);
  });
  if (sound != window.end()) {
    Count(*sound, aAttempt.mIsTarget, -1);
    sound->mIsDegraded = true;
    sound->mMachine = aAttempt.mMachine;
    Count(*sound, aAttempt.mIsTarget, 1);
  }
}

void
CanaryEvidence::OnSilence(const CanarySample& aSample, bool aIsTarget)
{
  const SilentAttempt attempt{ .mRoute = aSample.mRoute,
                               .mMachine = MachineOf(aSample, true),
                               .mIsTarget = aIsTarget,
                               .mHadEvent = aSample.mHadEvent,
                               .mEndedAt = aSample.mAbortedAt };
  const auto last = mLastEvents.find(aSample.mAbortedBy);
  const bool isAlive =
    last != mLastEvents.end() &&
    last->second > aSample.mAbortedAt - aSample.mSilentFor / 2;
  if (isAlive) {
    AddSilent(attempt);
  } else if (mSilentAttempts.size() < kMaxSilentAttempts) {
    mSilentAttempts.emplace(aSample.mAbortedBy, attempt);
  }
}

bool
CanaryEvidence::OnEvent(const std::string& aUpstream, TimePoint aNow)
{
  mLastEvents.insert_or_assign(aUpstream, aNow);
  const auto [begin, end] = mSilentAttempts.equal_range(aUpstream);
  if (begin == end) {
    return false;
  }
  for (auto attempt = begin; attempt != end; ++attempt) {
    if (aNow < attempt->second.mEndedAt + kAnswerWindow) {
      AddSilent(attempt->second);
    }
  }
  mSilentAttempts.erase(begin, end);
  return true;
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
CanaryEvidence::SetInstanceCount(int aInstances)
{
  mCaution = std::log(
    std::max(1.0, static_cast<double>(aInstances) / kJudgingInstances));
}

ComparisonCounts
CanaryEvidence::MergedCounts() const
{
  auto counts = mOwn;
  return counts += mPeers;
}

ComparisonCounts
CanaryEvidence::RecentCounts() const
{
  auto counts = MergedCounts();
  for (auto& route : counts.mRoutes | std::views::values) {
    route.mTarget = 0;
    route.mTargetDegraded = 0;
    route.mMachines.clear();
  }
  const auto skipped =
    std::max<std::ptrdiff_t>(0, std::ssize(mTargetAttempts) - kRecentAttempts);
  for (const auto& attempt : mTargetAttempts | std::views::drop(skipped)) {
    CountTarget(counts.mRoutes[attempt.mRoute], attempt, 1);
  }
  return counts;
}

bool
CanaryEvidence::IsSuspected() const
{
  auto counts = MergedCounts();
  for (const auto& attempt : mSilentAttempts | std::views::values) {
    if (attempt.mIsTarget) {
      auto& route = counts.mRoutes[attempt.mRoute];
      ++route.mTarget;
      ++route.mTargetDegraded;
    }
  }
  return counts.Evidence() >= kSuspicionThreshold;
}

std::optional<std::string>
CanaryEvidence::RejectionReason() const
{
  const auto merged = MergedCounts();
  // all instances judge by the same counts as far as they have shared them
  const auto own = static_cast<double>(mOwn.Total().mTarget);
  const auto all =
    static_cast<double>(std::max<std::int64_t>(1, merged.Total().mTarget));
  if (merged.Evidence() >= kRejectionThreshold + mCaution * own / all) {
    return merged.Text();
  }
  const auto recent = RecentCounts();
  if (recent.EvidenceAmong(merged) >= kRecentThreshold + mCaution) {
    return "lately " + recent.TextAmong(merged);
  }
  return std::nullopt;
}

std::optional<std::string>
CanaryEvidence::DoubtReason() const
{
  const auto merged = MergedCounts();
  return merged.Evidence() >= kDoubtThreshold ? std::optional(merged.Text())
                                              : std::nullopt;
}

} // namespace figslip::rollout
