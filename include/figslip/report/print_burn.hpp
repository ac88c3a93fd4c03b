#pragma once

#include <figslip/report/burn.hpp>

#include <string>
#include <vector>

namespace figslip::report {

/// @brief Prints burns as a table for readers.
[[nodiscard]] std::string
PrintText(const std::vector<SloBurn>& aBurns);

/// @brief Prints burns as JSON.
[[nodiscard]] std::string
PrintJson(const std::vector<SloBurn>& aBurns);

/// @brief Prints burns as one HTML page that needs no other file, with a plot
/// of the burn rate of each SLO as inline SVG.
[[nodiscard]] std::string
PrintHtml(const std::vector<SloBurn>& aBurns);

} // namespace figslip::report
