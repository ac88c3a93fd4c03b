#include <figslip/rollout/session_schedule.hpp>

#include <algorithm>

namespace figslip::rollout {

namespace {

/// Fraction of the planned time at which the trial begins. Sessions keep their
/// version in the first half, also by the clock of an instance that learned of
/// the order first.
constexpr double kTrialProgress = 0.505;

/// Fraction of the exposure limit that is used. The rest covers traffic that
/// grows after the time of the move was decided.
constexpr double kUsedFraction = 0.9;

/// Part of the used exposure that the trial receives. The rest is kept for the
/// time between the move of the other sessions and the end.
constexpr double kTrialFraction = 0.5;

/// Upper bound of the share of the sessions in the trial.
constexpr double kMaxTrialShare = 0.25;

} // namespace

SessionSchedule::SessionSchedule(double aExposureShare)
  : mUsedShare(kUsedFraction * std::clamp(aExposureShare, 0.0, 1.0))
  , mTrialShare(std::min(kMaxTrialShare,
                         kTrialFraction * mUsedShare / (1.0 - kTrialProgress)))
{
}

double
SessionSchedule::MoveProgress(double aProgress, double aGrowth) const
{
  const double growth = std::max(1.0, aGrowth);
  // in units of the requests at the mean rate in the whole planned time
  const double expected = aProgress + growth * (1.0 - aProgress);
  // the trial has seen more of the growth than the time before it
  const double tried =
    growth * mTrialShare * std::max(0.0, aProgress - kTrialProgress);
  const double left =
    mUsedShare * expected - tried - growth * mTrialShare * (1.0 - aProgress);
  return std::clamp(1.0 - left / (growth * (1.0 - mTrialShare)),
                    std::max(aProgress, kTrialProgress),
                    1.0);
}

bool
SessionSchedule::IsMoved(std::uint64_t aHash,
                         double aProgress,
                         std::optional<double> aMoveProgress) const
{
  constexpr std::uint64_t kHashSteps = 10'000;
  const double position = static_cast<double>(aHash % kHashSteps) / kHashSteps;
  const bool isTried = position < mTrialShare && aProgress >= kTrialProgress;
  return isTried || (aMoveProgress && aProgress >= *aMoveProgress);
}

} // namespace figslip::rollout
