#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::net {

/// @brief Holds one header field as received or to be sent.
struct Header
{
  std::string mName;
  std::string mValue;
};

/// @brief Holds header fields in their order.
using Headers = std::vector<Header>;

/// @brief Finds a header field; names are compared without case.
/// @return the value of the first such field
[[nodiscard]] std::optional<std::string_view>
FindHeader(const Headers& aHeaders, std::string_view aName);

/// @brief Compares header names, without case.
[[nodiscard]] bool
EqualNames(std::string_view aLeft, std::string_view aRight);

/// @brief Removes the fields that concern one connection only.
///
/// These are the fixed set of HTTP/1.1 and those that `Connection` names.
void
RemoveConnectionHeaders(Headers& aHeaders);

/// @brief Holds a request as a caller sent it.
struct RequestMessage
{
  std::string mMethod;
  std::string mTarget; ///< path and query, as sent
  Headers mHeaders;
  std::string mBody;
};

/// @brief Holds the head of a response.
struct ResponseHead
{
  unsigned mStatus = 0;
  Headers mHeaders;
  std::optional<std::uint64_t> mLength; ///< as stated
  bool mChunked = false;
};

/// @brief Writes a request with a body of stated length.
[[nodiscard]] std::string
FormatRequest(const RequestMessage& aRequest);

} // namespace figslip::net
