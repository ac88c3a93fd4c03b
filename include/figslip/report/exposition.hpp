#pragma once

#include <figslip/error/result.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::report {

/// @brief Holds one line of metrics.
struct MetricPoint
{
  std::string mName;
  std::map<std::string, std::string> mLabels;
  double mValue = 0.0;

  bool operator==(const MetricPoint&) const = default;
};

/// @brief Parses the text exposition form that `metrics::Registry` prints.
/// @return all points, or all findings, each with its line number
[[nodiscard]] Result<std::vector<MetricPoint>>
ParseExposition(std::string_view aText);

} // namespace figslip::report
