#include <figslip/rollout/staged_rollout.hpp>

#include <algorithm>
#include <array>
#include <ranges>
#include <utility>

namespace figslip::rollout {

namespace {

/// Upper bound of the share of the requests without a session that is tried in
/// the first half.
constexpr double kMaxCanaryShare = 0.08;

/// The same share multiplied by the number of instances. It limits how many
/// instances judge the new version by few attempts each.
constexpr double kSummedCanaryShare = 0.4;

/// Share of the requests without a session that is tried in the second half,
/// until the trial has used its part of the exposure limit.
constexpr double kTrialShare = 0.25;

/// Fraction of the planned time at which the second half begins.
constexpr double kMoveProgress = 0.52;

/// Fraction of the planned time at which the time of the move is decided, in a
/// status that reaches all instances before.
constexpr double kDecisionProgress = 0.85;

/// Fractions of the planned time at which a status in progress is written. An
/// instance that starts later reads the age of the order from it.
constexpr auto kStatusProgress =
  std::to_array<double>({ 0.0, 0.52, 0.7, kDecisionProgress });

/// Fractions of the planned time at which an instance shares its counts.
/// Several follow the begin of the trial of sessions, and the last one reaches
/// the others before the roll-out is completed.
constexpr auto kReportProgress =
  std::to_array<double>({ 0.2, 0.35, 0.5, 0.54, 0.58, 0.64, 0.74, 0.86 });

/// Instances up to which each shares its counts whenever they have changed. In
/// a larger fleet, where an instance tries the new version rarely, one without
/// new attempts on it has nothing to tell.
constexpr int kPromptInstances = 10;

/// Part of the planned time that is left when the roll-out is completed, at
/// least the time for the write of the status.
constexpr double kCompletionMargin = 0.04;
constexpr Duration kMinCompletionMargin = std::chrono::milliseconds(800);

/// An instance without samples of the new version leaves this part of the
/// margin, so that another instance decides before.
constexpr int kUntestedMarginDivisor = 2;

/// Time after which no upstream of a withdrawn version is registered any more.
constexpr Duration kWithdrawalTime = std::chrono::seconds(60);

/// The same time if the next order has replaced one that was near its end,
/// before that was seen. It is short, as that end may have been a
/// roll-back.
constexpr Duration kUnseenEndTime = std::chrono::seconds(5);

/// Time for which the store must have answered before a version is completed,
/// so that an instance that has rejected it can write that first.
constexpr Duration kSettlingTime = std::chrono::seconds(3);

/// Interval after which a requested change that has not appeared is requested
/// again.
constexpr Duration kRetryInterval = std::chrono::milliseconds(700);

std::ptrdiff_t
StatusIndexAt(double aProgress)
{
  return std::ranges::count_if(kStatusProgress,
                               [&](double aDue) { return aDue <= aProgress; });
}

/// Checks whether two counts differ in the attempts on the new version.
bool
DifferInTarget(const ComparisonCounts& aCounts, const ComparisonCounts& aOther)
{
  const auto isSame = [](const auto& aEntry, const auto& aOtherEntry) {
    const auto& [route, counts] = aEntry;
    const auto& [otherRoute, others] = aOtherEntry;
    return route == otherRoute && counts.mTarget == others.mTarget &&
           counts.mTargetDegraded == others.mTargetDegraded &&
           counts.mMachines == others.mMachines;
  };
  const auto withTarget = [](const ComparisonCounts& aAll) {
    auto routes = aAll.mRoutes;
    std::erase_if(
      routes, [](const auto& aEntry) { return aEntry.second.mTarget == 0; });
    return routes;
  };
  return !std::ranges::equal(withTarget(aCounts), withTarget(aOther), isSame);
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
  : mOptions(std::move(aOptions))
  , mSchedule(mExposureLimit.mShare)
  , mCanaryShare(kMaxCanaryShare)
{
}

void
StagedRollout::SetInstanceCount(int aInstances)
{
  mInstances = aInstances;
  mCanaryShare =
    std::min(kMaxCanaryShare, kSummedCanaryShare / std::max(1, aInstances));
  for (auto& rollout : mRollouts | std::views::values) {
    rollout.mEvidence.SetInstanceCount(aInstances);
  }
}

void
StagedRollout::SetExposureLimit(const ExposureLimit& aLimit)
{
  mExposureLimit = aLimit;
  mSchedule = SessionSchedule(aLimit.mShare);
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
    UpdateVersions(order, rollout, aNow);
    if (isNew) {
      rollout = {};
      rollout.mStartedAt = aNow - order.mElapsed;
      rollout.mExposure = ExposureBudget(rollout.mStartedAt, aNow);
      rollout.mEvidence.SetInstanceCount(mInstances);
    }
    // after a restart, the age of the order is known only from its status
    rollout.mStartedAt = std::min(rollout.mStartedAt, aNow - order.mElapsed);
    rollout.mOrder = order;
    UpdateWithdrawal(rollout, aNow);
  }
}

void
StagedRollout::UpdateVersions(const RolloutOrder& aOrder,
                              const TrackedRollout& aBefore,
                              TimePoint aNow)
{
  auto& versions = mVersions[aOrder.mService];
  const auto withdraw = [&](const std::string& aVersion, Duration aTime) {
    versions.mWithdrawn.try_emplace(aVersion, aNow + aTime);
  };
  const auto complete = [&](const std::string& aTarget, Duration aTime) {
    versions.mUsed.erase(aTarget);
    for (const auto& version : versions.mUsed) {
      withdraw(version, aTime);
    }
    versions.mUsed = { aTarget };
  };
  if (IsRefused(aBefore)) {
    withdraw(aBefore.mOrder.mTarget, kWithdrawalTime);
  } else if (aOrder.mTarget != aBefore.mOrder.mTarget &&
             MayHaveEnded(aBefore, aNow)) {
    // the next order has arrived before the status of the one that has ended
    complete(aBefore.mOrder.mTarget, kUnseenEndTime);
    WithdrawnOf(aOrder.mService)
      .OnWithdrawn({ .mTarget = aBefore.mOrder.mTarget,
                     .mCreated = aBefore.mOrder.mCreated },
                   aNow);
  }
  if (aOrder.mState == RolloutState::Completed) {
    complete(aOrder.mTarget, kWithdrawalTime);
  }
  versions.mWithdrawn.erase(aOrder.mTarget);
}

bool
StagedRollout::MayHaveEnded(const TrackedRollout& aRollout, TimePoint aNow)
{
  const auto& order = aRollout.mOrder;
  const bool isOpen = !order.mTarget.empty() && IsUndecided(order.mState);
  return isOpen && (order.mMoveProgress ||
                    ProgressOf(aRollout, aNow) >= kDecisionProgress);
}

void
StagedRollout::UpdateWithdrawal(const TrackedRollout& aRollout, TimePoint aNow)
{
  const auto& order = aRollout.mOrder;
  const auto isMoved = [&] {
    return order.mMoveProgress &&
           ProgressOf(aRollout, aNow) >= *order.mMoveProgress;
  };
  const bool isRolledBack = IsRefused(aRollout);
  if (isRolledBack || order.mState == RolloutState::Completed || isMoved()) {
    WithdrawnOf(order.mService)
      .OnWithdrawn({ .mTarget = order.mTarget,
                     .mCreated = order.mCreated,
                     .mIsRolledBack = isRolledBack },
                   aNow);
  }
}

WithdrawnSessions&
StagedRollout::WithdrawnOf(const std::string& aService)
{
  return mWithdrawnSessions
    .try_emplace(
      aService,
      WithdrawnSessions::Options{ .mInstance = mOptions.mInstance,
                                  .mService = aService,
                                  .mSessionTtl = mOptions.mSessionTtl })
    .first->second;
}

std::optional<SessionHold>
StagedRollout::HoldOf(std::string_view aService,
                      const SessionId& aSession,
                      TimePoint aNow) const
{
  const auto rollout = mRollouts.find(aService);
  const auto withdrawn = mWithdrawnSessions.find(aService);
  const bool isRelevant = !aSession.mIsSingle && rollout != mRollouts.end() &&
                          withdrawn != mWithdrawnSessions.end() &&
                          IsUndecided(rollout->second.mOrder.mState) &&
                          !rollout->second.mIsRejected;
  if (!isRelevant) {
    return std::nullopt;
  }
  const auto& order = rollout->second.mOrder;
  const auto sessions = mSessions.find(aService);
  const SessionTable none(mOptions.mSessionTtl);
  return withdrawn->second.HoldOf(
    aSession.mHash,
    sessions == mSessions.end() ? none : sessions->second,
    { .mTarget = order.mTarget, .mCreated = order.mCreated },
    aNow);
}

std::vector<SessionReport>
StagedRollout::DueSessionReports(TimePoint aNow)
{
  std::vector<SessionReport> reports;
  for (const auto& rollout : mRollouts | std::views::values) {
    UpdateWithdrawal(rollout, aNow);
  }
  for (auto& [service, withdrawn] : mWithdrawnSessions) {
    const auto& sessions =
      mSessions.try_emplace(service, mOptions.mSessionTtl).first->second;
    if (auto report = withdrawn.DueReport(sessions, aNow)) {
      reports.push_back(std::move(*report));
    }
  }
  return reports;
}

void
StagedRollout::OnPeerSessions(const SessionReport& aReport,
                              TimePoint aReceivedAt)
{
  WithdrawnOf(aReport.mService).OnPeerReport(aReport, aReceivedAt);
}

bool
StagedRollout::IsWithdrawn(std::string_view aService,
                           std::string_view aVersion) const
{
  const auto found = mVersions.find(aService);
  return found != mVersions.end() &&
         found->second.mWithdrawn.contains(aVersion);
}

bool
StagedRollout::Allows(std::string_view aService,
                      std::string_view aVersion,
                      const SessionId& aSession,
                      TimePoint aNow) const
{
  const auto found = mRollouts.find(aService);
  if (found == mRollouts.end()) {
    return true;
  }
  if (IsWithdrawn(aService, aVersion)) {
    return false;
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
  const bool wantsTarget =
    !rollout.mIsRejected && IsAssignedToTarget(rollout, aSession, aNow);
  return wantsTarget == isTarget;
}

bool
StagedRollout::IsRefused(const TrackedRollout& aRollout)
{
  const auto state = aRollout.mOrder.mState;
  return state == RolloutState::RolledBack ||
         (IsUndecided(state) && aRollout.mIsRejected);
}

bool
StagedRollout::MayMove(const TrackedRollout& aRollout, TimePoint aNow) const
{
  return ProgressOf(aRollout, aNow) >= kMoveProgress &&
         !aRollout.mIsSuspected &&
         aRollout.mExposure.AllowsMove(mExposureLimit,
                                       aRollout.mStartedAt +
                                         aRollout.mOrder.mDuration,
                                       aNow);
}

bool
StagedRollout::IsAssignedToTarget(const TrackedRollout& aRollout,
                                  const SessionId& aSession,
                                  TimePoint aNow) const
{
  const auto& order = aRollout.mOrder;
  if (ActiveVersion(order.mService, aSession, aNow) == order.mTarget) {
    return true;
  }
  return aSession.mIsSingle
           ? MayMove(aRollout, aNow) || IsTried(aRollout, aSession, aNow)
           : mSchedule.IsMoved(
               aSession.mHash, ProgressOf(aRollout, aNow), order.mMoveProgress);
}

bool
StagedRollout::IsTried(const TrackedRollout& aRollout,
                       const SessionId& aSession,
                       TimePoint aNow) const
{
  constexpr std::uint64_t kHashSteps = 10'000;
  const double position =
    static_cast<double>(aSession.mHash % kHashSteps) / kHashSteps;
  const bool isLargeTrial =
    !aRollout.mIsSuspected && ProgressOf(aRollout, aNow) >= kMoveProgress;
  return position < (isLargeTrial ? kTrialShare : mCanaryShare) &&
         aRollout.mExposure.AllowsTrial(mExposureLimit, aNow);
}

bool
StagedRollout::AllowsFallback(std::string_view aService,
                              std::string_view aVersion,
                              const SessionId& aSession,
                              bool aLacksUpstream,
                              TimePoint aNow) const
{
  const auto active = ActiveVersion(aService, aSession, aNow);
  const bool mayChange =
    aSession.mIsSingle ? active.empty() || active == aVersion : aLacksUpstream;
  if (!mayChange || !IsOpen(aService, aVersion)) {
    return false;
  }
  const auto found = mRollouts.find(aService);
  const bool isTrial = found != mRollouts.end() &&
                       IsUndecided(found->second.mOrder.mState) &&
                       aVersion == found->second.mOrder.mTarget;
  return !isTrial || found->second.mExposure.AllowsTrial(mExposureLimit, aNow);
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
  return isTarget ? !IsRefused(rollout)
                  : rollout.mOrder.mState != RolloutState::Completed &&
                      !IsWithdrawn(aService, aVersion);
}

std::string_view
StagedRollout::ActiveVersion(std::string_view aService,
                             const SessionId& aSession,
                             TimePoint aNow) const
{
  const auto found = mSessions.find(aService);
  return found == mSessions.end()
           ? std::string_view()
           : found->second.ActiveVersion(aSession.mHash, aNow);
}

void
StagedRollout::OnSent(std::string_view aService,
                      std::string_view aVersion,
                      const SessionId& aSession,
                      TimePoint aNow)
{
  const auto rollout = mRollouts.find(aService);
  if (rollout != mRollouts.end()) {
    rollout->second.mExposure.OnSent(aVersion == rollout->second.mOrder.mTarget,
                                     aNow);
  }
  mVersions[std::string(aService)].mUsed.emplace(aVersion);
  mSessions.try_emplace(std::string(aService), mOptions.mSessionTtl)
    .first->second.OnSent(aSession, aVersion, aNow);
}

void
StagedRollout::OnEnded(std::string_view aService,
                       const SessionId& aSession,
                       TimePoint aNow)
{
  const auto found = mSessions.find(aService);
  if (found != mSessions.end()) {
    found->second.OnEnded(aSession, aNow);
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
    if (found->second.mEvidence.OnEvent(aUpstream, aNow)) {
      Judge(found->second);
    }
  }
}

void
StagedRollout::Judge(TrackedRollout& aRollout)
{
  if (aRollout.mIsRejected || !IsUndecided(aRollout.mOrder.mState)) {
    return;
  }
  aRollout.mIsSuspected = aRollout.mEvidence.IsSuspected();
  if (auto reason = aRollout.mEvidence.RejectionReason()) {
    Reject(aRollout, std::move(*reason));
  }
}

void
StagedRollout::Reject(TrackedRollout& aRollout, std::string aReason)
{
  aRollout.mIsRejected = true;
  aRollout.mReason = std::move(aReason);
  aRollout.mRequestedAt.reset();
}

std::vector<StatusChange>
StagedRollout::DueChanges(TimePoint aNow)
{
  for (auto& versions : mVersions | std::views::values) {
    std::erase_if(versions.mWithdrawn,
                  [&](const auto& aEntry) { return aEntry.second <= aNow; });
  }
  std::vector<StatusChange> changes;
  for (auto& rollout : mRollouts | std::views::values) {
    const auto state = NextState(rollout, aNow);
    const bool mustSettle =
      state == RolloutState::Completed && !HasSettled(aNow);
    if (!state || mustSettle) {
      rollout.mDueSince.reset();
      continue;
    }
    if (!rollout.mDueSince) {
      rollout.mDueSince = aNow;
    }
    // each instance has its own delay, so that one writes for all; a bad
    // version must not be completed by another instance meanwhile
    const auto delay =
      rollout.mIsRejected ? Duration::zero() : mOptions.mWriteDelay;
    const bool waits =
      aNow < *rollout.mDueSince + delay ||
      (rollout.mRequestedAt && aNow < *rollout.mRequestedAt + kRetryInterval);
    if (!waits) {
      rollout.mRequestedAt = aNow;
      changes.push_back({ .mOrder = rollout.mOrder,
                          .mState = *state,
                          .mElapsed = aNow - rollout.mStartedAt,
                          .mMoveProgress = MoveProgressOf(rollout, aNow),
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
    const auto& counts = rollout.mEvidence.OwnCounts();
    const bool hasNews = mInstances <= kPromptInstances
                           ? counts != rollout.mReported
                           : DifferInTarget(counts, rollout.mReported);
    if (counts.Total().mTarget > 0 && hasNews) {
      rollout.mReported = counts;
      reports.push_back({ .mService = rollout.mOrder.mService,
                          .mCreated = rollout.mOrder.mCreated,
                          .mCounts = counts });
    }
  }
  return reports;
}

void
StagedRollout::OnReportFailed(std::string_view aService, std::int64_t aCreated)
{
  const auto found = mRollouts.find(aService);
  if (found != mRollouts.end() && found->second.mOrder.mCreated == aCreated) {
    found->second.mReported = {};
  }
}

void
StagedRollout::OnPeerReports(const std::vector<EvidenceReport>& aReports)
{
  for (auto& [service, rollout] : mRollouts) {
    ComparisonCounts peers;
    for (const auto& report : aReports) {
      if (report.mService == service &&
          report.mCreated == rollout.mOrder.mCreated) {
        peers += report.mCounts;
      }
    }
    rollout.mEvidence.SetPeerCounts(std::move(peers));
    Judge(rollout);
  }
}

void
StagedRollout::OnStopping(TimePoint aNow)
{
  for (const auto& [service, rollout] : mRollouts) {
    if (IsUndecided(rollout.mOrder.mState) && !rollout.mIsRejected) {
      WithdrawnOf(service).OnStopping({ .mTarget = rollout.mOrder.mTarget,
                                        .mCreated = rollout.mOrder.mCreated },
                                      aNow);
    }
  }
}

void
StagedRollout::OnStoreLost()
{
  mIsStoreLost = true;
}

void
StagedRollout::OnStoreRegained(TimePoint aNow)
{
  mIsStoreLost = false;
  mStoreFailedAt = aNow;
}

void
StagedRollout::OnWriteFailed(TimePoint aNow)
{
  mStoreFailedAt = aNow;
}

bool
StagedRollout::HasSettled(TimePoint aNow) const
{
  return !mIsStoreLost &&
         (!mStoreFailedAt || aNow >= *mStoreFailedAt + kSettlingTime);
}

std::optional<double>
StagedRollout::MoveProgressOf(const TrackedRollout& aRollout,
                              TimePoint aNow) const
{
  const auto progress = ProgressOf(aRollout, aNow);
  const auto& decided = aRollout.mOrder.mMoveProgress;
  return decided || progress < kDecisionProgress
           ? decided
           : std::optional(mSchedule.MoveProgress(
               progress, aRollout.mExposure.Growth(aNow)));
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
  const auto duration = aRollout.mOrder.mDuration;
  const Duration margin = std::max(
    kMinCompletionMargin,
    std::chrono::duration_cast<Duration>(duration * kCompletionMargin));
  const bool isTried = aRollout.mEvidence.TargetSampleCount() > 0;
  const auto left = aRollout.mStartedAt + duration - aNow;
  if (left <= (isTried ? margin : margin / kUntestedMarginDivisor)) {
    auto doubt = aRollout.mEvidence.DoubtReason();
    if (doubt) {
      Reject(aRollout, std::move(*doubt));
      return RolloutState::RolledBack;
    }
    aRollout.mReason = aRollout.mEvidence.MergedCounts().Text();
    return RolloutState::Completed;
  }
  const auto reported = static_cast<double>(aRollout.mOrder.mElapsed.count()) /
                        static_cast<double>(duration.count());
  const bool isOld =
    StatusIndexAt(ProgressOf(aRollout, aNow)) > StatusIndexAt(reported);
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
