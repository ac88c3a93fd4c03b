#pragma once

#include <string_view>

namespace figslip::http {

/// @brief Tells whether a text is an IP number, of version 4 or 6.
[[nodiscard]] bool
IsIpNumber(std::string_view aText);

} // namespace figslip::http
