#include "harness/router_fixture.hpp"

#include <doctest/doctest.h>

using namespace figslip;
using namespace figslip::routing;
using figslip::test::RouterFixture;

namespace {

constexpr TicketId kTicket = 1;

template<typename Step>
const Step&
As(const Decision& aDecision)
{
  REQUIRE(std::holds_alternative<Step>(aDecision));
  return std::get<Step>(aDecision);
}

} // namespace

TEST_CASE("an idempotent request")
{
  RouterFixture fixture;
  auto& router = fixture.mRouter;
  const auto first =
    As<Dispatch>(router.Start(kTicket, fixture.Chat(), fixture.mNow));
  const auto other = first.mUpstream == "a1" ? "a2" : "a1";

  SUBCASE("whose upstream breaks")
  {
    const AttemptOutcome broken{ .mEnd = AttemptEnd::Broken };

    SUBCASE("is repeated at another one")
    {
      const auto next =
        As<Dispatch>(router.OnOutcome(kTicket, broken, fixture.mNow));
      CHECK(next.mUpstream == other);
      CHECK(next.mAttempt != first.mAttempt);
    }

    SUBCASE("after part of the answer went to the caller is not repeated")
    {
      auto partial = broken;
      partial.mBytesToCaller = true;
      const auto refusal =
        As<Refuse>(router.OnOutcome(kTicket, partial, fixture.mNow));
      CHECK(refusal.mRun == RunState::Unknown);
    }

    SUBCASE("keeps its slot until the upstream has noticed")
    {
      (void)router.OnOutcome(kTicket, broken, fixture.mNow);
      CHECK(router.Upstreams().InFlight(first.mUpstream) == 0);
      CHECK(router.Upstreams().Occupied(first.mUpstream) == 1);
      (void)router.OnTick(fixture.mNow + std::chrono::seconds(1));
      CHECK(router.Upstreams().Occupied(first.mUpstream) == 0);
    }

    SUBCASE("makes the upstream cold")
    {
      (void)router.OnOutcome(kTicket, broken, fixture.mNow);
      CHECK(router.Upstreams().ColdStart().WarmthOf(first.mUpstream) ==
            coldstart::Warmth::Cold);
    }
  }

  SUBCASE("whose pooled connection went silent")
  {
    const AttemptOutcome silent{ .mEnd = AttemptEnd::TimedOut,
                                 .mReusedConnection = true };
    const auto next =
      As<Dispatch>(router.OnOutcome(kTicket, silent, fixture.mNow));

    SUBCASE("is repeated on a new connection")
    {
      CHECK(next.mFreshConnection);
    }

    SUBCASE("is no proof against the upstream")
    {
      CHECK(router.Upstreams().ColdStart().WarmthOf(first.mUpstream) ==
            coldstart::Warmth::Warm);
    }
  }

  SUBCASE("that reached no upstream is refused as not run")
  {
    const AttemptOutcome unreached{ .mEnd = AttemptEnd::NotConnected };
    (void)router.OnOutcome(kTicket, unreached, fixture.mNow);
    const auto forward =
      As<Forward>(router.OnOutcome(kTicket, unreached, fixture.mNow));
    CHECK(forward.mInstance == "entry-b");
    CHECK_FALSE(forward.mMayHaveRun);
    const auto refusal =
      As<Refuse>(router.OnForwardFailed(kTicket, false, fixture.mNow));
    CHECK(refusal.mRun == RunState::NotRun);
  }

  SUBCASE("that may have run is marked so when another entry gets it")
  {
    const AttemptOutcome silent{ .mEnd = AttemptEnd::TimedOut };
    (void)router.OnOutcome(kTicket, silent, fixture.mNow);
    const auto forward =
      As<Forward>(router.OnOutcome(kTicket, silent, fixture.mNow));
    CHECK(forward.mMayHaveRun);
  }
}

TEST_CASE("a request that may not be repeated")
{
  RouterFixture fixture;
  auto& router = fixture.mRouter;
  (void)As<ClaimKey>(router.Start(kTicket, fixture.Call("book"), fixture.mNow));

  SUBCASE("is sent on a fresh connection once its key is claimed")
  {
    const auto dispatch = As<Dispatch>(
      router.OnClaim(kTicket, claim::ClaimOutcome::Won, fixture.mNow));
    CHECK(dispatch.mFreshConnection);

    SUBCASE("and never again after a byte may have left")
    {
      for (const auto end : { AttemptEnd::Broken,
                              AttemptEnd::TimedOut,
                              AttemptEnd::Failed,
                              AttemptEnd::Rejected }) {
        CAPTURE(static_cast<int>(end));
        RouterFixture fresh;
        (void)fresh.mRouter.Start(kTicket, fresh.Call("book"), fresh.mNow);
        (void)fresh.mRouter.OnClaim(
          kTicket, claim::ClaimOutcome::Won, fresh.mNow);
        const auto refusal = As<Refuse>(
          fresh.mRouter.OnOutcome(kTicket, { .mEnd = end }, fresh.mNow));
        CHECK(refusal.mRun == RunState::Unknown);
      }
    }
  }

  SUBCASE("holds no slot while another request holds its key")
  {
    CHECK(router.Upstreams().InFlight("a3") == 1);
    router.OnClaimHeld(kTicket, fixture.mNow);
    CHECK(router.Upstreams().InFlight("a3") == 0);
  }

  SUBCASE("is refused as not run while the platform is away")
  {
    const auto refusal = As<Refuse>(
      router.OnClaim(kTicket, claim::ClaimOutcome::Unavailable, fixture.mNow));
    CHECK(refusal.mRun == RunState::NotRun);
    (void)router.Close(kTicket, fixture.mNow);
    CHECK(router.Upstreams().InFlight("a3") == 0);
  }
}

TEST_CASE("a waiting request")
{
  RouterFixture fixture;
  auto& router = fixture.mRouter;
  constexpr TicketId kWaiting = 5;
  for (TicketId ticket = 1; ticket < kWaiting; ++ticket) {
    (void)As<Dispatch>(router.Start(ticket, fixture.Chat(), fixture.mNow));
  }
  (void)As<Wait>(router.Start(kWaiting, fixture.Chat(), fixture.mNow));
  (void)router.TakeWakeUps();

  SUBCASE("is woken when a slot is free, and runs")
  {
    (void)router.OnOutcome(
      kTicket, { .mEnd = AttemptEnd::Whole, .mBootId = "boot" }, fixture.mNow);
    CHECK(router.TakeWakeUps() == std::vector<TicketId>{ kWaiting });
    (void)As<Dispatch>(router.Resume(kWaiting, fixture.mNow));
  }

  SUBCASE("plans anew when a new manifest leaves nothing to wait for")
  {
    fixture.mManifest.mFailureDomains[0].mState = manifest::DomainState::Out;
    fixture.Publish();
    CHECK(router.TakeWakeUps() == std::vector<TicketId>{ kWaiting });
    const auto forward = As<Forward>(router.Resume(kWaiting, fixture.mNow));
    CHECK(forward.mInstance == "entry-b");
  }

  SUBCASE("that was woken does not run on a version withdrawn meanwhile")
  {
    (void)router.OnOutcome(
      kTicket, { .mEnd = AttemptEnd::Whole, .mBootId = "boot" }, fixture.mNow);
    fixture.mManifest.mModels[0].mVersions[0].mState =
      manifest::VersionState::Withdrawn;
    fixture.Publish();
    const auto refusal = As<Refuse>(router.Resume(kWaiting, fixture.mNow));
    CHECK(refusal.mRun == RunState::NotRun);
  }
}
