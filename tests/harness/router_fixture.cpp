#include "harness/router_fixture.hpp"

#include <memory>

namespace figslip::test {

namespace {

constexpr int kWarmSuccesses = 5;
constexpr int kConcurrency = 2;

manifest::Manifest
MakeManifest()
{
  using manifest::UpstreamKind;
  manifest::Manifest manifest;
  manifest.mFailureDomains = { { "a", "r" }, { "b", "r" } };
  manifest.mModels = {
    { "small", { { .mName = "s1", .mCostPerThousandTokens = 1000 } } }
  };
  manifest.mServices = { { "desk", { { "look", true }, { "book", false } } } };
  manifest.mClientAccounts = { { "salon", 1.0, { "small", "desk" }, {} } };
  const auto engine = [](std::string aName, std::string aDomain) {
    return manifest::Upstream{ .mName = std::move(aName),
                               .mFailureDomain = std::move(aDomain),
                               .mAddress = "127.0.0.1",
                               .mPort = 1,
                               .mVersions = { "s1" },
                               .mConcurrency = kConcurrency };
  };
  manifest.mUpstreams = { engine("a1", "a"),
                          engine("a2", "a"),
                          engine("b1", "b"),
                          { .mName = "a3",
                            .mKind = UpstreamKind::Plain,
                            .mFailureDomain = "a",
                            .mAddress = "127.0.0.1",
                            .mPort = 1,
                            .mService = "desk",
                            .mConcurrency = kConcurrency } };
  return manifest;
}

} // namespace

RouterFixture::RouterFixture()
  : mManifest(MakeManifest())
  , mInstances{ .mEntries = { { .mName = "entry-a", .mFailureDomain = "a" },
                              { .mName = "entry-b", .mFailureDomain = "b" } } }
  , mRouter({ .mFailureDomain = "a", .mSelf = { "entry-a", 1 } })
{
  Publish();
  for (const auto* const upstream : { "a1", "a2", "a3" }) {
    Warm(upstream);
  }
}

void
RouterFixture::Publish()
{
  ++mManifest.mGeneration;
  mRouter.OnSnapshot(
    std::make_shared<const routing::ControlSnapshot>(routing::ControlSnapshot{
      .mManifest = std::make_shared<const manifest::ManifestIndex>(mManifest),
      .mConfirmedAt = mNow,
      .mHeartbeatAt = mNow,
      .mInstances = mInstances }),
    mNow);
}

void
RouterFixture::Warm(const std::string& aUpstream)
{
  auto& manifest = mManifest;
  const auto kept = manifest.mUpstreams;
  // only this upstream is left, so that every request goes to it
  std::erase_if(manifest.mUpstreams,
                [&](const auto& aOther) { return aOther.mName != aUpstream; });
  Publish();
  const bool isPlain = !manifest.mUpstreams.front().mService.empty();
  for (int count = 0; count < kWarmSuccesses; ++count) {
    mNow += std::chrono::seconds(2);
    Publish();
    mRouter.OnGrant({ aUpstream, 1, mNow + std::chrono::seconds(1) }, mNow);
    const auto ticket = static_cast<routing::TicketId>(-1);
    (void)mRouter.Start(ticket, isPlain ? Call("look") : Chat(), mNow);
    (void)mRouter.OnOutcome(
      ticket,
      { .mEnd = routing::AttemptEnd::Completed, .mBootId = "boot" },
      mNow);
    (void)mRouter.Close(ticket, mNow);
  }
  manifest.mUpstreams = kept;
  Publish();
}

routing::Request
RouterFixture::Chat() const
{
  return { .mId = "r",
           .mAccount = "salon",
           .mTarget = routing::ChatTarget{ .mName = "small" },
           .mDeadline = mNow + std::chrono::seconds(10) };
}

routing::Request
RouterFixture::Call(const std::string& aOperation) const
{
  return { .mId = "r",
           .mAccount = "salon",
           .mTarget = routing::ServiceTarget{ "desk", aOperation },
           .mDeadline = mNow + std::chrono::seconds(10),
           .mIdempotencyKey = "0193e5a0-0000-7abc-8def-0123456789ab" };
}

} // namespace figslip::test
