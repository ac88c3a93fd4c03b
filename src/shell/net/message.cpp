#include <figslip/net/message.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <ranges>
#include <unordered_set>

namespace figslip::net {

namespace {

constexpr auto kConnectionHeaders =
  std::to_array<std::string_view>({ "connection",
                                    "keep-alive",
                                    "proxy-connection",
                                    "proxy-authenticate",
                                    "proxy-authorization",
                                    "te",
                                    "trailer",
                                    "transfer-encoding",
                                    "upgrade",
                                    "content-length",
                                    "expect" });

char
Lower(char aLetter)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
}

std::string_view
Trim(std::string_view aText)
{
  const auto first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

std::string
ToLower(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), Lower);
  return lower;
}

/// Lists the names in all `Connection` fields, in lower case. A set: a head may
/// name thousands of fields and have thousands.
std::unordered_set<std::string>
NamedByConnection(const Headers& aHeaders)
{
  std::unordered_set<std::string> names;
  for (const auto& header : aHeaders) {
    if (!EqualNames(header.mName, "connection")) {
      continue;
    }
    std::string_view rest = header.mValue;
    while (!rest.empty()) {
      const auto end = std::min(rest.find(','), rest.size());
      names.insert(ToLower(Trim(rest.substr(0, end))));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  return names;
}

} // namespace

bool
EqualNames(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(aLeft, aRight, {}, Lower, Lower);
}

std::optional<std::string_view>
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  const auto found = std::ranges::find_if(aHeaders, [&](const Header& aHeader) {
    return EqualNames(aHeader.mName, aName);
  });
  return found == aHeaders.end()
           ? std::nullopt
           : std::optional<std::string_view>(found->mValue);
}

void
RemoveConnectionHeaders(Headers& aHeaders)
{
  const auto named = NamedByConnection(aHeaders);
  const auto matches = [](std::string_view aName) {
    return
      [aName](std::string_view aOther) { return EqualNames(aName, aOther); };
  };
  std::erase_if(aHeaders, [&](const Header& aHeader) {
    return std::ranges::any_of(kConnectionHeaders, matches(aHeader.mName)) ||
           (!named.empty() && named.contains(ToLower(aHeader.mName)));
  });
}

std::string
FormatRequest(const RequestMessage& aRequest)
{
  std::string text;
  text.reserve(512 + aRequest.mBody.size());
  text.append(aRequest.mMethod).append(" ").append(aRequest.mTarget);
  text += " HTTP/1.1\r\n";
  for (const auto& header : aRequest.mHeaders) {
    text.append(header.mName).append(": ").append(header.mValue) += "\r\n";
  }
  const bool hasBody = !aRequest.mBody.empty() || (aRequest.mMethod != "GET" &&
                                                   aRequest.mMethod != "HEAD");
  if (hasBody) {
    text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
  }
  text += "\r\n";
  text += aRequest.mBody;
  return text;
}

} // namespace figslip::net
