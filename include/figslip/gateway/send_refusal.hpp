#pragma once

#include <string_view>

namespace figslip::gateway {

/// @brief Lists why an attempt that was planned must not be sent.
enum class SendRefusal
{
  KeysStale,       ///< the configuration is too old to accept a key
  KeyRevoked,      ///< no client account has the key any more
  KeyReassigned,   ///< the key belongs to another client account, or none is
                   ///< needed any more
  UpstreamClosed,  ///< the upstream has left, drains or is in a drained domain
  UpstreamPausing, ///< the upstream asked for a pause
  VersionClosed,   ///< the roll-out sends nothing to the version any more
  SessionHeld,     ///< the session was last on a withdrawn version
  PartQuarantined  ///< a part of the prompt crashes upstreams
};

/// @brief Returns the reason that logs have for a refusal.
[[nodiscard]] constexpr std::string_view
NameOf(SendRefusal aRefusal)
{
  switch (aRefusal) {
    case SendRefusal::KeysStale:
      return "keys_stale_before_send";
    case SendRefusal::KeyRevoked:
      return "key_revoked_before_send";
    case SendRefusal::KeyReassigned:
      return "key_reassigned_before_send";
    case SendRefusal::UpstreamClosed:
      return "upstream_closed_before_send";
    case SendRefusal::UpstreamPausing:
      return "upstream_pausing_before_send";
    case SendRefusal::VersionClosed:
      return "version_closed_before_send";
    case SendRefusal::SessionHeld:
      return "session_held_before_send";
    case SendRefusal::PartQuarantined:
      return "part_quarantined_before_send";
  }
  return "unknown";
}

/// @brief Returns whether no other upstream could receive the attempt either.
[[nodiscard]] constexpr bool
AppliesToAllUpstreams(SendRefusal aRefusal)
{
  return aRefusal == SendRefusal::KeysStale ||
         aRefusal == SendRefusal::KeyRevoked ||
         aRefusal == SendRefusal::KeyReassigned ||
         aRefusal == SendRefusal::SessionHeld ||
         aRefusal == SendRefusal::PartQuarantined;
}

} // namespace figslip::gateway
