#include <figslip/gateway/control_plane.hpp>
#include <figslip/json/field_or.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <random>
#include <ranges>

namespace figslip::gateway {

namespace {

using std::chrono::milliseconds;
using store::ObjectKind;

/// Time for the answer of a write.
constexpr auto kWriteLimit = milliseconds(1'500);

/// Pause before a write that failed is made again.
constexpr auto kWritePause = milliseconds(400);
constexpr int kMaxWrites = 12;

/// Time for the first try to register, for which the start waits.
constexpr auto kFirstWriteLimit = milliseconds(150);

/// Interval of housekeeping.
constexpr auto kTick = milliseconds(250);

/// Time between two reads of the configuration. A lease of the usual 5 s that
/// was confirmed this long ago outlasts an outage of 3 s.
constexpr auto kConfigurationPause = milliseconds(1'450);

/// Longest pause between attempts for the configuration, an instance. The
/// first instance that has the store back passes the copy on, so that the
/// pauses may grow with the instances.
constexpr auto kRetryPausePerInstance = milliseconds(70);
constexpr Duration kShortestMaxRetryPause = milliseconds(640);
constexpr Duration kLongestMaxRetryPause = milliseconds(2'500);

constexpr std::string_view kInstancePrefix = "instance.";

/// Fields of an instance's registration.
constexpr const char* kDomain = "failure_domain";
constexpr const char* kPeers = "peers";

/// Field of a crash record with the requests that ran on the upstream.
constexpr const char* kInFlight = "in_flight";

/// Most requests on a crashed upstream for which the crash is told to the other
/// instances; with more it says little of each of them.
constexpr int kMaxSharedInFlight = 4;

constexpr unsigned kFirstClientError = 400;

/// An object of this name exists already, which is as good as writing it.
constexpr unsigned kConflict = 409;

/// An object that is to be removed has gone already.
constexpr unsigned kNotFound = 404;

/// Bytes of an answer that a log line has.
constexpr std::size_t kMaxLoggedAnswer = 200;

/// Returns a number that no other process is likely to have.
std::uint64_t
NewEpoch()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

} // namespace

ControlPlane::ControlPlane(net::asio::io_context& aContext,
                           const settings::IngressSettings& aSettings,
                           const store::StoreDialect& aDialect,
                           ingress::FreshnessLease& aLease,
                           metrics::Registry& aMetrics,
                           Post aPost)
  : mContext(aContext)
  , mSettings(aSettings)
  , mDialect(aDialect)
  , mLease(aLease)
  , mPost(std::move(aPost))
  , mClient(aContext.get_executor(), aSettings.mStore, aMetrics)
  , mRelayServer(aContext, mFollowers, NewEpoch())
  , mRelay(aContext,
           mFollowers,
           mRelayServer,
           aMetrics,
           { .mInstance = aSettings.mInstance,
             .mFailureDomain = aSettings.mFailureDomain })
  , mLapses({})
{
}

Result<void>
ControlPlane::Start()
{
  // calls without news return early enough to find a connection that went
  // silent within the bounds of each kind
  auto configuration =
    CallbacksOf(ObjectKind::Configuration,
                [this](const auto& aObjects) { OnConfiguration(aObjects); });
  configuration.mOnConfirmed = [this](TimePoint aSentAt) {
    if (mVersion >= 0) {
      mLease.Confirm(aSentAt);
    }
    mRelay.OnStoreAnswered();
  };
  // the other kinds are not asked for while the configuration is lost
  configuration.mOnLost =
    [this, onLost = configuration.mOnLost](const std::string& aReason) {
      mLapses.OnStoreLost();
      onLost(aReason);
    };
  configuration.mOnRegained = [this, onRegained = configuration.mOnRegained] {
    mLapses.OnStoreRegained(ReadBootClock());
    onRegained();
    for (const auto& follower : mFollowers) {
      follower->RetryNow();
    }
  };
  Follow({ .mKind = ObjectKind::Configuration,
           .mCallInterval = kConfigurationPause,
           .mListsOnly = true },
         std::move(configuration));
  auto upstreams =
    CallbacksOf(ObjectKind::Upstreams,
                [this](const auto& aObjects) { OnUpstreams(aObjects); });
  const auto onLost = upstreams.mOnLost;
  const auto onRegained = upstreams.mOnRegained;
  upstreams.mOnLost = [this, onLost](const std::string& aReason) {
    mLapses.OnStoreLost();
    onLost(aReason);
  };
  upstreams.mOnRegained = [this, onRegained] {
    mLapses.OnStoreRegained(ReadBootClock());
    onRegained();
  };
  Follow({ .mKind = ObjectKind::Upstreams,
           .mWatchTimeout = milliseconds(2'000),
           .mCallInterval = milliseconds(650) },
         std::move(upstreams));
  Follow(
    { .mKind = ObjectKind::Rollouts, .mWatchTimeout = milliseconds(3'000) },
    CallbacksOf(ObjectKind::Rollouts,
                [this](const auto& aObjects) { OnRollouts(aObjects); }));
  Follow({ .mKind = ObjectKind::Drains, .mWatchTimeout = milliseconds(3'000) },
         CallbacksOf(ObjectKind::Drains,
                     [this](const auto& aObjects) { OnDrains(aObjects); }));
  Follow({ .mKind = ObjectKind::Shared,
           .mWatchTimeout = milliseconds(8'000),
           .mCallInterval = milliseconds(900) },
         CallbacksOf(ObjectKind::Shared,
                     [this](const auto& aObjects) { OnShared(aObjects); }));
  auto started = mRelayServer.Start(mSettings.mPeers);
  if (!started) {
    return started;
  }
  net::asio::co_spawn(mContext, Tick(), net::asio::detached);
  net::asio::co_spawn(mContext, Register(), net::asio::detached);
  return outcome::success();
}

store::ObjectFollower::Callbacks
ControlPlane::CallbacksOf(
  ObjectKind aKind,
  std::function<void(const store::ObjectFollower::Objects&)> aOnObjects)
{
  const std::string kind(store::NameOf(aKind));
  return { .mOnObjects = std::move(aOnObjects),
           .mOnConfirmed = [](TimePoint) {},
           .mOnLost =
             [kind](const std::string& aReason) {
               log::Write(log::Level::Warning,
                          "store_lost",
                          { { "kind", kind }, { "reason", aReason } });
             },
           .mOnRegained =
             [kind] {
               log::Write(
                 log::Level::Info, "store_regained", { { "kind", kind } });
             },
           // an outage costs the calls of one kind
           .mMayRetry =
             [this, aKind] {
               return aKind == ObjectKind::Configuration ||
                      !relay::FollowerOf(mFollowers, ObjectKind::Configuration)
                         .IsLost();
             } };
}

void
ControlPlane::Follow(store::ObjectFollower::Options aOptions,
                     store::ObjectFollower::Callbacks aCallbacks)
{
  const auto place = mFollowers.size();
  const auto relays = [&](auto aCallback) {
    return [this, place, callback = std::move(aCallback)](const auto& aValue) {
      callback(aValue);
      mRelayServer.OnNews(*mFollowers.at(place));
    };
  };
  aCallbacks.mOnConfirmed = relays(std::move(aCallbacks.mOnConfirmed));
  aCallbacks.mOnLost = relays(std::move(aCallbacks.mOnLost));
  mFollowers.push_back(std::make_unique<store::ObjectFollower>(
    aOptions, mDialect, mClient, std::move(aCallbacks)));
}

void
ControlPlane::OnConfiguration(const store::ObjectFollower::Objects& aObjects)
{
  for (const auto& object : aObjects | std::views::values) {
    if (object.mRevision == mConfigurationRevision) {
      continue;
    }
    mConfigurationRevision = object.mRevision;
    auto read = mDialect.mReadConfiguration(object);
    if (!read) {
      LogUnreadable(object, "configuration", read.assume_error());
      continue;
    }
    auto configuration = std::move(read).assume_value();
    if (configuration.mVersion <= mVersion) {
      continue;
    }
    mVersion = configuration.mVersion;
    log::Write(log::Level::Info,
               "configuration_in_force",
               { { "configuration", std::to_string(mVersion) },
                 { "revision", std::to_string(object.mRevision) },
                 { "routes", std::to_string(configuration.mRoutes.size()) } });
    const auto index = std::make_shared<const ingress::ConfigurationIndex>(
      std::move(configuration));
    mPost([index](TrafficState& aState) { aState.OnConfiguration(index); });
  }
}

void
ControlPlane::OnUpstreams(const store::ObjectFollower::Objects& aObjects)
{
  std::vector<ingress::UpstreamEntry> entries;
  for (const auto& object : aObjects | std::views::values) {
    auto entry = mDialect.mReadUpstream(object);
    if (entry) {
      entries.push_back(std::move(entry).assume_value());
    } else {
      LogUnreadable(object, "upstream", entry.assume_error());
    }
  }
  mLapses.OnEntries(entries, ReadBootClock());
  PublishUpstreams();
}

void
ControlPlane::PublishUpstreams()
{
  mPost([entries = mLapses.Entries()](TrafficState& aState) {
    aState.OnUpstreams(entries);
  });
}

net::Awaitable<void>
ControlPlane::Tick()
{
  while (true) {
    co_await net::Sleep(kTick);
    ExpireLapsed();
    RemoveCrashRecords();
  }
}

void
ControlPlane::ExpireLapsed()
{
  const auto kept = mLapses.Kept();
  if (kept > 0 && mLapses.Expire(ReadBootClock())) {
    log::Write(log::Level::Info,
               "lapsed_upstreams_dropped",
               { { "upstreams", std::to_string(kept) } });
    PublishUpstreams();
  }
}

void
ControlPlane::RemoveCrashRecords()
{
  for (const auto& name : mCrashes.TakeDue(ReadBootClock())) {
    StartWrite(mDialect.mRemoveShared(name), "remove crash record");
  }
}

void
ControlPlane::OnRollouts(const store::ObjectFollower::Objects& aObjects)
{
  std::vector<rollout::RolloutOrder> orders;
  for (const auto& object : aObjects | std::views::values) {
    auto order = mDialect.mReadRollout(object);
    if (!order) {
      LogUnreadable(object, "rollout", order.assume_error());
      continue;
    }
    orders.push_back(std::move(order).assume_value());
    log::Write(
      log::Level::Info,
      "rollout_seen",
      { { "service", orders.back().mService },
        { "version", orders.back().mTarget },
        { "state", std::string(rollout::NameOf(orders.back().mState)) },
        { "revision", std::to_string(object.mRevision) } });
  }
  mPost([orders](TrafficState& aState) {
    aState.mRollouts.OnOrders(orders, ReadBootClock());
  });
}

void
ControlPlane::OnDrains(const store::ObjectFollower::Objects& aObjects)
{
  std::set<std::string> domains;
  std::string names;
  for (const auto& name : aObjects | std::views::keys) {
    domains.insert(name);
    names += name + " ";
  }
  log::Write(log::Level::Info, "drained_domains", { { "domains", names } });
  mPost([domains](TrafficState& aState) { aState.mBoard.SetDrained(domains); });
}

void
ControlPlane::OnShared(const store::ObjectFollower::Objects& aObjects)
{
  std::vector<relay::Peer> peers;
  std::vector<membership::InstancePlace> places;
  std::map<std::string, int> crashes;
  for (const auto& [name, object] : aObjects) {
    if (name.starts_with(kInstancePrefix)) {
      peers.push_back(
        { .mInstance = name.substr(kInstancePrefix.size()),
          .mFailureDomain = json::TextOr(object.mSpec, kDomain, ""),
          .mAddress = json::TextOr(object.mSpec, kPeers, "") });
      places.push_back({ .mName = peers.back().mInstance,
                         .mFailureDomain = peers.back().mFailureDomain });
    } else if (quarantine::CrashRecords::IsRecord(name)) {
      crashes.emplace(name, json::NumberOr(object.mSpec, kInFlight, 1));
    }
  }
  mRelay.OnPeers(peers);
  relay::FollowerOf(mFollowers, ObjectKind::Configuration)
    .SetMaxBackoff(std::clamp<Duration>(kRetryPausePerInstance * places.size(),
                                        kShortestMaxRetryPause,
                                        kLongestMaxRetryPause));
  const auto reports = mCrashes.OnRecords(crashes, ReadBootClock());
  log::Write(log::Level::Info,
             "instances_known",
             { { "instances", std::to_string(places.size()) },
               { "crash_records", std::to_string(crashes.size()) } });
  mPost([places, reports](TrafficState& aState) {
    aState.OnInstances(places);
    aState.OnCrashReports(reports);
  });
}

void
ControlPlane::WriteStatus(const rollout::StatusChange& aChange)
{
  log::Write(log::Level::Info,
             "rollout_status",
             { { "service", aChange.mOrder.mService },
               { "version", aChange.mOrder.mTarget },
               { "state", std::string(rollout::NameOf(aChange.mState)) },
               { "reason", aChange.mReason },
               { "revision", std::to_string(aChange.mOrder.mRevision) } });
  // one try: a change that is still due is asked for again
  net::asio::co_spawn(
    mContext,
    [this,
     request = mDialect.mPutStatus(aChange)]() mutable -> net::Awaitable<void> {
      const auto result = co_await mClient.Call(
        std::move(request), "put rollout status", kWriteLimit);
      log::Write(log::Level::Info,
                 "rollout_status_written",
                 { { "status", std::to_string(result.mStatus) },
                   { "reason", result.mReason } });
    },
    net::asio::detached);
}

void
ControlPlane::ReportCrash(const quarantine::CrashReport& aReport)
{
  const auto name = quarantine::CrashRecords::NameOf(aReport);
  const bool isTold = aReport.mInFlight <= kMaxSharedInFlight &&
                      mCrashes.OnOwn(name, ReadBootClock());
  if (isTold) {
    StartWrite(
      mDialect.mCreateShared(name, { { kInFlight, aReport.mInFlight } }),
      "create crash record");
  }
}

nlohmann::json
ControlPlane::Registration() const
{
  return { { kDomain, mSettings.mFailureDomain },
           { kPeers,
             mSettings.mPeers.mAddress + ":" +
               std::to_string(mSettings.mPeers.mPort) } };
}

net::Awaitable<void>
ControlPlane::Register()
{
  const auto name = std::string(kInstancePrefix) + mSettings.mInstance;
  auto request = mDialect.mCreateShared(name, Registration());
  const std::string call = "register instance";
  auto first = request;
  const auto result =
    co_await mClient.Call(std::move(first), call, kFirstWriteLimit);
  // instances that start together find each other, as the list of the instances
  // is read afterwards
  mRelay.Start();
  auto status = result.mStatus;
  const bool isDone = result.mOutcome == store::CallOutcome::Answered;
  if (!isDone) {
    status = co_await Write(std::move(request), call);
  }
  if (status == kConflict) {
    // an earlier process of this name may have had another address
    request = mDialect.mReplaceShared(name, Registration());
    co_await Write(std::move(request), "register instance again");
  }
}

void
ControlPlane::SetStore(const net::Endpoint& aStore)
{
  mClient.SetEndpoint(aStore);
}

net::Awaitable<void>
ControlPlane::Deregister()
{
  mRelay.StopServing();
  auto request =
    mDialect.mRemoveShared(std::string(kInstancePrefix) + mSettings.mInstance);
  const std::string call = "deregister instance";
  const auto result =
    co_await mClient.Call(std::move(request), call, kWriteLimit);
  if (result.mOutcome != store::CallOutcome::Answered) {
    log::Write(log::Level::Warning,
               "write_failed",
               { { "call", call }, { "reason", result.mReason } });
  }
}

net::Awaitable<unsigned>
ControlPlane::Write(net::RequestMessage aRequest, std::string aName)
{
  for (int tries = 0; tries < kMaxWrites; ++tries) {
    auto request = aRequest;
    const auto result =
      co_await mClient.Call(std::move(request), aName, kWriteLimit);
    const bool isWritten =
      result.mOutcome == store::CallOutcome::Answered &&
      (result.mStatus < kFirstClientError || result.mStatus == kConflict ||
       result.mStatus == kNotFound);
    if (isWritten) {
      co_return result.mStatus;
    }
    log::Write(log::Level::Warning,
               "write_failed",
               { { "call", aName },
                 { "status", std::to_string(result.mStatus) },
                 { "reason", result.mReason },
                 { "answer", result.mBody.substr(0, kMaxLoggedAnswer) } });
    co_await net::Sleep(kWritePause * (tries + 1));
  }
  co_return 0;
}

void
ControlPlane::StartWrite(net::RequestMessage aRequest, std::string aName)
{
  net::asio::co_spawn(mContext,
                      Write(std::move(aRequest), std::move(aName)),
                      [](const std::exception_ptr&, unsigned) {});
}

void
ControlPlane::LogUnreadable(const store::Object& aObject,
                            std::string_view aKind,
                            const error::Findings& aFindings)
{
  auto& logged = mUnreadable[std::string(aKind) + "/" + aObject.mName];
  if (logged != aObject.mRevision) {
    logged = aObject.mRevision;
    log::Write(log::Level::Warning,
               "object_unreadable",
               { { "kind", std::string(aKind) },
                 { "name", aObject.mName },
                 { "revision", std::to_string(aObject.mRevision) },
                 { "findings", error::JoinMessages(aFindings, "; ") } });
  }
}

} // namespace figslip::gateway
