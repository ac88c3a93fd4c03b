#pragma once

#include <figslip/evidence/evidence_store.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <map>

namespace figslip::cascade {

/// @brief Learns how long whole answers take, as this entry sees it.
class LatencyEstimator
{
public:
  /// @param[in] aMaxKeys bound on memory, >= 1
  explicit LatencyEstimator(std::size_t aMaxKeys = 4096);

  /// @brief Takes the latency of a whole answer into account.
  void Add(const evidence::EvidenceKey& aKey, Duration aLatency);

  /// @brief Returns a latency that most answers stay under, in time for
  /// planning; zero where none was seen.
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
