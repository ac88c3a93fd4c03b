#include <figslip/http/ip_number.hpp>

#include <arpa/inet.h>

#include <string>

namespace figslip::http {

bool
IsIpNumber(std::string_view aText)
{
  const std::string text(aText);
  in6_addr number{};
  return inet_pton(AF_INET, text.c_str(), &number) == 1 ||
         inet_pton(AF_INET6, text.c_str(), &number) == 1;
}

} // namespace figslip::http
