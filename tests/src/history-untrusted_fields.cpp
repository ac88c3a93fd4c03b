#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 32;
constexpr std::size_t kHeaderBytes = 65'536;
constexpr int kCrowd = 96;

} // namespace

// Guards against a process that counts the bytes of a head, but not the memory
// of its fields once parsed, which is ten times as much and more.
TEST_CASE("many heads of very many short fields")
{
  std::string fields;
  while (fields.size() + 400 < kHeaderBytes) {
    fields += "a:\r\n";
  }
  const std::string length = "Content-Length: 2\r\n";
  for (const bool isWhole : { false, true }) {
    IngressWorld world({ .mMemoryMb = kMemoryMb,
                         .mMaxHeaderBytes = static_cast<int>(kHeaderBytes),
                         .mIdleTimeoutMs = 15'000 });
    for (const auto& door : test::DoorsOf(world)) {
      CAPTURE(isWhole);
      CAPTURE(door.mName);
      const auto crowd = test::Gather(door, kCrowd);
      const std::string body = isWhole ? "bb" : "b";
      for (const auto& client : crowd) {
        auto request = test::FormatHead(door, length + fields);
        request += body;
        client->Send(request);
      }
      test::CheckServes(world, { .mMemoryMb = kMemoryMb, .mSockets = 824 });
    }
  }
}
