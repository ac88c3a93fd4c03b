#include <figslip/cascade/latency_estimator.hpp>

#include <cassert>
#include <cmath>

namespace figslip::cascade {

namespace {

/// Weight of a new sample in the mean and in the deviation.
constexpr double kGain = 0.05;
/// Deviations that are added to the mean.
constexpr double kDeviations = 2.0;

} // namespace

LatencyEstimator::LatencyEstimator(std::size_t aMaxKeys)
  : mMaxKeys(aMaxKeys)
{
  assert(aMaxKeys >= 1);
}

void
LatencyEstimator::Add(const evidence::EvidenceKey& aKey, Duration aLatency)
{
  const auto latency = static_cast<double>(aLatency.count());
  const auto found = mEstimates.find(aKey);
  if (found == mEstimates.end()) {
    if (mEstimates.size() < mMaxKeys) {
      mEstimates[aKey] = { .mMean = latency, .mDeviation = latency / 2 };
    }
    return;
  }
  auto& estimate = found->second;
  const double error = latency - estimate.mMean;
  estimate.mMean += kGain * error;
  estimate.mDeviation += kGain * (std::abs(error) - estimate.mDeviation);
}

Duration
LatencyEstimator::Expected(const evidence::EvidenceKey& aKey) const
{
  const auto found = mEstimates.find(aKey);
  if (found == mEstimates.end()) {
    return Duration::zero();
  }
  const auto& estimate = found->second;
  return Duration(static_cast<Duration::rep>(
    estimate.mMean + kDeviations * estimate.mDeviation));
}

} // namespace figslip::cascade
