#pragma once

#include <figslip/time/time_point.hpp>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace figslip::load {

/// @brief Collects what one run of one policy is measured by.
struct Measures
{
  std::string mDeployment;
  std::string mScenario;
  std::string mPolicy;

  std::int64_t mChatRequests = 0;
  std::int64_t mAnswered = 0; ///< chat requests with a whole answer
  std::int64_t mGood = 0;     ///< answers that are good
  std::int64_t mCost = 0;     ///< micro currency units, all attempts
  std::int64_t mExposed = 0;  ///< answers by a version that was bad
  std::int64_t mAttempts = 0;
  std::int64_t mRequests = 0; ///< of both kinds
  std::int64_t mIdempotent = 0;
  std::int64_t mIdempotentAnswered = 0;
  std::int64_t mFaultIdempotent = 0; ///< arrived while the fault lasted
  std::int64_t mFaultAnswered = 0;   ///< of these, answered
  std::int64_t mOverloads = 0;       ///< cold upstreams that fell over
  std::int64_t mFalseStops = 0;      ///< stops of versions that were not bad
  std::int64_t mBadStops = 0;        ///< stops of bad versions, per instance
  std::vector<Duration> mLatencies;  ///< of answered chat requests

  [[nodiscard]] double CostPerThousand() const;
  [[nodiscard]] double Quality() const;
  /// @brief Returns a quantile of the latency, in milliseconds.
  /// @param[in] aShare the quantile, [0, 1]
  [[nodiscard]] double LatencyMs(double aShare) const;
  [[nodiscard]] double ServedShare() const;
  [[nodiscard]] double FaultServedShare() const;
  [[nodiscard]] double AttemptsPerRequest() const;
};

/// @brief Prints the measures as one JSON object.
[[nodiscard]] nlohmann::json
ToJson(const Measures& aMeasures);

/// @brief Prints the measures as a table of text with one line each.
[[nodiscard]] std::string
ToTable(const std::vector<Measures>& aMeasures);

} // namespace figslip::load
