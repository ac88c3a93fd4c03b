#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kMaxDescriptors = 400;
constexpr int kSockets = kMaxDescriptors - 200;
constexpr int kCrowd = 300;
constexpr int kRounds = 8;

} // namespace

// Guards against slow clients that hold all connections or the whole memory
// for as long as they like.
TEST_CASE("a crowd that sends very slowly")
{
  const std::string head = "Content-Length: 900000\r\n";
  for (const bool isInBody : { false, true }) {
    IngressWorld world({ .mMemoryMb = kMemoryMb,
                         .mMaxDescriptors = kMaxDescriptors,
                         .mMaxBodyBytes = 1 << 20,
                         .mIdleTimeoutMs = 15'000 });
    for (const auto& door : test::DoorsOf(world)) {
      CAPTURE(isInBody);
      CAPTURE(door.mName);
      const auto crowd = test::Gather(door, kCrowd);
      const auto text = test::FormatHead(door, head);
      if (isInBody) {
        for (const auto& client : crowd) {
          client->Send(text + std::string(100'000, 'x'), 20ms);
        }
      }
      for (int round = 0; round < kRounds; ++round) {
        for (const auto& client : crowd) {
          client->Send(text.substr(static_cast<std::size_t>(round), 1), 0ms);
        }
        std::this_thread::sleep_for(50ms);
      }
      test::CheckServes(world,
                        { .mMemoryMb = kMemoryMb, .mSockets = kSockets });
    }
  }
}
