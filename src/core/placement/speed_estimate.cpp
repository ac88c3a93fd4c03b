#include <figslip/placement/speed_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace figslip::placement {

namespace {

using Seconds = std::chrono::duration<double>;

/// Time in which a reported factor returns to its mean, to 1/e. Slowdowns last
/// about 600 ms, and a report may come at any time of one.
constexpr Seconds kMomentaryTime{ 0.2 };

/// Time over which the mean of the reported factors is taken. It spans many
/// slowdowns.
constexpr Seconds kMeanTime{ 10.0 };

/// Bounds of a factor and of a ratio of times. No machine that serves is
/// further from its usual speed; a report beyond them is false.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 8.0;

/// Number of samples that the mean of all upstreams is worth.
constexpr double kPriorSamples = 4.0;

/// Samples that count at most, so that a machine whose speed has changed is
/// recognised after as many.
constexpr double kMaxSamples = 32.0;

/// Time in which samples lose weight, to 1/e.
constexpr Seconds kSampleTime{ 30.0 };

/// Added to both times of a sample: delays of the network and of this process
/// do not depend on the machine of the upstream.
constexpr Duration kLatencyOffset = std::chrono::milliseconds(5);

double
Decay(Duration aAge, Seconds aTime)
{
  return std::exp(-std::max(Seconds::zero(), Seconds(aAge)) / aTime);
}

} // namespace

double
SpeedEstimate::MomentaryFactor(TimePoint aNow) const
{
  return mMean +
         (mReported - mMean) * Decay(aNow - mReportedAt, kMomentaryTime);
}

double
SpeedEstimate::SampleWeight(TimePoint aNow) const
{
  return mWeight * Decay(aNow - mSampledAt, kSampleTime);
}

double
SpeedEstimate::LastingLog(double aMeanLog, TimePoint aNow) const
{
  const double weight = SampleWeight(aNow);
  return (MeanSampleLog() * weight + aMeanLog * kPriorSamples) /
         (weight + kPriorSamples);
}

Duration
SpeedEstimate::Scale(Duration aWork, double aMeanLog, TimePoint aNow) const
{
  if (!mIsReported) {
    return aWork;
  }
  const Seconds usual =
    Seconds(aWork) * mMean * std::exp(LastingLog(aMeanLog, aNow));
  if (usual <= Seconds::zero()) {
    return aWork;
  }
  // the mean of the decaying factor over the time of the work
  const double excess = MomentaryFactor(aNow) / mMean - 1.0;
  const double part = kMomentaryTime / usual;
  const double factor = 1.0 + excess * part * (1.0 - std::exp(-1.0 / part));
  return std::chrono::duration_cast<Duration>(usual * factor);
}

void
SpeedEstimate::OnReport(double aFactor, TimePoint aNow)
{
  const double factor = std::clamp(aFactor, kMinFactor, kMaxFactor);
  if (mIsReported) {
    // by time, as reports are frequent where the upstream is used much
    mMean += (factor - mMean) * (1.0 - Decay(aNow - mReportedAt, kMeanTime));
  }
  mIsReported = true;
  mReported = factor;
  mReportedAt = aNow;
}

void
SpeedEstimate::OnSample(Duration aTook,
                        Duration aWork,
                        double aFactorBefore,
                        TimePoint aNow)
{
  if (!mIsReported || aWork <= Duration::zero()) {
    return;
  }
  // the factor changed during the request; its ends are known
  const double factor = (aFactorBefore + mReported) / 2.0;
  const Seconds took = aTook + kLatencyOffset;
  const Seconds expected = Seconds(aWork) * factor + kLatencyOffset;
  const double ratio = std::clamp(took / expected, kMinFactor, kMaxFactor);
  const double weight = SampleWeight(aNow);
  mLogSum = MeanSampleLog() * weight + std::log(ratio);
  mWeight = weight + 1.0;
  if (mWeight > kMaxSamples) {
    mLogSum *= kMaxSamples / mWeight;
    mWeight = kMaxSamples;
  }
  mSampledAt = aNow;
}

} // namespace figslip::placement
