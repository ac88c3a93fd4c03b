#include <figslip/caller/caller_response.hpp>

#include <nlohmann/json.hpp>

#include <cassert>

namespace figslip::caller {

using error::ErrorKind;

namespace {

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kConflict = 409;
constexpr int kGone = 410;
constexpr int kTooLarge = 413;
constexpr int kUnprocessable = 422;
constexpr int kTooManyRequests = 429;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

nlohmann::ordered_json
ErrorObject(const error::Findings& aFindings, routing::RunState aRun)
{
  assert(!aFindings.empty());
  const auto& first = aFindings.front();
  const auto& description = error::Describe(first.mKind);
  auto details = nlohmann::ordered_json::array();
  for (const auto& finding : aFindings) {
    details.push_back(finding.Message());
  }
  return { { "error",
             { { "code", description.mNumber },
               { "type",
                 std::string(description.mTopic) + "." +
                   std::string(description.mName) },
               { "message", first.Message() },
               { "run", routing::NameOf(aRun) },
               { "findings", std::move(details) } } } };
}

} // namespace

int
StatusOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::UnknownAccount:
    case ErrorKind::NotAllowed:
    case ErrorKind::ForgedSession:
      return kForbidden;
    case ErrorKind::UnknownTarget:
      return kNotFound;
    case ErrorKind::WrongMethod:
      return kMethodNotAllowed;
    case ErrorKind::KeyInUse:
      return kConflict;
    case ErrorKind::KeyExpired:
    case ErrorKind::VersionWithdrawn:
      return kGone;
    case ErrorKind::BodyTooLarge:
      return kTooLarge;
    case ErrorKind::Quarantined:
      return kUnprocessable;
    case ErrorKind::NoCapacity:
      return kTooManyRequests;
    case ErrorKind::UpstreamFailed:
      return kBadGateway;
    case ErrorKind::ClaimUnavailable:
    case ErrorKind::NotReady:
    case ErrorKind::Draining:
    case ErrorKind::NoUpstream:
      return kUnavailable;
    case ErrorKind::DeadlineExpired:
      return kTimeout;
    default:
      return kBadRequest;
  }
}

std::string
PrintError(const error::Findings& aFindings, routing::RunState aRun)
{
  // findings quote what the caller sent, which need not be valid UTF-8
  return ErrorObject(aFindings, aRun)
    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
PrintErrorEvent(const error::Findings& aFindings, routing::RunState aRun)
{
  return "data: " + PrintError(aFindings, aRun) + "\n\n";
}

std::string
PrintChatAnswer(const routing::Request& aRequest, const entry::Answer& aAnswer)
{
  const nlohmann::ordered_json message = { { "role", "assistant" },
                                           { "content", aAnswer.mText } };
  const nlohmann::ordered_json choice = { { "index", 0 },
                                          { "message", message },
                                          { "finish_reason", "stop" } };
  return nlohmann::ordered_json{
    { "id", aRequest.mId },
    { "object", "chat.completion" },
    { "model", aAnswer.mVersion },
    { "choices", nlohmann::ordered_json::array({ choice }) },
    { "usage", { { "completion_tokens", aAnswer.mTokens } } },
  }
    .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
PrintChatEvent(const routing::Request& aRequest,
               std::string_view aVersion,
               std::string_view aToken)
{
  const nlohmann::ordered_json choice = {
    { "index", 0 }, { "delta", { { "content", aToken } } }
  };
  const nlohmann::ordered_json event = {
    { "id", aRequest.mId },
    { "object", "chat.completion.chunk" },
    { "model", aVersion },
    { "choices", nlohmann::ordered_json::array({ choice }) },
  };
  return "data: " +
         event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n\n";
}

} // namespace figslip::caller
