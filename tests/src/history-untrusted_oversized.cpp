#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kCrowd = 48;
constexpr std::size_t kSentBytes = 4 << 20;

} // namespace

// Guards against a process that stores a body before it compares its size with
// the limit, or that reads on without end.
TEST_CASE("many bodies that are far over the limit")
{
  const std::string body(kSentBytes, 'x');
  std::string chunks;
  while (chunks.size() < kSentBytes) {
    chunks += "3e8\r\n" + std::string(1000, 'x') + "\r\n";
  }
  const std::vector<std::pair<std::string, std::string>> forms = {
    { "Content-Length: 99999999999\r\n", body },
    { "Transfer-Encoding: chunked\r\n", chunks },
    { "Transfer-Encoding: chunked\r\n", "fffffffff\r\n" + body },
    { "Transfer-Encoding: chunked\r\n", "1;" + body },
    { "Transfer-Encoding: chunked\r\n", "0\r\nx: " + body }
  };
  for (const auto& [fields, bytes] : forms) {
    IngressWorld world({ .mMemoryMb = kMemoryMb, .mMaxBodyBytes = 1 << 20 });
    for (const auto& door : test::DoorsOf(world)) {
      CAPTURE(fields);
      CAPTURE(bytes.substr(0, 8));
      CAPTURE(door.mName);
      const auto crowd = test::Gather(door, kCrowd);
      for (const auto& client : crowd) {
        client->Send(test::FormatHead(door, fields) + bytes, 100ms);
      }
      test::CheckServes(world, { .mMemoryMb = kMemoryMb, .mSockets = 824 });
    }
  }
}
