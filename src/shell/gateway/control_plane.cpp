#include <figslip/gateway/control_plane.hpp>
#include <figslip/json/field_or.hpp>
#include <figslip/log/log.hpp>
#include <figslip/net/sleep.hpp>
#include <figslip/rollout/session_records.hpp>
#include <figslip/time/wall_clock.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <random>
#include <ranges>
#include <utility>

namespace figslip::gateway {

namespace {

using std::chrono::milliseconds;
using store::ObjectKind;

/// Timeout of a write to the store.
constexpr auto kWriteTimeout = milliseconds(1'500);

/// Interval at which a write that waits for another one, or for the end of an
/// outage, looks again.
constexpr auto kWriteLook = milliseconds(100);

/// Timeout of the first attempt to register, for which the start of the relay
/// waits.
constexpr auto kFirstRegistrationTimeout = milliseconds(150);

constexpr auto kHousekeepingInterval = milliseconds(250);

/// Interval between two reads of the configuration. A typical lease of 5 s that
/// was confirmed this long ago outlasts an outage of 3 s.
constexpr auto kConfigurationPollInterval = milliseconds(1'450);

/// Maximum backoff between attempts to read the configuration, per instance.
/// The first instance that reaches the store again relays its copy, so the
/// backoff may grow with the number of instances.
constexpr auto kRetryBackoffPerInstance = milliseconds(70);
constexpr Duration kMinRetryBackoffLimit = milliseconds(640);
constexpr Duration kMaxRetryBackoffLimit = milliseconds(2'500);

constexpr std::string_view kInstancePrefix = "instance.";

constexpr std::string_view kEvidencePrefix = "rollout.";

/// JSON fields of an instance's counts on a roll-out.
constexpr const char* kServiceField = "service";
constexpr const char* kInstanceField = "instance";
constexpr const char* kCreatedField = "created";
constexpr const char* kRoutesField = "routes";
constexpr const char* kTargetField = "target";
constexpr const char* kTargetDegradedField = "target_degraded";
constexpr const char* kOthersField = "others";
constexpr const char* kOthersDegradedField = "others_degraded";
/// Attempts and slow ones on the new version by upstream; absent where the
/// upstreams do not report the speed of their machines.
constexpr const char* kMachinesField = "machines";
constexpr const char* kAttemptsField = "attempts";
constexpr const char* kSlowField = "slow";

/// JSON fields of an instance's registration.
constexpr const char* kDomainField = "failure_domain";
constexpr const char* kPeersField = "peers";

/// JSON fields of a record of a configuration that the store has lost.
constexpr const char* kNameField = "name";
constexpr const char* kConfigurationField = "configuration";

/// JSON field of a crash record: number of requests on the upstream.
constexpr const char* kInFlightField = "in_flight";

/// Maximum number of requests in flight on a crashed upstream with which the
/// crash is published; with more it is weak evidence against each of them.
constexpr int kMaxSharedInFlight = 4;

/// Bound on the requests in flight that a crash record may tell.
constexpr double kMaxInFlight = 1'000'000.0;

/// Maximum number of crashes that are published in a housekeeping interval; the
/// others follow later.
constexpr std::size_t kMaxCrashesPerInterval = 4;

/// Time for the answer of the instance to which records are forwarded.
constexpr auto kForwardTimeout = milliseconds(1'500);

/// Interval at which the forwarding looks for what is due; a message and the
/// look at the source together must not delay evidence by more than 50 ms.
constexpr auto kForwardLook = milliseconds(10);

constexpr unsigned kOk = 200;
constexpr unsigned kFirstClientError = 400;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnavailable = 503;

/// There is no room for the records. Unlike an outage of the store this holds
/// for one instance only, so the follower publishes them at once.
constexpr unsigned kNoRoom = 429;

/// An object of this name exists already; the write counts as done.
constexpr unsigned kConflict = 409;

/// The object to remove does not exist any more; the write counts as done.
constexpr unsigned kNotFound = 404;

/// Maximum length of an answer in a log line.
constexpr std::size_t kMaxLoggedAnswerBytes = 200;

/// Maximum length of the findings of an object in a log line.
constexpr std::size_t kMaxLoggedFindingsBytes = 500;

/// Maximum number of unreadable objects that are remembered as logged.
constexpr std::size_t kMaxLoggedObjects = 10'000;

/// Returns the shortest outage in which two reports of an upstream can fail in
/// a row; its entry expires before the third.
Duration
MinOutage(const settings::IngressSettings& aSettings)
{
  constexpr int kPercent = 75; // intervals between reports vary
  return aSettings.mUpstreamHeartbeat * kPercent / 100;
}

/// Checks that a text names something, as the other instances' names do.
bool
IsName(const std::string& aText)
{
  constexpr std::size_t kMaxNameBytes = 256;
  return !aText.empty() && aText.size() <= kMaxNameBytes;
}

/// Returns a random number that differs from those of other processes with high
/// probability.
std::uint64_t
NewEpoch()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>(1)(device);
}

/// Returns a number that differs by instance.
std::uint64_t
SeedOf(const std::string& aInstance)
{
  return std::hash<std::string>{}(aInstance);
}

std::string
EvidenceName(std::string_view aService, std::string_view aInstance)
{
  return std::string(kEvidencePrefix) + std::string(aService) + "." +
         std::string(aInstance);
}

/// Reads an integer; -1 if the field is absent or anything else.
std::int64_t
CountOf(const nlohmann::json& aSpec, const char* aField)
{
  if (!aSpec.is_object()) {
    return -1;
  }
  const auto found = aSpec.find(aField);
  return found != aSpec.end() && found->is_number_integer()
           ? found->get<std::int64_t>()
           : -1;
}

std::map<std::string, rollout::MachineCounts>
ReadMachines(const nlohmann::json& aRoute)
{
  std::map<std::string, rollout::MachineCounts> machines;
  if (!aRoute.is_object() || !aRoute.contains(kMachinesField)) {
    return machines;
  }
  for (const auto& [upstream, fields] : aRoute[kMachinesField].items()) {
    machines[upstream] = { .mAttempts = CountOf(fields, kAttemptsField),
                           .mSlow = CountOf(fields, kSlowField) };
  }
  return machines;
}

rollout::ComparisonCounts
ReadCounts(const nlohmann::json& aRoutes)
{
  rollout::ComparisonCounts counts;
  for (const auto& [route, fields] : aRoutes.items()) {
    counts.mRoutes[route] = { .mTarget = CountOf(fields, kTargetField),
                              .mTargetDegraded =
                                CountOf(fields, kTargetDegradedField),
                              .mOthers = CountOf(fields, kOthersField),
                              .mOthersDegraded =
                                CountOf(fields, kOthersDegradedField),
                              .mMachines = ReadMachines(fields) };
  }
  return counts;
}

nlohmann::json
WriteCounts(const rollout::ComparisonCounts& aCounts)
{
  auto routes = nlohmann::json::object();
  for (const auto& [route, counts] : aCounts.mRoutes) {
    routes[route] = { { kTargetField, counts.mTarget },
                      { kTargetDegradedField, counts.mTargetDegraded },
                      { kOthersField, counts.mOthers },
                      { kOthersDegradedField, counts.mOthersDegraded } };
    for (const auto& [upstream, machine] : counts.mMachines) {
      routes[route][kMachinesField][upstream] = {
        { kAttemptsField, machine.mAttempts }, { kSlowField, machine.mSlow }
      };
    }
  }
  return routes;
}

/// Reads the counts of an instance; without routes if they are absent or
/// anything else.
rollout::EvidenceReport
ReadEvidence(const nlohmann::json& aSpec)
{
  const auto routes = aSpec.find(kRoutesField);
  const bool hasRoutes = routes != aSpec.end() && routes->is_object();
  return { .mService = json::TextOr(aSpec, kServiceField, ""),
           .mCreated = CountOf(aSpec, kCreatedField),
           .mCounts =
             hasRoutes ? ReadCounts(*routes) : rollout::ComparisonCounts{} };
}

} // namespace

ControlPlane::ControlPlane(net::asio::io_context& aContext,
                           const settings::IngressSettings& aSettings,
                           const store::StoreDialect& aDialect,
                           ingress::FreshnessLease& aLease,
                           metrics::Registry& aMetrics,
                           PostTask aPost)
  : mContext(aContext)
  , mSettings(aSettings)
  , mDialect(aDialect)
  , mLease(aLease)
  , mPost(std::move(aPost))
  , mMetrics(aMetrics)
  , mClient(aContext.get_executor(), aSettings.mStore, aMetrics)
  , mRecordClient(aContext.get_executor(),
                  {},
                  aMetrics,
                  "figslip_relay_calls_total")
  , mRelayServer(aContext, mFollowers, NewEpoch())
  , mRelayFollower(aContext,
                   mFollowers,
                   mRelayServer,
                   aMetrics,
                   { .mInstance = aSettings.mInstance,
                     .mFailureDomain = aSettings.mFailureDomain })
  , mRegisteredUpstreams({ .mMinOutage = MinOutage(aSettings) })
  , mCrashes({ .mSeed = SeedOf(aSettings.mInstance) })
  , mSuspects({ .mSeed = SeedOf(aSettings.mInstance) })
  , mRecovery({ .mSeed = SeedOf(aSettings.mInstance) })
  , mForwarder({ .mMaxDirectPublishers = aSettings.mMaxDirectPublishers })
{
}

Result<void>
ControlPlane::Start()
{
  // calls without updates return early enough to detect a silent connection
  // within the bounds of each kind
  auto configuration =
    MakeCallbacks(ObjectKind::Configuration,
                  [this](const auto& aObjects) { OnConfiguration(aObjects); });
  configuration.mOnConfirmed =
    [this, onConfirmed = configuration.mOnConfirmed](TimePoint aSentAt) {
      if (mNewestVersion >= 0) {
        ConfirmLease(aSentAt);
      }
      onConfirmed(aSentAt);
      mRelayFollower.OnStoreAnswered();
    };
  // the other kinds are not polled while the configuration is lost
  configuration.mOnRegained = [this, onRegained = configuration.mOnRegained] {
    onRegained();
    for (const auto& follower : mFollowers) {
      follower->RetryNow();
    }
  };
  Follow({ .mKind = ObjectKind::Configuration,
           .mCallInterval = kConfigurationPollInterval,
           .mListsOnly = true },
         std::move(configuration));
  Follow({ .mKind = ObjectKind::Upstreams,
           .mWatchTimeout = milliseconds(2'000),
           .mCallInterval = milliseconds(650) },
         MakeCallbacks(ObjectKind::Upstreams, [this](const auto& aObjects) {
           OnUpstreams(aObjects);
         }));
  Follow(
    { .mKind = ObjectKind::Rollouts, .mWatchTimeout = milliseconds(3'000) },
    MakeCallbacks(ObjectKind::Rollouts,
                  [this](const auto& aObjects) { OnRollouts(aObjects); }));
  Follow({ .mKind = ObjectKind::Drains, .mWatchTimeout = milliseconds(3'000) },
         MakeCallbacks(ObjectKind::Drains,
                       [this](const auto& aObjects) { OnDrains(aObjects); }));
  Follow({ .mKind = ObjectKind::Shared,
           .mWatchTimeout = milliseconds(8'000),
           .mCallInterval = milliseconds(900) },
         MakeCallbacks(ObjectKind::Shared, [this](const auto& aObjects) {
           OnSharedObjects(aObjects);
         }));
  mRelayServer.SetOnRecords(
    [this](std::string_view aBody) { return OnForwardedRecords(aBody); });
  auto started = mRelayServer.Start(
    mSettings.mPeers,
    admission::DivideConnectionLimits(mSettings.mMemoryMb,
                                      mSettings.mMaxDescriptors,
                                      mSettings.mCallerMemoryShare));
  if (!started) {
    return started;
  }
  net::asio::co_spawn(mContext, RunHousekeeping(), net::asio::detached);
  net::asio::co_spawn(mContext, Register(), net::asio::detached);
  return outcome::success();
}

store::ObjectFollower::Callbacks
ControlPlane::MakeCallbacks(
  ObjectKind aKind,
  std::function<void(const store::ObjectFollower::Objects&)> aOnObjects)
{
  const std::string kind(store::NameOf(aKind));
  return {
    .mOnObjects = std::move(aOnObjects),
    .mOnConfirmed = [this](TimePoint aSentAt) { OnStoreAnswered(aSentAt); },
    .mOnLost =
      [this, aKind, kind](const std::string& aReason, TimePoint aSince) {
        mRegisteredUpstreams.OnStoreLost(aSince);
        const auto overdue = ReadBootClock() - aSince;
        log::Write(
          log::Level::Warning,
          "store_lost",
          { { "kind", kind },
            { "reason", aReason },
            { "overdue_ms", std::to_string(overdue / milliseconds(1)) } });
        if (mLostKinds.OnLost(aKind)) {
          mPost([](TrafficState& aState) { aState.mRollouts.OnStoreLost(); });
        }
      },
    .mOnRegained =
      [this, aKind, kind] {
        log::Write(log::Level::Info, "store_regained", { { "kind", kind } });
        // a copy of another instance shows too that the store answers
        OnStoreAnswered(ReadBootClock());
        if (mLostKinds.OnRegained(aKind)) {
          mPost([](TrafficState& aState) {
            aState.mRollouts.OnStoreRegained(ReadBootClock());
          });
        }
      },
    // during an outage only one kind retries, to limit the load of the calls
    .mMayRetry =
      [this, aKind] {
        return aKind == ObjectKind::Configuration ||
               !relay::FollowerOf(mFollowers, ObjectKind::Configuration)
                  .IsLost();
      }
  };
}

void
ControlPlane::Follow(store::ObjectFollower::Options aOptions,
                     store::ObjectFollower::Callbacks aCallbacks)
{
  const auto index = mFollowers.size();
  const auto relays = [&](auto aCallback) {
    return
      [this, index, callback = std::move(aCallback)](const auto&... aValues) {
        callback(aValues...);
        mRelayServer.OnNews(*mFollowers.at(index));
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
    if (object.mRevision == mLastReadRevision) {
      continue;
    }
    auto read = mDialect.mReadConfiguration(object);
    if (!read) {
      LogUnreadable(object, "configuration", read.assume_error());
      continue;
    }
    mLastReadRevision = object.mRevision;
    auto configuration = std::move(read).assume_value();
    const ConfigurationOrigin origin{ .mSource = ConfigurationSource(),
                                      .mRevision = object.mRevision };
    const auto version = configuration.mVersion;
    if (version > mNewestVersion) {
      KeepForRecovery(object);
      Adopt(std::move(configuration), origin);
    } else if (version < mNewestVersion) {
      LogConfiguration("configuration_ignored", configuration, origin);
    }
    mRecovery.OnStored(version,
                       object.mRevision.Era(),
                       mRelayFollower.LastSource().empty(),
                       ReadBootClock());
  }
}

void
ControlPlane::KeepForRecovery(const store::Object& aObject)
{
  const nlohmann::json record = { { kNameField, aObject.mName },
                                  { kConfigurationField, aObject.mSpec } };
  mConfigurationRecord = record.dump();
}

std::optional<ControlPlane::ConfigurationCopy>
ControlPlane::ReadRecord(const store::Object& aRecord, std::int64_t aVersion)
{
  ConfigurationCopy copy;
  copy.mObject.mName = json::TextOr(aRecord.mSpec, kNameField, "");
  copy.mObject.mRevision = aRecord.mRevision;
  const auto spec = aRecord.mSpec.find(kConfigurationField);
  if (spec != aRecord.mSpec.end()) {
    copy.mObject.mSpec = *spec;
  }
  auto read = mDialect.mReadConfiguration(copy.mObject);
  if (!read) {
    LogUnreadable(aRecord, "configuration", read.assume_error());
    return std::nullopt;
  }
  copy.mContent = std::move(read).assume_value();
  return copy.mContent.mVersion == aVersion ? std::optional(std::move(copy))
                                            : std::nullopt;
}

void
ControlPlane::RecoverConfiguration(
  const store::ObjectFollower::Objects& aShared)
{
  std::set<std::int64_t> versions;
  std::optional<ConfigurationCopy> newest;
  for (const auto& [name, record] : aShared) {
    const auto version = ingress::ConfigurationRecovery::VersionOf(name);
    if (!version) {
      continue;
    }
    if (*version <= mNewestVersion) {
      versions.insert(*version);
      continue;
    }
    auto copy = ReadRecord(record, *version);
    if (copy) {
      versions.insert(*version);
      if (!newest || newest->mContent.mVersion < *version) {
        newest = std::move(copy);
      }
    }
  }
  const auto revision =
    relay::FollowerOf(mFollowers, ObjectKind::Shared).Revision();
  mRecovery.OnRecords(std::move(versions),
                      revision ? revision->Era() : store::StoreEra{},
                      ReadBootClock());
  if (newest) {
    KeepForRecovery(newest->mObject);
    Adopt(std::move(newest->mContent),
          { .mSource = "record", .mRevision = newest->mObject.mRevision });
  }
}

void
ControlPlane::PublishConfiguration()
{
  const auto now = ReadBootClock();
  const bool followsStore = mRelayFollower.LastSource().empty();
  if (mRecovery.TakeDue(now)) {
    log::Write(log::Level::Warning,
               "configuration_published",
               { { "configuration", std::to_string(mNewestVersion) } });
    StartCreation(ingress::ConfigurationRecovery::RecordName(mNewestVersion),
                  nlohmann::json::parse(mConfigurationRecord),
                  "create configuration record");
  }
  for (const auto& name : mRecovery.TakeObsolete(followsStore, now)) {
    StartRemoval(name, "remove configuration record");
  }
}

void
ControlPlane::ConfirmLease(TimePoint aSentAt)
{
  const auto now = ReadBootClock();
  const bool wasHeld = mLease.IsHeld(now);
  mLease.Confirm(aSentAt);
  if (wasHeld || !mLease.IsHeld(now)) {
    return;
  }
  const auto revision =
    relay::FollowerOf(mFollowers, ObjectKind::Configuration).Revision();
  const auto era = revision ? revision->Era() : store::StoreEra{};
  log::Write(
    log::Level::Info,
    "keys_confirmed",
    { { "configuration", std::to_string(mNewestVersion) },
      { "source", ConfigurationSource() },
      { "era", std::to_string(static_cast<std::int64_t>(era)) },
      { "revision", std::to_string(revision ? revision->Number() : 0) },
      { "age_ms", std::to_string((now - aSentAt) / milliseconds(1)) } });
}

std::string
ControlPlane::ConfigurationSource() const
{
  const auto source = mRelayFollower.LastSource();
  return source.empty() ? "store" : source;
}

void
ControlPlane::Adopt(ingress::Configuration aConfiguration,
                    const ConfigurationOrigin& aOrigin)
{
  LogConfiguration("configuration_in_force", aConfiguration, aOrigin);
  mNewestVersion = aConfiguration.mVersion;
  mRecovery.OnInForce(mNewestVersion);
  mMetrics.GaugeOf("figslip_configuration_version", {})
    .Set(static_cast<double>(mNewestVersion));
  const auto index = std::make_shared<const ingress::ConfigurationIndex>(
    std::move(aConfiguration));
  mPost([index](TrafficState& aState) { aState.OnConfiguration(index); });
}

void
ControlPlane::LogConfiguration(std::string_view aEvent,
                               const ingress::Configuration& aConfiguration,
                               const ConfigurationOrigin& aOrigin) const
{
  const auto era = static_cast<std::int64_t>(aOrigin.mRevision.Era());
  log::Write(log::Level::Info,
             std::string(aEvent),
             { { "configuration", std::to_string(aConfiguration.mVersion) },
               // empty: none yet
               { "in_force_before",
                 mNewestVersion < 0 ? "" : std::to_string(mNewestVersion) },
               { "source", aOrigin.mSource },
               { "era", std::to_string(era) },
               { "revision", std::to_string(aOrigin.mRevision.Number()) },
               { "routes", std::to_string(aConfiguration.mRoutes.size()) },
               // empty: none was confirmed since the start
               { "confirmed_before_ms",
                 mLease.WasConfirmed()
                   ? std::to_string((ReadBootClock() - mLease.ConfirmedAt()) /
                                    milliseconds(1))
                   : "" } });
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
  mRegisteredUpstreams.OnEntries(entries, ReadBootClock());
  PublishUpstreams();
}

void
ControlPlane::PublishUpstreams()
{
  mPost([entries = mRegisteredUpstreams.Entries()](TrafficState& aState) {
    aState.OnUpstreams(entries);
  });
}

net::Awaitable<void>
ControlPlane::RunHousekeeping()
{
  while (true) {
    co_await net::Sleep(kHousekeepingInterval);
    DropExpiredUpstreams();
    RemoveDueRecords();
    PublishCrashes();
    PublishParts();
    PublishConfiguration();
  }
}

void
ControlPlane::OnStoreAnswered(TimePoint aSentAt)
{
  mStoreAnsweredAt = std::max(mStoreAnsweredAt, aSentAt);
  mRegisteredUpstreams.OnStoreAnswered(aSentAt);
  DropExpiredUpstreams();
}

void
ControlPlane::DropExpiredUpstreams()
{
  const auto kept = mRegisteredUpstreams.RetainedCount();
  if (kept > 0 && mRegisteredUpstreams.Expire(ReadBootClock())) {
    log::Write(log::Level::Info,
               "lapsed_upstreams_dropped",
               { { "upstreams", std::to_string(kept) } });
    PublishUpstreams();
  }
}

void
ControlPlane::RemoveDueRecords()
{
  const auto now = ReadBootClock();
  const bool followsStore = !mRelayFollower.FollowedSource();
  for (const auto& name : mCrashes.TakeExpired(followsStore, now)) {
    StartRemoval(name, "remove crash record");
  }
  for (const auto& name : mPartRecords.TakeExpired(followsStore, now)) {
    StartRemoval(name, "remove part record");
  }
}

void
ControlPlane::PublishParts()
{
  for (const auto& crash :
       mSuspects.TakeDue(kMaxCrashesPerInterval, ReadBootClock())) {
    CreatePartRecord(quarantine::FormatCrashRecord(crash));
  }
  const auto served = mServedParts.TakeDue(ReadBootClock());
  if (!served.empty()) {
    CreatePartRecord(quarantine::FormatServedRecord(served));
  }
}

void
ControlPlane::CreatePartRecord(const nlohmann::json& aRecord)
{
  mLastPartRecord = std::max(
    mLastPartRecord + 1,
    std::chrono::duration_cast<milliseconds>(ReadClock().time_since_epoch())
      .count());
  const auto name =
    quarantine::PartRecordName(mSettings.mInstance, mLastPartRecord);
  mPartRecords.OnOwnRecord(name, ReadBootClock());
  StartCreation(name, aRecord, "create part record");
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
        { "revision", std::to_string(object.mRevision.Number()) } });
  }
  mOpenRollouts.emplace();
  for (const auto& order : orders) {
    if (order.mState == rollout::RolloutState::Ordered ||
        order.mState == rollout::RolloutState::InProgress) {
      mOpenRollouts->insert(order.mService);
    }
  }
  RemoveOldEvidence();
  mPost([orders](TrafficState& aState) {
    aState.mRollouts.OnOrders(orders, ReadBootClock());
  });
}

void
ControlPlane::OnDrains(const store::ObjectFollower::Objects& aObjects)
{
  std::set<std::string> domains;
  std::string names;
  for (const auto& [name, object] : aObjects) {
    if (name.empty()) {
      LogUnreadable(object, "drain", object.mFindings);
      continue;
    }
    domains.insert(name); // only the name counts
    names += name + " ";
  }
  log::Write(log::Level::Info, "drained_domains", { { "domains", names } });
  mPost([domains](TrafficState& aState) { aState.mBoard.SetDrained(domains); });
}

void
ControlPlane::OnSharedObjects(const store::ObjectFollower::Objects& aObjects)
{
  std::vector<relay::Peer> peers;
  std::vector<membership::InstanceLocation> places;
  std::map<std::string, int> crashes;
  std::vector<rollout::EvidenceReport> evidence;
  std::vector<rollout::SessionReport> sessions;
  std::set<std::string, std::less<>> partRecords;
  for (const auto& [name, object] : aObjects) {
    if (!object.mFindings.empty()) {
      LogUnreadable(object, "shared", object.mFindings);
      continue;
    }
    if (name.starts_with(kInstancePrefix)) {
      relay::Peer peer{ .mInstance = name.substr(kInstancePrefix.size()),
                        .mFailureDomain =
                          json::TextOr(object.mSpec, kDomainField, ""),
                        .mAddress =
                          json::TextOr(object.mSpec, kPeersField, "") };
      const bool isUsable = IsName(peer.mInstance) &&
                            IsName(peer.mFailureDomain) &&
                            IsName(peer.mAddress);
      if (!isUsable) {
        LogUnreadable(object,
                      "shared",
                      { { error::ErrorKind::PlatformMalformed,
                          "/spec",
                          "the instance has no place or address" } });
        continue;
      }
      peers.push_back(std::move(peer));
      places.push_back({ .mName = peers.back().mInstance,
                         .mFailureDomain = peers.back().mFailureDomain,
                         .mAddress = peers.back().mAddress });
    } else if (name.starts_with(kEvidencePrefix)) {
      auto report = ReadEvidence(object.mSpec);
      const auto instance = json::TextOr(object.mSpec, kInstanceField, "");
      if (instance == mSettings.mInstance) {
        // lists may still contain a version that was removed since
        const bool isNews =
          !mLastEvidenceRevision ||
          store::IsBehind(*mLastEvidenceRevision, object.mRevision);
        if (isNews) {
          mLastEvidenceRevision = object.mRevision;
          mOwnEvidence.insert(report.mService);
        }
      } else if (report.mCounts.IsPlausible()) {
        evidence.push_back(std::move(report));
      }
    } else if (rollout::IsSessionRecord(name)) {
      if (auto report = ReadSessions(object)) {
        sessions.push_back(std::move(*report));
      }
    } else if (quarantine::CrashRecords::IsRecord(name)) {
      const auto inFlight = json::NumberOr(object.mSpec, kInFlightField, 1.0);
      crashes.emplace(
        name, static_cast<int>(std::clamp(inFlight, 1.0, kMaxInFlight)));
    } else if (quarantine::IsPartRecord(name)) {
      partRecords.insert(name);
    }
  }
  RecoverConfiguration(aObjects);
  mDomainPeers.clear();
  for (const auto& peer : peers) {
    if (peer.mFailureDomain == mSettings.mFailureDomain) {
      mDomainPeers.insert(peer.mInstance);
    }
  }
  mRelayFollower.OnPeers(peers);
  relay::FollowerOf(mFollowers, ObjectKind::Configuration)
    .SetMaxBackoff(
      std::clamp<Duration>(kRetryBackoffPerInstance * places.size(),
                           kMinRetryBackoffLimit,
                           kMaxRetryBackoffLimit));
  mInstanceCount = static_cast<int>(places.size());
  mRecovery.SetInstanceCount(mInstanceCount);
  mCrashes.SetInstanceCount(mInstanceCount);
  mSuspects.SetInstanceCount(mInstanceCount);
  mForwarder.SetInstanceCount(mInstanceCount);
  const auto reports = mCrashes.OnRecords(crashes, ReadBootClock());
  const auto withdrawn = mCrashes.Withdrawn();
  std::vector<quarantine::CrashSuspects> suspects;
  std::vector<quarantine::PartId> served;
  for (const auto& name :
       mPartRecords.OnRecords(partRecords, ReadBootClock())) {
    const auto& record = aObjects.at(name).mSpec;
    if (auto crash = quarantine::ReadCrashRecord(record)) {
      mSuspects.OnPublished(*crash, ReadBootClock());
      suspects.push_back(std::move(*crash));
    }
    std::ranges::copy(quarantine::ReadServedRecord(record),
                      std::back_inserter(served));
  }
  mServedParts.OnPublished(served, ReadBootClock());
  mForwarder.OnPublished(
    { .mReports = reports, .mSuspects = suspects, .mServed = served });
  const auto uncounted = mCrashes.WithoutCounted(reports, ReadBootClock());
  log::Write(log::Level::Info,
             "instances_known",
             { { "instances", std::to_string(places.size()) },
               { "crash_records", std::to_string(crashes.size()) },
               { "part_records", std::to_string(partRecords.size()) } });
  std::erase_if(mSessionRevisions, [&](const auto& aEntry) {
    return !aObjects.contains(aEntry.first);
  });
  RemoveOldEvidence();
  mPost([places, uncounted, withdrawn, evidence, sessions, suspects, served](
          TrafficState& aState) {
    aState.OnInstances(places);
    aState.OnCrashesWithdrawn(withdrawn);
    aState.OnCrashReports(uncounted);
    aState.mRollouts.OnPeerReports(evidence);
    for (const auto& report : sessions) {
      aState.mRollouts.OnPeerSessions(report, ReadBootClock());
    }
    aState.OnPartRecords(suspects, served);
  });
}

void
ControlPlane::WriteStatus(const rollout::StatusChange& aChange)
{
  log::Write(
    log::Level::Info,
    "rollout_status",
    { { "service", aChange.mOrder.mService },
      { "version", aChange.mOrder.mTarget },
      { "state", std::string(rollout::NameOf(aChange.mState)) },
      { "reason", aChange.mReason },
      { "revision", std::to_string(aChange.mOrder.mRevision.Number()) } });
  // one attempt: a change that is still due is reported again
  net::asio::co_spawn(
    mContext,
    [this,
     request = mDialect.mPutStatus(aChange)]() mutable -> net::Awaitable<void> {
      const auto result = co_await mClient.Call(
        std::move(request), "put rollout status", kWriteTimeout);
      log::Write(log::Level::Info,
                 "rollout_status_written",
                 { { "status", std::to_string(result.mStatus) },
                   { "reason", result.mReason } });
      // after a conflict, the orders tell what another instance has written
      if (!result.mReason.empty() && result.mStatus != kConflict) {
        mPost([](TrafficState& aState) {
          aState.mRollouts.OnWriteFailed(ReadBootClock());
        });
      }
    },
    net::asio::detached);
}

void
ControlPlane::ReportCrash(const quarantine::CrashReport& aReport)
{
  if (aReport.mInFlight > kMaxSharedInFlight) {
    return;
  }
  mCrashes.OnCounted(aReport, ReadBootClock());
  if (!mCrashes.IsKnown(aReport)) {
    Forward({ .mReports = { aReport }, .mSuspects = {}, .mServed = {} });
  }
}

void
ControlPlane::Forward(const quarantine::RecordBatch& aRecords)
{
  // a change of the source applies first
  StepForwarding();
  mForwarder.Add(aRecords, ReadBootClock());
  StepForwarding();
  if (!mIsForwarding && !mForwarder.IsIdle()) {
    mIsForwarding = true;
    net::asio::co_spawn(mContext, RunForwarding(), net::asio::detached);
  }
}

net::Awaitable<void>
ControlPlane::RunForwarding()
{
  while (!mForwarder.IsIdle()) {
    co_await net::Sleep(kForwardLook);
    StepForwarding();
  }
  mIsForwarding = false;
}

void
ControlPlane::StepForwarding()
{
  const auto now = ReadBootClock();
  auto source = mRelayFollower.FollowedSource();
  // an instance of another failure domain rejects the records
  if (source && source->mFailureDomain != mSettings.mFailureDomain) {
    source.reset();
  }
  const auto process = source ? source->mProcess : std::string();
  if (source && process != mRecordTarget) {
    mRecordTarget = process;
    mRecordClient.SetEndpoint(source->mEndpoint);
  }
  mForwarder.OnSource(process, now);
  const auto own = mForwarder.TakeOwn(now);
  if (!own.IsEmpty()) {
    Merge(own);
    for (const auto& name : own.mWithdrawn) {
      StartRemoval(name, "withdraw crash record");
    }
  }
  if (auto message = mForwarder.TakeMessage(now)) {
    net::asio::co_spawn(
      mContext, SendRecords(std::move(*message)), net::asio::detached);
  }
}

net::Awaitable<void>
ControlPlane::SendRecords(quarantine::RecordForwarder::Message aMessage)
{
  using quarantine::ForwardOutcome;
  const auto source = mRecordTarget;
  net::RequestMessage request{
    .mMethod = "POST",
    .mTarget = std::string(relay::kRecordsPath),
    .mHeaders = { { .mName = "Content-Type", .mValue = "application/json" } },
    .mBody = quarantine::FormatRecordMessage(
      { .mInstance = mSettings.mInstance, .mBatch = aMessage.mBatch })
  };
  const auto result = co_await mRecordClient.Call(
    std::move(request), "forward records", kForwardTimeout);
  auto outcome = ForwardOutcome::Failed;
  if (result.mStatus == kOk) {
    outcome = ForwardOutcome::Accepted;
  } else if (result.mStatus == kUnavailable) {
    outcome = ForwardOutcome::Busy;
  }
  log::Write(outcome == ForwardOutcome::Accepted ? log::Level::Info
                                                 : log::Level::Warning,
             "records_forwarded",
             { { "source", source },
               { "records", std::to_string(aMessage.mBatch.RecordCount()) },
               { "status", std::to_string(result.mStatus) },
               { "reason", result.mReason } });
  const auto retryAfter = mWriteBackoff.Before(retry::WriteUrgency::Background,
                                               mForwarder.Refusals() + 1,
                                               mInstanceCount,
                                               Random());
  mForwarder.OnAnswer(aMessage.mId, outcome, retryAfter, ReadBootClock());
}

bool
ControlPlane::Merge(const quarantine::RecordBatch& aRecords)
{
  const auto now = ReadBootClock();
  bool hasRoom = true;
  const auto onTaken = [&](bool aIsTaken, const std::string& aUpstream) {
    if (!aIsTaken) {
      hasRoom = false;
      log::Write(log::Level::Warning,
                 "crash_report_dropped",
                 { { "upstream", aUpstream } });
    }
  };
  for (const auto& report : aRecords.mReports) {
    onTaken(mCrashes.OnOwnReport(report, now), report.mUpstream);
  }
  for (const auto& crash : aRecords.mSuspects) {
    onTaken(mSuspects.OnOwn(crash, now), crash.mEndpoint);
  }
  mServedParts.OnOwn(aRecords.mServed, now);
  PublishCrashes();
  return hasRoom;
}

unsigned
ControlPlane::OnForwardedRecords(std::string_view aBody)
{
  const auto answer = [&](unsigned aStatus,
                          const std::string& aInstance,
                          const std::string& aReason) {
    mMetrics
      .CounterOf("figslip_forwarded_records_messages_total",
                 { { "status", std::to_string(aStatus) } })
      .Add();
    if (aStatus != kOk) {
      log::Write(log::Level::Warning,
                 "records_refused",
                 { { "instance", aInstance },
                   { "status", std::to_string(aStatus) },
                   { "reason", aReason } });
    }
    return aStatus;
  };
  if (aBody.empty()) {
    return answer(kTooLarge, "", "the message is too large or empty");
  }
  auto parsed = quarantine::ParseRecordMessage(aBody);
  if (!parsed) {
    return answer(
      kBadRequest, "", error::JoinMessages(parsed.assume_error(), "; "));
  }
  const auto& message = parsed.assume_value();
  if (!mDomainPeers.contains(message.mInstance)) {
    return answer(kForbidden,
                  message.mInstance,
                  "it is not registered in this failure domain");
  }
  if (!mRelayServer.IsCurrent()) {
    return answer(
      kUnavailable, message.mInstance, "this instance has no current copy");
  }
  for (const auto& name : message.mBatch.mWithdrawn) {
    if (mCrashes.TakeRecord(name)) {
      StartRemoval(name, "withdraw crash record");
    }
  }
  ApplyForwarded(message.mBatch);
  return Merge(message.mBatch) ? answer(kOk, message.mInstance, "")
                               : answer(kNoRoom, message.mInstance, "no room");
}

void
ControlPlane::ApplyForwarded(const quarantine::RecordBatch& aRecords)
{
  const auto now = ReadBootClock();
  std::vector<quarantine::CrashReport> reports;
  std::ranges::copy_if(
    aRecords.mReports, std::back_inserter(reports), [&](const auto& aReport) {
      return !mCrashes.IsKnown(aReport);
    });
  reports = mCrashes.WithoutCounted(std::move(reports), now);
  for (auto& report : reports) {
    report.mSeenAt = now;
    mCrashes.OnCounted(report, now);
  }
  std::vector<quarantine::CrashSuspects> suspects;
  std::ranges::transform(
    aRecords.mSuspects, std::back_inserter(suspects), [&](const auto& aCrash) {
      return mSuspects.WithoutKnown(aCrash);
    });
  std::erase_if(suspects,
                [](const auto& aCrash) { return aCrash.mParts.empty(); });
  if (reports.empty() && suspects.empty() && aRecords.mServed.empty()) {
    return;
  }
  mPost([reports = std::move(reports),
         suspects = std::move(suspects),
         served = aRecords.mServed](TrafficState& aState) {
    aState.OnCrashReports(reports);
    aState.OnPartRecords(suspects, served);
  });
}

void
ControlPlane::PublishCrashes()
{
  for (const auto& report : mCrashes.TakeDue(ReadBootClock())) {
    const auto name = quarantine::CrashRecords::NameOf(report);
    StartCreation(
      name, { { kInFlightField, report.mInFlight } }, "create crash record");
  }
}

void
ControlPlane::WithdrawCrashes(const std::set<std::uint64_t>& aFingerprints)
{
  mForwarder.OnServed(aFingerprints);
  std::vector<std::string> withdrawn;
  for (auto& name : mCrashes.TakeRecordsOf(aFingerprints)) {
    log::Write(
      log::Level::Info, "crash_record_withdrawn", { { "record", name } });
    // another instance may not know a record that this one is writing, or has
    // written a moment ago
    if (mWrites.contains(name) || mCrashes.IsOwnUnlisted(name)) {
      StartRemoval(name, "withdraw crash record");
    } else {
      withdrawn.push_back(std::move(name));
    }
  }
  if (!withdrawn.empty()) {
    Forward({ .mReports = {},
              .mSuspects = {},
              .mServed = {},
              .mWithdrawn = std::move(withdrawn) });
  }
}

void
ControlPlane::ShareEvidence(const rollout::EvidenceReport& aReport)
{
  log::Write(
    log::Level::Info,
    "rollout_evidence",
    { { "service", aReport.mService }, { "counts", aReport.mCounts.Text() } });
  net::asio::co_spawn(mContext, WriteEvidence(aReport), net::asio::detached);
}

net::Awaitable<void>
ControlPlane::WriteEvidence(rollout::EvidenceReport aReport)
{
  const auto name = EvidenceName(aReport.mService, mSettings.mInstance);
  const nlohmann::json spec = { { kServiceField, aReport.mService },
                                { kInstanceField, mSettings.mInstance },
                                { kCreatedField, aReport.mCreated },
                                { kRoutesField,
                                  WriteCounts(aReport.mCounts) } };
  const bool isKnown = mOwnEvidence.contains(aReport.mService);
  auto request = isKnown ? mDialect.mReplaceShared(name, spec)
                         : mDialect.mCreateShared(name, spec);
  auto result = co_await mClient.Call(
    std::move(request), "share roll-out evidence", kWriteTimeout);
  if (result.mOutcome == store::CallOutcome::Answered) {
    if (result.mStatus == kNotFound) {
      mOwnEvidence.erase(aReport.mService);
    } else {
      mOwnEvidence.insert(aReport.mService);
    }
  }
  if (result.mStatus == kConflict) {
    auto replace = mDialect.mReplaceShared(name, spec);
    result = co_await mClient.Call(
      std::move(replace), "share roll-out evidence again", kWriteTimeout);
  }
  const bool isWritten = result.mOutcome == store::CallOutcome::Answered &&
                         result.mStatus < kFirstClientError;
  if (!isWritten) {
    mPost([service = aReport.mService,
           created = aReport.mCreated](TrafficState& aState) {
      aState.mRollouts.OnReportFailed(service, created);
    });
  }
  RemoveOldEvidence();
}

void
ControlPlane::ShareSessions(const rollout::SessionReport& aReport)
{
  log::Write(
    log::Level::Info,
    "sessions_withdrawn",
    { { "service", aReport.mService },
      { "version", aReport.mWithdrawal.mTarget },
      { "rolled_back", aReport.mWithdrawal.mIsRolledBack ? "true" : "false" },
      { "sessions", std::to_string(aReport.mSessions.size()) } });
  auto name = rollout::SessionRecordName(aReport.mService, mSettings.mInstance);
  if (!aReport.mSessions.empty()) {
    net::asio::co_spawn(mContext,
                        WriteShared(std::move(name),
                                    rollout::FormatSessionRecord(aReport),
                                    "share withdrawn sessions"),
                        net::asio::detached);
  } else if (mOwnSessions.erase(name) > 0) {
    StartRemoval(name, "remove withdrawn sessions");
  }
}

net::Awaitable<void>
ControlPlane::WriteShared(std::string aName,
                          nlohmann::json aSpec,
                          std::string aCall)
{
  const bool isKnown = !mOwnSessions.insert(aName).second;
  auto request = isKnown ? mDialect.mReplaceShared(aName, aSpec)
                         : mDialect.mCreateShared(aName, aSpec);
  const auto [state, earlier] = ReplaceWrite(aName, !isKnown);
  while (earlier && earlier->IsInFlight()) {
    co_await net::Sleep(kWriteLook);
  }
  const auto status =
    co_await WriteWithRetries(std::move(request), aCall, state);
  // an earlier process of this name may have left one, or the write that
  // created it was replaced
  const bool isOther = status == kConflict || status == kNotFound;
  if (isOther && !state->IsReplaced()) {
    request = status == kConflict ? mDialect.mReplaceShared(aName, aSpec)
                                  : mDialect.mCreateShared(aName, aSpec);
    co_await WriteWithRetries(std::move(request), aCall, state);
  }
  EndWrite(aName, state);
}

std::optional<rollout::SessionReport>
ControlPlane::ReadSessions(const store::Object& aObject)
{
  const auto [known, isNew] =
    mSessionRevisions.try_emplace(aObject.mName, aObject.mRevision);
  if (!isNew &&
      std::exchange(known->second, aObject.mRevision) == aObject.mRevision) {
    return std::nullopt;
  }
  auto report = rollout::ReadSessionRecord(aObject.mSpec);
  if (!report) {
    LogUnreadable(aObject,
                  "shared",
                  { { error::ErrorKind::PlatformMalformed,
                      "/spec",
                      "the sessions have no instance, service or target" } });
    return std::nullopt;
  }
  const bool isOwn = report->mInstance == mSettings.mInstance;
  // an object of this instance that this process has not written was left by an
  // earlier one
  return !isOwn || mOwnSessions.insert(aObject.mName).second ? report
                                                             : std::nullopt;
}

void
ControlPlane::RemoveOldEvidence()
{
  if (!mOpenRollouts) {
    return;
  }
  std::erase_if(mOwnEvidence, [this](const std::string& aService) {
    const bool isOld = !mOpenRollouts->contains(aService);
    if (isOld) {
      StartRemoval(EvidenceName(aService, mSettings.mInstance),
                   "remove roll-out evidence");
    }
    return isOld;
  });
}

void
ControlPlane::ReportSuspects(const quarantine::CrashSuspects& aCrash)
{
  const auto crash = mSuspects.WithoutKnown(aCrash);
  if (!crash.mParts.empty()) {
    Forward({ .mReports = {}, .mSuspects = { crash }, .mServed = {} });
  }
}

void
ControlPlane::ReportServed(const std::vector<quarantine::PartId>& aParts)
{
  Forward({ .mReports = {}, .mSuspects = {}, .mServed = aParts });
}

nlohmann::json
ControlPlane::Registration() const
{
  return { { kDomainField, mSettings.mFailureDomain },
           { kPeersField,
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
    co_await mClient.Call(std::move(first), call, kFirstRegistrationTimeout);
  // the list of instances is read after the registration, so that instances
  // that start together discover each other
  mRelayFollower.Start();
  auto status = result.mStatus;
  const auto state = std::make_shared<retry::WriteState>(true);
  const bool isDone = result.mOutcome == store::CallOutcome::Answered;
  if (!isDone) {
    status = co_await WriteWithRetries(
      std::move(request), call, state, retry::WriteUrgency::Prompt);
  }
  if (status == kConflict) {
    // an earlier process of this name may have registered another address
    request = mDialect.mReplaceShared(name, Registration());
    const std::string again = "register instance again";
    co_await WriteWithRetries(
      std::move(request), again, state, retry::WriteUrgency::Prompt);
  }
}

void
ControlPlane::SetStoreEndpoint(const net::Endpoint& aStore)
{
  mClient.SetEndpoint(aStore);
}

net::Awaitable<void>
ControlPlane::Deregister()
{
  mRelayFollower.StopServing();
  auto request =
    mDialect.mRemoveShared(std::string(kInstancePrefix) + mSettings.mInstance);
  const std::string call = "deregister instance";
  const auto result =
    co_await mClient.Call(std::move(request), call, kWriteTimeout);
  if (result.mOutcome != store::CallOutcome::Answered) {
    log::Write(log::Level::Warning,
               "write_failed",
               { { "call", call }, { "reason", result.mReason } });
  }
}

net::Awaitable<unsigned>
ControlPlane::WriteWithRetries(net::RequestMessage aRequest,
                               std::string aName,
                               WriteStatePtr aState,
                               retry::WriteUrgency aUrgency)
{
  const auto startedAt = ReadBootClock();
  int attempts = 0;
  while (!aState->IsReplaced()) {
    auto request = aRequest;
    aState->OnSent();
    const auto result =
      co_await mClient.Call(std::move(request), aName, kWriteTimeout);
    aState->OnEnded(result.mOutcome != store::CallOutcome::Unavailable);
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
                 { "answer", result.mBody.substr(0, kMaxLoggedAnswerBytes) } });
    ++attempts;
    const auto failedAt = ReadBootClock();
    const bool mayRetry =
      mWriteBackoff.MayRetry(aUrgency, attempts, failedAt - startedAt);
    if (!mayRetry) {
      log::Write(
        log::Level::Warning,
        "write_abandoned",
        { { "call", aName }, { "attempts", std::to_string(attempts) } });
      co_return 0;
    }
    co_await net::Sleep(
      mWriteBackoff.Before(aUrgency, attempts, mInstanceCount, Random()));
    if (retry::WriteBackoff::AwaitsStore(aUrgency, attempts)) {
      co_await AwaitStore(failedAt, startedAt);
    }
  }
  log::Write(log::Level::Info, "write_replaced", { { "call", aName } });
  co_return 0;
}

net::Awaitable<void>
ControlPlane::AwaitStore(TimePoint aFailedAt, TimePoint aStartedAt)
{
  bool hasWaited = false;
  auto now = ReadBootClock();
  while (mStoreAnsweredAt <= aFailedAt &&
         mWriteBackoff.MayWait(now - aStartedAt)) {
    hasWaited = true;
    co_await net::Sleep(kWriteLook);
    now = ReadBootClock();
  }
  if (hasWaited) {
    co_await net::Sleep(mWriteBackoff.AfterOutage(mInstanceCount, Random()));
  }
}

void
ControlPlane::StartCreation(const std::string& aObject,
                            const nlohmann::json& aSpec,
                            std::string aCall)
{
  const auto state = ReplaceWrite(aObject, true).first;
  net::asio::co_spawn(
    mContext,
    WriteWithRetries(
      mDialect.mCreateShared(aObject, aSpec), std::move(aCall), state),
    [this, aObject, state](const std::exception_ptr&, unsigned) {
      EndWrite(aObject, state);
    });
}

void
ControlPlane::StartRemoval(const std::string& aObject, std::string aCall)
{
  auto [state, earlier] = ReplaceWrite(aObject, false);
  net::asio::co_spawn(
    mContext,
    Remove(aObject, std::move(aCall), std::move(state), std::move(earlier)),
    net::asio::detached);
}

net::Awaitable<void>
ControlPlane::Remove(std::string aObject,
                     std::string aCall,
                     WriteStatePtr aState,
                     WriteStatePtr aEarlier)
{
  // a creation that is in flight may be executed after a removal
  while (aEarlier && aEarlier->IsInFlight()) {
    co_await net::Sleep(kWriteLook);
  }
  if (aEarlier && aEarlier->IsUnwritten()) {
    log::Write(log::Level::Info, "write_replaced", { { "call", aCall } });
  } else {
    co_await WriteWithRetries(
      mDialect.mRemoveShared(aObject), std::move(aCall), aState);
  }
  EndWrite(aObject, aState);
}

std::pair<ControlPlane::WriteStatePtr, ControlPlane::WriteStatePtr>
ControlPlane::ReplaceWrite(const std::string& aObject, bool aIsCreation)
{
  auto state = std::make_shared<retry::WriteState>(aIsCreation);
  auto earlier = std::exchange(mWrites[aObject], state);
  if (earlier) {
    earlier->OnReplaced();
  }
  return { std::move(state), std::move(earlier) };
}

void
ControlPlane::EndWrite(const std::string& aObject, const WriteStatePtr& aState)
{
  const auto found = mWrites.find(aObject);
  if (found != mWrites.end() && found->second == aState) {
    mWrites.erase(found);
  }
}

double
ControlPlane::Random()
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
}

void
ControlPlane::LogUnreadable(const store::Object& aObject,
                            std::string_view aKind,
                            const error::Findings& aFindings)
{
  if (mLoggedRevisions.size() >= kMaxLoggedObjects) {
    mLoggedRevisions.clear();
  }
  const auto [logged, isNew] = mLoggedRevisions.try_emplace(
    std::string(aKind) + "/" + aObject.mName, aObject.mRevision);
  const auto known = std::exchange(logged->second, aObject.mRevision);
  if (!isNew && known == aObject.mRevision) {
    return;
  }
  const auto findings = error::JoinMessages(aFindings, "; ");
  log::Write(log::Level::Warning,
             "object_unreadable",
             { { "kind", std::string(aKind) },
               { "name", aObject.mName },
               { "revision", std::to_string(aObject.mRevision.Number()) },
               { "findings", findings.substr(0, kMaxLoggedFindingsBytes) } });
}

} // namespace figslip::gateway
