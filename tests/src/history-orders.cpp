#include "harness/cluster.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

using namespace figslip;

namespace {

constexpr int kOk = 200;
constexpr auto kPatience = std::chrono::seconds(30);
constexpr auto kPause = std::chrono::milliseconds(100);

/// Repeats a chat until it is answered, as a caller with patience does.
bool
AnsweredInTime(test::Cluster& aCluster, const std::string& aModel)
{
  const nlohmann::json body = {
    { "model", aModel },
    { "messages", { { { "role", "user" }, { "content", "hello" } } } },
  };
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto response = aCluster.Post(
      "entry-sul-a",
      "/v1/chat/completions",
      body,
      { { "Figslip-Account", "salon" }, { "Figslip-Deadline-Ms", "3000" } });
    if (response.mStatus == kOk) {
      return true;
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

/// Waits until an engine has taken an order.
/// @return the order as the engine recorded it, null if none came in time
nlohmann::json
WaitForOrder(test::Cluster& aCluster, const std::string& aUpstream)
{
  const auto deadline = std::chrono::steady_clock::now() + kPatience;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto history = aCluster.History(aUpstream);
    for (const auto& run : history.at("runs")) {
      if (run.at("path") == "/v1/orders") {
        return run;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  return nullptr;
}

} // namespace

TEST_CASE("engines that serve only what they are ordered to load")
{
  auto plan = test::SmallPlan();
  for (auto& upstream : plan.mUpstreams) {
    upstream.mArguments = { "--takes-orders", "--checks-fencing" };
    upstream.mUpstream.mChecksFencing =
      upstream.mUpstream.mKind == manifest::UpstreamKind::Model;
  }
  test::Cluster cluster(plan);
  cluster.Start();

  SUBCASE("are ordered to load the versions of the manifest")
  {
    REQUIRE(AnsweredInTime(cluster, "small"));
    const auto order = WaitForOrder(cluster, "sul-a-small-1");
    REQUIRE(order.is_object());
    CHECK(order.at("version") == "small-1");

    SUBCASE("and after a restart by the next holder, with a higher token")
    {
      cluster.Upstream("sul-a-small-1").Kill();
      cluster.Entry("entry-sul-a").Kill();
      cluster.StartUpstream("sul-a-small-1");
      cluster.StartEntry("entry-sul-a");
      cluster.PublishInstances();
      const auto second = WaitForOrder(cluster, "sul-a-small-1");
      REQUIRE(second.is_object());
      CHECK(second.at("fencing_token").get<std::int64_t>() >
            order.at("fencing_token").get<std::int64_t>());
    }
  }
}
