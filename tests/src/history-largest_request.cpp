#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <future>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 96;
constexpr int kHeaderBytes = 16'384;
constexpr int kBodyBytes = 4 << 20;
constexpr int kAtOnce = 3;

/// Room for the fields that an instance adds for the upstream, which has the
/// same limit.
constexpr std::size_t kAddedBytes = 1'500;

} // namespace

// Guards against a budget of connections that refuses a request within the
// limits of the configuration while nothing else is going on.
TEST_CASE("the largest legal request is served in calm")
{
  IngressWorld world({ .mMemoryMb = kMemoryMb,
                       .mMaxHeaderBytes = kHeaderBytes,
                       .mMaxBodyBytes = kBodyBytes });
  std::string request = "POST /look/large HTTP/1.1\r\nHost: a.example\r\n"
                        "X-Attempt-Id: large\r\nX-Deadline-Ms: 4000\r\n"
                        "X-Api-Key: key-1\r\nContent-Length: " +
                        std::to_string(kBodyBytes) + "\r\n";
  while (request.size() + kAddedBytes < kHeaderBytes) {
    request += "a: 1\r\n";
  }
  request += "\r\n" + std::string(kBodyBytes, 'b');

  SUBCASE("alone, and again")
  {
    for (int number = 0; number < 3; ++number) {
      CHECK(world.SendRaw(0, request).mStatus == 200);
    }
  }

  SUBCASE("a few at a time")
  {
    std::vector<std::future<test::CallerAnswer>> open;
    open.reserve(kAtOnce);
    for (int number = 0; number < kAtOnce; ++number) {
      open.push_back(std::async(std::launch::async,
                                [&] { return world.SendRaw(0, request); }));
    }
    for (auto& answer : open) {
      CHECK(answer.get().mStatus == 200);
    }
  }
  CHECK(world.PeakMemoryMb(0) < kMemoryMb);
}
