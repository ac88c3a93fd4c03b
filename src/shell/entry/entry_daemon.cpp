#include <figslip/caller/caller_api.hpp>
#include <figslip/control/control_service.hpp>
#include <figslip/control/platform_watcher.hpp>
#include <figslip/entry/admin_api.hpp>
#include <figslip/entry/billing_peers.hpp>
#include <figslip/entry/entry_daemon.hpp>
#include <figslip/entry/request_runner.hpp>
#include <figslip/log/log.hpp>
#include <figslip/orders/order_service.hpp>
#include <figslip/peer/peer_service.hpp>
#include <figslip/report/slo_counters.hpp>
#include <figslip/time/wall_clock.hpp>

#include <random>
#include <thread>
#include <utility>

namespace figslip::entry {

namespace {

constexpr Duration kDrainPoll = std::chrono::milliseconds(20);
constexpr Duration kBillingPatience = std::chrono::seconds(30);

/// Owns the HTTP server between start and stop of its service.
struct ServerHolder
{
  std::unique_ptr<http::HttpServer> mServer;
};

http::HttpServer::Options
ServerOptions(const settings::EntrySettings& aSettings)
{
  return { .mAddress = aSettings.mAddress,
           .mPort = aSettings.mCallerPort,
           .mThreads = aSettings.mTrafficThreads,
           .mMaxBodyBytes = static_cast<std::size_t>(aSettings.mMaxBodyBytes) };
}

} // namespace

EntryDaemon::EntryDaemon(const settings::EntrySettings& aSettings)
  : mSettings(aSettings)
  , mSelf{ .mInstance = aSettings.mInstance,
           .mStartedAt = ToUnixMillis(ReadClock()) }
{
  RegisterFoundations(mSettings);
  RegisterControl(mSettings);
  RegisterBilling(mSettings);
  RegisterPeers(mSettings);
  RegisterWatcher(mSettings);
  RegisterOrders(mSettings);
  RegisterTraffic(mSettings);
}

void
EntryDaemon::RegisterFoundations(const settings::EntrySettings& aSettings)
{
  const auto client =
    std::make_shared<http::HttpClient>(http::HttpClient::Options{});
  const auto platform = std::make_shared<platform::PlatformClient>(
    platform::PlatformClient::Options{ .mEndpoint = aSettings.mPlatform },
    client);
  const auto upstreams = std::make_shared<upstream::UpstreamAdapter>(
    upstream::UpstreamAdapter::Options{
      .mFirstTokenTimeout =
        std::chrono::milliseconds(aSettings.mFirstTokenTimeoutMs),
      .mNextTokenTimeout =
        std::chrono::milliseconds(aSettings.mNextTokenTimeoutMs) },
    client);
  const auto router = std::make_shared<RouterService>(routing::Router::Options{
    .mFailureDomain = aSettings.mFailureDomain,
    .mSelf = mSelf,
    .mSeed = std::random_device{}(),
    .mMaxQueue = static_cast<std::size_t>(aSettings.mMaxQueue) });
  mKernel.Register({ .mName = "http_client" }, client);
  mKernel.Register({ .mName = "state" }, std::make_shared<EntryState>());
  mKernel.Register({ .mName = "metrics" },
                   std::make_shared<metrics::Registry>());
  mKernel.Register({ .mName = "router" }, router);
  mKernel.Register({ .mName = "platform", .mDependsOn = { "http_client" } },
                   platform);
  mKernel.Register({ .mName = "upstreams", .mDependsOn = { "http_client" } },
                   upstreams);
}

void
EntryDaemon::RegisterControl(const settings::EntrySettings& aSettings)
{
  const auto loop = std::make_shared<kernel::ControlLoop>();
  const auto router = mKernel.Find<RouterService>("router");
  const auto control = std::make_shared<control::ControlService>(
    control::ControlService::Options{
      .mSelf = mSelf, .mFailureDomain = aSettings.mFailureDomain },
    *loop,
    router,
    mKernel.Find<EntryState>("state"));
  mKernel.Register({ .mName = "control",
                     .mDependsOn = { "router", "state" },
                     .mStart =
                       [loop] {
                         loop->Start();
                         return Result<void>(outcome::success());
                       },
                     .mStop = [loop] { loop->Stop(); } },
                   control);
  mKernel.Register({ .mName = "control_loop" }, loop);
}

void
EntryDaemon::RegisterBilling(const settings::EntrySettings& aSettings)
{
  const auto billing = std::make_shared<billing::BillingService>(
    billing::BillingService::Options{
      .mSelf = mSelf, .mFailureDomain = aSettings.mFailureDomain },
    mKernel.Find<platform::PlatformClient>("platform"));
  const auto peers = std::make_shared<BillingPeers>(
    mSelf.mInstance,
    mKernel.Find<control::ControlService>("control"),
    std::make_shared<peer::PeerClient>(peer::PeerClient::Options{}));
  billing->SetPeerCalls(peers->Calls());
  mKernel.Register({ .mName = "billing_peers" }, peers);
  mKernel.Register({ .mName = "billing",
                     .mDependsOn = { "platform", "peers" },
                     .mStart =
                       [billing] {
                         billing->Start();
                         return Result<void>(outcome::success());
                       },
                     .mStop =
                       [billing] {
                         const auto lost = billing->Stop(kBillingPatience);
                         if (lost > 0) {
                           log::Write(log::Level::Error,
                                      "billing_records_lost",
                                      { { "count", std::to_string(lost) } });
                         }
                       } },
                   billing);
}

void
EntryDaemon::RegisterPeers(const settings::EntrySettings& aSettings)
{
  const auto billing = mKernel.Find<billing::BillingService>("billing");
  const auto billingPeers = mKernel.Find<BillingPeers>("billing_peers");
  const auto hold = [billing](const peer::BillingCopies& aCopies) {
    return billing->Hold({ .mOrigin = aCopies.mOrigin,
                           .mUpTo = aCopies.mSequence,
                           .mText = aCopies.mBatch });
  };
  const auto release = [billing](const membership::Incarnation& aOrigin,
                                 std::int64_t aUpTo) {
    billing->Release(aOrigin, aUpTo);
    return true;
  };
  const auto onIncarnation =
    [billing, billingPeers](const membership::Incarnation& aRun) {
      billing->OnIncarnation(aRun);
      billingPeers->OnIncarnation(aRun);
    };
  const auto peers = std::make_shared<peer::PeerService>(
    peer::PeerService::Options{ .mSelf = mSelf,
                                .mFailureDomain = aSettings.mFailureDomain,
                                .mServer = { .mAddress = aSettings.mAddress,
                                             .mPort = aSettings.mPeerPort },
                                .mSeed = std::random_device{}(),
                                .mHoldBilling = hold,
                                .mReleaseBilling = release,
                                .mOnIncarnation = onIncarnation },
    peer::PeerService::Services{
      .mLoop = mKernel.Find<kernel::ControlLoop>("control_loop"),
      .mControl = mKernel.Find<control::ControlService>("control"),
      .mRouter = mKernel.Find<RouterService>("router") });
  mKernel.Register({ .mName = "peers",
                     .mDependsOn = { "control", "router" },
                     .mStart = [peers] { return peers->Start(); },
                     .mStop = [peers] { peers->Stop(); } },
                   peers);
}

void
EntryDaemon::RegisterWatcher(const settings::EntrySettings& aSettings)
{
  const auto watcher = std::make_shared<control::PlatformWatcher>(
    control::PlatformWatcher::Options{
      .mInstance = aSettings.mInstance,
      .mFailureDomain = aSettings.mFailureDomain,
      .mOnInstances =
        [billing = mKernel.Find<billing::BillingService>("billing")](
          const auto& aInstances) { billing->OnInstances(aInstances); } },
    control::PlatformWatcher::Services{
      .mLoop = mKernel.Find<kernel::ControlLoop>("control_loop"),
      .mControl = mKernel.Find<control::ControlService>("control"),
      .mRouter = mKernel.Find<RouterService>("router"),
      .mPlatform = mKernel.Find<platform::PlatformClient>("platform"),
      .mUpstreams = mKernel.Find<upstream::UpstreamAdapter>("upstreams"),
      .mPeers = mKernel.Find<peer::PeerService>("peers") });
  mKernel.Register(
    { .mName = "platform_watcher",
      .mDependsOn = { "control", "platform", "upstreams", "peers" },
      .mStart =
        [watcher] {
          watcher->Start();
          return Result<void>(outcome::success());
        },
      .mStop = [watcher] { watcher->Stop(); } },
    watcher);
}

void
EntryDaemon::RegisterOrders(const settings::EntrySettings& aSettings)
{
  const auto orders = std::make_shared<orders::OrderService>(
    orders::OrderService::Options{ .mSelf = mSelf,
                                   .mFailureDomain = aSettings.mFailureDomain },
    orders::OrderService::Services{
      .mControl = mKernel.Find<control::ControlService>("control"),
      .mPlatform = mKernel.Find<platform::PlatformClient>("platform"),
      .mUpstreams = mKernel.Find<upstream::UpstreamAdapter>("upstreams") });
  mKernel.Register({ .mName = "orders",
                     .mDependsOn = { "control", "platform", "upstreams" },
                     .mStart =
                       [orders] {
                         orders->Start();
                         return Result<void>(outcome::success());
                       },
                     .mStop = [orders] { orders->Stop(); } },
                   orders);
}

void
EntryDaemon::RegisterTraffic(const settings::EntrySettings& aSettings)
{
  const auto platform = mKernel.Find<platform::PlatformClient>("platform");
  const auto router = mKernel.Find<RouterService>("router");
  const auto control = mKernel.Find<control::ControlService>("control");
  const auto state = mKernel.Find<EntryState>("state");
  const auto metrics = mKernel.Find<metrics::Registry>("metrics");
  const auto billing = mKernel.Find<billing::BillingService>("billing");
  const auto ratings = std::make_shared<ratings::RatingService>(
    ratings::RatingService::Options{
      .mSource = mSelf.mInstance,
      .mOnBadRating =
        [control, metrics](const std::string& aAccount) {
          const auto snapshot = control->Snapshot();
          if (snapshot->mManifest != nullptr) {
            report::CountForSlos(*metrics,
                                 snapshot->mManifest->Content(),
                                 aAccount,
                                 report::BadRating{});
          }
        } },
    platform,
    router);
  const auto claims = std::make_shared<claim::ClaimService>(mSelf, platform);
  const auto runner = std::make_shared<RequestRunner>(
    mSelf,
    RequestRunner::Services{
      .mRouter = router,
      .mUpstreams = mKernel.Find<upstream::UpstreamAdapter>("upstreams"),
      .mClient = mKernel.Find<http::HttpClient>("http_client"),
      .mClaims = claims });
  const auto callers = std::make_shared<caller::CallerApi>(
    aSettings,
    mSelf,
    caller::CallerApi::Services{ .mState = state,
                                 .mRunner = runner,
                                 .mControl = control,
                                 .mBilling = billing,
                                 .mRatings = ratings,
                                 .mMetrics = metrics });
  const auto admin =
    std::make_shared<AdminApi>(mSelf.mInstance,
                               AdminApi::Services{ .mState = state,
                                                   .mControl = control,
                                                   .mRouter = router,
                                                   .mBilling = billing,
                                                   .mMetrics = metrics });
  const auto holder = std::make_shared<ServerHolder>();
  mKernel.Register({ .mName = "claims",
                     .mDependsOn = { "platform" },
                     .mStart =
                       [claims] {
                         claims->Start();
                         return Result<void>(outcome::success());
                       },
                     .mStop = [claims] { claims->Stop(); } },
                   claims);
  mKernel.Register({ .mName = "ratings",
                     .mDependsOn = { "platform", "router" },
                     .mStart =
                       [ratings] {
                         ratings->Start();
                         return Result<void>(outcome::success());
                       },
                     .mStop = [ratings] { ratings->Stop(); } },
                   ratings);
  mKernel.Register(
    { .mName = "caller_server",
      .mDependsOn = { "control",
                      "billing",
                      "claims",
                      "ratings",
                      "platform_watcher" },
      .mStart = [holder, callers, admin, options = ServerOptions(aSettings)]()
        -> Result<void> {
        auto routes = callers->Routes();
        for (auto& route : admin->Routes()) {
          routes.push_back(std::move(route));
        }
        auto server = http::HttpServer::Start(options, std::move(routes));
        if (!server) {
          return outcome::failure(std::move(server).assume_error());
        }
        holder->mServer = std::move(server).assume_value();
        return outcome::success();
      },
      .mStop = [holder] { holder->mServer.reset(); } },
    holder);
}

int
EntryDaemon::CallerPort() const
{
  return mKernel.Find<ServerHolder>("caller_server")->mServer->Port();
}

int
EntryDaemon::PeerPort() const
{
  return mKernel.Find<peer::PeerService>("peers")->Port();
}

void
EntryDaemon::WaitForOpenRequests()
{
  const auto state = mKernel.Find<EntryState>("state");
  while (state->OpenRequests() > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
}

void
EntryDaemon::Stop()
{
  log::Write(log::Level::Info, "draining");
  // requests that the balancer still sends are served until its lag is over
  mKernel.Find<EntryState>("state")->Enter(Phase::Draining);
  std::this_thread::sleep_for(
    std::chrono::milliseconds(mSettings.mDrainDelayMs));
  mKernel.Find<EntryState>("state")->Enter(Phase::Stopping);
  WaitForOpenRequests();
  mKernel.Stop();
  log::Write(log::Level::Info, "stopped");
}

} // namespace figslip::entry
