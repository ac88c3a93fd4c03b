#include <figslip/placement/paced_share.hpp>
#include <harness/scarce_load.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <memory>
#include <ranges>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using placement::NoChoiceReason;
using placement::PacedShare;
using placement::UpstreamSelector;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// Returns how many requests of cost 1 are covered in a time.
int
CountCovered(PacedShare& aShare,
             bool aIsOverShare,
             TimePoint aFrom,
             Duration aTime)
{
  int count = 0;
  for (auto now = aFrom; now < aFrom + aTime; now += 1ms) {
    for (; aShare.Covers(aIsOverShare, now); ++count) {
      aShare.OnSent(1.0, aIsOverShare, now);
    }
  }
  return count;
}

ingress::UpstreamEntry
MakeEntry(const std::string& aId)
{
  return { .mId = aId,
           .mService = "plain",
           .mAddress = "127.0.0.1",
           .mPort = 80,
           .mDomain = "a",
           .mVersion = "v1",
           .mSlots = 6,
           .mStartedAtMs = 1 };
}

/// Returns the selector of one of some instances before two upstreams, both of
/// which have just reported to be full.
UpstreamSelector
MakeFullSelector(int aInstances)
{
  UpstreamSelector selector(
    { .mInstance = "i-0", .mDomain = "a", .mOverloadControl = true });
  ingress::Configuration configuration;
  configuration.mServices.push_back({ .mName = "plain" });
  selector.OnConfiguration(
    std::make_shared<const ingress::ConfigurationIndex>(configuration));
  std::vector<membership::InstanceLocation> instances;
  instances.reserve(static_cast<std::size_t>(aInstances));
  for (int index = 0; index < aInstances; ++index) {
    instances.push_back(
      { .mName = "i-" + std::to_string(index), .mFailureDomain = "a" });
  }
  selector.OnUpstreams({ MakeEntry("u0"), MakeEntry("u1") }, kStart);
  selector.SetInstances(instances);
  selector.SetInstanceCount(aInstances);
  for (const auto* const id : { "u0", "u1" }) {
    (void)selector.OnReportedLoad(
      id, { .mRunning = 6, .mWaiting = 2, .mSlots = 6 }, kStart, kStart);
  }
  return selector;
}

std::unique_ptr<test::ScarceLoad>
Run(const test::ScarceLoadOptions& aOptions)
{
  auto load = std::make_unique<test::ScarceLoad>(aOptions);
  load->Run();
  return load;
}

/// Compares what accounts within their share get in time with and without the
/// large account.
void
CheckShares(const test::ScarceLoadOptions& aOptions)
{
  auto withoutLarge = aOptions;
  withoutLarge.mHasLargeAccount = false;
  const auto without = Run(withoutLarge);
  const auto with = Run(aOptions);
  const auto& large = with->Of(test::ScarceLoad::kLarge);
  MESSAGE("others in time ",
          with->Others().mInTime / without->Others().mInTime,
          ", of those offered without ",
          without->Others().mInTime / without->Others().mOffered,
          ", the large account ",
          large.mServed / large.mOffered,
          ", utilization ",
          with->Utilization(),
          ", rejected ",
          with->Rejected());
  const auto fractionOf = [&](int aAccount) {
    return with->Of(aAccount).mInTime / without->Of(aAccount).mInTime;
  };
  const auto accounts = std::views::iota(1, test::ScarceLoad::kAccounts);
  const int worst = std::ranges::min(accounts, {}, fractionOf);
  CAPTURE(worst);
  CHECK(fractionOf(worst) >= 0.95);
}

} // namespace

TEST_CASE("the pacing of an instance whose share is 20 a second")
{
  PacedShare share(kStart);
  share.SetShare(20.0);

  SUBCASE("covers nothing without a usable share")
  {
    for (const auto none : std::vector<double>{ 0.0, -1.0, NAN, INFINITY }) {
      share.SetShare(none);
      CHECK_FALSE(share.Covers(false, kStart));
      CHECK_FALSE(share.Covers(true, kStart));
    }
  }
  SUBCASE("covers at most its rate and a short burst over the share")
  {
    CHECK(CountCovered(share, true, kStart, 10s) ==
          doctest::Approx(180).epsilon(0.02));
  }
  SUBCASE("does not save up tokens")
  {
    CHECK(CountCovered(share, true, kStart + 60s, 10ms) <= 2);
  }
  SUBCASE("lets requests within their share go before those over it")
  {
    (void)CountCovered(share, true, kStart, 5s);
    CHECK_FALSE(share.Covers(true, kStart + 5s));
    CHECK(share.Covers(false, kStart + 5s));
    CHECK(CountCovered(share, false, kStart + 5s, 1ms) > 10);
    SUBCASE("which wait until the tokens are there")
    {
      CHECK_FALSE(share.Covers(true, kStart + 6s));
      CHECK(share.Covers(true, kStart + 9s));
    }
  }
  SUBCASE("is followed by a longer pause after an expensive request")
  {
    share.OnSent(9.0, true, kStart);
    CHECK_FALSE(share.Covers(true, kStart + 400ms));
    CHECK(share.Covers(true, kStart + 500ms));
  }
  SUBCASE("is halved by a rejection, once for requests sent before it")
  {
    CHECK(share.OnRejected(kStart, kStart + 1ms));
    CHECK(share.Rate(kStart + 1ms) == doctest::Approx(9.0));
    CHECK_FALSE(share.OnRejected(kStart + 1ms, kStart + 2ms));
    CHECK(share.OnRejected(kStart + 2ms, kStart + 3ms));
    CHECK(share.Rate(kStart + 3ms) < 5.0);
    SUBCASE("and returns within a second")
    {
      CHECK(share.Rate(kStart + 1100ms) == doctest::Approx(18.0));
    }
  }
}

// Guards against a choice that ignores what upstreams and operators ask for.
TEST_CASE("a request that the share of the instance covers")
{
  const placement::PlacementQuery query{ .mService = "plain" };
  auto selector = MakeFullSelector(9);
  CHECK_FALSE(selector.Choose(query, kStart));
  CHECK(selector.ExplainNoChoice(query, kStart) == NoChoiceReason::AllFull);
  selector.SetInstanceShares({ { .mService = "plain", .mPerSecond = 20.0 } },
                             kStart);

  SUBCASE("is sent although the upstreams seem full")
  {
    const auto choice = selector.Choose(query, kStart);
    REQUIRE(choice);
    CHECK(choice->mIsPaced);

    SUBCASE("until the tokens are used")
    {
      int sent = 0;
      for (auto next = choice; next; next = selector.Choose(query, kStart)) {
        (void)selector.Reserve(*next, query, kStart);
        ++sent;
      }
      CHECK(sent < 10);
      CHECK(selector.ExplainNoChoice(query, kStart) == NoChoiceReason::AllFull);
      CHECK(selector.Choose(query, kStart + 1s));
    }
    SUBCASE("and slows the pacing down if it is rejected")
    {
      const auto paced = selector.Reserve(*choice, query, kStart);
      CHECK(selector.OnPacedRejection(paced, kStart + 1ms));
      CHECK(selector.PacedRate("plain", kStart + 1ms) == doctest::Approx(9.0));
    }
  }
  SUBCASE("waits where the service is no longer short of capacity")
  {
    selector.SetInstanceShares({}, kStart);
    CHECK_FALSE(selector.Choose(query, kStart));
    CHECK_FALSE(selector.PacedRate("plain", kStart));
  }
  SUBCASE("waits where each instance has upstreams of its own")
  {
    auto alone = MakeFullSelector(2);
    alone.SetInstanceShares({ { .mService = "plain", .mPerSecond = 20.0 } },
                            kStart);
    CHECK_FALSE(alone.Choose(query, kStart));
    CHECK_FALSE(alone.PacedRate("plain", kStart));
  }
  SUBCASE("is not sent to a drained domain")
  {
    selector.SetDrained({ "a" });
    CHECK_FALSE(selector.Choose(query, kStart));
    CHECK(selector.ExplainNoChoice(query, kStart) ==
          NoChoiceReason::NoUpstream);
  }
  SUBCASE("is not sent to an upstream that leaves, pauses or names a rate")
  {
    selector.OnLeaving(MakeEntry("u0"), kStart);
    CHECK(selector.Choose(query, kStart)->mUpstream->mId == "u1");
    SUBCASE("by a pause")
    {
      (void)selector.OnPause(MakeEntry("u1"), 1.0, kStart);
      CHECK_FALSE(selector.Choose(query, kStart));
      CHECK(selector.ExplainNoChoice(query, kStart) ==
            NoChoiceReason::AllPausing);
    }
    SUBCASE("by a rate that is used up")
    {
      selector.OnMaxRate(MakeEntry("u1"), 1.0, kStart, kStart);
      int sent = 0;
      for (auto now = kStart; now < kStart + 2s; now += 10ms) {
        if (const auto choice = selector.Choose(query, now)) {
          (void)selector.Reserve(*choice, query, now);
          ++sent;
        } else {
          CHECK(selector.ExplainNoChoice(query, now) !=
                NoChoiceReason::NoUpstream);
        }
      }
      CHECK(sent <= 2);
    }
  }
}

// Load: many instances in front of a service with fewer slots than instances.
// One account sends 12 times its usual load, the others 1.8 times theirs, and
// demand differs by instance. Guards against instances that hold the slots
// while others, whatever their demand, send nothing.
TEST_CASE("accounts within their share are served as without a large account")
{
  test::ScarceLoadOptions options;
  const auto checkAll = [&] {
    SUBCASE("while all instances run")
    {
      CheckShares(options);
    }
    SUBCASE("while one instance in four is killed")
    {
      options.mKillsQuarter = true;
      CheckShares(options);
    }
    SUBCASE("while a tenth of the reports and messages is lost")
    {
      options.mLostReports = 0.1;
      CheckShares(options);
    }
  };

  SUBCASE("by 27 instances before 4 upstreams of 6 slots")
  {
    checkAll();
    SUBCASE("while an upstream is lost")
    {
      options.mLosesUpstream = true;
      CheckShares(options);
    }
  }
  SUBCASE("by 82 instances before 3 upstreams of 6 slots")
  {
    options.mInstances = 82;
    options.mDomains = 3;
    options.mUpstreams = 3;
    options.mServiceMs = 15.0;
    options.mTarget = 120ms;
    checkAll();
  }
  SUBCASE("by 340 instances before 18 slots in all")
  {
    options.mInstances = 340;
    options.mDomains = 3;
    options.mUpstreams = 3;
    options.mServiceMs = 15.0;
    options.mTarget = 120ms;
    checkAll();
  }
}
