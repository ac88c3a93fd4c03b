#include <harness/prompt_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace std::chrono_literals;
using figslip::test::CallerLink;
using figslip::test::FormatPrompt;
using figslip::test::IngressWorld;
using figslip::test::kDeadlyPart;
using figslip::test::StoreStandIn;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kMembers = 3;

bool
AwaitTrue(const std::function<bool()>& aIsTrue, std::chrono::seconds aPatience)
{
  const auto until = Clock::now() + aPatience;
  while (!aIsTrue() && Clock::now() < until) {
    std::this_thread::sleep_for(20ms);
  }
  return aIsTrue();
}

/// Runs instances of one failure domain; one of them follows the store, the
/// others follow it.
class RecordWorld
{
public:
  /// @param[in] aMaxDirect instances up to which each publishes its records
  explicit RecordWorld(int aMaxDirect = 0)
    : mWorld(IngressWorld::Options{ .mInstances = kMembers,
                                    .mEngines = 4,
                                    .mMaxDirectPublishers = aMaxDirect })
  {
    for (std::size_t index = 0; index < kMembers; ++index) {
      REQUIRE(mWorld.WaitForReady(index));
    }
    REQUIRE(AwaitTrue([this] { return CountDirect() == 1; }, 15s));
    while (!FollowsStore(mSource)) {
      ++mSource;
    }
    mFollower = (mSource + 1) % kMembers;
    for (std::size_t engine = 0; engine < 4; ++engine) {
      mWorld.Engine(engine).SetDeadlyParts({ kDeadlyPart });
    }
  }

  [[nodiscard]] IngressWorld& World() { return mWorld; }
  [[nodiscard]] std::size_t Source() const { return mSource; }

  [[nodiscard]] std::size_t Follower() const { return mFollower; }

  /// Lets upstreams crash on a request that the follower sends.
  void CrashUpstreams()
  {
    static_cast<void>(
      mWorld.SendRaw(mFollower, FormatPrompt({ kDeadlyPart }, 1)));
  }

  /// Sends a message with records to the source.
  /// @return status of the answer
  [[nodiscard]] int SendRecords(const std::string& aBody)
  {
    CallerLink link(mWorld.PeersPort(mSource));
    return link
      .Exchange("POST /v1/records HTTP/1.1\r\nHost: s\r\nContent-Length: " +
                  std::to_string(aBody.size()) + "\r\n\r\n" + aBody,
                5s)
      .mStatus;
  }

  /// Sends a record in the name of the follower.
  /// @param[in] aFields of the message, in JSON
  [[nodiscard]] int SendRecord(const std::string& aFields)
  {
    return SendRecords(R"({"instance":"entry-)" + std::to_string(mFollower) +
                       "\"," + aFields + "}");
  }

  /// Reports a crash of an upstream with the deadly part.
  [[nodiscard]] int SendSuspects(const std::string& aUpstream)
  {
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
    return SendRecord(R"("suspects":[{"upstream":")" + aUpstream +
                      R"(","at_ms":)" + std::to_string(now.count()) +
                      R"(,"suspects":[")" + kDeadlyPart + "\"]}]");
  }

  /// Checks whether the source sends requests with the deadly part.
  [[nodiscard]] bool IsSent(int aNumber)
  {
    return figslip::test::IsServed(
      mWorld.SendRaw(mSource, FormatPrompt({ kDeadlyPart }, aNumber)));
  }

  /// Checks whether the source has accepted records of the follower.
  [[nodiscard]] bool HasForwarded()
  {
    const auto log = LogOf(mFollower);
    const auto at = log.find("records_forwarded");
    return at != std::string::npos &&
           log.substr(at, log.find('\n', at) - at).find(R"("status":"200")") !=
             std::string::npos;
  }

  /// Checks whether a record that an instance has written is in the store.
  [[nodiscard]] bool IsWrittenBy(std::size_t aIndex)
  {
    const auto prefix = "prompt-parts.entry-" + std::to_string(aIndex) + ".";
    return std::ranges::any_of(
      mWorld.Store().NamesOf("figslip"),
      [&](const std::string& aName) { return aName.starts_with(prefix); });
  }

  [[nodiscard]] bool IsWritten()
  {
    return IsWrittenBy(0) || IsWrittenBy(1) || IsWrittenBy(2);
  }

  [[nodiscard]] std::string LogOf(std::size_t aIndex)
  {
    return mWorld.Instance(aIndex).Log();
  }

private:
  [[nodiscard]] bool FollowsStore(std::size_t aIndex)
  {
    const auto log = LogOf(aIndex);
    const auto at = log.rfind("source_changed");
    const auto begin = at == std::string::npos ? at : log.rfind('\n', at) + 1;
    return at != std::string::npos &&
           log.substr(begin, log.find('\n', at) - begin)
               .find(R"("source":"store")") != std::string::npos;
  }

  [[nodiscard]] int CountDirect()
  {
    int count = 0;
    for (std::size_t index = 0; index < kMembers; ++index) {
      count += FollowsStore(index) ? 1 : 0;
    }
    return count;
  }

  IngressWorld mWorld;
  std::size_t mSource = 0;
  std::size_t mFollower = 0;
};

} // namespace

// guards against a write of each instance, and against the loss of evidence
// with the instance that was to publish it
TEST_CASE("the records of an instance that follows another one")
{
  RecordWorld world;

  SUBCASE("are written by that one")
  {
    world.CrashUpstreams();
    CHECK(AwaitTrue([&] { return world.IsWrittenBy(world.Source()); }, 5s));
    CHECK(world.HasForwarded());
  }

  SUBCASE("are written although that one is killed before it can")
  {
    auto& store = world.World().Store();
    store.SetMode(StoreStandIn::Mode::Silent);
    world.CrashUpstreams();
    CHECK(AwaitTrue([&] { return world.HasForwarded(); }, 5s));
    world.World().Instance(world.Source()).Kill();
    store.SetMode(StoreStandIn::Mode::Open);
    CHECK(AwaitTrue([&] { return world.IsWritten(); }, 8s));
  }

  SUBCASE("are written although that one does not answer")
  {
    world.World().Instance(world.Source()).Freeze();
    world.CrashUpstreams();
    CHECK(AwaitTrue([&] { return world.IsWritten(); }, 8s));
    world.World().Instance(world.Source()).Resume();
  }

  SUBCASE("are refused if they are false")
  {
    CHECK(world.SendRecords(R"({"instance":"entry-9","served":["1"]})") == 403);
    CHECK(world.SendRecords("{") == 400);
    CHECK(world.SendRecords(std::string(300'000, 'x')) == 413);
    CHECK(AwaitTrue(
      [&] {
        return world.LogOf(world.Source()).find(R"("status":"413")") !=
               std::string::npos;
      },
      5s));
    CHECK_FALSE(world.IsWritten());
  }
}

// guards against a source that publishes records without using them: it would
// go on sending a deadly part, and refuse a part that was served elsewhere
TEST_CASE("the records of a follower are evidence at its source, too")
{
  RecordWorld world;
  for (std::size_t engine = 0; engine < 4; ++engine) {
    world.World().Engine(engine).SetDeadlyParts({});
  }
  REQUIRE(world.SendSuspects("127.0.0.1:1") == 200);
  std::this_thread::sleep_for(200ms);
  REQUIRE(world.SendSuspects("127.0.0.1:2") == 200);
  std::this_thread::sleep_for(500ms);
  CHECK_FALSE(world.IsSent(1));
  CHECK(world.SendRecord(R"("served":[")" + kDeadlyPart + "\"]") == 200);
  std::this_thread::sleep_for(500ms);
  CHECK(world.IsSent(2));
}

// guards against a detour of evidence where few instances write
TEST_CASE("the instances of a small fleet write their records themselves")
{
  RecordWorld world(10);
  world.CrashUpstreams();
  CHECK(AwaitTrue([&] { return world.IsWrittenBy(world.Follower()); }, 5s));
  CHECK_FALSE(world.HasForwarded());
}

// guards against a follower that waits, as for the store, while its source has
// no room
TEST_CASE("a source without room for more crashes refuses with another status")
{
  constexpr int kPerMessage = 64;
  constexpr int kMaxPending = 256;
  RecordWorld world;
  const auto sendMany = [&](int aMessage) {
    std::string crashes;
    for (int number = 0; number < kPerMessage; ++number) {
      const auto upstream = aMessage * kPerMessage + number;
      crashes += (number == 0 ? "" : ",");
      crashes += R"({"upstream":"u)" + std::to_string(upstream) +
                 R"(","suspects":["abc)" + std::to_string(upstream) + "\"]}";
    }
    return world.SendRecord(R"("suspects":[)" + crashes + "]");
  };
  int sent = 0;
  while (sent < kMaxPending / kPerMessage) {
    CHECK(sendMany(sent++) == 200);
  }
  // meanwhile it publishes four of them in 250 ms
  int status = 200;
  while (status == 200 && sent < 10) {
    status = sendMany(sent++);
  }
  CHECK(status == 429);
}
