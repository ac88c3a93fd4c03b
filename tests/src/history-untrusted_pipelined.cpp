#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 32;

/// Holds one way to pipeline.
struct Form
{
  std::chrono::milliseconds mPause{}; ///< between two events of an answer
  int mCrowd = 0;
  std::size_t mSentBytes = 0; ///< of each client
};

} // namespace

// Guards against a process that reads requests ahead of the answers that are
// not read, or that keeps those answers.
TEST_CASE("many pipelined requests without reading the responses")
{
  // the second crowd leaves free slots at the engines while its requests run
  const std::vector<Form> forms = {
    { .mPause = 2ms, .mCrowd = 64, .mSentBytes = 1 << 20 },
    { .mPause = 2s, .mCrowd = 12, .mSentBytes = 8 << 20 }
  };
  for (const auto& form : forms) {
    IngressWorld world({ .mMemoryMb = kMemoryMb });
    world.Engine(0).SetPause(form.mPause);
    world.Engine(1).SetPause(form.mPause);
    for (const auto& door : test::DoorsOf(world)) {
      CAPTURE(form.mPause.count());
      CAPTURE(door.mName);
      const std::string request =
        test::FormatHead(door, "Content-Length: 500\r\n") +
        std::string(500, 'b');
      std::string bytes;
      while (bytes.size() < form.mSentBytes) {
        bytes += request;
      }
      const auto crowd = test::Gather(door, form.mCrowd);
      for (const auto& client : crowd) {
        client->Send(bytes, 50ms);
      }
      test::CheckServes(world, { .mMemoryMb = kMemoryMb, .mSockets = 824 });
    }
  }
}
