#include <figslip/admission/connection_budget.hpp>
#include <figslip/settings/ingress_settings.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using admission::ConnectionBudget;
using admission::ConnectionPhase;
using admission::Shortage;

namespace {

const TimePoint kStart{ 1'000s };
constexpr std::size_t kBase = ConnectionBudget::Member::kBaseBytes;
constexpr std::size_t kMegabyte = 1 << 20;

/// Holds connections by name and who yielded.
struct World
{
  explicit World(ConnectionBudget::Options aOptions)
    : mBudget(std::move(aOptions))
  {
  }

  ConnectionBudget::Member& Connect(const std::string& aName,
                                    TimePoint aNow,
                                    const std::string& aAddress = "balancer")
  {
    const auto place = mMembers.insert_or_assign(
      aName,
      std::make_unique<ConnectionBudget::Member>(
        mBudget,
        aAddress,
        [this, aName](Shortage) { mYielded.push_back(aName); },
        aNow));
    return *place.first->second;
  }

  ConnectionBudget::Member& Read(const std::string& aName,
                                 std::size_t aBytes,
                                 TimePoint aNow,
                                 const std::string& aAddress = "balancer")
  {
    auto& member = Connect(aName, aNow, aAddress);
    CHECK(member.Enter(ConnectionPhase::Reading, aNow));
    member.OnProgress(aBytes, aNow);
    CHECK(member.Resize(aBytes, aNow));
    return member;
  }

  ConnectionBudget mBudget;
  std::map<std::string, std::unique_ptr<ConnectionBudget::Member>> mMembers;
  std::vector<std::string> mYielded;
};

using Names = std::vector<std::string>;

} // namespace

// The load: connections that stop half-way beside ordinary requests. Guards
// against a budget that turns ordinary requests away for them.
TEST_CASE("a budget of memory")
{
  World world({ .mMaxBytes = 4 * kMegabyte, .mMaxDescriptors = 100 });

  SUBCASE("that suffices lets nobody yield")
  {
    world.Read("a", kMegabyte, kStart);
    world.Read("b", kMegabyte, kStart);
    CHECK(world.mYielded.empty());
    CHECK(world.mBudget.UsedBytes() == 2 * (kMegabyte + kBase));
    world.mMembers.erase("a");
    CHECK(world.mBudget.UsedBytes() == kMegabyte + kBase);
  }

  SUBCASE("that is short")
  {
    const auto later = kStart + 3s;
    world.Read("stopped", 2 * kMegabyte, kStart);
    world.Connect("idle", kStart + 1s);

    SUBCASE("closes idle connections first")
    {
      world.Read("steady", kMegabyte, later);
      world.Read("next", kMegabyte - 3 * kBase, later);
      CHECK(world.mYielded == Names{ "idle" });
    }

    SUBCASE("closes then the one with the least progress for its memory")
    {
      world.Read("steady", kMegabyte, later);
      world.Read("next", kMegabyte, later);
      CHECK(world.mYielded == Names{ "idle", "stopped" });
    }

    SUBCASE("never closes one whose request runs")
    {
      CHECK(
        world.mMembers.at("stopped")->Enter(ConnectionPhase::Running, kStart));
      auto& large = world.Connect("large", later);
      CHECK(large.Enter(ConnectionPhase::Reading, later));
      CHECK_FALSE(large.Resize(3 * kMegabyte, later));
      CHECK(world.mYielded == Names{ "idle", "large" });
      CHECK_FALSE(large.IsAdmitted());
      world.Read("small", kMegabyte, later);
      CHECK(world.mYielded.size() == 2);
    }
  }

  SUBCASE("is shared by addresses while they compete")
  {
    // one address may use all of it while it is alone
    for (int number = 0; number < 3; ++number) {
      world.Read("crowd " + std::to_string(number), kMegabyte, kStart, "crowd");
    }
    CHECK(world.mYielded.empty());
    // another one gets its share, even if its progress is less
    auto& slow = world.Read("slow", kMegabyte, kStart, "other");
    slow.OnProgress(0, kStart + 10s);
    for (int number = 3; number < 20; ++number) {
      world.Read(
        "crowd " + std::to_string(number), kMegabyte, kStart + 11s, "crowd");
    }
    CHECK(slow.IsAdmitted());
    CHECK_FALSE(world.mYielded.empty());
  }

  SUBCASE("counts what the kernel holds, whether or not there is room")
  {
    auto& running = world.Read("running", 3 * kMegabyte, kStart);
    CHECK(running.Enter(ConnectionPhase::Running, kStart));
    running.Record(5 * kMegabyte, kStart);
    CHECK(world.mBudget.UsedBytes() == 5 * kMegabyte + kBase);
    CHECK_FALSE(world.Connect("next", kStart).IsAdmitted());
  }
}

// The load: more connections than descriptors.
TEST_CASE("a budget of descriptors")
{
  int pooled = 3;
  World world({ .mMaxBytes = 100 * kMegabyte,
                .mMaxDescriptors = 6,
                .mCountPooled = [&] { return pooled; },
                .mClosePooled = [&] { --pooled; } });

  SUBCASE("closes pooled connections before any client's")
  {
    for (const auto* const name : { "a", "b", "c", "d", "e" }) {
      world.Connect(name, kStart);
    }
    CHECK(world.mYielded.empty());
    CHECK(pooled == 1);

    SUBCASE("and then those that never sent before those that were served")
    {
      auto& served = *world.mMembers.at("a");
      CHECK(served.Enter(ConnectionPhase::Running, kStart));
      CHECK(served.Enter(ConnectionPhase::Idle, kStart));
      for (int number = 0; number < 20; ++number) {
        world.Connect("new " + std::to_string(number), kStart + 1s);
      }
      CHECK(served.IsAdmitted());
      CHECK(world.mBudget.UsedDescriptors() == 6);
    }
  }

  SUBCASE("counts the upstream's connection of a request that runs")
  {
    for (const auto* const name : { "a", "b", "c" }) {
      CHECK(
        world.Connect(name, kStart).Enter(ConnectionPhase::Running, kStart));
    }
    CHECK(world.mBudget.UsedDescriptors() == 6);
    CHECK_FALSE(world.Connect("d", kStart).IsAdmitted());
    CHECK(world.mYielded.empty());
  }
}

// Guards against defaults that an ordinary deployment reaches.
TEST_CASE("the limits of a process")
{
  const auto usual = admission::DivideConnectionLimits(256, 1024, 0.375);
  CHECK(usual.mCallerDescriptors > 500);
  CHECK(usual.mCallerConnections > 500);
  // a burst of new connections while the process is busy for 100 ms
  CHECK(usual.mBacklog >= 300);
  const auto few = admission::DivideConnectionLimits(96, 300, 0.375);
  CHECK(few.mCallerDescriptors + few.mPeerDescriptors +
          2 * few.mProbeDescriptors <
        100);
  // what the kernel holds of connections that wait, 4 KB each
  CHECK(few.mBacklog * 4.0 / 1024.0 < 0.05 * 96);
  // several requests of 4 MB that run, with their copies for the upstreams
  CHECK(few.mCallerBytes > 32 * kMegabyte);
}

// Guards against a negative number of instances, and a setting that is
// required.
TEST_CASE("the bound on instances that publish records themselves is checked")
{
  const auto findingsOf = [](const std::string& aText) {
    const auto parsed = settings::ParseIngressSettings(aText);
    REQUIRE_FALSE(parsed);
    return error::JoinMessages(parsed.assume_error(), "; ");
  };
  const std::string field = "max_direct_publishers";
  CHECK(findingsOf("{ \"" + field + "\": -1 }").find(field) !=
        std::string::npos);
  CHECK(findingsOf("{ \"" + field + "\": 0 }").find(field) ==
        std::string::npos);
  CHECK(findingsOf("{}").find(field) == std::string::npos);
}

// Guards against a share that leaves no memory to answers and to the process.
TEST_CASE("the settings of the limits are checked")
{
  const auto findingsOf = [](const std::string& aText) {
    const auto parsed = settings::ParseIngressSettings(aText);
    REQUIRE_FALSE(parsed);
    return error::JoinMessages(parsed.assume_error(), "; ");
  };
  const auto bad =
    findingsOf(R"({ "caller_memory_share": 0.9, "unread_stream_ms": 0 })");
  CHECK(bad.find("caller_memory_share") != std::string::npos);
  CHECK(bad.find("unread_stream_ms") != std::string::npos);
  // the other settings are missing in both; these two may be
  const auto good = findingsOf("{}");
  CHECK(good.find("caller_memory_share") == std::string::npos);
  CHECK(good.find("unread_stream_ms") == std::string::npos);
}
