#include <figslip/rollout/session_records.hpp>
#include <figslip/rollout/staged_rollout.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <ranges>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using rollout::RolloutState;
using rollout::StagedRollout;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kSessionTtl = 6'500ms;
constexpr Duration kLength = 16s;
constexpr Duration kMinRunTime = 200ms; ///< of a request
constexpr Duration kMaxRunTime = 4'200ms;
/// The promise does not bind an instance that started a shorter time ago.
constexpr Duration kContactTime = 4s;

/// Requests of sessions that may change their version against the promise, over
/// all instances.
constexpr int kMaxChanged = 3;

constexpr double kExposureShare = 0.12;
constexpr double kExposureSlack = 30.0;

/// Describes the load of a roll-out of a good version.
struct Load
{
  int mInstances = 5;
  Duration mRequestInterval = 3ms; ///< of new sessions, at all instances
  /// time from a change of the order until the last instance has seen it
  Duration mSpread = 10ms;
  /// sessions have been running for this time when the order comes
  Duration mBefore = 20s;
  double mDegraded = 0.0; ///< share of the answers of both versions
  /// since the order; at this time every other instance starts anew
  std::optional<Duration> mRestartAfter;
  /// since the order; at this time every other instance stops, ends its
  /// requests and starts anew
  std::optional<Duration> mStopAfter;
  /// share of the requests whose assigned version has no free slot
  double mFull = 0.0;
  bool mIsBad = false; ///< the answers of the new version fail
  /// another version is ordered this long after the end of the roll-out
  std::optional<Duration> mNextAfter;
};

/// Plays sessions whose requests arrive at any of several instances.
class SessionLoad
{
public:
  SessionLoad(const Load& aLoad, std::uint32_t aSeed)
    : mLoad(aLoad)
    , mRandom(aSeed)
  {
    for (int index = 0; index < aLoad.mInstances; ++index) {
      mInstances.push_back(NewInstance(index));
    }
  }

  void Run()
  {
    constexpr auto kTick = 100ms;
    const auto end = kStart + kLength + (mLoad.mNextAfter ? kLength : 0s);
    for (auto at = kStart - mLoad.mBefore; at < end;
         at += mLoad.mRequestInterval) {
      At(at, [this, id = mRandom()](TimePoint aNow) { Request(id, aNow); });
    }
    At(kStart, [this](TimePoint aNow) { Order(aNow); });
    if (mLoad.mRestartAfter) {
      At(kStart + *mLoad.mRestartAfter,
         [this](TimePoint aNow) { RestartInstances(aNow); });
    }
    if (mLoad.mStopAfter) {
      At(kStart + *mLoad.mStopAfter,
         [this](TimePoint aNow) { StopInstances(aNow); });
    }
    for (auto at = kStart; at < end; at += kTick) {
      At(at, [this](TimePoint aNow) { Tick(aNow); });
    }
    while (!mEvents.empty() && mEvents.begin()->first < end) {
      const auto node = mEvents.extract(mEvents.begin());
      node.mapped()(node.key());
    }
  }

  /// State of the first roll-out.
  [[nodiscard]] RolloutState State() const { return mFirstState; }
  /// Requests that ran on the new version in the first half, after one on
  /// another version.
  [[nodiscard]] int MovedEarly() const { return mMovedEarly; }
  /// Requests that ran on the old version after one on another version.
  [[nodiscard]] int MovedBack() const { return mMovedBack; }
  /// Requests that were refused for the version of their session.
  [[nodiscard]] int Held() const { return mHeld; }
  [[nodiscard]] int OnTarget() const { return mOnTarget; }
  [[nodiscard]] int Requests() const { return mRequests; }

private:
  /// Time in which the upstreams of a withdrawn version stop.
  static constexpr auto kUpstreamStopTime = 1s;

  /// Latest request of a session that has ended.
  struct Ended
  {
    std::string mVersion;
    TimePoint mAt;
  };

  [[nodiscard]] StagedRollout NewInstance(int aIndex) const
  {
    StagedRollout instance({ .mInstance = std::to_string(aIndex),
                             .mSessionTtl = kSessionTtl,
                             .mWriteDelay = 5ms * aIndex });
    instance.SetInstanceCount(mLoad.mInstances);
    instance.SetExposureLimit({ .mShare = kExposureShare,
                                .mSlack = kExposureSlack / mLoad.mInstances });
    return instance;
  }

  void At(TimePoint aAt, std::function<void(TimePoint)> aEvent)
  {
    mEvents.emplace(aAt, std::move(aEvent));
  }

  double Draw()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
  }

  /// Few instances receive most of the requests.
  std::size_t DrawInstance()
  {
    const double skewed = Draw() * Draw();
    const auto index = static_cast<std::size_t>(skewed * mLoad.mInstances);
    const auto serving = index | 1U;
    return !mAreStopping ? index : serving < mInstances.size() ? serving : 1;
  }

  /// Orders the next version.
  void Order(TimePoint aNow)
  {
    mOrder = { .mService = "engines",
               .mTarget = "v" + std::to_string(mVersions.size() + 1),
               .mDuration = kLength,
               .mCreated = static_cast<std::int64_t>(mVersions.size()),
               .mRevision = { {}, mOrder.mRevision.Number() + 1 } };
    mOrderedAt = aNow;
    mVersions.push_back(mOrder.mTarget);
    Publish(aNow);
  }

  void Publish(TimePoint aNow)
  {
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      const auto delay = Duration(static_cast<Duration::rep>(
        Draw() * static_cast<double>(mLoad.mSpread.count())));
      At(aNow + delay, [this, index, order = mOrder](TimePoint aLater) {
        if (order.mRevision >= mSeenRevisions[index]) {
          mSeenRevisions[index] = order.mRevision;
          mInstances[index].OnOrders({ order }, aLater);
        }
      });
    }
  }

  void RestartInstances(TimePoint aNow)
  {
    for (std::size_t index = 0; index < mInstances.size(); index += 2) {
      mInstances[index] = NewInstance(static_cast<int>(index));
      mInstances[index].OnOrders({ mOrder }, aNow);
      for (const auto& record : mRecords | std::views::values) {
        mInstances[index].OnPeerSessions(record, aNow);
      }
    }
  }

  /// Every other instance stops: it takes further requests until the balancer
  /// has noticed, and starts anew when its last one has ended.
  void StopInstances(TimePoint aNow)
  {
    constexpr auto kNoticeTime = 2s;
    NotifyStopping(aNow);
    At(aNow + kNoticeTime, [this](TimePoint aLater) {
      mAreStopping = true;
      NotifyStopping(aLater);
    });
    At(aNow + kNoticeTime + kMaxRunTime + 100ms, [this](TimePoint aLater) {
      mAreStopping = false;
      RestartInstances(aLater);
      for (std::size_t index = 0; index < mInstances.size(); index += 2) {
        mStartedAt[index] = aLater;
      }
    });
  }

  void NotifyStopping(TimePoint aNow)
  {
    for (std::size_t index = 0; index < mInstances.size(); index += 2) {
      mInstances[index].OnStopping(aNow);
    }
  }

  void Tick(TimePoint aNow)
  {
    for (auto& instance : mInstances) {
      for (const auto& change : instance.DueChanges(aNow)) {
        if (change.mOrder.mRevision == mOrder.mRevision) {
          Apply(change, aNow);
        }
      }
      for (const auto& report : instance.DueSessionReports(aNow)) {
        Share(report, aNow);
      }
    }
  }

  void Apply(const rollout::StatusChange& aChange, TimePoint aNow)
  {
    mOrder.mState = aChange.mState;
    mOrder.mElapsed = aChange.mElapsed;
    mOrder.mMoveProgress = aChange.mMoveProgress;
    mOrder.mRevision = { {}, mOrder.mRevision.Number() + 1 };
    Publish(aNow);
    const bool isDecided = mOrder.mState == RolloutState::Completed ||
                           mOrder.mState == RolloutState::RolledBack;
    if (isDecided && mVersions.size() == 2) {
      mFirstState = mOrder.mState;
      mUpstreamEnds.emplace(mFirstState == RolloutState::Completed
                              ? mVersions.front()
                              : mOrder.mTarget,
                            aNow + kUpstreamStopTime);
      if (mLoad.mNextAfter) {
        At(aNow + *mLoad.mNextAfter,
           [this](TimePoint aLater) { Order(aLater); });
      }
    }
  }

  /// Passes the sessions of an instance on to the others, with the delay of a
  /// watch.
  void Share(const rollout::SessionReport& aReport, TimePoint aNow)
  {
    constexpr auto kWatchDelay = 950ms;
    At(aNow + kWatchDelay, [this, aReport](TimePoint aLater) {
      mRecords.insert_or_assign(aReport.mInstance, aReport);
      for (std::size_t index = 0; index < mInstances.size(); ++index) {
        if (aReport.mInstance != std::to_string(index)) {
          mInstances[index].OnPeerSessions(aReport, aLater);
        }
      }
    });
  }

  /// Returns the version that an instance chooses for a session.
  std::string VersionAt(const StagedRollout& aInstance,
                        const rollout::SessionId& aSession,
                        TimePoint aNow)
  {
    const auto isGone = [&](const std::string& aVersion) {
      const auto end = mUpstreamEnds.find(aVersion);
      return end != mUpstreamEnds.end() && aNow >= end->second;
    };
    const auto found =
      std::ranges::find_if(mVersions, [&](const std::string& aVersion) {
        return !isGone(aVersion) &&
               aInstance.Allows("engines", aVersion, aSession, aNow);
      });
    return found == mVersions.end() ? mVersions.front() : *found;
  }

  void Request(std::uint64_t aSession, TimePoint aNow)
  {
    const auto index = DrawInstance();
    auto& instance = mInstances[index];
    const rollout::SessionId session{ .mHash = aSession };
    if (const auto hold = instance.HoldOf("engines", session, aNow)) {
      ++mHeld;
      At(hold->mUntil + 50ms,
         [=, this](TimePoint aLater) { Request(aSession, aLater); });
      return;
    }
    auto version = VersionAt(instance, session, aNow);
    if (aNow >= kStart + mLoad.mSpread && Draw() < mLoad.mFull) {
      const std::string other =
        version == mOrder.mTarget ? mVersions.front() : mOrder.mTarget;
      if (!instance.AllowsFallback("engines", other, session, false, aNow)) {
        return; // refused
      }
      version = other;
    }
    Check(aSession, version, mStartedAt[index], aNow);
    instance.OnSent("engines", version, session, aNow);
    const auto took = std::chrono::duration_cast<Duration>(
      kMinRunTime + Draw() * (kMaxRunTime - kMinRunTime));
    const bool isDegraded =
      Draw() < mLoad.mDegraded || (mLoad.mIsBad && version == "v2");
    At(aNow + took, [=, this](TimePoint aLater) {
      mInstances[index].OnEnded("engines", session, aLater);
      mInstances[index].OnSample(
        "engines",
        version,
        { .mRoute = "chat", .mFailed = isDegraded, .mLatencyRatio = 1.0 });
      mEnded[aSession] = { .mVersion = version, .mAt = aLater };
    });
    constexpr double kContinues = 0.7;
    if (Draw() < kContinues) {
      const auto pause = Duration(
        static_cast<Duration::rep>(Draw() * Duration(kSessionTtl).count()));
      At(aNow + took + pause,
         [=, this](TimePoint aLater) { Request(aSession, aLater); });
    }
  }

  void Check(std::uint64_t aSession,
             const std::string& aVersion,
             TimePoint aStartedAt,
             TimePoint aNow)
  {
    const bool isTarget = aVersion == mOrder.mTarget;
    const bool isFirstRollout = mVersions.size() == 2;
    if (isFirstRollout && mOrderedAt && aNow < *mOrderedAt + kLength) {
      ++mRequests;
      mOnTarget += isTarget ? 1 : 0;
    }
    const auto ended = mEnded.find(aSession);
    const bool isFirst =
      ended == mEnded.end() || aNow >= ended->second.mAt + kSessionTtl;
    const bool isGood = !mLoad.mIsBad || !isFirstRollout;
    const bool isOver = mOrder.mState == RolloutState::Completed ||
                        mOrder.mState == RolloutState::RolledBack;
    // no instance need know of the order before
    const bool isKnown = mOrderedAt && aNow >= *mOrderedAt + mLoad.mSpread;
    const bool isInTouch = aNow >= aStartedAt + kContactTime;
    if (isFirst || !isKnown || !isInTouch || isOver ||
        ended->second.mVersion == aVersion) {
      return;
    }
    if (isTarget) {
      mMovedEarly += aNow < *mOrderedAt + kLength / 2 ? 1 : 0;
    } else {
      mMovedBack += isGood ? 1 : 0;
    }
  }

  Load mLoad;
  std::mt19937_64 mRandom;
  std::vector<StagedRollout> mInstances;
  rollout::RolloutOrder mOrder;
  std::optional<TimePoint> mOrderedAt; ///< time of the latest order
  RolloutState mFirstState = RolloutState::Ordered;
  std::vector<std::string> mVersions{ "v1" }; ///< in the order of their orders
  std::map<std::size_t, store::StoreRevision> mSeenRevisions; ///< by instance
  std::map<std::size_t, TimePoint> mStartedAt;                ///< by instance
  std::map<std::uint64_t, Ended> mEnded;                      ///< by session
  /// when the upstreams of withdrawn versions are gone
  std::map<std::string, TimePoint> mUpstreamEnds;
  /// sessions that the instances share, by instance
  std::map<std::string, rollout::SessionReport> mRecords;
  std::multimap<TimePoint, std::function<void(TimePoint)>> mEvents;
  bool mAreStopping = false; ///< every other instance
  int mHeld = 0;
  int mMovedEarly = 0;
  int mMovedBack = 0;
  int mOnTarget = 0;
  int mRequests = 0;
};

void
CheckKept(const Load& aLoad)
{
  constexpr std::uint32_t kSeeds = 4;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    SessionLoad load(aLoad, seed);
    load.Run();
    CHECK(load.State() ==
          (aLoad.mIsBad ? RolloutState::RolledBack : RolloutState::Completed));
    CAPTURE(load.MovedEarly());
    CAPTURE(load.MovedBack());
    CHECK(load.MovedEarly() + load.MovedBack() <= kMaxChanged);
    CHECK(load.OnTarget() > 0);
    CHECK(load.OnTarget() <= kExposureShare * load.Requests() + kExposureSlack);
  }
}

} // namespace

TEST_CASE("a session keeps its version when its requests reach other instances")
{
  SUBCASE("with any number of instances")
  {
    for (const int instances : { 1, 5, 35, 340 }) {
      CAPTURE(instances);
      CheckKept({ .mInstances = instances });
    }
  }

  SUBCASE("when the order comes as sessions begin")
  {
    CheckKept({ .mInstances = 35, .mBefore = 2s });
  }

  SUBCASE("with little traffic at each instance")
  {
    CheckKept({ .mInstances = 100, .mRequestInterval = 30ms });
  }

  SUBCASE("when the news reach the instances at different times")
  {
    CheckKept({ .mInstances = 35, .mSpread = 500ms });
  }

  SUBCASE("when some instances suspect the new version")
  {
    CheckKept({ .mInstances = 35, .mDegraded = 0.1 });
  }

  SUBCASE("when its version has no free slot")
  {
    CheckKept({ .mInstances = 35, .mFull = 0.2 });
  }

  SUBCASE("when instances start anew")
  {
    for (const Duration after : { 6s, 10s, 14s }) {
      CAPTURE(after.count());
      CheckKept({ .mInstances = 35, .mRestartAfter = after });
    }
  }
}

TEST_CASE("a session on a withdrawn version keeps it until it expires")
{
  SUBCASE("when the next roll-out follows a completed one")
  {
    for (const Duration after : { 1s, 2s, 5s, 9s }) {
      CAPTURE(after.count());
      CheckKept({ .mInstances = 35, .mNextAfter = after });
    }
  }

  SUBCASE("when the next roll-out comes before its sessions are shared")
  {
    for (const Duration after : { 0ms, 100ms, 300ms, 600ms }) {
      CAPTURE(after.count());
      for (const int instances : { 35, 340 }) {
        CAPTURE(instances);
        CheckKept({ .mInstances = instances,
                    .mRequestInterval = 10ms,
                    .mNextAfter = after });
      }
    }
  }

  SUBCASE("when instances stop and start anew before the next roll-out")
  {
    for (const Duration stop :
         { 10'000ms, 14'000ms, 15'100ms, 16'000ms, 18'000ms }) {
      CAPTURE(stop.count());
      for (const Duration after : { 0s, 2s }) {
        CAPTURE(after.count());
        CheckKept({ .mInstances = 35,
                    .mRequestInterval = 10ms,
                    .mStopAfter = stop,
                    .mNextAfter = after });
      }
    }
  }

  SUBCASE("when the next roll-out follows one that was rolled back")
  {
    CheckKept({ .mInstances = 35, .mIsBad = true, .mNextAfter = 2s });
  }
}

TEST_CASE("sessions on withdrawn versions are shared as objects")
{
  const rollout::SessionReport report{
    .mInstance = "a-1",
    .mService = "engines",
    .mWithdrawal = { .mTarget = "v2", .mCreated = 7, .mIsRolledBack = true },
    .mSessions = { { .mHash = 0xfeedULL, .mLeft = 1'500ms },
                   { .mHash = ~0ULL, .mLeft = std::nullopt } }
  };
  auto record = rollout::FormatSessionRecord(report);

  SUBCASE("under a name of their own")
  {
    CHECK(rollout::SessionRecordName("engines", "a-1") ==
          "sessions.engines.a-1");
    CHECK(rollout::IsSessionRecord("sessions.engines.a-1"));
    CHECK_FALSE(rollout::IsSessionRecord("instance.a-1"));
  }

  SUBCASE("and read back as they were")
  {
    const auto read = rollout::ReadSessionRecord(record);
    REQUIRE(read);
    CHECK(read->mInstance == report.mInstance);
    CHECK(read->mService == report.mService);
    CHECK(read->mWithdrawal == report.mWithdrawal);
    CHECK(read->mSessions == report.mSessions);
  }

  SUBCASE("without entries that are no sessions")
  {
    record["sessions"]["no hash"] = 5;
    record["sessions"]["12"] = "soon";
    record["sessions"]["13"] = -4;
    const auto read = rollout::ReadSessionRecord(record);
    REQUIRE(read);
    REQUIRE(read->mSessions.size() == 3);
    CHECK(read->mSessions.front() ==
          rollout::SessionState{ .mHash = 0x13, .mLeft = 0ms });
  }

  SUBCASE("unless they do not tell whose they are")
  {
    for (const auto* const field : { "instance", "service", "target" }) {
      CAPTURE(field);
      auto other = record;
      other.erase(field);
      CHECK_FALSE(rollout::ReadSessionRecord(other));
    }
    CHECK_FALSE(rollout::ReadSessionRecord("text"));
  }
}
