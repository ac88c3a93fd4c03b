#include <figslip/gateway/request_end.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace figslip::gateway {

namespace {

/// Retry-After if another instance can serve the caller immediately.
constexpr std::string_view kElsewhereRetrySeconds = "0.05";

/// Retry-After if slots are expected to become free, or upstreams to recover,
/// within this time.
constexpr std::string_view kSoonRetrySeconds = "0.4";

/// Retry-After if no change is expected soon.
constexpr std::string_view kLateRetrySeconds = "2";

constexpr auto kDescriptions = std::to_array<EndDescription>({
  { RequestEnd::Served, "served", 0, "" },
  { RequestEnd::Malformed, "malformed", 400, "" },
  { RequestEnd::TooLarge, "too_large", 413, "" },
  { RequestEnd::TooSlow, "too_slow", 408, kElsewhereRetrySeconds },
  { RequestEnd::NoRoute, "no_route", 404, "" },
  { RequestEnd::UnknownKey, "unknown_key", 401, "" },
  { RequestEnd::Stopping, "stopping", 503, kElsewhereRetrySeconds },
  { RequestEnd::NotReady, "not_ready", 503, kElsewhereRetrySeconds },
  { RequestEnd::StaleKeys, "stale_keys", 503, kElsewhereRetrySeconds },
  { RequestEnd::CrashesUpstreams, "crashes_upstreams", 503, kLateRetrySeconds },
  { RequestEnd::VersionWithdrawn, "version_withdrawn", 503, kLateRetrySeconds },
  { RequestEnd::NoUpstream, "no_upstream", 503, kSoonRetrySeconds },
  { RequestEnd::NoCapacity, "no_capacity", 503, kSoonRetrySeconds },
  { RequestEnd::Rejected, "rejected", 503, kSoonRetrySeconds },
  { RequestEnd::NoContact, "no_contact", 503, kElsewhereRetrySeconds },
  { RequestEnd::Busy, "busy", 503, kSoonRetrySeconds },
  { RequestEnd::OlderConfiguration,
    "older_configuration",
    503,
    kElsewhereRetrySeconds },
  { RequestEnd::RouteTimeout, "route_timeout", 504, "" },
  { RequestEnd::UpstreamFailed, "upstream_failed", 502, "" },
  { RequestEnd::BrokenMidway, "broken_midway", 0, "" },
  { RequestEnd::CallerLeft, "caller_left", 0, "" },
});

} // namespace

const EndDescription&
Describe(RequestEnd aEnd)
{
  const auto* const found =
    std::ranges::find(kDescriptions, aEnd, &EndDescription::mEnd);
  assert(found != kDescriptions.end());
  return *found;
}

std::optional<RequestEnd>
EndNamed(std::string_view aName)
{
  const auto* const found =
    std::ranges::find(kDescriptions, aName, &EndDescription::mName);
  return found == kDescriptions.end() ? std::nullopt
                                      : std::optional(found->mEnd);
}

} // namespace figslip::gateway
