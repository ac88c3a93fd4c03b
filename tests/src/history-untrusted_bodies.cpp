#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kBodyBytes = 1 << 20;
constexpr int kCrowd = 64;
constexpr std::size_t kPieceBytes = 1000;

/// Leaves out the last byte of the body.
void
SendUnfinished(test::UntrustedClient& aClient,
               const test::Door& aDoor,
               const std::string& aForm)
{
  const std::string body(kBodyBytes - 1, 'x');
  const auto length = "Content-Length: " + std::to_string(kBodyBytes) + "\r\n";
  if (aForm == "one piece") {
    aClient.Send(test::FormatHead(aDoor, length) + body, 200ms);
  } else if (aForm == "small pieces") {
    aClient.Send(test::FormatHead(aDoor, length), 200ms);
    for (std::size_t sent = 0; sent < body.size(); sent += kPieceBytes) {
      aClient.Send(std::string_view(body).substr(sent, kPieceBytes), 20ms);
    }
  } else {
    std::string chunks;
    for (std::size_t sent = 0; sent < body.size(); sent += kPieceBytes) {
      chunks += "3e8\r\n" + body.substr(0, kPieceBytes) + "\r\n";
    }
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    aClient.Send(test::FormatHead(aDoor, chunked) + chunks, 200ms);
  }
}

} // namespace

// Guards against a process that holds all unfinished bodies of legal size at
// the same time.
TEST_CASE("many bodies that stop just short of their end")
{
  for (const std::string form : { "one piece", "small pieces", "chunks" }) {
    IngressWorld world({ .mMemoryMb = kMemoryMb,
                         .mMaxBodyBytes = kBodyBytes,
                         .mIdleTimeoutMs = 15'000 });
    for (const auto& door : test::DoorsOf(world)) {
      CAPTURE(form);
      CAPTURE(door.mName);
      const auto crowd = test::Gather(door, kCrowd);
      for (const auto& client : crowd) {
        SendUnfinished(*client, door, form);
      }
      test::CheckServes(world, { .mMemoryMb = kMemoryMb, .mSockets = 824 });
    }
  }
}
