#pragma once

#include <figslip/error/result.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace figslip::handover {

/// @brief Header of a request that is handed over; holds the `Ticket`.
inline constexpr std::string_view kTicketHeader = "Figslip-Handed-Over";
/// @brief Header of an answer to it that comes from an upstream; holds its id.
inline constexpr std::string_view kUpstreamHeader = "Figslip-Upstream";
/// @brief Header of an answer to it that comes from the instance itself; holds
/// the name of the outcome.
inline constexpr std::string_view kOutcomeHeader = "Figslip-Outcome";

/// @brief Holds what another instance must know of a request that it takes.
struct Ticket
{
  Duration mAge{};   ///< since the request arrived at the first instance
  int mAttempts = 0; ///< of the first instance that may have run
  std::int64_t mConfiguration = 0; ///< version in force at the first instance
  bool mIsCounted = false;         ///< as demand of its account
  std::string mLastEventId; ///< last event that the caller has; may be empty

  bool operator==(const Ticket&) const = default;
};

/// @brief Writes a ticket as the value of a header.
[[nodiscard]] std::string
FormatTicket(const Ticket& aTicket);

/// @brief Reads the value of a header.
/// @return findings if a field is missing, unknown or out of range
[[nodiscard]] Result<Ticket>
ParseTicket(std::string_view aText);

} // namespace figslip::handover
