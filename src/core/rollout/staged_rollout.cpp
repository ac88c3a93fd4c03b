#include <figslip/rollout/staged_rollout.hpp>

#include <algorithm>
#include <array>
#include <ranges>

namespace figslip::rollout {

namespace {

/// Pairs a part of the time with the share from then on.
struct Stage
{
  double mProgress;
  double mShare;
};

/// Largest share in the first half.
constexpr double kMaxFirstShare = 0.08;

/// Share in the first half times the number of instances. Sessions that run
/// when the order comes may not change their version in that half, and an
/// instance does not know those of others; so few of them may be in the share,
/// however large the traffic is.
constexpr double kFirstShareOfAll = 0.4;

/// The rest of the time moves all sessions, and lets answers that run on the
/// old version end.
constexpr auto kStages = std::to_array<Stage>(
  { { 0.0, 0.0 }, { 0.52, 0.3 }, { 0.58, 0.6 }, { 0.65, 1.0 } });

/// Part of the time at which the roll-out is completed.
constexpr double kCompleteAt = 0.92;

/// The same at an instance that has sent the new version nothing.
constexpr double kCompleteUntriedAt = 0.96;

/// Time after which a change that was asked for and not seen is asked again.
constexpr Duration kAskAgain = std::chrono::milliseconds(700);

std::size_t
StageAt(double aProgress)
{
  const auto next = std::ranges::find_if(
    kStages, [&](const Stage& aStage) { return aStage.mProgress > aProgress; });
  return static_cast<std::size_t>(next - kStages.begin()) - 1;
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
  , mFirstShare(kMaxFirstShare)
{
}

void
StagedRollout::SetInstances(int aInstances)
{
  mFirstShare =
    std::min(kMaxFirstShare, kFirstShareOfAll / std::max(1, aInstances));
}

double
StagedRollout::ShareAt(double aProgress) const
{
  const auto stage = StageAt(std::max(0.0, aProgress));
  return std::max(mFirstShare, kStages.at(stage).mShare);
}

void
StagedRollout::OnOrders(const std::vector<RolloutOrder>& aOrders,
                        TimePoint aNow)
{
  std::erase_if(mWatched, [&](const auto& aEntry) {
    return std::ranges::none_of(aOrders, [&](const RolloutOrder& aOrder) {
      return aOrder.mService == aEntry.first;
    });
  });
  for (const auto& order : aOrders) {
    auto& watched = mWatched[order.mService];
    const bool isNew = watched.mOrder.mCreated != order.mCreated ||
                       watched.mOrder.mTarget != order.mTarget;
    if (isNew) {
      watched = {};
      watched.mBegan = aNow - order.mElapsed;
    }
    // an instance that restarted learns the age of the order from its status
    watched.mBegan = std::min(watched.mBegan, aNow - order.mElapsed);
    watched.mOrder = order;
  }
}

bool
StagedRollout::Allows(std::string_view aService,
                      std::string_view aVersion,
                      std::uint64_t aSession,
                      TimePoint aNow) const
{
  const auto found = mWatched.find(aService);
  if (found == mWatched.end()) {
    return true;
  }
  const auto& watched = found->second;
  const bool isTarget = aVersion == watched.mOrder.mTarget;
  switch (watched.mOrder.mState) {
    case RolloutState::Completed:
      return isTarget;
    case RolloutState::RolledBack:
      return !isTarget;
    case RolloutState::Ordered:
    case RolloutState::InProgress:
      break;
  }
  return watched.mIsBad ? !isTarget
                        : AllowsInProgress(watched, isTarget, aSession, aNow);
}

bool
StagedRollout::AllowsInProgress(const Watched& aWatched,
                                bool aIsTarget,
                                std::uint64_t aSession,
                                TimePoint aNow) const
{
  constexpr std::uint64_t kSteps = 10'000;
  const auto progress = ProgressOf(aWatched, aNow);
  const double place = static_cast<double>(aSession % kSteps) / kSteps;
  bool wantsTarget = place < ShareAt(progress);
  const auto* const session = ActiveSession(aSession, aNow);
  if (session != nullptr && session->mVersion == aWatched.mOrder.mTarget) {
    wantsTarget = true;
  } else if (session != nullptr && progress < kStages[1].mProgress) {
    wantsTarget = false;
  }
  return wantsTarget == aIsTarget;
}

bool
StagedRollout::AllowsInstead(std::string_view aService,
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
  const auto found = mWatched.find(aService);
  if (found == mWatched.end()) {
    return true;
  }
  const auto& watched = found->second;
  const bool isTarget = aVersion == watched.mOrder.mTarget;
  const bool isRefused =
    watched.mIsBad || watched.mOrder.mState == RolloutState::RolledBack;
  return isTarget ? !isRefused
                  : watched.mOrder.mState != RolloutState::Completed;
}

const StagedRollout::Session*
StagedRollout::ActiveSession(std::uint64_t aSession, TimePoint aNow) const
{
  const auto found = mSessions.find(aSession);
  const bool isActive = found != mSessions.end() &&
                        (found->second.mOpen > 0 ||
                         aNow < found->second.mLast + mOptions.mSessionTtl);
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
      return aEntry.second.mOpen == 0 &&
             aNow >= aEntry.second.mLast + mOptions.mSessionTtl;
    });
  }
  auto& session = mSessions[aSession];
  session.mVersion = aVersion;
  session.mLast = aNow;
  ++session.mOpen;
}

void
StagedRollout::OnEnded(std::uint64_t aSession, TimePoint aNow)
{
  const auto found = mSessions.find(aSession);
  if (found != mSessions.end()) {
    found->second.mOpen = std::max(0, found->second.mOpen - 1);
    found->second.mLast = aNow;
  }
}

void
StagedRollout::OnSample(std::string_view aService,
                        std::string_view aVersion,
                        const CanarySample& aSample)
{
  const auto found = mWatched.find(aService);
  if (found == mWatched.end()) {
    return;
  }
  auto& watched = found->second;
  if (aVersion != watched.mOrder.mTarget) {
    watched.mEvidence.OnOthers(aSample);
    return;
  }
  watched.mEvidence.OnTarget(aSample);
  const auto verdict = watched.mEvidence.Verdict();
  const bool isOpen = watched.mOrder.mState == RolloutState::Ordered ||
                      watched.mOrder.mState == RolloutState::InProgress;
  if (verdict && isOpen && !watched.mIsBad) {
    watched.mIsBad = true;
    watched.mReason = *verdict;
    watched.mAskedAt.reset();
  }
}

std::vector<StatusChange>
StagedRollout::Due(TimePoint aNow)
{
  std::vector<StatusChange> changes;
  for (auto& watched : mWatched | std::views::values) {
    const auto state = WantedState(watched, aNow);
    if (!state) {
      watched.mDueSince.reset();
      continue;
    }
    if (!watched.mDueSince) {
      watched.mDueSince = aNow;
    }
    // the instances wait for times of their own, so that one writes for all
    const bool waits =
      aNow < *watched.mDueSince + mOptions.mWriteDelay ||
      (watched.mAskedAt && aNow < *watched.mAskedAt + kAskAgain);
    if (!waits) {
      watched.mAskedAt = aNow;
      changes.push_back({ .mOrder = watched.mOrder,
                          .mState = *state,
                          .mElapsed = aNow - watched.mBegan,
                          .mReason = watched.mReason });
    }
  }
  return changes;
}

std::optional<RolloutState>
StagedRollout::WantedState(Watched& aWatched, TimePoint aNow)
{
  const auto state = aWatched.mOrder.mState;
  if (state == RolloutState::Completed || state == RolloutState::RolledBack) {
    return std::nullopt;
  }
  if (aWatched.mIsBad) {
    return RolloutState::RolledBack;
  }
  const auto progress = ProgressOf(aWatched, aNow);
  const bool isTried = aWatched.mEvidence.Samples() > 0;
  if (progress >= (isTried ? kCompleteAt : kCompleteUntriedAt)) {
    return RolloutState::Completed;
  }
  const auto told = static_cast<double>(aWatched.mOrder.mElapsed.count()) /
                    static_cast<double>(aWatched.mOrder.mDuration.count());
  const bool isOld = StageAt(progress) > StageAt(told);
  return state == RolloutState::Ordered || isOld
           ? std::optional(RolloutState::InProgress)
           : std::nullopt;
}

double
StagedRollout::ProgressOf(const Watched& aWatched, TimePoint aNow)
{
  const auto duration = aWatched.mOrder.mDuration.count();
  return duration <= 0 ? 1.0
                       : static_cast<double>((aNow - aWatched.mBegan).count()) /
                           static_cast<double>(duration);
}

} // namespace figslip::rollout
