#include <figslip/http/http_message.hpp>

#include <algorithm>
#include <cctype>

namespace figslip::http {

namespace {

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::ranges::equal(
    aLeft, aRight, [](unsigned char aFirst, unsigned char aSecond) {
      return std::tolower(aFirst) == std::tolower(aSecond);
    });
}

} // namespace

std::string_view
FindHeader(const std::vector<Header>& aHeaders, std::string_view aName)
{
  const auto found = std::ranges::find_if(aHeaders, [&](const auto& aHeader) {
    return EqualIgnoringCase(aHeader.mName, aName);
  });
  return found == aHeaders.end() ? std::string_view{} : found->mValue;
}

} // namespace figslip::http
