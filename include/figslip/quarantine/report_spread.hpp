#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string_view>

namespace figslip::quarantine {

/// @brief Spreads the reports that several instances make of one crash.
///
/// An instance whose turn comes late finds the report of another one in the
/// store and leaves out its own. In a small fleet all report at once.
class ReportSpread
{
public:
  /// @param[in] aSeed different in each instance
  explicit ReportSpread(std::uint64_t aSeed)
    : mSeed(aSeed)
  {
  }

  /// @brief Sets the number of instances that share their reports.
  void SetInstanceCount(int aInstances);

  /// @brief Returns the time by which this instance delays its report.
  /// @param[in] aSubject what is reported; the order of the instances differs
  ///            by subject
  [[nodiscard]] Duration DelayOf(std::string_view aSubject) const;

private:
  std::uint64_t mSeed;
  int mInstances = 1;
  Duration mSpread{};
};

} // namespace figslip::quarantine
