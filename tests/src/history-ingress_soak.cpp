#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <ranges>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// usage beyond CI: FIGSLIP_SEED=7 FIGSLIP_SOAK_S=60
// build/bin/history-ingress_soak

using namespace figslip;
using namespace std::chrono_literals;
using test::CallerAnswer;
using test::CallerLink;
using test::IngressWorld;
using test::Relay;
using Behaviour = test::EngineStandIn::Behaviour;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int kInstances = 3;
constexpr int kUsualSlots = 8; ///< of an engine
constexpr std::size_t kEngines = 2;
constexpr int kCallers = 4;

/// Faults that may be in force at the same time.
constexpr int kDisturbers = 2;

/// Time after the store's answer from which a key taken away works nowhere.
constexpr auto kRevocation = 5s;

/// Time after which an instance that was asked to stop is killed.
constexpr auto kGrace = 8s;

/// Bytes of the log of an instance that a failed check shows.
constexpr std::size_t kShownLog = 2'000;

/// Statuses that promise that a request has not run and never will.
constexpr std::array<int, 4> kNotRun = { 408, 421, 429, 503 };

/// Holds what a caller knows of one of its requests.
struct Sent
{
  std::string mAttempt;
  std::string mPath;
  std::string mKey;
  Clock::time_point mAt;
  CallerAnswer mAnswer;
};

long
FromEnvironment(const char* aName, long aFallback)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aFallback : std::atol(text);
}

template<typename Range>
auto
AnyOf(const Range& aRange, std::mt19937_64& aRandom)
{
  return aRange.at(aRandom() % std::size(aRange));
}

/// Lists what the instances of a soak are set up for.
enum class Setup
{
  Plain,
  OverloadControl,
  HandOver ///< in failure domains of their own, each with its way to engines
};

IngressWorld::Options
OptionsOf(Setup aSetup)
{
  IngressWorld::Options options{ .mInstances = kInstances,
                                 .mIsRelayed = true,
                                 .mEngineSlots = kUsualSlots };
  if (aSetup == Setup::OverloadControl) {
    options.mOverloadControl = true;
    options.mEngineSlots = 1; // so that requests have to wait
  } else if (aSetup == Setup::HandOver) {
    options.mHandsOver = true;
    options.mHasOwnRelays = true;
    options.mDomains = { "a", "b", "c" };
  }
  return options;
}

/// Plays callers, operators and faults around the instances of one world.
class Soak
{
public:
  Soak(std::uint64_t aSeed, Setup aSetup)
    : mSeed(aSeed)
    , mSetup(aSetup)
    , mWorld(OptionsOf(aSetup))
  {
    PutConfiguration();
  }

  /// Runs callers and faults for a time.
  void Run(std::chrono::milliseconds aLength)
  {
    const auto until = Clock::now() + aLength;
    std::vector<std::thread> threads;
    threads.reserve(kCallers + kDisturbers + 1);
    for (int caller = 0; caller < kCallers; ++caller) {
      threads.emplace_back([this, caller, until] { Call(caller, until); });
    }
    for (int disturber = 0; disturber < kDisturbers; ++disturber) {
      threads.emplace_back([this, disturber, until] {
        std::mt19937_64 random(mSeed * kDisturbers +
                               static_cast<std::uint64_t>(disturber));
        while (Clock::now() < until) {
          Disturb(random);
        }
      });
    }
    threads.emplace_back([this, aLength] {
      std::this_thread::sleep_for(aLength / 8);
      TakeKeyAway();
    });
    for (auto& thread : threads) {
      thread.join();
    }
  }

  /// Takes all faults back and waits until the instances serve again.
  void Mend()
  {
    mWorld.Store().SetMode(test::StoreStandIn::Mode::Open);
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      mWorld.Engine(engine).SetBehaviour(Behaviour::Good);
      mWorld.Engine(engine).SetLeaving(false);
      mWorld.EngineRelay(engine).SetMode(Relay::Mode::Open);
      mWorld.RestartEngine(engine);
    }
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      mWorld.StoreRelay(instance).SetMode(Relay::Mode::Open);
      if (mSetup == Setup::HandOver) {
        mWorld.SetWayToEngines(instance, Relay::Mode::Open);
      }
      const bool isReady = mWorld.WaitForReady(instance);
      const auto log = mWorld.Instance(instance).Log();
      INFO("end of the log of instance ",
           instance,
           ": ",
           log.substr(log.size() - std::min(log.size(), kShownLog)));
      CHECK(isReady);
    }
  }

  [[nodiscard]] IngressWorld& World() { return mWorld; }
  [[nodiscard]] auto All() const { return mSent | std::views::join; }
  [[nodiscard]] std::optional<Clock::time_point> TakenAwayAt() const
  {
    return mTakenAwayAt;
  }

private:
  /// Sends bookings, look-ups and chats until told to stop: odd callers on
  /// connections that they keep until the instance closes them.
  void Call(int aCaller, Clock::time_point aUntil)
  {
    constexpr std::array<std::pair<const char*, const char*>, 3> kKinds = {
      { { "POST", "/book/1" }, { "GET", "/look/1" }, { "POST", "/chat/1" } }
    };
    constexpr std::array<const char*, 2> kKeys = { "key-1", "key-taken" };
    std::mt19937_64 random(mSeed + static_cast<std::uint64_t>(aCaller));
    const bool keeps = aCaller % 2 == 1;
    std::unique_ptr<CallerLink> link;
    for (int number = 0; Clock::now() < aUntil; ++number) {
      if (!link || !keeps) {
        link = std::make_unique<CallerLink>(
          mWorld.CallerPort(random() % kInstances));
      }
      const auto& [method, path] = AnyOf(kKinds, random);
      Sent sent{ .mAttempt =
                   "c" + std::to_string(aCaller) + "-" + std::to_string(number),
                 .mPath = path,
                 .mKey = AnyOf(kKeys, random),
                 .mAt = Clock::now() };
      if (link->IsOpen()) {
        sent.mAnswer = link->Exchange(
          IngressWorld::FormatCall(method, path, sent.mAttempt, sent.mKey), 6s);
      }
      if (!sent.mAnswer.mIsWhole || sent.mAnswer.mCloses) {
        link.reset();
      }
      mSent.at(static_cast<std::size_t>(aCaller)).push_back(std::move(sent));
    }
  }

  /// Injects one fault from outside and takes it back.
  void Disturb(std::mt19937_64& aRandom)
  {
    const auto span = std::chrono::milliseconds(100 + aRandom() % 700);
    const auto instance = aRandom() % kInstances;
    const auto engine = aRandom() % kEngines;
    switch (aRandom() % (mSetup == Setup::HandOver ? 12 : 10)) {
      case 0: {
        constexpr std::array<Behaviour, 10> kBehaviours = {
          Behaviour::BreakMidway,    Behaviour::SilentMidway,
          Behaviour::RunAndVanish,   Behaviour::Refuse,
          Behaviour::WrongRequest,   Behaviour::Fail,
          Behaviour::Hang,           Behaviour::Good,
          Behaviour::RefuseAndPause, Behaviour::TurnAway
        };
        mWorld.Engine(engine).SetBehaviour(AnyOf(kBehaviours, aRandom));
        std::this_thread::sleep_for(span);
        break;
      }
      case 1:
        mWorld.Store().SetMode(aRandom() % 2 == 0
                                 ? test::StoreStandIn::Mode::Busy
                                 : test::StoreStandIn::Mode::Silent);
        std::this_thread::sleep_for(span);
        mWorld.Store().SetMode(test::StoreStandIn::Mode::Open);
        break;
      case 2:
        // a freeze and a kill may meet
        SignalTo(instance, SIGSTOP);
        std::this_thread::sleep_for(span);
        SignalTo(instance, SIGCONT);
        break;
      case 3:
        Replace(instance, aRandom() % 2 == 0);
        break;
      case 4:
        mWorld.Store().Compact();
        PutConfiguration();
        break;
      case 5:
        BreakLinks(mWorld.StoreRelay(instance), aRandom, span);
        break;
      case 6:
        BreakLinks(mWorld.EngineRelay(engine), aRandom, span);
        break;
      case 7:
        SignalTo(instance, SIGHUP);
        break;
      case 8:
        mWorld.Engine(engine).SetLeaving(true);
        std::this_thread::sleep_for(span);
        mWorld.Engine(engine).SetLeaving(false);
        mWorld.RestartEngine(engine);
        break;
      case 10:
      case 11:
        CutOff(instance, aRandom, span);
        break;
      default:
        mWorld.PutEngine(engine, aRandom() % 3 == 0 ? "draining" : "ready");
        std::this_thread::sleep_for(span);
        break;
    }
  }

  static void BreakLinks(Relay& aRelay,
                         std::mt19937_64& aRandom,
                         std::chrono::milliseconds aSpan)
  {
    constexpr std::array<Relay::Mode, 3> kModes = { Relay::Mode::Cut,
                                                    Relay::Mode::OneWay,
                                                    Relay::Mode::Slow };
    if (aRandom() % 4 == 0) {
      aRelay.SilenceOpenConnections();
      return;
    }
    aRelay.SetMode(AnyOf(kModes, aRandom));
    std::this_thread::sleep_for(aSpan);
    aRelay.SetMode(Relay::Mode::Open);
  }

  /// Cuts an instance off from all engines, for long enough to be noticed.
  void CutOff(std::size_t aInstance,
              std::mt19937_64& aRandom,
              std::chrono::milliseconds aSpan)
  {
    constexpr std::array<Relay::Mode, 3> kModes = { Relay::Mode::Hang,
                                                    Relay::Mode::Refuse,
                                                    Relay::Mode::Sever };
    mWorld.SetWayToEngines(aInstance, AnyOf(kModes, aRandom));
    std::this_thread::sleep_for(4 * aSpan);
    mWorld.SetWayToEngines(aInstance, Relay::Mode::Open);
  }

  void SignalTo(std::size_t aInstance, int aSignal)
  {
    const std::scoped_lock lock(mProcesses);
    // before its first statement a process cannot hold a signal off
    if (aSignal != SIGHUP || mWorld.WaitForListener(aInstance)) {
      mWorld.Instance(aInstance).Signal(aSignal);
    }
  }

  /// Kills an instance, or stops it gracefully, and starts it again.
  void Replace(std::size_t aInstance, bool aIsPlanned)
  {
    const std::scoped_lock lock(mProcesses);
    if (aIsPlanned) {
      mWorld.Instance(aInstance).Stop(kGrace);
    } else {
      mWorld.Instance(aInstance).Kill();
    }
    mWorld.Start(aInstance);
  }

  void PutConfiguration()
  {
    const std::scoped_lock lock(mOperator);
    std::vector<std::string> keys = { "key-1" };
    if (!mTakenAwayAt) {
      keys.emplace_back("key-taken");
    }
    mWorld.PutConfiguration(keys);
  }

  void TakeKeyAway()
  {
    const std::scoped_lock lock(mOperator);
    mWorld.PutConfiguration({ "key-1" });
    mTakenAwayAt = Clock::now();
  }

  std::uint64_t mSeed;
  Setup mSetup;
  IngressWorld mWorld;
  std::mutex mProcesses;
  std::mutex mOperator;
  std::optional<Clock::time_point> mTakenAwayAt;
  std::vector<std::vector<Sent>> mSent{ kCallers };
};

/// Checks what a caller got against the runs at the engines.
/// @return whether it was served
bool
CheckAnswer(const Sent& aSent, int aRuns)
{
  INFO("request ",
       aSent.mAttempt,
       " ",
       aSent.mPath,
       ": ",
       aSent.mAnswer.mHead,
       aSent.mAnswer.mBody);
  const auto& answer = aSent.mAnswer;
  const bool isRefused =
    std::ranges::find(kNotRun, answer.mStatus) != kNotRun.end();
  CHECK_FALSE(answer.mHasExtra);
  if (aSent.mPath == "/book/1") {
    CHECK(aRuns <= 1);
    CHECK_FALSE((isRefused && aRuns > 0));
  }
  const bool isServed = answer.mStatus == 200 && answer.mIsWhole;
  if (isServed) {
    CHECK(aRuns >= 1);
    const bool isChat = aSent.mPath == "/chat/1";
    CHECK((isChat || answer.mBody == "answer to " + aSent.mAttempt));
    CHECK((!isChat || answer.mBody.find("id: 6\n") != std::string::npos));
    CHECK(answer.mHead.find("X-Attempt-Id: " + aSent.mAttempt + "\r\n") !=
          std::string::npos);
  }
  return isServed;
}

/// Runs instances under random faults and checks what callers got.
void
PlaySoak(Setup aSetup)
{
  const auto seed = FromEnvironment("FIGSLIP_SEED", 20261204);
  const auto length =
    std::chrono::seconds(FromEnvironment("FIGSLIP_SOAK_S", 10));
  INFO("FIGSLIP_SEED=", seed);
  Soak soak(static_cast<std::uint64_t>(seed), aSetup);
  soak.Run(length);

  auto runsOf = soak.World().CountRuns();
  int served = 0;
  for (const auto& sent : soak.All()) {
    served += CheckAnswer(sent, runsOf[sent.mAttempt]) ? 1 : 0;
    const bool isTakenAway =
      sent.mKey == "key-taken" && sent.mAt > *soak.TakenAwayAt() + kRevocation;
    INFO("request ", sent.mAttempt, " with a key taken away");
    CHECK((!isTakenAway || runsOf[sent.mAttempt] == 0));
  }
  MESSAGE("served ", served);
  CHECK(served > 0);

  SUBCASE("serve again after the last of them")
  {
    soak.Mend();
    std::this_thread::sleep_for(5s);
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      const auto name = "after-" + std::to_string(instance);
      const auto answer = soak.World().Send(instance, "GET", "/look/1", name);
      INFO("answer: ", answer.mBody);
      CHECK(answer.mStatus == 200);
    }
  }
}

} // namespace

TEST_CASE("instances under random faults")
{
  PlaySoak(Setup::Plain);
}

TEST_CASE("instances with overload control under random faults")
{
  PlaySoak(Setup::OverloadControl);
}

TEST_CASE("instances that are cut off from engines under random faults")
{
  PlaySoak(Setup::HandOver);
}
