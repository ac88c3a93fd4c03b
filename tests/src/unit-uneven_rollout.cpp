#include <figslip/rollout/staged_rollout.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using rollout::RolloutState;
using rollout::StagedRollout;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr double kMaxExposedShare = 0.15;
constexpr int kExposedSlack = 30;

/// Describes a roll-out over machines of uneven speed.
struct Load
{
  int mInstances = 82;
  int mUpstreams = 70;  ///< of each version
  int mPerInstance = 2; ///< upstreams that an instance mostly sends to
  double mSlowMachines = 0.25;
  double mSlowFactor = 2.2;    ///< all the time; not part of the reports
  double mMomentary = 0.15;    ///< of the time, at 2.5
  double mVersionFactor = 1.0; ///< of the new version
  double mFailing = 0.0;       ///< of the answers of the new version
  bool mReportsSpeed = true;
  Duration mInterval = 5ms; ///< between requests of all instances
  Duration mDuration = 20s;
};

/// Plays the roll-out in virtual time; counts are shared as through the store.
class UnevenRollout
{
public:
  UnevenRollout(const Load& aLoad, std::uint32_t aSeed)
    : mLoad(aLoad)
    , mRandom(aSeed)
  {
    for (int index = 0; index < aLoad.mInstances; ++index) {
      mInstances.push_back(std::make_unique<StagedRollout>(
        StagedRollout::Options{ .mWriteDelay = 7ms * index }));
      mInstances.back()->SetInstanceCount(aLoad.mInstances);
      mInstances.back()->SetExposureLimit(
        { .mShare = kMaxExposedShare,
          .mSlack = static_cast<double>(kExposedSlack) / aLoad.mInstances });
    }
    for (int machine = 0; machine < 2 * aLoad.mUpstreams; ++machine) {
      mIsSlow.push_back(Draw() < aLoad.mSlowMachines);
    }
  }

  void Run()
  {
    constexpr auto kTick = 100ms;
    for (auto now = kStart; now < kStart + mLoad.mDuration; now += kTick) {
      Tick(now);
      for (auto at = now; at < now + kTick; at += mLoad.mInterval) {
        Request(at);
      }
    }
    Tick(kStart + mLoad.mDuration);
  }

  [[nodiscard]] RolloutState State() const { return mOrder.mState; }
  [[nodiscard]] int RequestCount() const { return mRequests; }
  [[nodiscard]] int TargetCount() const { return mOnTarget; }
  /// Returns how often an instance has shared its counts, on average.
  [[nodiscard]] double WritesPerInstance() const
  {
    return static_cast<double>(mWrites) / mLoad.mInstances;
  }
  /// Returns the time from the order to the last status.
  [[nodiscard]] Duration DecidedAfter() const { return mDecidedAt - kStart; }

private:
  double Draw()
  {
    return std::uniform_real_distribution<double>(0.0, 1.0)(mRandom);
  }

  void Tick(TimePoint aNow)
  {
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      for (const auto& change : mInstances[index]->DueChanges(aNow)) {
        if (change.mOrder.mRevision == mOrder.mRevision) {
          mOrder.mState = change.mState;
          mDecidedAt = aNow;
          mOrder.mElapsed = change.mElapsed;
          mOrder.mRevision = { {}, mOrder.mRevision.Number() + 1 };
        }
      }
      for (auto& report : mInstances[index]->DueReports(aNow)) {
        mReports[index] = std::move(report);
        mHasNews = true;
        ++mWrites;
      }
    }
    for (std::size_t index = 0; index < mInstances.size(); ++index) {
      mInstances[index]->OnOrders({ mOrder }, aNow);
      if (mHasNews) {
        std::vector<rollout::EvidenceReport> others;
        for (const auto& [instance, report] : mReports) {
          if (instance != index) {
            others.push_back(report);
          }
        }
        mInstances[index]->OnPeerReports(others);
      }
    }
    mHasNews = false;
  }

  void Request(TimePoint aNow)
  {
    constexpr auto kExpected = 300ms;
    const auto index = mRandom() % static_cast<std::uint64_t>(mLoad.mInstances);
    auto& instance = *mInstances[index];
    const rollout::SessionId session{ .mHash = mRandom(), .mIsSingle = true };
    const bool isTarget = instance.Allows("engines", "v2", session, aNow);
    ++mRequests;
    mOnTarget += isTarget ? 1 : 0;
    const std::string version = isTarget ? "v2" : "v1";
    // an instance mostly uses its own upstreams
    const auto own = index * static_cast<std::uint64_t>(mLoad.mPerInstance) +
                     mRandom() % static_cast<std::uint64_t>(mLoad.mPerInstance);
    const auto machine =
      (Draw() < 0.8 ? own : mRandom()) %
        static_cast<std::uint64_t>(mLoad.mUpstreams) +
      (isTarget ? static_cast<std::uint64_t>(mLoad.mUpstreams) : 0U);
    const double momentary = Draw() < mLoad.mMomentary ? 2.5 : 1.0;
    // one report in five comes from before or after the slowdown
    const double reported =
      Draw() < 0.8 ? momentary : (Draw() < mLoad.mMomentary ? 2.5 : 1.0);
    const double factor = (0.6 + 0.8 * Draw()) * momentary *
                          (mIsSlow[machine] ? mLoad.mSlowFactor : 1.0) *
                          (isTarget ? mLoad.mVersionFactor : 1.0);
    const auto took = std::chrono::duration_cast<Duration>(kExpected * factor);
    const auto upstream = version + "-" + std::to_string(machine);
    instance.OnSent("engines", version, session, aNow);
    instance.OnEvent("engines", upstream, aNow);
    const bool isFailed = isTarget && Draw() < mLoad.mFailing;
    if (isFailed) {
      instance.OnSample("engines",
                        version,
                        { .mRoute = "chat",
                          .mFailed = true,
                          .mLatencyRatio = std::nullopt,
                          .mMachine = upstream,
                          .mMachineCount = mLoad.mUpstreams });
    } else {
      const rollout::MachineSpeed speed{ .mUpstream = upstream,
                                         .mTimeFactor = reported,
                                         .mCount = mLoad.mUpstreams };
      instance.OnSample("engines",
                        version,
                        rollout::SampleOf("chat",
                                          took,
                                          kExpected,
                                          mLoad.mReportsSpeed
                                            ? std::optional(speed)
                                            : std::nullopt));
    }
    instance.OnEnded("engines", session, aNow);
  }

  Load mLoad;
  std::mt19937_64 mRandom;
  std::vector<std::unique_ptr<StagedRollout>> mInstances;
  std::vector<bool> mIsSlow; ///< by machine
  rollout::RolloutOrder mOrder{ .mService = "engines",
                                .mTarget = "v2",
                                .mDuration = mLoad.mDuration,
                                .mCreated = 7,
                                .mRevision = { {}, 12 } };
  std::map<std::size_t, rollout::EvidenceReport> mReports; ///< by instance
  bool mHasNews = false;
  int mRequests = 0;
  int mOnTarget = 0;
  int mWrites = 0;
  TimePoint mDecidedAt = kStart;
};

constexpr std::uint32_t kSeeds = 20;

/// Returns the number of seeds with which the version is rolled back.
int
RolledBack(const Load& aLoad)
{
  int count = 0;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    UnevenRollout rollout(aLoad, seed);
    rollout.Run();
    count += rollout.State() == RolloutState::RolledBack ? 1 : 0;
    CHECK(rollout.TargetCount() <=
          kMaxExposedShare * rollout.RequestCount() + kExposedSlack);
  }
  return count;
}

} // namespace

TEST_CASE("a roll-out over machines of uneven speed")
{
  SUBCASE("keeps a version as good as the others")
  {
    CHECK(RolledBack({}) == 0);
  }
  SUBCASE("keeps it if few upstreams run it")
  {
    CHECK(RolledBack({ .mInstances = 20, .mUpstreams = 4 }) == 0);
  }
  SUBCASE("keeps it if one upstream runs it, on a slow machine")
  {
    CHECK(RolledBack({ .mInstances = 5,
                       .mUpstreams = 1,
                       .mPerInstance = 1,
                       .mSlowMachines = 1.0 }) == 0);
  }
  SUBCASE("rolls back a version that is 2.5 times as slow")
  {
    CHECK(RolledBack({ .mVersionFactor = 2.5 }) == kSeeds);
  }
  SUBCASE("rolls it back if few upstreams run it")
  {
    CHECK(RolledBack(
            { .mInstances = 20, .mUpstreams = 4, .mVersionFactor = 2.5 }) ==
          kSeeds);
  }
  SUBCASE("rolls back a version that is far slower at its only upstream")
  {
    CHECK(RolledBack({ .mInstances = 5,
                       .mUpstreams = 1,
                       .mPerInstance = 1,
                       .mSlowMachines = 0.0,
                       .mVersionFactor = 8.0 }) == kSeeds);
  }
  SUBCASE("rolls back a version that fails, as before")
  {
    CHECK(RolledBack({ .mFailing = 0.4 }) == kSeeds);
  }
}

// load: a fleet of 82 instances, each of which tries the new version rarely;
// guards against writes that tell nothing new. The bounds of the times are
// those measured while all changes of the counts were shared.
TEST_CASE("instances of a large fleet share their counts")
{
  const auto play = [](const Load& aLoad) {
    double writes = 0.0;
    Duration time{};
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      UnevenRollout rollout(aLoad, seed);
      rollout.Run();
      writes += rollout.WritesPerInstance() / kSeeds;
      time += rollout.DecidedAfter() / kSeeds;
    }
    MESSAGE("writes of an instance: " << writes << ", decided after "
                                      << time / 1ms << " ms");
    return std::pair(writes, time);
  };

  SUBCASE("rarely, of a good version")
  {
    CHECK(play({}).first <= 2.5); // 4.0 if all changes are shared
  }
  SUBCASE("rarely, of a good version, with little traffic")
  {
    CHECK(play({ .mInterval = 25ms }).first <= 1.0); // 1.4
  }
  SUBCASE("in time to roll back a version that fails")
  {
    CHECK(play({ .mFailing = 0.4 }).second <= 12'050ms);
  }
  SUBCASE("in time to roll back a version that fails, with little traffic")
  {
    CHECK(play({ .mFailing = 0.4, .mInterval = 25ms }).second <= 16'765ms);
  }
  SUBCASE("in time to roll back a slow version")
  {
    CHECK(play({ .mVersionFactor = 2.5 }).second <= 9'635ms);
  }
}

TEST_CASE("counts by upstream from outside")
{
  rollout::ComparisonCounts counts;
  auto& route = counts.mRoutes["chat"];
  route = { .mTarget = 5,
            .mTargetDegraded = 1,
            .mMachines = { { "e1", { 4, 4 } } } };

  SUBCASE("are plausible within the attempts of the route")
  {
    CHECK(counts.IsPlausible());
  }
  SUBCASE("are rejected beyond them, as a false report would decide")
  {
    route.mMachines["e2"] = { 2, 0 };
    CHECK_FALSE(counts.IsPlausible());
  }
  SUBCASE("are rejected if negative or with more slow attempts than attempts")
  {
    route.mMachines["e1"] = { 1, 2 };
    CHECK_FALSE(counts.IsPlausible());
    route.mMachines["e1"] = { -1, -1 };
    CHECK_FALSE(counts.IsPlausible());
  }
}
