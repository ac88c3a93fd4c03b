#include "harness/cluster.hpp"
#include "harness/platform_stand_in.hpp"

#include <figslip/manifest/manifest.hpp>
#include <figslip/manifest/manifest_publisher.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;

namespace {

std::string
ManifestText(std::int64_t aGeneration, const std::string& aRegion = "sul")
{
  manifest::Manifest manifest{ .mGeneration = aGeneration };
  manifest.mFailureDomains = { { .mName = "sul-a", .mRegion = aRegion } };
  return manifest::PrintManifest(manifest);
}

/// Serves the platform stand-in within the test.
class Platform
{
public:
  Platform()
    : mServer(
        http::HttpServer::Start({ .mThreads = 8 }, mStandIn.Routes()).value())
    , mHttp(std::make_shared<http::HttpClient>(http::HttpClient::Options{}))
    , mClient({ .mEndpoint = { "127.0.0.1", mServer->Port() } }, mHttp)
  {
  }

  void SetFault(const std::string& aFault)
  {
    (void)mHttp->Call({ "127.0.0.1", mServer->Port() },
                      { .mMethod = http::Method::Post,
                        .mTarget = "/control/fault",
                        .mHeaders = {},
                        .mBody = aFault },
                      {});
  }

  Result<manifest::Published> Publish(
    const std::string& aText,
    std::optional<std::int64_t> aExpected = std::nullopt)
  {
    return manifest::PublishManifest(
      mClient, aText, { .mExpectedGeneration = aExpected });
  }

  std::string Refusal(const std::string& aText,
                      std::optional<std::int64_t> aExpected = std::nullopt)
  {
    const auto published = Publish(aText, aExpected);
    return published ? "" : error::JoinMessages(published.assume_error());
  }

  std::string InForce()
  {
    return mClient.Read({ "manifest", "current" }).assume_value().mValue;
  }

private:
  test::PlatformStandIn mStandIn;
  std::unique_ptr<http::HttpServer> mServer;
  std::shared_ptr<http::HttpClient> mHttp;
  platform::PlatformClient mClient;
};

} // namespace

TEST_CASE("a manifest that is published")
{
  Platform platform;
  REQUIRE(platform.Publish(ManifestText(1)));

  SUBCASE("next in line is in force")
  {
    CHECK(platform.Publish(ManifestText(2)).assume_value().mGeneration == 2);
    CHECK(platform.InForce() == ManifestText(2));
  }

  SUBCASE("a second time is there already")
  {
    CHECK(platform.Publish(ManifestText(1)).assume_value().mAlreadyThere);
  }

  SUBCASE("with findings is refused with all of them")
  {
    CHECK(platform.Refusal("{}") ==
          "[manifest.missing_field.108] /format: the field is required\n"
          "[manifest.missing_field.108] /generation: the field is required");
  }

  SUBCASE("under a generation that is not higher is refused")
  {
    CHECK(platform.Refusal(ManifestText(1, "luzon"), 1) ==
          "[manifest.lower_generation.110] /generation: 1 is not higher than "
          "1, which is in force");
  }

  SUBCASE("over another generation than the operator saw is refused")
  {
    CHECK(platform.Refusal(ManifestText(3)) ==
          "[platform.conflict.402] manifest/current: generation 1 is in force, "
          "expected generation 2");
    CHECK(platform.Refusal(ManifestText(3), 0) ==
          "[platform.conflict.402] manifest/current: generation 1 is in force, "
          "expected no generation");
    CHECK(platform.Publish(ManifestText(3), 1));
  }

  SUBCASE("while its answers get lost")
  {
    platform.SetFault(R"({"lose_answers":true})");

    SUBCASE("is found in force by reading back")
    {
      CHECK(platform.Publish(ManifestText(2)).assume_value().mGeneration == 2);
      CHECK(platform.InForce() == ManifestText(2));
    }
  }

  SUBCASE("while the platform is down is not published, and says so")
  {
    platform.SetFault(R"({"down":true})");
    CHECK(platform.Refusal(ManifestText(2)) ==
          "[platform.unavailable.401] platform: unexpected status 503");
    platform.SetFault("{}");
    CHECK(platform.InForce() == ManifestText(1));
  }
}

TEST_CASE("of operators who race one another exactly one wins")
{
  Platform platform;
  REQUIRE(platform.Publish(ManifestText(1)));
  constexpr int kOperators = 6;
  std::vector<std::string> refusals(kOperators);
  {
    std::vector<std::jthread> operators;
    operators.reserve(kOperators);
    for (int index = 0; index < kOperators; ++index) {
      operators.emplace_back([&, index] {
        refusals[index] = platform.Refusal(
          ManifestText(2, "region-" + std::to_string(index)), 1);
      });
    }
  }
  CHECK(std::ranges::count(refusals, "") == 1);
  for (const auto& refusal : refusals) {
    // whoever read after the winner's write learns it from the generation
    const bool lost =
      refusal ==
        "[platform.conflict.402] manifest/current: generation 2 won the race" ||
      refusal == "[manifest.lower_generation.110] /generation: 2 is not higher "
                 "than 2, which is in force";
    CHECK((refusal.empty() || lost));
  }
}
