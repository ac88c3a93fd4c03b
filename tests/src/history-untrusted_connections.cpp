#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kMaxDescriptors = 300;
constexpr int kSockets = kMaxDescriptors - 200;
constexpr int kCrowd = 350;

} // namespace

// Guards against a process that accepts more connections than it may have
// descriptors, so that none is left for callers, upstreams and files.
TEST_CASE("more connections than descriptors")
{
  IngressWorld world(
    { .mMemoryMb = kMemoryMb, .mMaxDescriptors = kMaxDescriptors });
  for (const auto& door : test::DoorsOf(world)) {
    CAPTURE(door.mName);

    // those that are idle after a request
    const auto crowd = test::Gather(door, kCrowd);
    for (const auto& client : crowd) {
      client->Send(test::FormatHead(door, "Content-Length: 0\r\n"), 20ms);
    }
    test::CheckServes(world, { .mMemoryMb = kMemoryMb, .mSockets = kSockets });

    // those that never send
    const auto silent = test::Gather(door, kCrowd);
    test::CheckServes(world, { .mMemoryMb = kMemoryMb, .mSockets = kSockets });
  }
}
