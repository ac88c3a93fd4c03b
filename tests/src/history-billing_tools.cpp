#include "harness/cluster.hpp"

#include <nlohmann/json.hpp>

#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <string>

using namespace figslip;

namespace {

constexpr int kRequests = 6;
constexpr auto kPatience = std::chrono::seconds(40);

struct Output
{
  int mStatus = -1; ///< wait status, 0 for success
  std::string mText;
};

/// Runs a program of the build to its end.
Output
Run(const std::string& aCommand)
{
  auto* const pipe =
    popen((test::ProgramFolder() + "/" + aCommand).c_str(), "r");
  REQUIRE(pipe != nullptr);
  Output output;
  std::array<char, 4096> buffer{};
  std::size_t count = 0;
  while ((count = fread(buffer.data(), 1, buffer.size(), pipe)) > 0) {
    output.mText.append(buffer.data(), count);
  }
  output.mStatus = pclose(pipe);
  return output;
}

void
SendChats(test::Cluster& aCluster)
{
  for (int number = 0; number < kRequests; ++number) {
    const auto response = aCluster.Post(
      "entry-sul-a",
      "/v1/chat/completions",
      { { "model", "chat" },
        { "messages",
          { { { "role", "user" }, { "content", "plan my week" } } } },
        { "max_tokens", 5 } },
      { { "Figslip-Account", "salon" },
        { "Figslip-Request-Id", "chat-" + std::to_string(number) },
        { "Content-Type", "application/json" } });
    REQUIRE(response.mStatus == 200);
  }
}

} // namespace

TEST_CASE("the tools of billing beside daemons that serve")
{
  test::Cluster cluster(test::SmallPlan());
  cluster.Start();
  std::string daemons;
  for (const auto& entry : cluster.Plan().mEntries) {
    daemons += " 127.0.0.1:" + std::to_string(cluster.EntryPort(entry.mName));
  }

  SUBCASE("report what was answered between two samples")
  {
    const auto before = Run("figslip-report sample" + daemons);
    CHECK(before.mStatus == 0);
    SendChats(cluster);
    const auto after = Run("figslip-report sample" + daemons);
    const auto samples =
      test::WriteTemporaryFile("samples", before.mText + after.mText);
    const auto manifest = test::WriteTemporaryFile(
      "manifest", manifest::PrintManifest(cluster.Manifest()));
    const auto burn = Run("figslip-report burn " + samples + " --manifest " +
                          manifest + " --format json");
    REQUIRE(burn.mStatus == 0);
    const auto slo = nlohmann::json::parse(burn.mText).at("slos").at(0);
    CHECK(slo.at("slo") == "salon-latency");
    const auto& window = slo.at("budget");
    CHECK(window.at("good").get<int>() + window.at("slow").get<int>() ==
          kRequests);
  }

  SUBCASE("bill each answered request once")
  {
    SendChats(cluster);
    for (const auto& entry : cluster.Plan().mEntries) {
      CHECK(cluster.Entry(entry.mName).Stop(kPatience) == 0);
    }
    const auto ledger =
      Run("figslip-ledger --json --platform-address 127.0.0.1 "
          "--platform-port " +
          std::to_string(cluster.PlatformPort()));
    CHECK(ledger.mStatus == 0);
    const auto document = nlohmann::json::parse(ledger.mText);
    CHECK(document.at("requests") == kRequests);
    CHECK(document.at("findings").empty());
  }

  SUBCASE("fail on what they cannot read")
  {
    CHECK(
      Run("figslip-ledger " + test::WriteTemporaryFile("batch", "{")).mStatus !=
      0);
    const auto sample = Run("figslip-report sample 127.0.0.1:1 2>/dev/null");
    CHECK(sample.mStatus != 0);
    CHECK(nlohmann::json::parse(sample.mText).at("missing").size() == 1);
  }
}
