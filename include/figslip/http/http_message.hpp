#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace figslip::http {

/// @brief Lists the HTTP methods in use.
enum class Method
{
  Get,
  Post,
  Put
};

/// @brief Holds one header field.
struct Header
{
  std::string mName;
  std::string mValue;
};

/// @brief Finds a header by name, upper and lower case alike.
/// @return its value, empty if absent
[[nodiscard]] std::string_view
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName);

/// @brief Names a server by IP number and TCP port.
struct Endpoint
{
  std::string mAddress;
  int mPort = 0;

  auto operator<=>(const Endpoint&) const = default;
};

/// @brief Holds a request to send.
struct ClientRequest
{
  Method mMethod = Method::Get;
  std::string mTarget; ///< path and query
  std::vector<Header> mHeaders;
  std::string mBody;
};

/// @brief Holds a whole response.
struct ClientResponse
{
  int mStatus = 0;
  std::vector<Header> mHeaders;
  std::string mBody; ///< empty if the body went to a receiver
};

} // namespace figslip::http
