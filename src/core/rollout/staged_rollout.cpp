#include <figslip/rollout/staged_rollout.hpp>

#include <algorithm>
#include <array>
#include <ranges>

namespace figslip::rollout {

namespace {

/// Share of the new version from a fraction of the planned time on.
struct Stage
{
  double mProgress;
  double mShare;
};

/// Upper bound of the share in the first half.
constexpr double kMaxCanaryShare = 0.08;

/// Canary share multiplied by the number of instances. Sessions that are active
/// when the order arrives must not change their version in the first half, and
/// an instance does not see the sessions of others. The limit keeps the number
/// of such sessions in the share low, regardless of the traffic.
constexpr double kSummedCanaryShare = 0.4;

/// The second half moves all sessions, and leaves time for answers in progress
/// on the old version to end.
constexpr auto kStages = std::to_array<Stage>(
  { { 0.0, 0.0 }, { 0.52, 0.3 }, { 0.58, 0.6 }, { 0.65, 1.0 } });

/// Maximum share of a version that may be slow, and the fraction of the planned
/// time up to which it is held there. The version still receives enough
/// requests to decide, but less than a bad one may receive.
constexpr double kSuspectShare = 0.1;
constexpr double kSuspectProgress = 0.85;

/// Maximum share of a version with fewer samples than these, and the fraction
/// of the planned time up to which it is held there.
constexpr double kThinShare = 0.3;
constexpr std::int64_t kThinSamples = 8;
constexpr double kThinProgress = 0.65;

/// Fractions of the planned time at which an instance shares its counts: mostly
/// before the share grows, while each instance has few samples.
constexpr auto kReportProgress =
  std::to_array<double>({ 0.2, 0.3, 0.4, 0.48, 0.56, 0.64, 0.75 });

/// Fraction of the planned time at which the roll-out is completed.
constexpr double kCompletionProgress = 0.92;

/// The same for an instance without samples of the new version.
constexpr double kUntestedCompletionProgress = 0.96;

/// Interval after which a requested change that has not appeared is requested
/// again.
constexpr Duration kRetryInterval = std::chrono::milliseconds(700);

std::size_t
StageIndexAt(double aProgress)
{
  const auto next = std::ranges::find_if(
    kStages, [&](const Stage& aStage) { return aStage.mProgress > aProgress; });
  return static_cast<std::size_t>(next - kStages.begin()) - 1;
}

bool
IsUndecided(RolloutState aState)
{
  return aState == RolloutState::Ordered || aState == RolloutState::InProgress;
}

} // namespace

std::string_view
NameOf(RolloutState aState)
{
  switch (aState) {
    case RolloutState::Ordered:
      return "ordered";
    case RolloutState::InProgress:
      return "in_progress";
    case RolloutState::Completed:
      return "completed";
    case RolloutState::RolledBack:
      return "rolled_back";
  }
  return "";
}

StagedRollout::StagedRollout(Options aOptions)
  : mOptions(aOptions)
  , mCanaryShare(kMaxCanaryShare)
{
}

void
StagedRollout::SetInstanceCount(int aInstances)
{
  mCanaryShare =
    std::min(kMaxCanaryShare, kSummedCanaryShare / std::max(1, aInstances));
}

double
StagedRollout::ShareAt(double aProgress) const
{
  const auto stage = StageIndexAt(std::max(0.0, aProgress));
  return std::max(mCanaryShare, kStages.at(stage).mShare);
}

void
StagedRollout::OnOrders(const std::vector<RolloutOrder>& aOrders,
                        TimePoint aNow)
{
  std::erase_if(mRollouts, [&](const auto& aEntry) {
    return std::ranges::none_of(aOrders, [&](const RolloutOrder& aOrder) {
      return aOrder.mService == aEntry.first;
    });
  });
  for (const auto& order : aOrders) {
    auto& rollout = mRollouts[order.mService];
    const bool isNew = rollout.mOrder.mCreated != order.mCreated ||
                       rollout.mOrder.mTarget != order.mTarget;
    if (isNew) {
      rollout = {};
      rollout.mStartedAt = aNow - order.mElapsed;
    }
    // after a restart, the age of the order is known only from its status
    rollout.mStartedAt = std::min(rollout.mStartedAt, aNow - order.mElapsed);
    rollout.mOrder = order;
  }
}

bool
StagedRollout::Allows(std::string_view aService,
                      std::string_view aVersion,
                      std::uint64_t aSession,
                      TimePoint aNow) const
{
  const auto found = mRollouts.find(aService);
  if (found == mRollouts.end()) {
    return true;
  }
  const auto& rollout = found->second;
  const bool isTarget = aVersion == rollout.mOrder.mTarget;
  switch (rollout.mOrder.mState) {
    case RolloutState::Completed:
      return isTarget;
    case RolloutState::RolledBack:
      return !isTarget;
    case RolloutState::Ordered:
    case RolloutState::InProgress:
      break;
  }
  return rollout.mIsRejected
           ? !isTarget
           : AllowsInProgress(rollout, isTarget, aSession, aNow);
}

double
StagedRollout::ShareOf(const TrackedRollout& aRollout, double aProgress) const
{
  const double share = ShareAt(aProgress);
  if (aRollout.mMayBeSlow && aProgress < kSuspectProgress) {
    return std::min(share, std::max(mCanaryShare, kSuspectShare));
  }
  const bool isThin = aRollout.mEvidence.MergedCounts().mTarget < kThinSamples;
  return isThin && aProgress < kThinProgress ? std::min(share, kThinShare)
                                             : share;
}

bool
StagedRollout::AllowsInProgress(const TrackedRollout& aRollout,
                                bool aIsTarget,
                                std::uint64_t aSession,
                                TimePoint aNow) const
{
  constexpr std::uint64_t kHashSteps = 10'000;
  const auto progress = ProgressOf(aRollout, aNow);
  const double position =
    static_cast<double>(aSession % kHashSteps) / kHashSteps;
  bool wantsTarget = position < ShareOf(aRollout, progress);
  const auto* const session = ActiveSession(aSession, aNow);
  if (session != nullptr && session->mVersion == aRollout.mOrder.mTarget) {
    wantsTarget = true;
  } else if (session != nullptr && progress < kStages[1].mProgress) {
    wantsTarget = false;
  }
  return wantsTarget == aIsTarget;
}

bool
StagedRollout::AllowsFallback(std::string_view aService,
                              std::string_view aVersion,
                              std::uint64_t aSession,
                              TimePoint aNow) const
{
  const auto* const session = ActiveSession(aSession, aNow);
  return IsOpen(aService, aVersion) &&
         (session == nullptr || session->mVersion == aVersion);
}

bool
StagedRollout::IsOpen(std::string_view aService,
                      std::string_view aVersion) const
{
  const auto found = mRollouts.find(aService);
  if (found == mRollouts.end()) {
    return true;
  }
  const auto& rollout = found->second;
  const bool isTarget = aVersion == rollout.mOrder.mTarget;
  const bool isRefused =
    rollout.mIsRejected || rollout.mOrder.mState == RolloutState::RolledBack;
  return isTarget ? !isRefused
                  : rollout.mOrder.mState != RolloutState::Completed;
}

const StagedRollout::Session*
StagedRollout::ActiveSession(std::uint64_t aSession, TimePoint aNow) const
{
  const auto found = mSessions.find(aSession);
  const bool isActive =
    found != mSessions.end() &&
    (found->second.mInFlight > 0 ||
     aNow < found->second.mLastActivity + mOptions.mSessionTtl);
  return isActive ? &found->second : nullptr;
}

void
StagedRollout::OnSent(std::string_view aVersion,
                      std::uint64_t aSession,
                      TimePoint aNow)
{
  constexpr std::size_t kMaxSessions = 20'000;
  if (mSessions.size() >= kMaxSessions && !mSessions.contains(aSession)) {
    std::erase_if(mSessions, [&](const auto& aEntry) {
      return aEntry.second.mInFlight == 0 &&
             aNow >= aEntry.second.mLastActivity + mOptions.mSessionTtl;
    });
  }
  auto& session = mSessions[aSession];
  session.mVersion = aVersion;
  session.mLastActivity = aNow;
  ++session.mInFlight;
}

void
StagedRollout::OnEnded(std::uint64_t aSession, TimePoint aNow)
{
  const auto found = mSessions.find(aSession);
  if (found != mSessions.end()) {
    found->second.mInFlight = std::max(0, found->second.mInFlight - 1);
    found->second.mLastActivity = aNow;
  }
}

void
StagedRollout::OnSample(std::string_view aService,
                        std::string_view aVersion,
                        const CanarySample& aSample)
{
  const auto found = mRollouts.find(aService);
  if (found == mRollouts.end()) {
    return;
  }
  auto& rollout = found->second;
  if (!IsUndecided(rollout.mOrder.mState)) {
    return;
  }
  if (aVersion != rollout.mOrder.mTarget) {
    rollout.mEvidence.OnBaselineSample(aSample);
    return;
  }
  rollout.mEvidence.OnTargetSample(aSample);
  Judge(rollout);
}

void
StagedRollout::OnEvent(std::string_view aService,
                       const std::string& aUpstream,
                       TimePoint aNow)
{
  const auto found = mRollouts.find(aService);
  if (found != mRollouts.end() && IsUndecided(found->second.mOrder.mState)) {
    found->second.mEvidence.OnEvent(aUpstream, aNow);
    Judge(found->second);
  }
}

void
StagedRollout::Judge(TrackedRollout& aRollout)
{
  if (aRollout.mIsRejected || !IsUndecided(aRollout.mOrder.mState)) {
    return;
  }
  aRollout.mMayBeSlow = aRollout.mEvidence.MayBeSlow();
  if (auto verdict = aRollout.mEvidence.RejectionReason()) {
    aRollout.mIsRejected = true;
    aRollout.mReason = std::move(*verdict);
    aRollout.mRequestedAt.reset();
  }
}

std::vector<StatusChange>
StagedRollout::DueChanges(TimePoint aNow)
{
  std::vector<StatusChange> changes;
  for (auto& rollout : mRollouts | std::views::values) {
    const auto state = NextState(rollout, aNow);
    if (!state) {
      rollout.mDueSince.reset();
      continue;
    }
    if (!rollout.mDueSince) {
      rollout.mDueSince = aNow;
    }
    // each instance has its own delay, so that one writes for all
    const bool waits =
      aNow < *rollout.mDueSince + mOptions.mWriteDelay ||
      (rollout.mRequestedAt && aNow < *rollout.mRequestedAt + kRetryInterval);
    if (!waits) {
      rollout.mRequestedAt = aNow;
      changes.push_back({ .mOrder = rollout.mOrder,
                          .mState = *state,
                          .mElapsed = aNow - rollout.mStartedAt,
                          .mReason = rollout.mReason });
    }
  }
  return changes;
}

std::vector<EvidenceReport>
StagedRollout::DueReports(TimePoint aNow)
{
  std::vector<EvidenceReport> reports;
  for (auto& rollout : mRollouts | std::views::values) {
    const auto progress = ProgressOf(rollout, aNow - mOptions.mWriteDelay);
    const auto due = static_cast<std::size_t>(std::ranges::count_if(
      kReportProgress, [&](double aDue) { return aDue <= progress; }));
    if (!IsUndecided(rollout.mOrder.mState) || due <= rollout.mReportCount) {
      continue;
    }
    rollout.mReportCount = due;
    const auto counts = rollout.mEvidence.OwnCounts();
    if (counts.mTarget > 0 && counts != rollout.mReported) {
      rollout.mReported = counts;
      reports.push_back({ .mService = rollout.mOrder.mService,
                          .mCreated = rollout.mOrder.mCreated,
                          .mCounts = counts });
    }
  }
  return reports;
}

void
StagedRollout::OnPeerReports(const std::vector<EvidenceReport>& aReports)
{
  for (auto& [service, rollout] : mRollouts) {
    SlownessCounts peers;
    for (const auto& report : aReports) {
      if (report.mService == service &&
          report.mCreated == rollout.mOrder.mCreated) {
        peers += report.mCounts;
      }
    }
    rollout.mEvidence.SetPeerCounts(peers);
    Judge(rollout);
  }
}

std::optional<RolloutState>
StagedRollout::NextState(TrackedRollout& aRollout, TimePoint aNow)
{
  const auto state = aRollout.mOrder.mState;
  if (state == RolloutState::Completed || state == RolloutState::RolledBack) {
    return std::nullopt;
  }
  if (aRollout.mIsRejected) {
    return RolloutState::RolledBack;
  }
  const auto progress = ProgressOf(aRollout, aNow);
  const bool isTried = aRollout.mEvidence.TargetSampleCount() > 0;
  if (progress >=
      (isTried ? kCompletionProgress : kUntestedCompletionProgress)) {
    return RolloutState::Completed;
  }
  const auto reported = static_cast<double>(aRollout.mOrder.mElapsed.count()) /
                        static_cast<double>(aRollout.mOrder.mDuration.count());
  const bool isOld = StageIndexAt(progress) > StageIndexAt(reported);
  return state == RolloutState::Ordered || isOld
           ? std::optional(RolloutState::InProgress)
           : std::nullopt;
}

double
StagedRollout::ProgressOf(const TrackedRollout& aRollout, TimePoint aNow)
{
  const auto duration = aRollout.mOrder.mDuration.count();
  return duration <= 0
           ? 1.0
           : static_cast<double>((aNow - aRollout.mStartedAt).count()) /
               static_cast<double>(duration);
}

} // namespace figslip::rollout
