#pragma once

#include <figslip/error/error_kind.hpp>
#include <figslip/manifest/manifest.hpp>
#include <figslip/metrics/registry.hpp>
#include <figslip/time/time_point.hpp>

#include <string_view>
#include <variant>

namespace figslip::report {

/// @brief Lists what a request counts as for an SLO.
enum class SloResult
{
  Good,     ///< answered within the latency of the SLO
  Slow,     ///< answered later
  Refused,  ///< refused, or broken off, through no fault of the caller
  BadRating ///< a good or slow answer was rated bad afterwards
};

/// @brief Name of the counter, with the labels `account`, `slo`, `result`.
constexpr std::string_view kSloCounter = "figslip_slo_total";

/// @brief Returns the name of a result in the label `result`.
[[nodiscard]] std::string_view
NameOf(SloResult aResult);

/// @brief Describes a request that was answered.
struct AnsweredRequest
{
  Duration mLatency{}; ///< from arrival to the whole answer
};

/// @brief Describes a request that was refused.
struct RefusedRequest
{
  error::ErrorKind mKind = error::ErrorKind::NoCapacity;
};

/// @brief Describes a bad rating of an earlier answer.
struct BadRating
{};

/// @brief Holds an event that SLOs count.
using SloEvent = std::variant<AnsweredRequest, RefusedRequest, BadRating>;

/// @brief Tells whether a refusal is a fault of the caller, as a malformed body
/// is; such refusals burn no budget.
[[nodiscard]] bool
IsCallerFault(error::ErrorKind aKind);

/// @brief Counts an event for every SLO of a client account.
///
/// The latency is compared with the bound of the SLO itself, not with a bucket
/// of a histogram, so that the counters are exact.
void
CountForSlos(metrics::Registry& aRegistry,
             const manifest::Manifest& aManifest,
             std::string_view aAccount,
             const SloEvent& aEvent);

} // namespace figslip::report
