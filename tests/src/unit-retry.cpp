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

TEST_CASE("idempotent request")
{
  RouterFixture fixture;
  auto& router = fixture.mRouter;
  const auto first =
    As<Dispatch>(router.Start(kTicket, fixture.Chat(), fixture.mNow));
  const auto other = first.mUpstream == "a1" ? "a2" : "a1";

  SUBCASE("whose connection breaks")
  {
    const AttemptOutcome broken{ .mEnd = AttemptEnd::Broken };

    SUBCASE("is retried on another upstream")
    {
      const auto next =
        As<Dispatch>(router.OnOutcome(kTicket, broken, fixture.mNow));
      CHECK(next.mUpstream == other);
      CHECK(next.mAttempt != first.mAttempt);
    }

    SUBCASE("is not retried after the caller received part of the response")
    {
      auto partial = broken;
      partial.mResponseStarted = true;
      const auto refusal =
        As<Refuse>(router.OnOutcome(kTicket, partial, fixture.mNow));
      CHECK(refusal.mRun == RunState::Unknown);
    }

    SUBCASE("keeps its slot until the upstream has detected the disconnect")
    {
      (void)router.OnOutcome(kTicket, broken, fixture.mNow);
      CHECK(router.Upstreams().InFlight(first.mUpstream) == 0);
      CHECK(router.Upstreams().OccupiedSlots(first.mUpstream) == 1);
      (void)router.OnTick(fixture.mNow + std::chrono::seconds(1));
      CHECK(router.Upstreams().OccupiedSlots(first.mUpstream) == 0);
    }

    SUBCASE("makes its upstream cold")
    {
      (void)router.OnOutcome(kTicket, broken, fixture.mNow);
      CHECK(router.Upstreams().ColdStart().WarmupStateOf(first.mUpstream) ==
            coldstart::WarmupState::Cold);
    }
  }

  SUBCASE("that times out on a pooled connection")
  {
    const AttemptOutcome silent{ .mEnd = AttemptEnd::TimedOut,
                                 .mReusedConnection = true };
    const auto next =
      As<Dispatch>(router.OnOutcome(kTicket, silent, fixture.mNow));

    SUBCASE("is retried on a new connection")
    {
      CHECK(next.mFreshConnection);
    }

    SUBCASE("leaves its upstream warm")
    {
      CHECK(router.Upstreams().ColdStart().WarmupStateOf(first.mUpstream) ==
            coldstart::WarmupState::Warm);
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

  SUBCASE("that may have run is forwarded with that mark")
  {
    const AttemptOutcome silent{ .mEnd = AttemptEnd::TimedOut };
    (void)router.OnOutcome(kTicket, silent, fixture.mNow);
    const auto forward =
      As<Forward>(router.OnOutcome(kTicket, silent, fixture.mNow));
    CHECK(forward.mMayHaveRun);
  }
}

TEST_CASE("request that must not be retried")
{
  RouterFixture fixture;
  auto& router = fixture.mRouter;
  (void)As<ClaimKey>(router.Start(kTicket, fixture.Call("book"), fixture.mNow));

  SUBCASE("is sent on a fresh connection once its key is claimed")
  {
    const auto dispatch = As<Dispatch>(
      router.OnClaim(kTicket, claim::ClaimOutcome::Won, fixture.mNow));
    CHECK(dispatch.mFreshConnection);

    SUBCASE("and not retried once any byte may have been sent")
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
    router.OnClaimBlocked(kTicket, fixture.mNow);
    CHECK(router.Upstreams().InFlight("a3") == 0);
  }

  SUBCASE("is refused as not run while the platform is unavailable")
  {
    const auto refusal = As<Refuse>(
      router.OnClaim(kTicket, claim::ClaimOutcome::Unavailable, fixture.mNow));
    CHECK(refusal.mRun == RunState::NotRun);
    (void)router.Close(kTicket, fixture.mNow);
    CHECK(router.Upstreams().InFlight("a3") == 0);
  }
}

TEST_CASE("waiting request")
{
  RouterFixture fixture;
  auto& router = fixture.mRouter;
  constexpr TicketId kWaiting = 5;
  for (TicketId ticket = 1; ticket < kWaiting; ++ticket) {
    (void)As<Dispatch>(router.Start(ticket, fixture.Chat(), fixture.mNow));
  }
  (void)As<Wait>(router.Start(kWaiting, fixture.Chat(), fixture.mNow));
  (void)router.PopWakeUps();

  SUBCASE("is woken and sent when a slot becomes free")
  {
    (void)router.OnOutcome(kTicket,
                           { .mEnd = AttemptEnd::Completed, .mBootId = "boot" },
                           fixture.mNow);
    CHECK(router.PopWakeUps() == std::vector<TicketId>{ kWaiting });
    (void)As<Dispatch>(router.Resume(kWaiting, fixture.mNow));
  }

  SUBCASE("is planned again when a new manifest leaves it no candidate")
  {
    fixture.mManifest.mFailureDomains[0].mState = manifest::DomainState::Out;
    fixture.Publish();
    CHECK(router.PopWakeUps() == std::vector<TicketId>{ kWaiting });
    const auto forward = As<Forward>(router.Resume(kWaiting, fixture.mNow));
    CHECK(forward.mInstance == "entry-b");
  }

  SUBCASE("that was woken does not run on a version withdrawn since")
  {
    (void)router.OnOutcome(kTicket,
                           { .mEnd = AttemptEnd::Completed, .mBootId = "boot" },
                           fixture.mNow);
    fixture.mManifest.mModels[0].mVersions[0].mState =
      manifest::VersionState::Withdrawn;
    fixture.Publish();
    const auto refusal = As<Refuse>(router.Resume(kWaiting, fixture.mNow));
    CHECK(refusal.mRun == RunState::NotRun);
  }
}
