#include <figslip/cascade/size_policy.hpp>
#include <figslip/placement/subset.hpp>
#include <figslip/placement/upstream_board.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <ranges>
#include <set>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using placement::AttemptHealth;
using placement::DomainHealth;
using placement::NoChoice;
using placement::UpstreamBoard;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

ingress::ConfigurationPtr
MakeConfiguration(double aColdPerSecond = 10.0)
{
  ingress::Configuration configuration;
  configuration.mServices.push_back(
    { .mName = "engines",
      .mColdStart = 3s,
      .mColdPerSecond = aColdPerSecond,
      .mEngine = ingress::EngineLimits{
        .mSlots = 24,
        .mCapacityTokens = 400'000,
        .mModels = { { "small", 0.02 }, { "large", 0.3 } } } });
  configuration.mServices.push_back({ .mName = "desk" });
  return std::make_shared<const ingress::ConfigurationIndex>(configuration);
}

ingress::UpstreamEntry
MakeEntry(const std::string& aId, const std::string& aDomain = "a")
{
  return { .mId = aId,
           .mService = "engines",
           .mAddress = "127.0.0.1",
           .mPort = 80,
           .mDomain = aDomain,
           .mVersion = "v1",
           .mSlots = 24,
           .mStartedAtMs = 1 };
}

std::vector<ingress::UpstreamEntry>
MakeEntries(int aCount)
{
  std::vector<ingress::UpstreamEntry> entries;
  entries.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    entries.push_back(MakeEntry("e" + std::to_string(number)));
  }
  return entries;
}

std::vector<membership::InstanceLocation>
MakeInstances(int aCount)
{
  std::vector<membership::InstanceLocation> instances;
  instances.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    instances.push_back(
      { .mName = "entry-" + std::to_string(number), .mFailureDomain = "a" });
  }
  return instances;
}

UpstreamBoard
MakeBoard(const std::string& aInstance = "self", std::uint64_t aSeed = 1)
{
  UpstreamBoard board(
    { .mInstance = aInstance, .mDomain = "a", .mSeed = aSeed });
  board.OnConfiguration(MakeConfiguration());
  return board;
}

/// Part of the first events that is to be in time, and when that is.
constexpr double kInTime = 0.95;
constexpr auto kTarget = 1'700ms;

/// Plays 8 instances before engines that read prompts one after the other.
class EnginePlay
{
public:
  struct Options
  {
    int mEngines = 24;
    /// part of their time for which the engines would read if the largest model
    /// answered every request, or every doubtful one where there is a policy
    double mReadingShare = 0.5;
    const cascade::SizePolicy* mPolicy = nullptr; ///< null: the largest model
  };

  explicit EnginePlay(Options aOptions)
    : mOptions(aOptions)
  {
    for (int number = 0; number < kInstances; ++number) {
      mBoards.push_back(MakeBoard("entry-" + std::to_string(number),
                                  static_cast<std::uint64_t>(number) + 1));
      mBoards.back().OnUpstreams(MakeEntries(mOptions.mEngines), kStart);
      mBoards.back().SetInstances(MakeInstances(kInstances));
    }
  }

  void Run()
  {
    constexpr int kRequests = 20'000;
    const double largeMs = kMeanTokens / kLargeTokensPerMs;
    const double meanMs =
      mOptions.mPolicy == nullptr
        ? largeMs
        : largeMs * kDoubtful / 100.0 + kMeanTokens / kSmallTokensPerMs;
    std::exponential_distribution<double> pauseMs(
      mOptions.mEngines * mOptions.mReadingShare / meanMs);
    std::lognormal_distribution<double> tokensOf(
      std::log(kMeanTokens) - kSpread * kSpread / 2.0, kSpread);
    std::uniform_int_distribution<std::size_t> anyBoard(0, kInstances - 1);
    auto now = kStart;
    for (mRequests = 0; mRequests < kRequests; ++mRequests) {
      now += std::chrono::microseconds(
        static_cast<std::int64_t>(pauseMs(mRandom) * 1'000.0));
      EndReadings(now);
      const auto tokens = std::min(tokensOf(mRandom), kMaxTokens);
      Send({ .mArrivedAt = now,
             .mBoard = anyBoard(mRandom),
             .mTokens = static_cast<std::int64_t>(tokens),
             .mId = static_cast<std::uint64_t>(mRequests) + 1 },
           mOptions.mPolicy != nullptr,
           now);
    }
    EndReadings(now + 60s);
  }

  [[nodiscard]] double ShareInTime() const
  {
    return static_cast<double>(mInTime) / mRequests;
  }
  /// Returns the part of the answers under the bar that were replaced.
  [[nodiscard]] double ShareReplaced() const
  {
    return static_cast<double>(mReplaced) / mDoubtful;
  }

private:
  static constexpr int kInstances = 8;
  static constexpr double kLargeTokensPerMs = 20.0;
  static constexpr double kSmallTokensPerMs = 200.0;
  static constexpr double kMeanTokens = 6'610.0;
  static constexpr double kSpread = 1.1; ///< of the logarithm
  static constexpr double kMaxTokens = 54'600.0;
  /// confidence under which an answer is doubtful; all are alike often
  static constexpr int kDoubtful = 45;

  struct Request
  {
    TimePoint mArrivedAt;
    std::size_t mBoard = 0;
    std::int64_t mTokens = 0;
    std::uint64_t mId = 0;
  };

  struct Reading
  {
    TimePoint mDone;
    Request mRequest;
    placement::Load mLoad;
    bool mIsSmall = false;
  };

  void Send(const Request& aRequest, bool aIsSmall, TimePoint aNow)
  {
    const std::vector<ingress::PromptPart> prompt = { { aRequest.mId,
                                                        aRequest.mTokens } };
    const placement::PlacementQuery query{ .mService = "engines",
                                           .mModel =
                                             aIsSmall ? "small" : "large",
                                           .mPrompt = &prompt,
                                           .mPromptTokens = aRequest.mTokens };
    auto& board = mBoards[aRequest.mBoard];
    const auto choice = board.Choose(query, aNow);
    if (!choice) {
      return; // all places are taken: not in time
    }
    const double perMs = aIsSmall ? kSmallTokensPerMs : kLargeTokensPerMs;
    auto& until = mBusyUntil[choice->mUpstream->mId];
    until = std::max(until, aNow) +
            std::chrono::microseconds(static_cast<std::int64_t>(
              static_cast<double>(aRequest.mTokens) / perMs * 1'000.0));
    mReadings.push({ .mDone = until,
                     .mRequest = aRequest,
                     .mLoad = board.Reserve(*choice, query, aNow),
                     .mIsSmall = aIsSmall });
  }

  void EndReadings(TimePoint aUntil)
  {
    while (!mReadings.empty() && mReadings.top().mDone <= aUntil) {
      auto reading = mReadings.top();
      mReadings.pop();
      auto& board = mBoards[reading.mRequest.mBoard];
      board.OnFirstEvent(reading.mLoad, reading.mDone);
      board.Release(reading.mLoad);
      if (reading.mIsSmall && IsReplaced(reading)) {
        Send(reading.mRequest, false, reading.mDone);
      } else {
        mInTime += reading.mDone - reading.mRequest.mArrivedAt <= kTarget;
      }
    }
  }

  [[nodiscard]] bool IsReplaced(const Reading& aReading)
  {
    const int confidence = std::uniform_int_distribution(0, 99)(mRandom);
    const auto& board = mBoards[aReading.mRequest.mBoard];
    const cascade::SizeQuestion question{
      .mModels = 2,
      .mTimeToTarget = aReading.mRequest.mArrivedAt + kTarget - aReading.mDone,
      .mLargestFirst = Duration::zero(),
      .mReadingShare = board.ReadingShare("engines", aReading.mDone)
    };
    const bool isReplaced = !mOptions.mPolicy->Accepts(0, confidence, question);
    mDoubtful += confidence < kDoubtful ? 1 : 0;
    mReplaced += confidence < kDoubtful && isReplaced ? 1 : 0;
    return isReplaced;
  }

  static bool IsLater(const Reading& aLeft, const Reading& aRight)
  {
    return aLeft.mDone > aRight.mDone;
  }

  Options mOptions;
  std::vector<UpstreamBoard> mBoards;
  std::priority_queue<Reading, std::vector<Reading>, decltype(&IsLater)>
    mReadings{ &IsLater };
  std::map<std::string, TimePoint> mBusyUntil;
  std::mt19937_64 mRandom{ 20261204 };
  int mRequests = 0;
  int mInTime = 0;
  int mDoubtful = 0;
  int mReplaced = 0;
};

} // namespace

TEST_CASE("an instance that chooses an upstream")
{
  auto board = MakeBoard();
  std::vector<ingress::PromptPart> prompt = { { 1, 500 },
                                              { 2, 4'000 },
                                              { 3, 1'000 } };
  const placement::PlacementQuery query{ .mService = "engines",
                                         .mModel = "large",
                                         .mPrompt = &prompt,
                                         .mPromptTokens = 5'500 };

  SUBCASE("finds none where none is registered")
  {
    CHECK_FALSE(board.Choose(query, kStart));
    CHECK(board.Explain(query, kStart) == NoChoice::NoUpstream);
  }

  SUBCASE("leaves out those that may not be used")
  {
    auto draining = MakeEntry("draining");
    draining.mState = ingress::UpstreamState::Draining;
    auto other = MakeEntry("other");
    other.mService = "desk";
    board.OnUpstreams({ draining, other, MakeEntry("far", "b") }, kStart);
    board.SetDrained({ "b" });
    CHECK_FALSE(board.Choose(query, kStart));
    CHECK_FALSE(board.MaySend("draining", kStart));
    CHECK_FALSE(board.MaySend("far", kStart));

    SUBCASE("and takes a failure domain back")
    {
      board.SetDrained({});
      REQUIRE(board.Choose(query, kStart));
      CHECK(board.Choose(query, kStart)->mUpstream->mId == "far");
    }
  }

  SUBCASE("sends a prompt back to where its beginning was read")
  {
    board.OnUpstreams(MakeEntries(12), kStart);
    const auto first = board.Choose(query, kStart);
    REQUIRE(first);
    auto load = board.Reserve(*first, query, kStart);
    board.OnFirstEvent(load, kStart);
    const auto id = first->mUpstream->mId;
    prompt[2].mId = 4; // another request about the same subject
    const auto second = board.Choose(query, kStart);
    REQUIRE(second);
    CHECK(second->mUpstream->mId == id);
    CHECK(second->mCachedTokens == 4'500);

    SUBCASE("unless long prompts wait there already")
    {
      for (int count = 0; count < 6; ++count) {
        (void)board.Reserve(*second, query, kStart);
      }
      const auto third = board.Choose(query, kStart);
      REQUIRE(third);
      CHECK(third->mUpstream->mId != id);
    }

    SUBCASE("unless it has restarted and keeps nothing")
    {
      auto entries = MakeEntries(12);
      for (auto& entry : entries) {
        entry.mStartedAtMs += entry.mId == id ? 1 : 0;
      }
      board.OnUpstreams(entries, kStart + 10s);
      const auto third = board.Choose(query, kStart + 14s);
      REQUIRE(third);
      CHECK(third->mCachedTokens == 0);
    }
  }

  SUBCASE("avoids one that breaks its answers off, while others are there")
  {
    board.OnUpstreams({ MakeEntry("good"), MakeEntry("bad") }, kStart);
    for (int count = 0; count < 4; ++count) {
      board.OnOutcome("bad", AttemptHealth::Broken, kStart);
    }
    CHECK(board.Choose(query, kStart)->mUpstream->mId == "good");

    SUBCASE("and takes it when it is the only one")
    {
      board.OnUpstreams({ MakeEntry("bad") }, kStart);
      // it may have restarted, so it is paced like a cold one
      REQUIRE(board.Choose(query, kStart + 1s));
    }
  }

  SUBCASE("finds all places taken")
  {
    board.OnUpstreams({ MakeEntry("only") }, kStart);
    board.OnStatedLoad(
      "only", { .mRunning = 20, .mWaiting = 4, .mSlots = 24 }, kStart);
    CHECK_FALSE(board.Choose(query, kStart));
    CHECK(board.Explain(query, kStart) == NoChoice::AllFull);
    // what was stated long ago says nothing
    CHECK(board.Choose(query, kStart + 2s));
  }

  SUBCASE("does not run out of places by requests that have ended")
  {
    board.OnUpstreams({ MakeEntry("only") }, kStart);
    for (int count = 0; count < 100; ++count) {
      const auto choice = board.Choose(query, kStart);
      REQUIRE(choice);
      auto load = board.Reserve(*choice, query, kStart);
      board.Release(load);
    }
    CHECK(board.Occupancy("engines", kStart) == 0.0);
  }
}

TEST_CASE("many instances at one upstream that has just come back cold")
{
  // plays the load of 35 instances that all learn of it at the same moment
  constexpr int kInstances = 35;
  constexpr double kColdPerSecond = 9.8;
  std::vector<ingress::PromptPart> prompt = { { 1, 500 }, { 2, 500 } };
  const placement::PlacementQuery query{ .mService = "engines",
                                         .mModel = "small",
                                         .mPrompt = &prompt,
                                         .mPromptTokens = 1'000 };
  std::vector<UpstreamBoard> boards;
  for (int number = 0; number < kInstances; ++number) {
    UpstreamBoard board({ .mInstance = "entry-" + std::to_string(number),
                          .mDomain = "a",
                          .mSeed = static_cast<std::uint64_t>(number) });
    board.OnConfiguration(MakeConfiguration(kColdPerSecond));
    board.SetInstances(MakeInstances(kInstances));
    board.OnUpstreams({}, kStart);
    board.OnUpstreams({ MakeEntry("returned") }, kStart);
    boards.push_back(std::move(board));
  }

  std::vector<TimePoint> sent;
  for (TimePoint now = kStart; now < kStart + 3s; now += 10ms) {
    for (auto& board : boards) {
      if (const auto choice = board.Choose(query, now)) {
        auto load = board.Reserve(*choice, query, now);
        board.Release(load);
        sent.push_back(now);
      }
    }
  }

  SUBCASE("send it no more in any second than it bears")
  {
    const auto most =
      std::ranges::max(sent | std::views::transform([&](TimePoint aFrom) {
                         return std::ranges::count_if(sent, [&](TimePoint aAt) {
                           return aAt >= aFrom && aAt < aFrom + 1s;
                         });
                       }));
    CHECK(most <= kColdPerSecond * 1.5 + 5.0);
  }

  SUBCASE("send it something all the same")
  {
    CHECK(sent.size() >= 15);
  }
}

TEST_CASE("many instances that see one idle upstream among loaded ones")
{
  // the idle one has stated no load; it must not get all requests at once
  constexpr int kInstances = 35;
  const placement::PlacementQuery query{ .mService = "engines",
                                         .mModel = "small" };
  std::map<std::string, int> sent;
  for (int number = 0; number < kInstances; ++number) {
    auto board = MakeBoard("entry-" + std::to_string(number),
                           static_cast<std::uint64_t>(number) + 1);
    board.OnUpstreams(MakeEntries(90), kStart);
    for (int upstream = 1; upstream < 90; ++upstream) {
      board.OnStatedLoad("e" + std::to_string(upstream),
                         { .mRunning = 5, .mWaiting = 0, .mSlots = 24 },
                         kStart);
    }
    const auto choice = board.Choose(query, kStart);
    REQUIRE(choice);
    ++sent[choice->mUpstream->mId];
  }
  CHECK(sent["e0"] <= 5);
}

TEST_CASE("the upstreams of a failure domain")
{
  std::set<std::string> instances;
  for (const auto& instance : MakeInstances(8)) {
    instances.insert(instance.mName);
  }
  std::vector<std::string> upstreams;
  upstreams.reserve(23);
  for (int number = 0; number < 23; ++number) {
    upstreams.push_back("e" + std::to_string(number));
  }
  std::map<std::string, std::string> owners;
  for (const auto& instance : instances) {
    const auto subset = placement::SubsetOf(instance, instances, upstreams);
    CHECK(subset.size() >= 2);
    CHECK(subset.size() <= 3);
    for (const auto& upstream : subset) {
      CHECK(owners.emplace(upstream, instance).second);
    }
  }

  SUBCASE("are divided among its instances, each to one")
  {
    CHECK(owners.size() == upstreams.size());
  }

  SUBCASE("mostly stay where they are when an upstream leaves")
  {
    upstreams.pop_back();
    int moved = 0;
    for (const auto& instance : instances) {
      for (const auto& id :
           placement::SubsetOf(instance, instances, upstreams)) {
        moved += owners.at(id) == instance ? 0 : 1;
      }
    }
    CHECK(moved <= 11);
  }

  SUBCASE("are shared by all where they are fewer than the instances")
  {
    upstreams.resize(7);
    for (const auto& instance : instances) {
      CHECK(placement::SubsetOf(instance, instances, upstreams).size() == 7);
    }
  }

  SUBCASE("are none where none is registered")
  {
    CHECK(placement::SubsetOf("entry-0", instances, {}).empty());
  }
}

TEST_CASE("prompts of very unlike length at the engines of a failure domain")
{
  // with the largest model after a third of the engines has left; no answer
  // tells how long the prompts are that others have queued
  EnginePlay play({ .mEngines = 24, .mReadingShare = 0.45 });
  play.Run();
  MESSAGE("first event in time: ", play.ShareInTime());
  CHECK(play.ShareInTime() >= kInTime);
}

TEST_CASE("a cascade at the engines of a failure domain")
{
  const cascade::SizePolicy policy({});

  SUBCASE("asks the largest model for all doubtful answers while there is time")
  {
    EnginePlay play(
      { .mEngines = 24, .mReadingShare = 0.3, .mPolicy = &policy });
    play.Run();
    MESSAGE("doubtful answers replaced: ", play.ShareReplaced());
    CHECK(play.ShareReplaced() >= 0.9);
    CHECK(play.ShareInTime() >= kInTime);
  }

  SUBCASE("answers in time when engines are lost and the load is too much")
  {
    // if the largest model answered all that are doubtful, the engines would
    // read all of their time
    EnginePlay play(
      { .mEngines = 8, .mReadingShare = 1.0, .mPolicy = &policy });
    play.Run();
    MESSAGE("first event in time: ", play.ShareInTime());
    MESSAGE("doubtful answers replaced: ", play.ShareReplaced());
    CHECK(play.ShareInTime() >= kInTime);
  }
}

TEST_CASE("a failure domain behind a partition")
{
  DomainHealth domains({});
  domains.OnSilent("b", "b1", kStart);
  domains.OnSilent("b", "b2", kStart + 300ms);
  CHECK_FALSE(domains.IsSuspected("b"));

  SUBCASE("is suspected once three of its upstreams are silent")
  {
    domains.OnSilent("b", "b3", kStart + 400ms);
    CHECK(domains.IsSuspected("b"));
    CHECK_FALSE(domains.IsSuspected("a"));
    CHECK_FALSE(domains.IsProbeDue("b", kStart + 800ms));
    CHECK(domains.IsProbeDue("b", kStart + 900ms));
    domains.OnSent("b", kStart + 900ms);
    CHECK_FALSE(domains.IsProbeDue("b", kStart + 1'000ms));

    SUBCASE("and no longer with the first answer")
    {
      domains.OnAnswer("b");
      CHECK_FALSE(domains.IsSuspected("b"));
    }
  }

  SUBCASE("is not suspected for one upstream, however often it is silent")
  {
    domains.OnSilent("b", "b2", kStart + 500ms);
    domains.OnSilent("b", "b2", kStart + 600ms);
    CHECK_FALSE(domains.IsSuspected("b"));
  }

  SUBCASE("is not suspected while others of it answer")
  {
    domains.OnAnswer("b");
    domains.OnSilent("b", "b3", kStart + 400ms);
    CHECK_FALSE(domains.IsSuspected("b"));
  }

  SUBCASE("is not suspected for silences far apart")
  {
    domains.OnSilent("b", "b3", kStart + 5s);
    CHECK_FALSE(domains.IsSuspected("b"));
  }
}

TEST_CASE("a steady load of requests while a failure domain is cut off")
{
  auto board = MakeBoard();
  std::vector<ingress::UpstreamEntry> entries;
  for (int number = 0; number < 20; ++number) {
    entries.push_back(MakeEntry("a" + std::to_string(number), "a"));
    entries.push_back(MakeEntry("b" + std::to_string(number), "b"));
  }
  board.OnUpstreams(entries, kStart);
  // 50 requests a second for 4 s; those sent to domain b get no answer and are
  // given up after 600 ms
  int lost = 0;
  int lostOnce = 0;
  std::vector<std::pair<TimePoint, std::string>> silent;
  std::set<std::string> seenSilent;
  for (int number = 0; number < 200; ++number) {
    const auto now = kStart + number * 20ms;
    std::erase_if(silent, [&](const auto& aSilent) {
      const bool isOver = now >= aSilent.first;
      if (isOver) {
        board.OnOutcome(aSilent.second, AttemptHealth::Silent, now);
        seenSilent.insert(aSilent.second);
      }
      return isOver;
    });
    const bool mayRepeat = number % 2 == 0;
    const placement::PlacementQuery query{ .mService = "engines",
                                           .mModel = "small",
                                           .mPromptTokens = 100,
                                           .mMayRepeat = mayRepeat };
    const auto choice = board.Choose(query, now);
    REQUIRE(choice);
    auto load = board.Reserve(*choice, query, now);
    const std::string upstream = choice->mUpstream->mId;
    if (choice->mUpstream->mDomain == "b") {
      ++lost;
      lostOnce += !mayRepeat && seenSilent.size() >= 3 ? 1 : 0;
      silent.emplace_back(now + 600ms, upstream);
    } else {
      board.OnOutcome(upstream, AttemptHealth::Good, now);
    }
    board.Release(load);
  }
  // those sent before the first silence shows, and a probe each 500 ms after it
  CHECK(lost <= 32 + 8);
  CHECK(lostOnce == 0);
}
