#pragma once

#include <figslip/evidence/evidence_store.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <map>

namespace figslip::cascade {

/// @brief Learns the latency of complete answers, as measured by this instance.
class LatencyEstimator
{
public:
  /// @param[in] aMaxKeys maximum number of keys, which bounds memory, >= 1
  /// @note Samples of further keys are ignored.
  explicit LatencyEstimator(std::size_t aMaxKeys = 4096);

  /// @brief Adds the latency of a complete answer.
  void Add(const evidence::EvidenceKey& aKey, Duration aLatency);

  /// @brief Returns a latency that most answers do not exceed.
  /// @return zero without samples
  [[nodiscard]] Duration Expected(const evidence::EvidenceKey& aKey) const;

private:
  struct Estimate
  {
    double mMean = 0.0;      ///< microseconds
    double mDeviation = 0.0; ///< mean absolute deviation, microseconds
  };

  std::size_t mMaxKeys;
  std::map<evidence::EvidenceKey, Estimate> mEstimates;
};

} // namespace figslip::cascade
