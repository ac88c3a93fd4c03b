#include <harness/ingress_world.hpp>

#include <figslip/fairshare/demand_messages.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <thread>

using namespace figslip;
using namespace std::chrono_literals;
using test::IngressWorld;
using Clock = std::chrono::steady_clock;

namespace {

/// Bound on a wait; several times what the exchange takes.
constexpr auto kPatience = 20s;

/// Instances that only the test plays. Two of them, since the word of one alone
/// counts for nothing.
const std::string kPlayed[] = { "played-1", "played-2" };

/// Registers the played instances. Nobody serves at their address.
void
RegisterPlayed(IngressWorld& aWorld)
{
  for (const auto& name : kPlayed) {
    aWorld.Store().Put(
      "figslip",
      "instance." + name,
      { { "failure_domain", "a" }, { "peers", "127.0.0.200:9" } });
  }
}

/// Sends reports of the played instances to the first instance: an account
/// demands far more than its share, and another one is within it.
test::CallerAnswer
PushReports(IngressWorld& aWorld, std::int64_t aSequence)
{
  fairshare::DemandPush push;
  for (const auto& name : kPlayed) {
    push.mReports.push_back(
      { .mReport = {
          .mInstance = name,
          .mSequence = aSequence,
          .mServices = {
            { .mService = "engines",
              .mIsShort = true,
              .mAccounts = {
                { .mAccount = "large", .mOffered = 120.0, .mServed = 12.0 },
                { .mAccount = "small",
                  .mOffered = 10.0,
                  .mServed = 10.0 } } } } } });
  }
  const auto body = fairshare::EncodePush(push);
  test::CallerLink link(aWorld.ExchangePort());
  return link.Exchange(
    "POST /v1/demand HTTP/1.1\r\nHost: x\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body,
    2s);
}

/// Tells whether an instance has logged shares with so many accounts over them.
bool
HasLogged(IngressWorld& aWorld, std::size_t aIndex, int aOver)
{
  const auto log = aWorld.Instance(aIndex).Log();
  const auto last = log.rfind("\"event\":\"shares_changed\"");
  return last != std::string::npos &&
         log.find("\"over_share\":\"" + std::to_string(aOver) + "\"", last) !=
           std::string::npos;
}

/// Pushes reports until an instance knows of the account over its share.
bool
PushUntilKnown(IngressWorld& aWorld,
               std::size_t aIndex,
               std::int64_t& aSequence)
{
  const auto until = Clock::now() + kPatience;
  while (Clock::now() < until && !HasLogged(aWorld, aIndex, 1)) {
    if (PushReports(aWorld, ++aSequence).mStatus != 200) {
      return false;
    }
    std::this_thread::sleep_for(200ms);
  }
  return HasLogged(aWorld, aIndex, 1);
}

bool
WaitForLog(IngressWorld& aWorld, std::size_t aIndex, int aOver)
{
  const auto until = Clock::now() + kPatience;
  while (Clock::now() < until && !HasLogged(aWorld, aIndex, aOver)) {
    std::this_thread::sleep_for(20ms);
  }
  return HasLogged(aWorld, aIndex, aOver);
}

} // namespace

TEST_CASE("demand that one instance has heard of")
{
  // guards against shares that stay local, and against those that outlive the
  // instances from which they came
  IngressWorld world({ .mInstances = 2, .mOverloadControl = true });
  RegisterPlayed(world);
  std::int64_t sequence = 1'000;
  REQUIRE(PushUntilKnown(world, 1, sequence));
  CHECK(world.Instance(1).Log().find("large 240.0") != std::string::npos);

  SUBCASE("expires at another one after the first is killed")
  {
    world.Instance(0).Kill();
    CHECK(WaitForLog(world, 1, 0));
    SUBCASE("and comes back with it")
    {
      world.Restart(0);
      CHECK(PushUntilKnown(world, 1, sequence));
    }
  }
  SUBCASE("is kept through messages that are none")
  {
    test::CallerLink link(world.ExchangePort());
    const auto answer = link.Exchange(
      "POST /v1/demand HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
      2s);
    CHECK(answer.mStatus == 400);
    CHECK(PushReports(world, ++sequence).mStatus == 200);
    CHECK(world.Send(0, "GET", "/look/1", "after").mStatus == 200);
  }
}

TEST_CASE("an instance without overload control")
{
  // guards against messages in deployments that do not ask for them
  IngressWorld world({ .mInstances = 1 });
  CHECK_FALSE(test::CallerLink(world.ExchangePort()).IsOpen());
}
