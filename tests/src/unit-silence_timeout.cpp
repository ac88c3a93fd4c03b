#include <figslip/placement/silence_timeout.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

using namespace figslip;
using namespace std::chrono_literals;
using placement::Choice;
using placement::PlainSilenceTimeout;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kTarget = 150ms;
constexpr Duration kTimeLeft = 800ms;
constexpr Duration kUsual = 90ms; ///< 0.6 of the target latency

/// Sends requests to one of two upstreams of a plain service.
class Desk
{
public:
  Desk()
    : mSelector({ .mInstance = "self", .mDomain = "a", .mSeed = 1 })
  {
    ingress::Configuration configuration;
    configuration.mServices.push_back({ .mName = "desk" });
    mSelector.OnConfiguration(
      std::make_shared<const ingress::ConfigurationIndex>(configuration));
    const auto entry = [](std::string aId) {
      return ingress::UpstreamEntry{ .mId = std::move(aId),
                                     .mService = "desk",
                                     .mAddress = "127.0.0.1",
                                     .mPort = 80,
                                     .mDomain = "a",
                                     .mVersion = "v1",
                                     .mSlots = 6,
                                     .mStartedAtMs = 1 };
    };
    mSelector.OnUpstreams({ entry("one"), entry("other") }, kStart);
    mSelector.SetInstances({ { .mName = "self", .mFailureDomain = "a" } });
    mNow += 10s; // beyond the cold start
  }

  /// Lets an upstream answer requests, each after a time.
  void Answer(const std::string& aId,
              Duration aTook,
              std::optional<double> aFactor)
  {
    constexpr int kRequests = 60;
    for (int request = 0; request < kRequests; ++request) {
      auto reservation = mSelector.Reserve(ChoiceOf(aId), Query(aId), mNow);
      const auto sentAt = mNow;
      mNow += aTook;
      (void)mSelector.OnReportedLoad(
        aId, { .mSlots = 6, .mTimeFactor = aFactor }, sentAt, mNow);
      mSelector.OnFirstEvent(reservation, mNow);
      mSelector.Release(reservation);
    }
  }
  void Fail(const std::string& aId)
  {
    constexpr int kFailures = 5;
    for (int failure = 0; failure < kFailures; ++failure) {
      mSelector.OnOutcome(aId, placement::AttemptHealth::Error, mNow);
    }
  }

  [[nodiscard]] Choice ChoiceOf(const std::string& aId)
  {
    const auto choice = mSelector.Choose(Query(aId), mNow);
    REQUIRE(choice);
    REQUIRE(choice->mUpstream->mId == aId);
    return *choice;
  }
  [[nodiscard]] Duration TimeoutOf(const std::string& aId,
                                   Duration aTimeLeft = kTimeLeft)
  {
    return PlainSilenceTimeout(ChoiceOf(aId), kTarget, aTimeLeft);
  }

private:
  [[nodiscard]] placement::PlacementQuery Query(const std::string& aId)
  {
    mExcluded = { aId == "one" ? "other" : "one" };
    return { .mService = "desk", .mExcludedUpstreams = &mExcluded };
  }

  TimePoint mNow = kStart;
  placement::UpstreamSelector mSelector;
  std::set<std::string> mExcluded;
};

} // namespace

TEST_CASE("a silent attempt at a plain service is replaced")
{
  // guards against retries of requests whose answers are on the way, which load
  // the faster machines
  Desk desk;

  SUBCASE("after 0.6 of the target latency where no speed is reported")
  {
    desk.Answer("one", 140ms, std::nullopt);
    CHECK(desk.TimeoutOf("one") == kUsual);
  }
  SUBCASE("later at a machine that is expected to answer after that")
  {
    desk.Answer("one", 120ms, 1.0);
    const auto timeout = desk.TimeoutOf("one");
    CHECK(timeout > 120ms);
    CHECK(timeout < 200ms);

    SUBCASE("but in time for a replacement before the deadline")
    {
      CHECK(desk.TimeoutOf("one", 200ms) == 120ms);
      CHECK(desk.TimeoutOf("one", 50ms) == kUsual);
    }
    SUBCASE("and as before at a fast machine beside it")
    {
      desk.Answer("other", 12ms, 1.0);
      CHECK(desk.TimeoutOf("other") == kUsual);
    }
    SUBCASE("and failures of the upstream prolong no wait")
    {
      desk.Fail("one");
      CHECK(desk.ChoiceOf("one").mTimeToFirstEvent > 2 * timeout);
      CHECK(desk.TimeoutOf("one") < timeout + 1ms);
    }
  }
  SUBCASE("later while an upstream reports that its machine is slow now")
  {
    desk.Answer("one", 30ms, 1.0);
    CHECK(desk.TimeoutOf("one") == kUsual);
    desk.Answer("one", 240ms, 8.0);
    CHECK(desk.TimeoutOf("one") > 240ms);
  }
  SUBCASE("within the deadline if reports are false")
  {
    desk.Answer("one", 30ms, 1e300);
    CHECK(desk.TimeoutOf("one") <= 480ms);
  }
}
