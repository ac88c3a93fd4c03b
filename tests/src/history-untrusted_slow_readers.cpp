#include <harness/untrusted_clients.hpp>

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;

namespace {

constexpr int kMemoryMb = 48;
constexpr int kCrowd = 64;

/// Leaves free slots at the engines while streams go on.
constexpr int kStreamCrowd = 12;

/// About what the kernel holds for a connection by default.
constexpr std::size_t kAnswerBytes = 3 << 20;

/// Answers requests of the crowd with much, others as usual.
void
AnswerMuch(IngressWorld& aWorld, bool aIsStream)
{
  const std::string head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
                           "X-Response-Signature: signed\r\n";
  test::RawAnswer answer{ .mTargetPrefix = "/look/untrusted" };
  answer.mBegin = head + "Content-Length: " + std::to_string(kAnswerBytes) +
                  "\r\n\r\n" + std::string(kAnswerBytes, 'a');
  if (aIsStream) {
    answer.mTargetPrefix = "/chat/untrusted";
    answer.mBegin = head + "Content-Type: text/event-stream\r\n\r\n";
    answer.mRepeated = "id: 1\ndata: " + std::string(4000, 'e') + "\n\n";
  }
  aWorld.Engine(0).AnswerRaw(answer);
  aWorld.Engine(1).AnswerRaw(answer);
}

} // namespace

// Guards against answers that fill the memory because nobody reads them, and
// against callers that are refused memory for their answers because of them.
TEST_CASE("a crowd that does not read its answers")
{
  for (const bool isStream : { false, true }) {
    IngressWorld world({ .mMemoryMb = kMemoryMb });
    AnswerMuch(world, isStream);
    for (const auto& door : test::DoorsOf(world)) {
      CAPTURE(isStream);
      CAPTURE(door.mName);
      const auto crowd = test::Gather(door, isStream ? kStreamCrowd : kCrowd);
      for (const auto& client : crowd) {
        client->Send(test::FormatHead(door, "Content-Length: 0\r\n"));
      }
      std::this_thread::sleep_for(1500ms);
      test::CheckServes(world, { .mMemoryMb = kMemoryMb, .mSockets = 824 });
    }
  }
}
