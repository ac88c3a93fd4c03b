#pragma once

#include <figslip/entry/request_runner.hpp>
#include <figslip/error/finding.hpp>
#include <figslip/http/http_message.hpp>
#include <figslip/routing/decision.hpp>
#include <figslip/routing/request.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace figslip::caller {

/// @brief Returns the HTTP status of an error kind.
[[nodiscard]] int
StatusOf(error::ErrorKind aKind);

/// @brief Prints the error body of findings.
/// @param[in] aFindings the findings, the first one names the error; not empty
/// @param[in] aRun what the caller may assume
[[nodiscard]] std::string
PrintError(const error::Findings& aFindings, routing::RunState aRun);

/// @brief Prints the body of a whole chat answer.
[[nodiscard]] std::string
PrintChatAnswer(const routing::Request& aRequest, const entry::Answer& aAnswer);

/// @brief Prints one event of a streamed chat answer.
[[nodiscard]] std::string
PrintChatEvent(const routing::Request& aRequest,
               std::string_view aVersion,
               std::string_view aToken);

/// @brief Prints an error as the last event of a streamed answer.
[[nodiscard]] std::string
PrintErrorEvent(const error::Findings& aFindings, routing::RunState aRun);

/// @brief The event that ends a whole streamed answer.
inline constexpr std::string_view kLastEvent = "data: [DONE]\n\n";

} // namespace figslip::caller
