#include "harness/check_kept.hpp"
#include "harness/traffic.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

using namespace figslip::test;

namespace {

constexpr int kSome = 150;
/// Stated before measuring: another upstream takes over all idempotent work.
constexpr double kIdempotentShare = 1.0;
constexpr auto kEngine = "sul-a-small-1";
constexpr auto kService = "sul-a-bookings";

} // namespace

TEST_CASE("connections to upstreams under load")
{
  auto plan = SmallPlan();
  plan.mRelayed = true;
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, {});
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));

  SUBCASE("go silent for good while new ones work")
  {
    for (const auto& upstream : plan.mUpstreams) {
      cluster.RelayOf(upstream.mUpstream.mName).SilenceOpenConnections();
    }
    REQUIRE(traffic.WaitForAnswers(kSome));
  }

  SUBCASE("are cut in the middle of answers")
  {
    auto& relay = cluster.RelayOf(kEngine);
    relay.SetMode(Relay::Mode::Cut);
    REQUIRE(traffic.WaitForAnswers(kSome));
    relay.SetMode(Relay::Mode::Open);
    REQUIRE(traffic.WaitForAnswers(kSome));
  }

  SUBCASE("are cut one way, so that answers vanish")
  {
    auto& relay = cluster.RelayOf(kEngine);
    relay.SetMode(Relay::Mode::OneWay);
    REQUIRE(traffic.WaitForAnswers(kSome));
    relay.SetMode(Relay::Mode::Open);
    REQUIRE(traffic.WaitForAnswers(kSome));
  }

  CheckKept(traffic.Finish());
  CHECK(traffic.Idempotent().Share() >= kIdempotentShare);
}

TEST_CASE("upstreams under load")
{
  const auto plan = SmallPlan();
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, {});
  traffic.Start();
  REQUIRE(traffic.WaitForAnswers(kSome));

  SUBCASE("are killed and restarted")
  {
    cluster.Upstream(kEngine).Kill();
    cluster.Upstream(kService).Kill();
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.StartUpstream(kEngine);
    cluster.StartUpstream(kService);
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
  }

  SUBCASE("turn cold by surprise")
  {
    cluster.Upstream(kEngine).Kill();
    cluster.StartUpstream(kEngine);
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
  }

  SUBCASE("are frozen and resumed")
  {
    cluster.Upstream(kEngine).Freeze();
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.Upstream(kEngine).Resume();
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
  }

  SUBCASE("break every answer in the middle")
  {
    cluster.SetUpstreamFault(kEngine, { { "break_answer", true } });
    REQUIRE(traffic.WaitForAnswers(kSome));
    cluster.SetUpstreamFault(kEngine, nlohmann::json::object());
    REQUIRE(traffic.WaitForAnswers(kSome));
    CheckKept(traffic.Finish());
    return; // a stream that broke after its first token is not repeated inside
  }

  SUBCASE("crash by one request, which its caller sends again")
  {
    constexpr std::size_t kCrashesBorne = 2;
    for (const auto& upstream : plan.mUpstreams) {
      cluster.SetUpstreamFault(upstream.mUpstream.mName,
                               { { "crash_on", "poison" } });
    }
    const CallerWork poison{ .mAccount = "salon",
                             .mTarget = "chat",
                             .mText = "poison" };
    for (std::size_t repeat = 0; repeat < 4; ++repeat) {
      const auto last = traffic.Send(poison, "poison", repeat);
      CHECK(last.mEnd != CallerEnd::Answered);
    }
    REQUIRE(traffic.WaitForAnswers(kSome));
    const auto history = traffic.Finish();
    CheckKept(history);
    const auto crashes =
      std::ranges::count(history.mRuns, "poison", &UpstreamRun::mRequestId);
    CHECK(static_cast<std::size_t>(crashes) <= kCrashesBorne);
    return; // crashed upstreams stay away, so that capacity is lost
  }

  CHECK(traffic.Idempotent().Share() >= kIdempotentShare);
}

TEST_CASE("a request that one domain ran without an answer")
{
  constexpr int kDeadlineMs = 5'000;
  constexpr auto kBusy = "sul-b-small-1";
  auto plan = SmallPlan();
  for (auto& upstream : plan.mUpstreams) {
    if (upstream.mUpstream.mName == kBusy) {
      upstream.mUpstream.mConcurrency = 1;
      upstream.mUpstream.mColdConcurrency = 1;
    }
  }
  for (auto& entry : plan.mEntries) {
    entry.mSettings["first_token_timeout_ms"] =
      entry.mFailureDomain == "sul-a" ? 300 : 10'000;
  }
  Cluster cluster(plan);
  cluster.Start();
  const CallerWork work{ .mAccount = "salon", .mTarget = "small" };
  Traffic traffic(cluster, { .mTries = 1, .mDeadlineMs = kDeadlineMs });
  // an entry sends to an upstream once it may take cold ones on
  for (std::size_t entry = 0; entry < plan.mEntries.size(); ++entry) {
    CallerEnd end = CallerEnd::Refused;
    for (int tries = 0; tries < 10 && end != CallerEnd::Answered; ++tries) {
      const auto name =
        "warm-" + std::to_string(entry) + "-" + std::to_string(tries);
      end = traffic.Send(work, name, entry).mEnd;
    }
    REQUIRE(end == CallerEnd::Answered);
  }
  cluster.SetUpstreamFault(kEngine, { { "silent", true } });
  cluster.SetUpstreamFault(kBusy, { { "silent", true } });

  SUBCASE("is not said to be not run when another domain had no place for it")
  {
    std::jthread occupant([&] { traffic.Send(work, "occupant", 1); });
    std::this_thread::sleep_for(std::chrono::milliseconds(kDeadlineMs / 4));
    const auto last = traffic.Send(work, "silent", 0);
    occupant.join();
    CHECK(last.mEnd == CallerEnd::Refused);
    CHECK(last.mRun == "unknown");
    const auto history = traffic.Finish();
    CHECK(std::ranges::count(
            history.mRuns, "silent", &UpstreamRun::mRequestId) > 0);
    CheckKept(history);
  }
}

TEST_CASE("a stream that pauses is cut though nothing may replace it")
{
  constexpr int kTokenTimeoutMs = 300;
  auto plan = SmallPlan();
  for (auto& upstream : plan.mUpstreams) {
    // the answer pauses for 20 tokens
    upstream.mArguments.insert(upstream.mArguments.end(),
                               { "--token-ms", "50" });
  }
  for (auto& entry : plan.mEntries) {
    entry.mSettings["next_token_timeout_ms"] = kTokenTimeoutMs;
  }
  Cluster cluster(plan);
  cluster.Start();
  Traffic traffic(cluster, { .mTries = 1, .mDeadlineMs = 8'000 });
  const CallerWork work{ .mAccount = "salon",
                         .mTarget = "small",
                         .mStream = true };
  CHECK(traffic.Send(work, "pauses", 0).mEnd == CallerEnd::Answered);
  const auto history = traffic.Finish();
  CHECK(std::ranges::count(history.mRuns, "pauses", &UpstreamRun::mRequestId) ==
        1);
  CheckKept(history);
}
