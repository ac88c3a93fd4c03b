#include <figslip/admission/fair_queue.hpp>
#include <figslip/routing/router.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>

using namespace figslip;
using namespace std::chrono_literals;
using admission::AdmissionResult;
using admission::FairQueue;
using admission::QueuedRequest;
using routing::Priority;
using routing::TicketId;

namespace {

const TimePoint kStart{ 1000s };
const TimePoint kFarDeadline = kStart + 1h;

/// Admits up to a number of requests.
std::vector<TicketId>
AdmitUpTo(FairQueue& aQueue, int aCount, TimePoint aNow = kStart)
{
  return aQueue.Admit(
    [&](const QueuedRequest& /*aRequest*/) {
      return aCount-- > 0 ? AdmissionResult::Admitted
                          : AdmissionResult::NoCapacity;
    },
    aNow);
}

void
PushMany(FairQueue& aQueue,
         const std::string& aAccount,
         double aShare,
         TicketId aFirst,
         int aCount)
{
  for (int index = 0; index < aCount; ++index) {
    aQueue.Push({ .mTicket = aFirst + index,
                  .mCapacityClass = "small",
                  .mAccount = aAccount,
                  .mShare = aShare,
                  .mDeadline = kFarDeadline },
                kStart);
  }
}

/// Holds the waiting times of one account in a simulation.
struct Waits
{
  std::vector<Duration> mAll;

  [[nodiscard]] Duration Percentile(int aPercent)
  {
    std::ranges::sort(mAll);
    return mAll[(mAll.size() - 1) * aPercent / 100];
  }
};

/// Simulates a server that admits one request every 10 ms while one account
/// sends ten times its share and another one stays within its share.
std::map<std::string, Waits>
SimulateOverload(bool aFair)
{
  FairQueue queue;
  std::map<TicketId, std::pair<std::string, TimePoint>> arrivals;
  std::map<std::string, Waits> waits;
  TicketId last = 0;
  const auto arrive = [&](const std::string& aAccount, TimePoint aNow) {
    arrivals[++last] = { aAccount, aNow };
    queue.Push({ .mTicket = last,
                 .mCapacityClass = "small",
                 // a single flow is first come, first served
                 .mAccount = aFair ? aAccount : "all",
                 .mDeadline = kFarDeadline },
               aNow);
  };
  for (int step = 0; step < 1000; ++step) {
    const auto now = kStart + step * 10ms;
    for (int burst = 0; burst < 5; ++burst) {
      arrive("heavy", now);
    }
    if (step % 3 == 0) {
      arrive("light", now);
    }
    for (const auto ticket : AdmitUpTo(queue, 1, now)) {
      const auto& [account, at] = arrivals.at(ticket);
      waits[account].mAll.push_back(now - at);
    }
  }
  return waits;
}

} // namespace

// Guards against an account over its share whose requests, for which there is
// no capacity, keep those of others from being tried.
TEST_CASE("an account without capacity is passed over")
{
  FairQueue queue;
  PushMany(queue, "a-large", 1.0, 100, 50);
  PushMany(queue, "b-small", 1.0, 1, 3);
  int tries = 0;
  const auto admitted = queue.Admit(
    [&](const QueuedRequest& aRequest) {
      ++tries;
      return aRequest.mAccount == "a-large"
               ? AdmissionResult::NoCapacityForAccount
               : AdmissionResult::Admitted;
    },
    kStart);
  CHECK(admitted == std::vector<TicketId>{ 1, 2, 3 });
  CHECK(tries == 4); // once for the account without capacity

  SUBCASE("and gains no credit for it")
  {
    PushMany(queue, "b-small", 1.0, 4, 3);
    const auto next = AdmitUpTo(queue, 4);
    CHECK(std::ranges::count_if(
            next, [](TicketId aTicket) { return aTicket < 100; }) >= 1);
  }
}

TEST_CASE("fair queue")
{
  FairQueue queue;

  // Guards against less urgent requests that get every other slot because they
  // wait in another capacity class.
  SUBCASE("with requests of an account in two classes of a group")
  {
    const auto push = [&](TicketId aTicket,
                          const std::string& aClass,
                          const std::string& aAccount,
                          int aPriority) {
      queue.Push({ .mTicket = aTicket,
                   .mCapacityClass = aClass,
                   .mGroup = "chat",
                   .mAccount = aAccount,
                   .mPriority = aPriority,
                   .mDeadline = kFarDeadline },
                 kStart);
    };
    push(1, "v1", "a", 0);
    push(2, "v1", "a", 0);
    push(3, "v2", "a", 2);
    push(4, "v2", "b", 1);

    SUBCASE("admits the most urgent ones first and those of others in turn")
    {
      CHECK(AdmitUpTo(queue, 3) == std::vector<TicketId>{ 1, 2, 4 });
      CHECK(AdmitUpTo(queue, 1) == std::vector<TicketId>{ 3 });
    }

    SUBCASE("admits less urgent ones where more urgent ones have no capacity")
    {
      const auto admitted = queue.Admit(
        [&](const QueuedRequest& aRequest) {
          return aRequest.mCapacityClass == "v1" ? AdmissionResult::NoCapacity
                                                 : AdmissionResult::Admitted;
        },
        kStart);
      CHECK(admitted == std::vector<TicketId>{ 3, 4 });
    }

    // Guards against an account without capacity in one class that is passed
    // over in another class which has capacity.
    SUBCASE("admits less urgent ones where the account has capacity")
    {
      int tries = 0;
      const auto admitted = queue.Admit(
        [&](const QueuedRequest& aRequest) {
          ++tries;
          return aRequest.mCapacityClass == "v1"
                   ? AdmissionResult::NoCapacityForAccount
                   : AdmissionResult::Admitted;
        },
        kStart);
      CHECK(admitted == std::vector<TicketId>{ 3, 4 });
      CHECK(tries == 3); // once for the class and account without capacity
    }

    SUBCASE("knows that more urgent ones wait")
    {
      QueuedRequest request{ .mTicket = 5,
                             .mCapacityClass = "v3",
                             .mGroup = "chat",
                             .mAccount = "a",
                             .mPriority = 1 };
      CHECK(queue.HasMoreUrgent(request));
      request.mPriority = 0;
      CHECK_FALSE(queue.HasMoreUrgent(request));
      request.mPriority = 1;
      request.mGroup = "embed";
      CHECK_FALSE(queue.HasMoreUrgent(request));
    }
  }

  // Guards against an account that takes slots of a class with its turns in
  // another one and does not pay for them: it was admitted 750 of 1000 times.
  SUBCASE("charges an account in the class whose capacity it uses")
  {
    TicketId ticket = 0;
    const auto push = [&](const std::string& aClass,
                          const std::string& aAccount,
                          int aPriority) {
      queue.Push({ .mTicket = ++ticket,
                   .mCapacityClass = aClass,
                   .mGroup = "chat",
                   .mAccount = aAccount,
                   .mPriority = aPriority,
                   .mDeadline = kFarDeadline },
                 kStart);
    };
    push("v1", "x", 1);
    for (int count = 0; count < 1000; ++count) {
      push("v2", "x", 0);
      push("v2", "y", 0);
    }
    std::map<std::string, int> counts;
    int slots = 1000;
    (void)queue.Admit(
      [&](const QueuedRequest& aRequest) {
        if (aRequest.mCapacityClass == "v1" || slots == 0) {
          return AdmissionResult::NoCapacity;
        }
        --slots;
        ++counts[aRequest.mAccount];
        return AdmissionResult::Admitted;
      },
      kStart);
    CHECK(counts["x"] + counts["y"] == 1000);
    CHECK(std::abs(counts["x"] - counts["y"]) <= 2);
  }

  SUBCASE("with several backlogged accounts")
  {
    PushMany(queue, "heavy", 1.0, 1, 1000);
    PushMany(queue, "light", 1.0, 2001, 100);
    PushMany(queue, "large", 2.0, 4001, 100);

    SUBCASE("admits by weight, however many requests an account sends")
    {
      std::map<TicketId, int> counts;
      for (const auto ticket : AdmitUpTo(queue, 40)) {
        ++counts[ticket / 2000];
      }
      CHECK(counts[0] == 10);
      CHECK(counts[1] == 10);
      CHECK(counts[2] == 20);
    }

    SUBCASE("tries only one request of a class without capacity")
    {
      int tries = 0;
      const auto admitted = queue.Admit(
        [&](const QueuedRequest& /*aRequest*/) {
          ++tries;
          return AdmissionResult::NoCapacity;
        },
        kStart);
      CHECK(admitted.empty());
      CHECK(tries == 1);
    }

    SUBCASE("evicts from the account with the largest backlog when it is full")
    {
      const QueuedRequest fromLight{ .mCapacityClass = "small",
                                     .mAccount = "light" };
      CHECK(queue.EvictFor(fromLight) == TicketId{ 1000 });
      const QueuedRequest fromHeavy{ .mCapacityClass = "small",
                                     .mAccount = "heavy" };
      CHECK(queue.EvictFor(fromHeavy) == std::nullopt);
    }

    SUBCASE("evicts a less urgent request of the same account, so that the "
            "urgent ones of a large account are not refused for the others")
    {
      const QueuedRequest urgent{ .mCapacityClass = "small",
                                  .mAccount = "heavy",
                                  .mPriority = -1 };
      CHECK(queue.EvictFor(urgent) == TicketId{ 1000 });
    }

    SUBCASE("keeps no flow of an account without waiting requests")
    {
      CHECK(AdmitUpTo(queue, 10'000).size() == 1200);
      CHECK(queue.FlowCount() == 0);
    }
  }

  SUBCASE("gives no credit to an account that was idle")
  {
    PushMany(queue, "heavy", 1.0, 1, 100);
    (void)AdmitUpTo(queue, 50);
    PushMany(queue, "late", 1.0, 2001, 20);
    const auto admitted = AdmitUpTo(queue, 20);
    CHECK(std::ranges::count_if(
            admitted, [](auto aTicket) { return aTicket > 2000; }) == 10);
  }

  SUBCASE("serves other classes while one has no capacity")
  {
    PushMany(queue, "salon", 1.0, 1, 3);
    queue.Push({ .mTicket = 9, .mCapacityClass = "large", .mAccount = "salon" },
               kStart);
    const auto admitted = queue.Admit(
      [](const QueuedRequest& aRequest) {
        return aRequest.mCapacityClass == "large" ? AdmissionResult::Admitted
                                                  : AdmissionResult::NoCapacity;
      },
      kStart);
    CHECK(admitted == std::vector<TicketId>{ 9 });
  }

  SUBCASE("orders the requests of an account by priority, then by arrival")
  {
    const Priority priorities[] = { Priority::Batch,
                                    Priority::Normal,
                                    Priority::Interactive,
                                    Priority::Normal,
                                    Priority::Interactive };
    for (TicketId ticket = 0; ticket < std::size(priorities); ++ticket) {
      queue.Push({ .mTicket = ticket,
                   .mCapacityClass = "small",
                   .mAccount = "salon",
                   .mPriority = static_cast<int>(priorities[ticket]) },
                 kStart);
    }
    CHECK(AdmitUpTo(queue, 5) == std::vector<TicketId>{ 2, 4, 1, 3, 0 });
  }

  SUBCASE("returns a request that an upstream rejected to its former place")
  {
    const auto push = [&](TicketId aTicket, const std::string& aAccount) {
      QueuedRequest request{ .mTicket = aTicket,
                             .mCapacityClass = "small",
                             .mAccount = aAccount,
                             .mDeadline = kFarDeadline };
      request.mFormerArrival = queue.Push(request, kStart);
      return request;
    };
    auto first = push(1, "salon");
    for (const TicketId ticket : { 2, 3, 4 }) {
      (void)push(ticket, ticket == 3 ? "salon" : "school");
    }
    REQUIRE(AdmitUpTo(queue, 1) == std::vector<TicketId>{ 1 });
    first.mWasRejected = true;
    (void)queue.Push(first, kStart);
    // the account pays once: it is not set back behind the other one
    CHECK(AdmitUpTo(queue, 4) == std::vector<TicketId>{ 1, 2, 3, 4 });
  }

  SUBCASE("with a measured service rate")
  {
    PushMany(queue, "salon", 1.0, 1, 100);
    const QueuedRequest next{ .mCapacityClass = "small", .mAccount = "salon" };
    CHECK(queue.ExpectedWait(next, kStart) == std::nullopt);
    auto now = kStart;
    for (int count = 0; count < 20; ++count) {
      now += 100ms;
      (void)AdmitUpTo(queue, 1, now);
    }

    SUBCASE("estimates the wait of a new request from its position")
    {
      const auto wait = queue.ExpectedWait(next, now).value_or(0s);
      CHECK(wait > 8000ms);
      CHECK(wait < 8200ms);
    }

    SUBCASE("estimates a short wait for an account without backlog")
    {
      const QueuedRequest other{ .mCapacityClass = "small",
                                 .mAccount = "school" };
      const auto wait = queue.ExpectedWait(other, now).value_or(1h);
      CHECK(wait < 300ms);
    }

    SUBCASE("removes requests that are expected to miss their deadline")
    {
      queue.Push({ .mTicket = 500,
                   .mCapacityClass = "small",
                   .mAccount = "salon",
                   .mDeadline = now + 5s },
                 now);
      CHECK(queue.RemoveUnmeetable(now) == std::vector<TicketId>{ 500 });
      CHECK(queue.Size() == 80);
    }

    SUBCASE("estimates a longer wait while service is stalled")
    {
      CHECK(queue.ExpectedWait(next, now + 20s).value_or(0s) > 60s);
    }
  }
}

TEST_CASE("an account within its share is not delayed by an overload")
{
  auto fair = SimulateOverload(true);
  auto firstCome = SimulateOverload(false);
  const auto p99 = fair["light"].Percentile(99);
  MESSAGE("light account, p99 wait: fair ",
          p99.count() / 1000,
          " ms, first come first served ",
          firstCome["light"].Percentile(99).count() / 1000,
          " ms");
  // at most one request of the other account is admitted first
  CHECK(p99 <= 20ms);
  CHECK(firstCome["light"].Percentile(99) > 1s);
}

namespace {

/// Sets up a router with one engine and one plain upstream, one slot each.
class OneSlotRouter
{
public:
  OneSlotRouter()
  {
    manifest::Manifest manifest{ .mGeneration = 1 };
    manifest.mFailureDomains = { { .mName = "a", .mRegion = "r" } };
    manifest.mModels = { { "small", { { .mName = "small-1" } } } };
    manifest.mServices = { { "bookings", { { "book", false } } } };
    manifest.mUpstreams = {
      { .mName = "engine", .mFailureDomain = "a", .mVersions = { "small-1" } },
      { .mName = "desk",
        .mKind = manifest::UpstreamKind::Plain,
        .mFailureDomain = "a",
        .mService = "bookings" }
    };
    manifest.mClientAccounts = {
      { "salon", 1.0, { "small", "bookings" }, {} }
    };
    Publish(manifest);
    for (const auto* const upstream : { "engine", "desk" }) {
      mRouter.OnGrant({ upstream, 1, kFarDeadline }, kStart);
    }
    mManifest = manifest;
  }

  /// Adds a second failure domain with an engine, a plain upstream and two
  /// entry instances.
  void AddPeerDomain()
  {
    mManifest.mFailureDomains.push_back({ .mName = "b", .mRegion = "r" });
    mManifest.mUpstreams.push_back({ .mName = "engine-b",
                                     .mFailureDomain = "b",
                                     .mVersions = { "small-1" } });
    mManifest.mUpstreams.push_back({ .mName = "desk-b",
                                     .mKind = manifest::UpstreamKind::Plain,
                                     .mFailureDomain = "b",
                                     .mService = "bookings" });
    mInstances.mEntries = { { .mName = "entry-b", .mFailureDomain = "b" },
                            { .mName = "entry-b2", .mFailureDomain = "b" } };
    Publish(mManifest);
  }

  void Publish(const manifest::Manifest& aManifest)
  {
    mRouter.OnSnapshot(
      std::make_shared<const routing::ControlSnapshot>(routing::ControlSnapshot{
        .mManifest = std::make_shared<const manifest::ManifestIndex>(aManifest),
        .mConfirmedAt = kStart,
        .mHeartbeatAt = kStart,
        .mInstances = mInstances }),
      kStart);
  }

  routing::Decision Start(TicketId aTicket, routing::Target aTarget)
  {
    return mRouter.Start(
      aTicket,
      { .mId = std::to_string(aTicket),
        .mAccount = "salon",
        .mTarget = std::move(aTarget),
        .mDeadline = kFarDeadline,
        .mIdempotencyKey = "key-" + std::to_string(aTicket) },
      kStart);
  }

  manifest::Manifest mManifest;
  membership::InstanceList mInstances;
  routing::Router mRouter{ { .mFailureDomain = "a", .mMaxQueue = 2 } };
};

const routing::ChatTarget kChat{ .mName = "small" };
const routing::ServiceTarget kBook{ .mService = "bookings",
                                    .mOperation = "book" };

} // namespace

TEST_CASE("a request that waits for the only slot")
{
  OneSlotRouter fixture;
  auto& router = fixture.mRouter;

  SUBCASE("of a non-idempotent operation claims its key before it is sent")
  {
    REQUIRE(std::holds_alternative<routing::ClaimKey>(fixture.Start(1, kBook)));
    REQUIRE(std::holds_alternative<routing::Wait>(fixture.Start(2, kBook)));
    (void)router.Close(1, kStart);
    REQUIRE(router.PopWakeUps() == std::vector<TicketId>{ 2 });
    CHECK(std::holds_alternative<routing::ClaimKey>(router.Resume(2, kStart)));
    CHECK(std::holds_alternative<routing::Dispatch>(
      router.OnClaim(2, claim::ClaimOutcome::Won, kStart)));
  }

  SUBCASE("is not overtaken by a later request")
  {
    REQUIRE(std::holds_alternative<routing::Dispatch>(fixture.Start(1, kChat)));
    REQUIRE(std::holds_alternative<routing::Wait>(fixture.Start(2, kChat)));
    (void)router.Close(1, kStart);
    CHECK(std::holds_alternative<routing::Wait>(fixture.Start(3, kChat)));
    CHECK(std::holds_alternative<routing::Dispatch>(router.Resume(2, kStart)));
  }

  SUBCASE("is refused when the queue is full")
  {
    for (TicketId ticket = 1; ticket <= 3; ++ticket) {
      (void)fixture.Start(ticket, kChat);
    }
    const auto decision = fixture.Start(4, kChat);
    const auto* const refusal = std::get_if<routing::Refuse>(&decision);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->mKind == error::ErrorKind::NoCapacity);
    CHECK(refusal->mRun == routing::RunState::NotRun);
  }

  SUBCASE("in a full queue is forwarded to another failure domain once")
  {
    fixture.AddPeerDomain();
    for (TicketId ticket = 1; ticket <= 3; ++ticket) {
      (void)fixture.Start(ticket, kChat);
    }
    CHECK(std::holds_alternative<routing::Forward>(fixture.Start(4, kChat)));
    const auto decision = router.OnForwardFailed(4, false, kStart);
    const auto* const refusal = std::get_if<routing::Refuse>(&decision);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->mKind == error::ErrorKind::NoCapacity);
    CHECK(refusal->mRun == routing::RunState::NotRun);

    SUBCASE("unless it must not be retried")
    {
      const auto first = fixture.Start(5, kBook);
      REQUIRE(std::holds_alternative<routing::ClaimKey>(first));
      const auto second = fixture.Start(6, kBook);
      CHECK(std::holds_alternative<routing::Refuse>(second));
    }
  }

  SUBCASE("is woken and refused when its version is withdrawn")
  {
    REQUIRE(std::holds_alternative<routing::Dispatch>(fixture.Start(1, kChat)));
    REQUIRE(std::holds_alternative<routing::Wait>(fixture.Start(2, kChat)));
    auto manifest = fixture.mManifest;
    manifest.mModels[0].mVersions[0].mState = manifest::VersionState::Withdrawn;
    fixture.Publish(manifest);
    REQUIRE(router.PopWakeUps() == std::vector<TicketId>{ 2 });
    CHECK(std::holds_alternative<routing::Refuse>(router.Resume(2, kStart)));
  }
}
