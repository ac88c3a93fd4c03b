#include <figslip/placement/silence_timeout.hpp>

#include <algorithm>

namespace figslip::placement {

namespace {

Duration
Scale(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

Duration
PlainSilenceTimeout(const Choice& aChoice,
                    Duration aTargetLatency,
                    Duration aTimeLeft)
{
  const auto usual = Scale(aTargetLatency, kPlainTimeoutFraction);
  if (!aChoice.mIsSpeedReported) {
    return usual;
  }
  // penalties for failures and for other failure domains are no waiting time
  const auto penalties = aChoice.mUsualTimeToFirstEvent - aChoice.mUsualWork;
  const auto work = aChoice.mTimeToFirstEvent - penalties;
  const auto latest = std::max(usual, Scale(aTimeLeft, kPlainTimeoutFraction));
  return std::clamp(Scale(work, kExpectedWorkMargin), usual, latest);
}

} // namespace figslip::placement
