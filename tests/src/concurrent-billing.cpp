#include "harness/platform_stand_in.hpp"

#include <figslip/billing/billing_service.hpp>
#include <figslip/billing/ledger.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;
using namespace figslip::billing;

namespace {

constexpr auto kPoll = std::chrono::milliseconds(5);
constexpr auto kPatience = std::chrono::seconds(20);

BillingRecord
RecordOf(int aNumber)
{
  return { .mRequestId = "r" + std::to_string(aNumber),
           .mAccount = "salon",
           .mTarget = "chat",
           .mVersion = "small-1",
           .mAttempts = { { "w1", "small-1", 20, 7 } } };
}

/// Runs the platform's stand-in within the test.
struct Platform
{
  Platform()
  {
    auto server =
      http::HttpServer::Start({ .mPort = 0, .mThreads = 8 }, mStandIn.Routes());
    REQUIRE(server);
    mServer = std::move(server).assume_value();
    mHttp = std::make_shared<http::HttpClient>(http::HttpClient::Options{});
    mClient = std::make_shared<platform::PlatformClient>(
      platform::PlatformClient::Options{
        .mEndpoint = { "127.0.0.1", mServer->Port() } },
      mHttp);
  }

  void SetDown(bool aDown)
  {
    const http::ClientRequest request{ .mMethod = http::Method::Post,
                                       .mTarget = "/control/fault",
                                       .mHeaders = {},
                                       .mBody =
                                         aDown ? R"({"down":true})" : "{}" };
    (void)mHttp->Call({ "127.0.0.1", mServer->Port() },
                      request,
                      { .mConnectTimeout = std::chrono::seconds(2),
                        .mFirstByteTimeout = std::chrono::seconds(2),
                        .mNextByteTimeout = std::chrono::seconds(2) });
  }

  [[nodiscard]] Ledger Audit() const
  {
    Ledger ledger;
    const auto names = mClient->List("billing");
    REQUIRE(names);
    for (const auto& name : names.assume_value()) {
      const auto batch = mClient->Read({ .mKind = "billing", .mName = name });
      REQUIRE(batch);
      ledger.AddBatch(name, batch.assume_value().mValue);
    }
    ledger.Close();
    return ledger;
  }

  test::PlatformStandIn mStandIn;
  std::unique_ptr<http::HttpServer> mServer;
  std::shared_ptr<http::HttpClient> mHttp;
  std::shared_ptr<platform::PlatformClient> mClient;
};

std::unique_ptr<BillingService>
ServiceOf(const Platform& aPlatform, const std::string& aName)
{
  return std::make_unique<BillingService>(
    BillingService::Options{ .mSelf = { aName, 1 },
                             .mFailureDomain = "north",
                             .mHandOverWait = kPatience },
    aPlatform.mClient);
}

BillingPeerCalls
CallsTo(BillingService& aPeer)
{
  return { .mPeers =
             [] {
               return std::vector<BillingPeer>{ { { "e2", 1 }, "south" } };
             },
           .mHold =
             [&aPeer](const HandOverOrder& aOrder) {
               return aPeer.Hold(aOrder.mCopy);
             },
           .mRelease =
             [&aPeer](const ReleaseOrder& aOrder,
                      const membership::Incarnation& aSelf) {
               aPeer.Release(aSelf, aOrder.mUpTo);
               return true;
             } };
}

template<typename Condition>
bool
WaitFor(Condition aCondition)
{
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!aCondition() && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPoll);
  }
  return aCondition();
}

} // namespace

TEST_CASE("two billing services")
{
  Platform platform;
  const auto origin = ServiceOf(platform, "e1");
  const auto neighbour = ServiceOf(platform, "e2");
  neighbour->Start();

  SUBCASE("bill once what the origin wrote itself")
  {
    origin->SetPeerCalls(CallsTo(*neighbour));
    origin->Start();
    origin->Add(RecordOf(1));
    CHECK(origin->Stop(kPatience) == 0);
    CHECK(neighbour->Stop(kPatience) == 0);
    CHECK(platform.Audit().Requests() == 1);
  }

  SUBCASE("in an outage")
  {
    platform.SetDown(true);
    origin->SetPeerCalls(CallsTo(*neighbour));
    origin->Start();
    origin->Add(RecordOf(1));

    SUBCASE("bill what a stopped origin could only hand over")
    {
      CHECK(origin->Stop(kPatience) == 0);
      CHECK(origin->Pending() == 1);
      neighbour->OnIncarnation({ "e1", 2 });
      platform.SetDown(false);
      CHECK(WaitFor([&] { return platform.Audit().Requests() == 1; }));
    }

    SUBCASE("bill once what both write when it ends")
    {
      neighbour->OnIncarnation({ "e1", 2 });
      CHECK(WaitFor([&] { return neighbour->Pending() == 1; }));
      platform.SetDown(false);
      CHECK(
        WaitFor([&] { return origin->Pending() + neighbour->Pending() == 0; }));
      const auto ledger = platform.Audit();
      CHECK(ledger.Requests() == 1);
      CHECK(ledger.Dropped().size() == 1);
    }
  }

  SUBCASE("share one message among the records that wait together")
  {
    constexpr int kRecords = 8;
    std::atomic<int> messages = 0;
    auto calls = CallsTo(*neighbour);
    // the first message takes until all other records wait
    calls.mHold = [&, hold = calls.mHold](const HandOverOrder& aOrder) {
      if (++messages == 1) {
        (void)WaitFor([&] { return origin->Pending() == kRecords; });
      }
      return hold(aOrder);
    };
    platform.SetDown(true);
    origin->SetPeerCalls(std::move(calls));
    origin->Start();
    std::vector<std::thread> callers;
    callers.reserve(kRecords);
    for (int number = 0; number < kRecords; ++number) {
      callers.emplace_back([&, number] { origin->Add(RecordOf(number)); });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    CHECK(messages <= 2);
    platform.SetDown(false);
    CHECK(origin->Stop(kPatience) == 0);
    CHECK(platform.Audit().Requests() == kRecords);
  }

  SUBCASE("go on without a neighbour that does not answer")
  {
    auto calls = CallsTo(*neighbour);
    calls.mHold = [](const HandOverOrder&) { return false; };
    origin->SetPeerCalls(std::move(calls));
    origin->Start();
    // returns long before the wait of the service is over
    origin->Add(RecordOf(1));
    CHECK(origin->Stop(kPatience) == 0);
    CHECK(platform.Audit().Requests() == 1);
  }
}
