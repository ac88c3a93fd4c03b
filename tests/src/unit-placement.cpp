#include <figslip/cascade/size_policy.hpp>
#include <figslip/placement/subset.hpp>
#include <figslip/placement/upstream_selector.hpp>

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
using placement::NoChoiceReason;
using placement::UpstreamSelector;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

ingress::ConfigurationPtr
MakeConfiguration(double aColdPerSecond = 10.0)
{
  ingress::Configuration configuration;
  configuration.mServices.push_back(
    { .mName = "engines",
      .mColdStart = 3s,
      .mMaxColdRequestsPerSecond = aColdPerSecond,
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

UpstreamSelector
MakeSelector(const std::string& aInstance = "self", std::uint64_t aSeed = 1)
{
  UpstreamSelector selector(
    { .mInstance = aInstance, .mDomain = "a", .mSeed = aSeed });
  selector.OnConfiguration(MakeConfiguration());
  return selector;
}

/// Required fraction of first events within the target latency.
constexpr double kMinInTimeFraction = 0.95;
constexpr auto kTargetLatency = 1'700ms;

/// Simulates 8 instances in front of engines that run one prefill at a time.
class EngineSimulation
{
public:
  struct Options
  {
    int mEngines = 24;
    /// fraction of time in which the engines would run prefills if the largest
    /// model answered every request, or, with a policy, every request whose
    /// first answer is doubtful
    double mPrefillUtilization = 0.5;
    const cascade::SizePolicy* mPolicy = nullptr; ///< null: the largest model
  };

  explicit EngineSimulation(Options aOptions)
    : mOptions(aOptions)
  {
    for (int number = 0; number < kInstances; ++number) {
      mSelectors.push_back(
        MakeSelector("entry-" + std::to_string(number),
                     static_cast<std::uint64_t>(number) + 1));
      mSelectors.back().OnUpstreams(MakeEntries(mOptions.mEngines), kStart);
      mSelectors.back().SetInstances(MakeInstances(kInstances));
      mSelectors.back().SetInstanceCount(kInstances);
    }
  }

  void Run()
  {
    constexpr int kRequests = 20'000;
    const double largeMs = kMeanTokens / kLargeTokensPerMs;
    const double meanMs =
      mOptions.mPolicy == nullptr
        ? largeMs
        : largeMs * kDoubtfulPercent / 100.0 + kMeanTokens / kSmallTokensPerMs;
    std::exponential_distribution<double> intervalMs(
      mOptions.mEngines * mOptions.mPrefillUtilization / meanMs);
    std::lognormal_distribution<double> tokensOf(
      std::log(kMeanTokens) - kLogStdDev * kLogStdDev / 2.0, kLogStdDev);
    std::uniform_int_distribution<std::size_t> anyInstance(0, kInstances - 1);
    auto now = kStart;
    for (mRequestCount = 0; mRequestCount < kRequests; ++mRequestCount) {
      now += std::chrono::microseconds(
        static_cast<std::int64_t>(intervalMs(mRandom) * 1'000.0));
      EndPrefills(now);
      const auto tokens = std::min(tokensOf(mRandom), kMaxTokens);
      Send({ .mArrivedAt = now,
             .mInstance = anyInstance(mRandom),
             .mTokens = static_cast<std::int64_t>(tokens),
             .mId = static_cast<std::uint64_t>(mRequestCount) + 1 },
           mOptions.mPolicy != nullptr,
           now);
    }
    EndPrefills(now + 60s);
  }

  [[nodiscard]] double InTimeFraction() const
  {
    return static_cast<double>(mInTimeCount) / mRequestCount;
  }
  /// Returns the fraction of doubtful answers that were replaced.
  [[nodiscard]] double ReplacedFraction() const
  {
    return static_cast<double>(mReplacedCount) / mDoubtfulCount;
  }

private:
  static constexpr int kInstances = 8;
  static constexpr double kLargeTokensPerMs = 20.0;
  static constexpr double kSmallTokensPerMs = 200.0;
  static constexpr double kMeanTokens = 6'610.0;
  static constexpr double kLogStdDev = 1.1; ///< of the token count
  static constexpr double kMaxTokens = 54'600.0;
  /// confidence below which an answer is doubtful; confidences are uniformly
  /// distributed over 0-99, so that this is also the percentage
  static constexpr int kDoubtfulPercent = 45;

  struct Request
  {
    TimePoint mArrivedAt;
    std::size_t mInstance = 0;
    std::int64_t mTokens = 0;
    std::uint64_t mId = 0;
  };

  struct Prefill
  {
    TimePoint mEndsAt;
    Request mRequest;
    placement::Reservation mReservation;
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
    auto& selector = mSelectors[aRequest.mInstance];
    const auto choice = selector.Choose(query, aNow);
    if (!choice) {
      return; // no free slot: counts as late
    }
    const double perMs = aIsSmall ? kSmallTokensPerMs : kLargeTokensPerMs;
    auto& busyUntil = mBusyUntil[choice->mUpstream->mId];
    busyUntil = std::max(busyUntil, aNow) +
                std::chrono::microseconds(static_cast<std::int64_t>(
                  static_cast<double>(aRequest.mTokens) / perMs * 1'000.0));
    mPrefills.push({ .mEndsAt = busyUntil,
                     .mRequest = aRequest,
                     .mReservation = selector.Reserve(*choice, query, aNow),
                     .mIsSmall = aIsSmall });
  }

  void EndPrefills(TimePoint aUntil)
  {
    while (!mPrefills.empty() && mPrefills.top().mEndsAt <= aUntil) {
      auto prefill = mPrefills.top();
      mPrefills.pop();
      auto& selector = mSelectors[prefill.mRequest.mInstance];
      selector.OnFirstEvent(prefill.mReservation, prefill.mEndsAt);
      selector.Release(prefill.mReservation);
      if (prefill.mIsSmall && IsReplaced(prefill)) {
        Send(prefill.mRequest, false, prefill.mEndsAt);
      } else {
        mInTimeCount +=
          prefill.mEndsAt - prefill.mRequest.mArrivedAt <= kTargetLatency;
      }
    }
  }

  [[nodiscard]] bool IsReplaced(const Prefill& aPrefill)
  {
    const int confidence = std::uniform_int_distribution(0, 99)(mRandom);
    const auto& selector = mSelectors[aPrefill.mRequest.mInstance];
    const cascade::SizeQuery query{
      .mModels = 2,
      .mTimeToTarget =
        aPrefill.mRequest.mArrivedAt + kTargetLatency - aPrefill.mEndsAt,
      .mLargestFirstEvent = Duration::zero(),
      .mPrefillUtilization =
        selector.PrefillUtilization("engines", aPrefill.mEndsAt)
    };
    const bool isReplaced = !mOptions.mPolicy->Accepts(0, confidence, query);
    mDoubtfulCount += confidence < kDoubtfulPercent ? 1 : 0;
    mReplacedCount += confidence < kDoubtfulPercent && isReplaced ? 1 : 0;
    return isReplaced;
  }

  static bool IsLater(const Prefill& aLeft, const Prefill& aRight)
  {
    return aLeft.mEndsAt > aRight.mEndsAt;
  }

  Options mOptions;
  std::vector<UpstreamSelector> mSelectors;
  std::priority_queue<Prefill, std::vector<Prefill>, decltype(&IsLater)>
    mPrefills{ &IsLater };
  std::map<std::string, TimePoint> mBusyUntil;
  std::mt19937_64 mRandom{ 20261204 };
  int mRequestCount = 0;
  int mInTimeCount = 0;
  int mDoubtfulCount = 0;
  int mReplacedCount = 0;
};

} // namespace

TEST_CASE("the choice of an upstream")
{
  auto selector = MakeSelector();
  std::vector<ingress::PromptPart> prompt = { { 1, 500 },
                                              { 2, 4'000 },
                                              { 3, 1'000 } };
  const placement::PlacementQuery query{ .mService = "engines",
                                         .mModel = "large",
                                         .mPrompt = &prompt,
                                         .mPromptTokens = 5'500 };

  SUBCASE("finds no upstream where none is registered")
  {
    CHECK_FALSE(selector.Choose(query, kStart));
    CHECK(selector.ExplainNoChoice(query, kStart) ==
          NoChoiceReason::NoUpstream);
  }

  SUBCASE(
    "skips draining upstreams, other services and drained failure domains")
  {
    auto draining = MakeEntry("draining");
    draining.mState = ingress::UpstreamState::Draining;
    auto other = MakeEntry("other");
    other.mService = "desk";
    selector.OnUpstreams({ draining, other, MakeEntry("far", "b") }, kStart);
    selector.SetDrained({ "b" });
    CHECK_FALSE(selector.Choose(query, kStart));
    CHECK_FALSE(selector.MaySend("draining", kStart));
    CHECK_FALSE(selector.MaySend("far", kStart));

    SUBCASE("and uses a failure domain again after its drain")
    {
      selector.SetDrained({});
      REQUIRE(selector.Choose(query, kStart));
      CHECK(selector.Choose(query, kStart)->mUpstream->mId == "far");
    }
  }

  SUBCASE("prefers the upstream that has cached the prefix of a prompt")
  {
    selector.OnUpstreams(MakeEntries(12), kStart);
    const auto first = selector.Choose(query, kStart);
    REQUIRE(first);
    auto reservation = selector.Reserve(*first, query, kStart);
    selector.OnFirstEvent(reservation, kStart);
    const auto id = first->mUpstream->mId;
    prompt[2].mId = 4; // another request about the same subject
    const auto second = selector.Choose(query, kStart);
    REQUIRE(second);
    CHECK(second->mUpstream->mId == id);
    CHECK(second->mCachedTokens == 4'500);

    SUBCASE("unless long prompts are queued there")
    {
      for (int count = 0; count < 6; ++count) {
        (void)selector.Reserve(*second, query, kStart);
      }
      const auto third = selector.Choose(query, kStart);
      REQUIRE(third);
      CHECK(third->mUpstream->mId != id);
    }

    SUBCASE("unless it has restarted with an empty cache")
    {
      auto entries = MakeEntries(12);
      for (auto& entry : entries) {
        entry.mStartedAtMs += entry.mId == id ? 1 : 0;
      }
      selector.OnUpstreams(entries, kStart + 10s);
      const auto third = selector.Choose(query, kStart + 14s);
      REQUIRE(third);
      CHECK(third->mCachedTokens == 0);
    }
  }

  SUBCASE("avoids an upstream with broken responses while others are available")
  {
    selector.OnUpstreams({ MakeEntry("good"), MakeEntry("bad") }, kStart);
    for (int count = 0; count < 4; ++count) {
      selector.OnOutcome("bad", AttemptHealth::Broken, kStart);
    }
    CHECK(selector.Choose(query, kStart)->mUpstream->mId == "good");

    SUBCASE("and uses it when it is the only one")
    {
      selector.OnUpstreams({ MakeEntry("bad") }, kStart);
      // it may have restarted, so the cold-start rate applies to it
      REQUIRE(selector.Choose(query, kStart + 1s));
    }
  }

  SUBCASE("finds all slots in use")
  {
    selector.OnUpstreams({ MakeEntry("only") }, kStart);
    selector.OnReportedLoad(
      "only", { .mRunning = 20, .mWaiting = 4, .mSlots = 24 }, kStart, kStart);
    CHECK_FALSE(selector.Choose(query, kStart));
    CHECK(selector.ExplainNoChoice(query, kStart) == NoChoiceReason::AllFull);
    // an old load report is ignored
    CHECK(selector.Choose(query, kStart + 2s));
  }

  SUBCASE("frees the slots of requests that have ended")
  {
    selector.OnUpstreams({ MakeEntry("only") }, kStart);
    for (int count = 0; count < 100; ++count) {
      const auto choice = selector.Choose(query, kStart);
      REQUIRE(choice);
      auto reservation = selector.Reserve(*choice, query, kStart);
      selector.Release(reservation);
    }
    CHECK(selector.SlotUtilization("engines", kStart) == 0.0);
  }
}

TEST_CASE("the memory of an engine under overload control")
{
  UpstreamSelector selector(
    { .mInstance = "self", .mDomain = "a", .mOverloadControl = true });
  selector.OnConfiguration(MakeConfiguration());
  selector.OnUpstreams({ MakeEntry("full"), MakeEntry("other") }, kStart);
  // the subject is cached, the rest is not
  std::vector<ingress::PromptPart> prompt = { { 1, 90'000 }, { 2, 90'000 } };
  const placement::PlacementQuery query{ .mService = "engines",
                                         .mModel = "large",
                                         .mPrompt = &prompt,
                                         .mPromptTokens = 180'000,
                                         .mOutputTokens = 10'000 };
  const std::set<std::string> notFull = { "other" };
  auto onFull = query;
  onFull.mExcludedUpstreams = &notFull;
  std::vector<placement::Reservation> held;
  for (std::uint64_t count = 0; count < 3; ++count) { // 390,000 tokens in all
    prompt[1].mId = 10 + count;
    held.push_back(
      selector.Reserve(*selector.Choose(onFull, kStart), query, kStart));
    selector.OnFirstEvent(held.back(), kStart);
  }
  // the full one has cached the prompt; the other one would take 4.5 s
  selector.OnReportedLoad(
    "other", { .mRunning = 1, .mWaiting = 0, .mSlots = 24 }, kStart, kStart);

  prompt[1].mId = 2;

  SUBCASE("is not exceeded while another engine has capacity")
  {
    CHECK(selector.Choose(query, kStart)->mUpstream->mId == "other");
  }
  SUBCASE("is exceeded rather than nothing is served")
  {
    CHECK(selector.Choose(onFull, kStart)->mUpstream->mId == "full");
  }
  SUBCASE("is free again when the requests have ended")
  {
    std::ranges::for_each(held, [&](auto& aHeld) { selector.Release(aHeld); });
    CHECK(selector.Choose(query, kStart)->mUpstream->mId == "full");
  }
  SUBCASE("holds the requests of other instances, too")
  {
    std::ranges::for_each(held, [&](auto& aHeld) { selector.Release(aHeld); });
    // 3 requests of the size of the own ones and this one do not fit
    selector.OnReportedLoad(
      "full", { .mRunning = 20, .mWaiting = 0, .mSlots = 24 }, kStart, kStart);
    CHECK(selector.Choose(query, kStart)->mUpstream->mId == "other");
  }
}

TEST_CASE("many instances and one upstream that returns cold")
{
  // guards against overload of a cold upstream that 35 instances discover at
  // the same time
  constexpr int kInstances = 35;
  constexpr double kColdPerSecond = 9.8;
  std::vector<ingress::PromptPart> prompt = { { 1, 500 }, { 2, 500 } };
  const placement::PlacementQuery query{ .mService = "engines",
                                         .mModel = "small",
                                         .mPrompt = &prompt,
                                         .mPromptTokens = 1'000 };
  std::vector<UpstreamSelector> selectors;
  for (int number = 0; number < kInstances; ++number) {
    UpstreamSelector selector({ .mInstance = "entry-" + std::to_string(number),
                                .mDomain = "a",
                                .mSeed = static_cast<std::uint64_t>(number) });
    selector.OnConfiguration(MakeConfiguration(kColdPerSecond));
    selector.SetInstances(MakeInstances(kInstances));
    selector.SetInstanceCount(kInstances);
    selector.OnUpstreams({}, kStart);
    selector.OnUpstreams({ MakeEntry("returned") }, kStart);
    selectors.push_back(std::move(selector));
  }

  std::vector<TimePoint> sent;
  for (TimePoint now = kStart; now < kStart + 3s; now += 10ms) {
    for (auto& selector : selectors) {
      if (const auto choice = selector.Choose(query, now)) {
        auto reservation = selector.Reserve(*choice, query, now);
        selector.Release(reservation);
        sent.push_back(now);
      }
    }
  }

  SUBCASE("stay within its cold-start rate in every second")
  {
    const auto maxPerSecond =
      std::ranges::max(sent | std::views::transform([&](TimePoint aFrom) {
                         return std::ranges::count_if(sent, [&](TimePoint aAt) {
                           return aAt >= aFrom && aAt < aFrom + 1s;
                         });
                       }));
    CHECK(maxPerSecond <= kColdPerSecond * 1.5 + 5.0);
  }

  SUBCASE("still use that rate")
  {
    CHECK(sent.size() >= 15);
  }
}

TEST_CASE("many instances and one idle upstream among loaded ones")
{
  // the idle upstream has reported no load; if all instances chose it for that
  // reason, it would receive all requests at once
  constexpr int kInstances = 35;
  const placement::PlacementQuery query{ .mService = "engines",
                                         .mModel = "small" };
  std::map<std::string, int> sent;
  for (int number = 0; number < kInstances; ++number) {
    auto selector = MakeSelector("entry-" + std::to_string(number),
                                 static_cast<std::uint64_t>(number) + 1);
    selector.OnUpstreams(MakeEntries(90), kStart);
    for (int upstream = 1; upstream < 90; ++upstream) {
      selector.OnReportedLoad("e" + std::to_string(upstream),
                              { .mRunning = 5, .mWaiting = 0, .mSlots = 24 },
                              kStart,
                              kStart);
    }
    const auto choice = selector.Choose(query, kStart);
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

  SUBCASE("are partitioned among its instances")
  {
    CHECK(owners.size() == upstreams.size());
  }

  SUBCASE("mostly keep their owner when an upstream leaves")
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

  SUBCASE("are used by all instances where instances outnumber them")
  {
    upstreams.resize(7);
    for (const auto& instance : instances) {
      CHECK(placement::SubsetOf(instance, instances, upstreams).size() == 7);
    }
  }

  SUBCASE("form an empty subset where none is registered")
  {
    CHECK(placement::SubsetOf("entry-0", instances, {}).empty());
  }
}

TEST_CASE("prompts of very different length at the engines of a failure domain")
{
  // guards against late first events when only the largest model answers and a
  // third of the engines has left: reported load does not include the length of
  // the prompts that other instances have queued
  EngineSimulation simulation({ .mEngines = 24, .mPrefillUtilization = 0.45 });
  simulation.Run();
  MESSAGE("first event in time: ", simulation.InTimeFraction());
  CHECK(simulation.InTimeFraction() >= kMinInTimeFraction);
}

TEST_CASE("a cascade at the engines of a failure domain")
{
  const cascade::SizePolicy policy({});

  SUBCASE(
    "replaces doubtful answers by the largest model while there is capacity")
  {
    EngineSimulation simulation(
      { .mEngines = 24, .mPrefillUtilization = 0.3, .mPolicy = &policy });
    simulation.Run();
    MESSAGE("doubtful answers replaced: ", simulation.ReplacedFraction());
    CHECK(simulation.ReplacedFraction() >= 0.9);
    CHECK(simulation.InTimeFraction() >= kMinInTimeFraction);
  }

  SUBCASE("answers in time when lost engines cause overload")
  {
    // if the largest model replaced all doubtful answers, prefills would use
    // all the time of the engines
    EngineSimulation simulation(
      { .mEngines = 8, .mPrefillUtilization = 1.0, .mPolicy = &policy });
    simulation.Run();
    MESSAGE("first event in time: ", simulation.InTimeFraction());
    MESSAGE("doubtful answers replaced: ", simulation.ReplacedFraction());
    CHECK(simulation.InTimeFraction() >= kMinInTimeFraction);
  }
}

TEST_CASE("a failure domain behind a partition")
{
  DomainHealth domains({});
  domains.OnTimeout("b", "b1", kStart);
  domains.OnTimeout("b", "b2", kStart + 300ms);
  CHECK_FALSE(domains.IsSuspected("b"));

  SUBCASE("is suspected once three of its upstreams have timed out")
  {
    domains.OnTimeout("b", "b3", kStart + 400ms);
    CHECK(domains.IsSuspected("b"));
    CHECK_FALSE(domains.IsSuspected("a"));
    CHECK_FALSE(domains.IsProbeDue("b", kStart + 800ms));
    CHECK(domains.IsProbeDue("b", kStart + 900ms));
    domains.OnSent("b", kStart + 900ms);
    CHECK_FALSE(domains.IsProbeDue("b", kStart + 1'000ms));

    SUBCASE("and is cleared by the first response")
    {
      domains.OnResponse("b");
      CHECK_FALSE(domains.IsSuspected("b"));
    }
  }

  SUBCASE("is not suspected for repeated timeouts of one upstream")
  {
    domains.OnTimeout("b", "b2", kStart + 500ms);
    domains.OnTimeout("b", "b2", kStart + 600ms);
    CHECK_FALSE(domains.IsSuspected("b"));
  }

  SUBCASE("is not suspected while other upstreams of it respond")
  {
    domains.OnResponse("b");
    domains.OnTimeout("b", "b3", kStart + 400ms);
    CHECK_FALSE(domains.IsSuspected("b"));
  }

  SUBCASE("is not suspected for timeouts outside the window")
  {
    domains.OnTimeout("b", "b3", kStart + 5s);
    CHECK_FALSE(domains.IsSuspected("b"));
  }
}

TEST_CASE("a steady load of requests while a failure domain is partitioned")
{
  auto selector = MakeSelector();
  std::vector<ingress::UpstreamEntry> entries;
  for (int number = 0; number < 20; ++number) {
    entries.push_back(MakeEntry("a" + std::to_string(number), "a"));
    entries.push_back(MakeEntry("b" + std::to_string(number), "b"));
  }
  selector.OnUpstreams(entries, kStart);
  // 50 requests a second for 4 s; those sent to domain b get no response and
  // time out after 600 ms
  int lost = 0;
  int lostNonRetryable = 0;
  std::vector<std::pair<TimePoint, std::string>> pending;
  std::set<std::string> timedOut;
  for (int number = 0; number < 200; ++number) {
    const auto now = kStart + number * 20ms;
    std::erase_if(pending, [&](const auto& aPending) {
      const bool hasExpired = now >= aPending.first;
      if (hasExpired) {
        selector.OnOutcome(aPending.second, AttemptHealth::TimedOut, now);
        timedOut.insert(aPending.second);
      }
      return hasExpired;
    });
    const bool mayRetry = number % 2 == 0;
    const placement::PlacementQuery query{ .mService = "engines",
                                           .mModel = "small",
                                           .mPromptTokens = 100,
                                           .mMayRetry = mayRetry };
    const auto choice = selector.Choose(query, now);
    REQUIRE(choice);
    auto reservation = selector.Reserve(*choice, query, now);
    const std::string upstream = choice->mUpstream->mId;
    if (choice->mUpstream->mDomain == "b") {
      ++lost;
      lostNonRetryable += !mayRetry && timedOut.size() >= 3 ? 1 : 0;
      pending.emplace_back(now + 600ms, upstream);
    } else {
      selector.OnOutcome(upstream, AttemptHealth::Good, now);
    }
    selector.Release(reservation);
  }
  // the requests sent before the first timeouts are detected, and then a probe
  // every 500 ms
  CHECK(lost <= 32 + 8);
  CHECK(lostNonRetryable == 0);
}
