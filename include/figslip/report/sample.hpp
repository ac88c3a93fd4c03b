#pragma once

#include <figslip/error/result.hpp>
#include <figslip/report/exposition.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::report {

/// @brief Holds the value of one SLO counter of one daemon.
struct SloCount
{
  std::string mDaemon; ///< address and port
  std::string mAccount;
  std::string mSlo;
  std::string mResult;
  std::int64_t mCount = 0; ///< since the start of the daemon

  bool operator==(const SloCount&) const = default;
};

/// @brief Holds the SLO counters of all daemons at one time.
struct Sample
{
  std::int64_t mTakenAtMs = 0; ///< Unix milliseconds
  std::vector<std::string> mDaemons;
  std::vector<std::string> mMissing; ///< daemons that did not answer
  std::vector<SloCount> mCounts;

  bool operator==(const Sample&) const = default;
};

/// @brief Adds the SLO counters among the metrics of a daemon to a sample.
void
AddDaemon(Sample& aSample,
          const std::string& aDaemon,
          const std::vector<MetricPoint>& aPoints);

/// @brief Prints a sample as one line of JSON.
[[nodiscard]] std::string
PrintSample(const Sample& aSample);

/// @brief Parses samples, a line of JSON each, and sorts them by time.
/// @param[in] aPlace name of the text, the begin of the place of findings
[[nodiscard]] Result<std::vector<Sample>>
ParseSamples(std::string_view aPlace, std::string_view aText);

} // namespace figslip::report
