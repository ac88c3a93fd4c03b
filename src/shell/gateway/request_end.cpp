#include <figslip/gateway/request_end.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace figslip::gateway {

namespace {

constexpr auto kDescriptions = std::to_array<EndDescription>({
  { RequestEnd::Served, "served", 0, false },
  { RequestEnd::Malformed, "malformed", 400, false },
  { RequestEnd::TooLarge, "too_large", 413, false },
  { RequestEnd::TooSlow, "too_slow", 408, true },
  { RequestEnd::NoRoute, "no_route", 404, false },
  { RequestEnd::UnknownKey, "unknown_key", 401, false },
  { RequestEnd::NotReady, "not_ready", 503, true },
  { RequestEnd::StaleKeys, "stale_keys", 503, true },
  { RequestEnd::CrashesUpstreams, "crashes_upstreams", 503, true },
  { RequestEnd::NoUpstream, "no_upstream", 503, true },
  { RequestEnd::NoCapacity, "no_capacity", 503, true },
  { RequestEnd::Rejected, "rejected", 503, true },
  { RequestEnd::RouteTimeout, "route_timeout", 504, false },
  { RequestEnd::UpstreamFailed, "upstream_failed", 502, false },
  { RequestEnd::BrokenMidway, "broken_midway", 0, false },
  { RequestEnd::CallerLeft, "caller_left", 0, false },
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

} // namespace figslip::gateway
