#pragma once

#include <figslip/manifest/manifest.hpp>
#include <figslip/report/sample.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figslip::report {

/// @brief Counts requests by what they count as for one SLO.
struct BurnCounts
{
  std::int64_t mGood = 0;
  std::int64_t mSlow = 0;
  std::int64_t mRefused = 0;
  std::int64_t mBadRatings = 0; ///< among the answered ones

  [[nodiscard]] std::int64_t Total() const;
  /// @brief Counts the requests that burn budget; a rating burns once.
  [[nodiscard]] std::int64_t Bad() const;
  BurnCounts& operator+=(const BurnCounts& aOther);
  bool operator==(const BurnCounts&) const = default;
};

/// @brief Holds the burn over one window.
struct BurnWindow
{
  Duration mLength{};  ///< length asked for
  Duration mCovered{}; ///< length that the samples cover
  BurnCounts mCounts;
  /// share of bad requests divided by the share that the SLO allows; 1 uses up
  /// the budget exactly at the end of the SLO's window
  double mRate = 0.0;
};

/// @brief Holds one point of a plot.
struct BurnPoint
{
  std::int64_t mAtMs = 0; ///< Unix milliseconds
  double mRate = 0.0;     ///< burn rate since the point before
};

/// @brief Holds the spending of a client account by its billing records.
struct Spending
{
  std::int64_t mRequests = 0;
  std::int64_t mCost = 0; ///< micro currency units
};

/// @brief Reports on one SLO.
struct SloBurn
{
  manifest::Slo mSlo;
  BurnWindow mShort;
  BurnWindow mLong;
  BurnWindow mBudget; ///< over the window of the SLO
  double mBudgetLeft =
    1.0; ///< share of the error budget; negative if overspent
  std::vector<BurnPoint> mHistory;
  Spending mSpending; ///< of the account over the window of the SLO
};

/// @brief Holds what the report is computed from.
struct BurnInput
{
  std::vector<manifest::Slo> mSlos;
  std::vector<Sample> mSamples; ///< sorted by time
  Duration mShort = std::chrono::hours(1);
  Duration mLong = std::chrono::hours(6);
  std::vector<std::string> mBatches; ///< JSON texts of billing batches
};

/// @brief Computes the burn of all SLOs at the time of the last sample.
///
/// Counters that fall were reset by a restart and count from zero. A daemon
/// missing from a sample counts in the next one that has it. A window begins at
/// the latest sample that covers all of it, or at the first one; `mCovered`
/// tells the length that results.
/// @return the burns, or findings: fewer than two samples, malformed batches
[[nodiscard]] Result<std::vector<SloBurn>>
ComputeBurn(const BurnInput& aInput);

} // namespace figslip::report
