#include <figslip/peer/peer_client.hpp>
#include <figslip/peer/peer_server.hpp>
#include <figslip/time/wall_clock.hpp>

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;

namespace {

peer::Digest
FullDigest(TimePoint aNow)
{
  return {
    .mSender = { "entry-1", 42 },
    .mFailureDomain = "sul-a",
    .mGeneration = 7,
    .mConfirmedAt = aNow - 1s,
    .mEvidence = { { .mOrigin = { "entry-2", 43 },
                     .mBucket = 99,
                     .mKey = { "small-1", "tag" },
                     .mCounts = { 1, 2, 3, 4, 5, 6 } } },
    .mCrashes = { { 0xFEDCBA9876543210U, "engine", aNow - 2s, 3 } },
    .mUpstreams = { { .mUpstream = "engine",
                      .mBootId = "b1",
                      .mWarm = true,
                      .mInFlight = 2,
                      .mSurpriseAt = aNow - 3s,
                      .mRunning = 4,
                      .mRunningAt = aNow - 4s } },
    .mStoppedVersions = { "small-2" },
    .mLoads = { { "sul-a", 5, 6, aNow - 5s } },
  };
}

peer::PeerHandlers
Handlers(std::vector<peer::Digest>& aReceived)
{
  return { .mExchange =
             [&aReceived](const peer::Digest& aDigest) {
               aReceived.push_back(aDigest);
               return aDigest;
             },
           .mFetchManifest =
             [] {
               return peer::ManifestText{ .mGeneration = 7,
                                          .mConfirmedAt = ReadClock(),
                                          .mText = "{}" };
             },
           .mRequestGrants =
             [](const peer::GrantRequest& aRequest) {
               return std::vector<coldstart::ColdGrant>{
                 { .mUpstream = aRequest.mUses.at(0).mUpstream,
                   .mToken = aRequest.mUses.at(0).mToken + 1,
                   .mSlots = aRequest.mUses.at(0).mWanted,
                   .mDuration = 1s }
               };
             },
           .mHoldBilling =
             [](const peer::BillingCopies& aCopies) {
               return aCopies.mBatch == "[]" && aCopies.mSequence == 3;
             },
           .mReleaseBilling =
             [](const membership::Incarnation& aOrigin, std::int64_t aUpTo) {
               return aOrigin.mInstance == "entry-1" && aUpTo == 3;
             } };
}

membership::EntryInstance
PeerAt(int aPort)
{
  return { .mName = "peer", .mAddress = "127.0.0.1", .mPeerPort = aPort };
}

/// Listens but never answers.
struct SilentListener
{
  SilentListener()
    : mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto* const raw = reinterpret_cast<sockaddr*>(&address);
    REQUIRE(bind(mSocket, raw, length) == 0);
    REQUIRE(listen(mSocket, 5) == 0);
    REQUIRE(getsockname(mSocket, raw, &length) == 0);
    mPort = ntohs(address.sin_port);
  }
  SilentListener(const SilentListener&) = delete;
  SilentListener& operator=(const SilentListener&) = delete;
  ~SilentListener() { close(mSocket); }

  int mSocket;
  int mPort = 0;
};

} // namespace

TEST_CASE("a peer")
{
  std::vector<peer::Digest> received;
  auto server =
    peer::PeerServer::Start({ .mAddress = "127.0.0.1" }, Handlers(received));
  REQUIRE(server);
  const auto port = server.assume_value()->Port();
  REQUIRE(port > 0);
  const auto self = PeerAt(port);
  peer::PeerClient client({});

  SUBCASE("gets and returns whole digests")
  {
    const auto sent = FullDigest(ReadClock());
    const auto answer = client.Exchange(self, sent);
    REQUIRE(answer);
    REQUIRE(received.size() == 1);
    const auto& digest = answer.assume_value();
    CHECK(digest.mSender == sent.mSender);
    CHECK(digest.mGeneration == 7);
    REQUIRE(digest.mEvidence.size() == 1);
    CHECK(digest.mEvidence[0].mOrigin == sent.mEvidence[0].mOrigin);
    CHECK(digest.mEvidence[0].mKey == sent.mEvidence[0].mKey);
    CHECK(digest.mEvidence[0].mCounts == sent.mEvidence[0].mCounts);
    REQUIRE(digest.mCrashes.size() == 1);
    CHECK(digest.mCrashes[0].mFingerprint == sent.mCrashes[0].mFingerprint);
    CHECK(digest.mCrashes[0].mInFlight == 3);
    REQUIRE(digest.mUpstreams.size() == 1);
    CHECK(digest.mUpstreams[0].mBootId == "b1");
    CHECK(digest.mUpstreams[0].mSurpriseAt.has_value());
    CHECK(digest.mStoppedVersions == sent.mStoppedVersions);
    CHECK(digest.mLoads.size() == 1);

    SUBCASE("whose times never seem later than they were")
    {
      CHECK(received[0].mConfirmedAt <= sent.mConfirmedAt);
      CHECK(digest.mConfirmedAt <= sent.mConfirmedAt);
    }
  }

  SUBCASE("answers the other calls")
  {
    const auto manifest = client.FetchManifest(self);
    REQUIRE(manifest);
    CHECK(manifest.assume_value().mText == "{}");
    const auto grants = client.RequestGrants(
      self, { { "entry-1", 42 }, 1, { { "engine", 0, 0, 2, 8 } } });
    REQUIRE(grants);
    CHECK(grants.assume_value().at(0) ==
          coldstart::ColdGrant{ "engine", 9, 2, 1s });
    CHECK(
      client.HoldBilling(self, { { "entry-1", 42 }, "[]", 3 }).assume_value());
    CHECK(client.ReleaseBilling(self, { "entry-1", 42 }, 3).assume_value());
  }

  SUBCASE("that stops and starts anew is reached again")
  {
    REQUIRE(client.FetchManifest(self));
    server.assume_value().reset();
    CHECK_FALSE(client.FetchManifest(self));
    server = peer::PeerServer::Start({ .mAddress = "127.0.0.1", .mPort = port },
                                     Handlers(received));
    REQUIRE(server);
    CHECK(client.FetchManifest(self));
  }

  SUBCASE("serves many callers at a time")
  {
    std::atomic<int> answered = 0;
    std::vector<std::thread> callers(8);
    for (auto& caller : callers) {
      caller = std::thread([&] {
        for (int call = 0; call < 20; ++call) {
          answered += client.FetchManifest(self) ? 1 : 0;
        }
      });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    CHECK(answered == 160);
  }
}

TEST_CASE("a peer that cannot be reached")
{
  peer::PeerClient client({ .mTimeout = 50ms });

  SUBCASE("and refuses connections is reported as not connected")
  {
    int port = 0;
    {
      const SilentListener closed;
      port = closed.mPort;
    }
    const auto result = client.FetchManifest(PeerAt(port));
    REQUIRE_FALSE(result);
    CHECK(result.assume_error().at(0).mKind == error::ErrorKind::ConnectFailed);
  }

  SUBCASE("and is silent ends the call in time")
  {
    const SilentListener silent;
    const auto result = client.FetchManifest(PeerAt(silent.mPort));
    REQUIRE_FALSE(result);
    CHECK(result.assume_error().at(0).mKind == error::ErrorKind::ReadFailed);
  }
}
