#pragma once

#include <figslip/error/result.hpp>
#include <figslip/http/http_server.hpp>
#include <figslip/routing/request.hpp>
#include <figslip/session/session_token.hpp>
#include <figslip/time/time_point.hpp>

#include <string_view>

namespace figslip::caller {

/// @name Header fields of the caller protocol
/// @{
inline constexpr std::string_view kAccountHeader = "Figslip-Account";
inline constexpr std::string_view kSessionHeader = "Figslip-Session";
inline constexpr std::string_view kDeadlineHeader = "Figslip-Deadline-Ms";
inline constexpr std::string_view kPriorityHeader = "Figslip-Priority";
inline constexpr std::string_view kRequestIdHeader = "Figslip-Request-Id";
inline constexpr std::string_view kIdempotencyHeader = "Idempotency-Key";
inline constexpr std::string_view kForwardedHeader = "Figslip-Forwarded";
inline constexpr std::string_view kRunHeader = "Figslip-Run";
inline constexpr std::string_view kVersionHeader = "Figslip-Version";
inline constexpr std::string_view kGenerationHeader = "Figslip-Generation";
/// @}

/// @name Paths of the caller protocol
/// @{
inline constexpr std::string_view kChatPath = "/v1/chat/completions";
inline constexpr std::string_view kServicePath = "/v1/services";
/// @}

/// @brief Holds what reading a caller's request depends on.
struct CallerRules
{
  const session::SessionSigner& mSigner;
  Duration mDefaultDeadline; ///< time for a request without its own deadline
  std::string mGeneratedId;  ///< id for a request that brings none
};

/// @brief Reads the facts of a caller's request.
/// @param[in] aRequest the HTTP request
/// @param[in] aRules what the reading depends on
/// @param[in] aNow the present time
/// @return the facts, or all findings, each with its header or JSON pointer
[[nodiscard]] Result<routing::Request>
ReadCallerRequest(const http::ServerRequest& aRequest,
                  const CallerRules& aRules,
                  TimePoint aNow);

} // namespace figslip::caller
