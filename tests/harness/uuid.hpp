#pragma once

#include <string>

namespace figslip::test {

/// Makes a UUID of version 7 from the present time and random bits.
[[nodiscard]] std::string
NewUuidV7();

} // namespace figslip::test
