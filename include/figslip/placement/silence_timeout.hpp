#pragma once

#include <figslip/placement/upstream_selector.hpp>
#include <figslip/time/time_point.hpp>

namespace figslip::placement {

/// Fraction of the target latency after which a silent attempt at a plain
/// service is replaced. The rest leaves time for the answer of another
/// upstream.
inline constexpr double kPlainTimeoutFraction = 0.6;

/// Multiple of the expected time for which the answer of an upstream of known
/// speed is awaited at least. Half as long again covers the error of the
/// estimate.
inline constexpr double kExpectedWorkMargin = 1.5;

/// @brief Returns the silence after which an attempt at a plain service is
/// replaced.
///
/// An upstream on a slow machine that reports its speed is awaited for longer.
/// A fast one is replaced no sooner than others.
/// @param[in] aTimeLeft until the deadline of the request; bounds the longer
/// wait, so that time for a replacement is left if reports are false
[[nodiscard]] Duration
PlainSilenceTimeout(const Choice& aChoice,
                    Duration aTargetLatency,
                    Duration aTimeLeft);

} // namespace figslip::placement
