#include <figslip/caller/caller_request.hpp>
#include <figslip/json/document.hpp>
#include <figslip/json/object_reader.hpp>

#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>
#include <utility>

namespace figslip::caller {

using error::ErrorKind;

namespace {

constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kMaxTokens = 1'000'000;
constexpr std::int64_t kDefaultTokens = 256;
constexpr std::size_t kMaxIdLength = 128;
/// Bounds on what a refusal repeats of a bad request.
constexpr std::size_t kMaxFindings = 20;
constexpr std::size_t kMaxFindingBytes = 200;
/// Letters of the first message that name the prompt prefix.
constexpr std::size_t kPrefixLength = 256;
constexpr json::EnumName<routing::Priority> kPriorityNames[] = {
  { routing::Priority::Interactive, "interactive" },
  { routing::Priority::Normal, "normal" },
  { routing::Priority::Batch, "batch" },
};

std::uint64_t
Hash(std::string_view aText, std::uint64_t aSeed = 0)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

bool
IsSafeId(std::string_view aText)
{
  const auto isSafe = [](unsigned char aLetter) {
    return std::isalnum(aLetter) != 0 || aLetter == '-' || aLetter == '_' ||
           aLetter == '.';
  };
  return !aText.empty() && aText.size() <= kMaxIdLength &&
         std::ranges::all_of(aText, isSafe);
}

/// Tells whether a text is a UUID of version 7 in its usual form.
bool
IsUuidV7(std::string_view aText)
{
  constexpr std::string_view kShape = "xxxxxxxx-xxxx-7xxx-Vxxx-xxxxxxxxxxxx";
  const auto fits = [](unsigned char aLetter, char aShape) {
    switch (aShape) {
      case 'x':
        return std::isxdigit(aLetter) != 0;
      case 'V':
        return std::string_view("89abAB").find(static_cast<char>(aLetter)) !=
               std::string_view::npos;
      default:
        return static_cast<char>(aLetter) == aShape;
    }
  };
  return std::ranges::equal(aText, kShape, fits);
}

/// Keeps a refusal short, however much is wrong with the request.
void
LimitFindings(error::Findings& aFindings)
{
  const auto cut = [](std::string& aText) {
    if (aText.size() > kMaxFindingBytes) {
      aText.resize(kMaxFindingBytes);
      aText += "...";
    }
  };
  if (aFindings.size() > kMaxFindings) {
    aFindings.resize(kMaxFindings);
  }
  for (auto& finding : aFindings) {
    cut(finding.mPlace);
    cut(finding.mText);
  }
}

/// Reads header fields and collects findings.
class HeaderReader
{
public:
  HeaderReader(const http::ServerRequest& aRequest, error::Findings& aFindings)
    : mRequest(aRequest)
    , mFindings(aFindings)
  {
  }

  /// Reads a header; two of a name would leave open which one counts.
  std::string Text(std::string_view aName)
  {
    const auto isNamed = [&](const http::Header& aHeader) {
      return !http::FindHeader({ aHeader }, aName).empty();
    };
    if (std::ranges::count_if(mRequest.mHeaders, isNamed) > 1) {
      Report(ErrorKind::BadHeader, aName, "the header is given more than once");
    }
    return std::string(http::FindHeader(mRequest.mHeaders, aName));
  }

  std::string Required(std::string_view aName)
  {
    auto text = Text(aName);
    if (text.empty()) {
      Report(ErrorKind::MissingHeader, aName, "the header is required");
    }
    return text;
  }

  std::string Id(std::string_view aName, std::string aFallback)
  {
    auto text = Text(aName);
    if (text.empty()) {
      return aFallback;
    }
    if (!IsSafeId(text)) {
      Report(ErrorKind::BadHeader,
             aName,
             "an id has 1 to 128 letters, digits, '-', '_' or '.'");
    }
    return text;
  }

  Duration Millis(std::string_view aName, Duration aFallback)
  {
    const auto text = Text(aName);
    if (text.empty()) {
      return aFallback;
    }
    std::int64_t millis = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, millis);
    if (parsed.ec != std::errc{} || parsed.ptr != end || millis < 1 ||
        millis > kMaxDeadlineMs) {
      Report(ErrorKind::BadHeader,
             aName,
             "expected whole milliseconds between 1 and 3600000");
      return aFallback;
    }
    return std::chrono::milliseconds(millis);
  }

  routing::Priority Priority(std::string_view aName)
  {
    const auto text = Text(aName);
    if (text.empty()) {
      return routing::Priority::Normal;
    }
    const auto* const found = std::ranges::find(
      kPriorityNames, text, &json::EnumName<routing::Priority>::mName);
    if (found == std::end(kPriorityNames)) {
      Report(ErrorKind::BadHeader,
             aName,
             "\"" + text + "\" is none of interactive normal batch");
      return routing::Priority::Normal;
    }
    return found->mValue;
  }

  std::string IdempotencyKey()
  {
    auto text = Text(kIdempotencyHeader);
    if (!text.empty() && !IsUuidV7(text)) {
      Report(ErrorKind::BadHeader,
             kIdempotencyHeader,
             "expected a UUID of version 7");
    }
    // one UUID has one key, whatever the case of its letters
    std::ranges::transform(text, text.begin(), [](unsigned char aLetter) {
      return static_cast<char>(std::tolower(aLetter));
    });
    return text;
  }

  void Report(ErrorKind aKind, std::string_view aName, std::string aText)
  {
    mFindings.push_back({ aKind, std::string(aName), std::move(aText) });
  }

private:
  const http::ServerRequest& mRequest;
  error::Findings& mFindings;
};

void
ReadMessage(json::ObjectReader& aMessage, std::string& aPrefix)
{
  (void)aMessage.Name("role");
  const auto content = aMessage.Text("content");
  if (aPrefix.empty()) {
    aPrefix = content.substr(0, kPrefixLength);
  }
}

void
ReadChat(const nlohmann::json& aBody,
         routing::Request& aRequest,
         error::Findings& aFindings)
{
  json::ObjectReader reader(aBody, "", aFindings);
  if (!reader.IsObject()) {
    return;
  }
  std::string prefix;
  std::size_t messages = 0;
  routing::ChatTarget target{ .mName = reader.Name("model"),
                              .mTaskKind = reader.Text("task_kind", ""),
                              .mStream = reader.Flag("stream", false) };
  reader.ObjectArray("messages", [&](json::ObjectReader& aMessage) {
    ReadMessage(aMessage, prefix);
    ++messages;
  });
  if (messages == 0) {
    reader.Report(
      ErrorKind::MissingField, "messages", "at least one message is required");
  }
  aRequest.mExpectedTokens =
    reader.Whole("max_tokens", { 1, kMaxTokens }, kDefaultTokens);
  aRequest.mPrefixHash = prefix.empty() ? 0 : Hash(prefix);
  aRequest.mTarget = std::move(target);
  reader.Finish();
}

std::optional<routing::ServiceTarget>
ReadServicePath(std::string_view aPath)
{
  aPath.remove_prefix(kServicePath.size());
  if (!aPath.starts_with('/')) {
    return std::nullopt;
  }
  aPath.remove_prefix(1);
  const auto slash = aPath.find('/');
  if (slash == std::string_view::npos || slash == 0 ||
      slash + 1 == aPath.size()) {
    return std::nullopt;
  }
  return routing::ServiceTarget{ .mService =
                                   std::string(aPath.substr(0, slash)),
                                 .mOperation =
                                   std::string(aPath.substr(slash + 1)) };
}

void
ReadTarget(const http::ServerRequest& aHttp,
           routing::Request& aRequest,
           error::Findings& aFindings)
{
  error::Findings inBody;
  auto body = json::ParseDocument(aHttp.mBody);
  if (!body) {
    inBody = std::move(body).assume_error();
  } else if (aHttp.mPath == kChatPath) {
    ReadChat(body.assume_value(), aRequest, inBody);
  }
  // to a caller each of them is a fault of the body, at its pointer
  for (auto& finding : inBody) {
    finding.mKind = ErrorKind::MalformedBody;
    aFindings.push_back(std::move(finding));
  }
  if (aHttp.mPath == kChatPath) {
    return;
  }
  auto target = ReadServicePath(aHttp.mPath);
  if (!target) {
    aFindings.push_back({ ErrorKind::UnknownTarget,
                          aHttp.mPath,
                          "expected /v1/services/SERVICE/OPERATION" });
    return;
  }
  aRequest.mTarget = std::move(*target);
}

} // namespace

Result<routing::Request>
ReadCallerRequest(const http::ServerRequest& aRequest,
                  const CallerRules& aRules,
                  TimePoint aNow)
{
  error::Findings findings;
  HeaderReader headers(aRequest, findings);
  routing::Request request;
  if (aRequest.mBodyTooLarge) {
    headers.Report(
      ErrorKind::BodyTooLarge, "body", "the body is over the limit");
    return outcome::failure(std::move(findings));
  }
  request.mAccount = headers.Required(kAccountHeader);
  request.mId = headers.Id(kRequestIdHeader, aRules.mGeneratedId);
  request.mDeadline =
    aNow + headers.Millis(kDeadlineHeader, aRules.mDefaultDeadline);
  request.mPriority = headers.Priority(kPriorityHeader);
  request.mIdempotencyKey = headers.IdempotencyKey();
  request.mForwarded = !headers.Text(kForwardedHeader).empty();
  if (const auto token = headers.Text(kSessionHeader); !token.empty()) {
    auto pin = aRules.mSigner.Verify(token);
    if (!pin) {
      findings.push_back(pin.assume_error().front());
    } else if (pin.assume_value().mAccount != request.mAccount) {
      headers.Report(ErrorKind::ForgedSession,
                     kSessionHeader,
                     "the session belongs to another client account");
    } else {
      request.mSession = std::move(pin).assume_value();
    }
  }
  ReadTarget(aRequest, request, findings);
  request.mFingerprint =
    Hash(aRequest.mBody, Hash(request.mAccount + aRequest.mPath));
  if (!findings.empty()) {
    LimitFindings(findings);
    return outcome::failure(std::move(findings));
  }
  return request;
}

} // namespace figslip::caller
