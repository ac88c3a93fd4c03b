#pragma once

#include <figslip/peer/digest.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>

namespace figslip::peer {

/// @brief Encodes a digest as for a peer and returns its length in bytes,
/// without the headers of the call.
[[nodiscard]] std::size_t
EncodedSize(const Digest& aDigest, TimePoint aNow);

} // namespace figslip::peer
