#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kMaxDescriptors = 400;
constexpr int kSockets = kMaxDescriptors - 200;
constexpr int kCrowd = 300;

} // namespace

// Guards against connections that are kept after their clients have stopped:
// in silence, with the sending side closed, or gone.
TEST_CASE("a crowd that stops half-way")
{
  enum class Stop
  {
    Silent,
    SendingEnded,
    Gone
  };
  for (const auto stop : { Stop::Silent, Stop::SendingEnded, Stop::Gone }) {
    IngressWorld world({ .mMemoryMb = kMemoryMb,
                         .mMaxDescriptors = kMaxDescriptors,
                         .mMaxBodyBytes = 1 << 20,
                         .mIdleTimeoutMs = 15'000 });
    for (const auto& door : test::DoorsOf(world)) {
      const auto text = test::FormatHead(door, "Content-Length: 200000\r\n") +
                        std::string(199'999, 'x');
      for (const std::size_t sent :
           { std::size_t{ 0 }, std::size_t{ 20 }, text.size() }) {
        CAPTURE(static_cast<int>(stop));
        CAPTURE(door.mName);
        CAPTURE(sent);
        auto crowd = test::Gather(door, kCrowd);
        for (const auto& client : crowd) {
          client->Send(std::string_view(text).substr(0, sent), 20ms);
          if (stop == Stop::SendingEnded) {
            client->EndSending();
          }
        }
        if (stop == Stop::Gone) {
          crowd.clear();
        }
        test::CheckServes(world,
                          { .mMemoryMb = kMemoryMb, .mSockets = kSockets });
      }
    }
  }
}
