// Plays the instances of failure domains that follow the store through each
// other, in virtual time: their choices, the calls to the store and the polls.

#include <figslip/relay/source_choice.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using relay::Peer;
using relay::SourceChoice;
using relay::SourceFailure;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kMaxAge = relay::kMaxCopyAge;
constexpr Duration kStep = 1ms;
constexpr Duration kStoreLatency = 40ms;
constexpr Duration kPollLatency = 2ms;
constexpr Duration kPollInterval = 1'450ms; ///< of a direct follower's lists
constexpr Duration kLook = 200ms;
constexpr Duration kLongestWait = 500ms;
constexpr Duration kSilence = 300ms; ///< timeout of a poll
constexpr Duration kFindLimit = 150ms;
constexpr Duration kFindPoll = 15ms;
constexpr Duration kFirstBackoff = 80ms;
constexpr Duration kMaxBackoff = 1'900ms; ///< 70 ms for each of 27 instances

/// One instance, as `RelayFollower` and the configuration's follower run it.
struct Node
{
  Peer mSelf;
  SourceChoice mChoice;
  bool mIsUp = true;
  std::string mSource;        ///< empty: none
  bool mFollowsStore = false; ///< calls the store itself
  bool mIsDirect = false;     ///< the store has answered it
  bool mIsLost = false;       ///< the last call failed
  std::optional<TimePoint> mConfirmedAt;
  TimePoint mNextStep = kStart; ///< of the choice
  TimePoint mNextCall = TimePoint::max();
  Duration mBackoff = kFirstBackoff;
  int mGeneration = 0;
  Duration mOldest{}; ///< age of the oldest copy that it had
};

class Fleet
{
public:
  Fleet(std::size_t aDomains, std::size_t aPerDomain, unsigned aSeed)
    : mRandom(aSeed)
  {
    std::vector<Peer> peers;
    peers.reserve(aDomains * aPerDomain);
    for (std::size_t index = 0; index < aDomains * aPerDomain; ++index) {
      peers.push_back({ "i-" + std::to_string(index),
                        "d-" + std::to_string(index % aDomains),
                        "127.0.0.1:1" });
    }
    for (const auto& peer : peers) {
      SourceChoice choice(
        { .mInstance = peer.mInstance, .mFailureDomain = peer.mFailureDomain });
      choice.OnPeers(peers);
      mNodes.push_back({ .mSelf = peer,
                         .mChoice = std::move(choice),
                         .mSource = {},
                         .mConfirmedAt = {} });
    }
  }

  void Run(Duration aTime)
  {
    for (const auto until = mNow + aTime; mNow < until; mNow += kStep) {
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        mEvents.extract(mEvents.begin()).mapped()();
      }
      for (auto& node : mNodes) {
        if (node.mIsUp) {
          Advance(node);
        }
      }
    }
  }

  /// Counts only what happens from now on.
  void ResetCounts()
  {
    mVainPolls = 0;
    mCalls = 0;
    mTurned.clear();
    for (auto& node : mNodes) {
      node.mOldest = {};
    }
  }

  /// Returns the instance that others of a domain follow.
  Node& SourceOf(const std::string& aDomain)
  {
    const auto found = std::ranges::find_if(mNodes, [&](const Node& aNode) {
      return aNode.mIsUp && aNode.mSelf.mFailureDomain == aDomain &&
             HasCurrentCopy(aNode);
    });
    REQUIRE(found != mNodes.end());
    return *found;
  }

  [[nodiscard]] std::ptrdiff_t DirectCount() const
  {
    return std::ranges::count_if(mNodes, [](const Node& aNode) {
      return aNode.mIsUp && aNode.mFollowsStore;
    });
  }

  [[nodiscard]] Duration AgeOf(const Node& aNode) const
  {
    return aNode.mConfirmedAt ? mNow - *aNode.mConfirmedAt : Duration::zero();
  }

  [[nodiscard]] Duration OldestCopy() const
  {
    return std::ranges::max(mNodes, {}, &Node::mOldest).mOldest;
  }

  [[nodiscard]] bool IsAllFresh() const
  {
    return std::ranges::all_of(mNodes, [&](const Node& aNode) {
      return !aNode.mIsUp || (aNode.mConfirmedAt && AgeOf(aNode) <= kMaxAge);
    });
  }

  std::vector<Node> mNodes;
  /// tells whether the store answers an instance
  std::function<bool(const Node&)> mIsServed = [](const Node&) { return true; };
  /// tells whether two instances reach each other
  std::function<bool(const Node&, const Node&)> mReaches =
    [](const Node&, const Node&) { return true; };
  Duration mStoreLatency = kStoreLatency;
  std::size_t mVainPolls = 0;    ///< answered without a copy
  std::size_t mCalls = 0;        ///< to the store
  std::set<std::string> mTurned; ///< instances that turned to the store

private:
  void After(Duration aTime, std::function<void()> aEvent)
  {
    mEvents.emplace(mNow + aTime, std::move(aEvent));
  }

  [[nodiscard]] static bool HasCurrentCopy(const Node& aNode)
  {
    return aNode.mFollowsStore && aNode.mIsDirect && !aNode.mIsLost;
  }

  void Advance(Node& aNode)
  {
    aNode.mOldest = std::max(aNode.mOldest, AgeOf(aNode));
    if (mNow >= aNode.mNextCall) {
      CallStore(aNode);
    }
    if (mNow < aNode.mNextStep) {
      return;
    }
    const bool hasCopy = aNode.mConfirmedAt.has_value();
    relay::SourceStep step = relay::FollowStore{};
    if (hasCopy || mNow < kStart + kFindLimit) {
      step = aNode.mChoice.Next(
        { .mHasCopy = hasCopy,
          .mFollowsStore = aNode.mFollowsStore,
          .mHasLostStore = aNode.mFollowsStore && aNode.mIsLost,
          .mAge = AgeOf(aNode) },
        mNow);
    }
    if (std::holds_alternative<relay::FollowStore>(step)) {
      TurnToStore(aNode);
      aNode.mNextStep = mNow + kLook;
    } else if (const auto* const wait =
                 std::get_if<relay::AwaitSuccessor>(&step)) {
      REQUIRE(wait->mUntil > mNow);
      aNode.mNextStep = wait->mUntil;
    } else {
      Ask(aNode, std::get<relay::AskInstance>(step));
    }
  }

  void TurnToStore(Node& aNode)
  {
    if (!std::exchange(aNode.mFollowsStore, true)) {
      mTurned.insert(aNode.mSelf.mInstance);
      aNode.mSource.clear();
      aNode.mChoice.OnStoreFollowed();
      aNode.mNextCall = mNow;
      aNode.mBackoff = kFirstBackoff;
      aNode.mIsDirect = false;
    }
  }

  void CallStore(Node& aNode)
  {
    ++mCalls;
    aNode.mNextCall = TimePoint::max();
    const bool isServed = mIsServed(aNode);
    const auto sentAt = mNow;
    const auto generation = aNode.mGeneration;
    After(mStoreLatency, [this, &aNode, isServed, sentAt, generation] {
      if (generation != aNode.mGeneration) {
        return;
      }
      aNode.mIsLost = !isServed;
      if (isServed) {
        aNode.mIsDirect = true;
        aNode.mConfirmedAt = sentAt;
        aNode.mBackoff = kFirstBackoff;
        aNode.mNextCall = mNow + kPollInterval;
        return;
      }
      std::uniform_real_distribution<double> part(0.5, 1.0);
      const auto count = static_cast<double>(aNode.mBackoff.count());
      aNode.mNextCall =
        mNow + Duration(static_cast<Duration::rep>(count * part(mRandom)));
      aNode.mBackoff = std::min(aNode.mBackoff * 2, kMaxBackoff);
    });
  }

  void Ask(Node& aNode, const relay::AskInstance& aStep)
  {
    aNode.mNextStep = TimePoint::max();
    const auto target =
      std::ranges::find(mNodes, aStep.mPeer.mInstance, [](const Node& aOther) {
        return aOther.mSelf.mInstance;
      });
    REQUIRE(target != mNodes.end());
    if (!mReaches(aNode, *target)) {
      After(kSilence, [this, &aNode, &target = *target] {
        Fail(aNode, target, SourceFailure::Unreachable);
      });
      return;
    }
    const bool mayWait = aNode.mSource == target->mSelf.mInstance;
    const auto until = mNow + (mayWait ? kLongestWait : Duration::zero());
    After(kPollLatency, [this, &aNode, &target = *target, until] {
      Answer(aNode, target, until);
    });
  }

  void Answer(Node& aNode, Node& aTarget, TimePoint aUntil)
  {
    if (!aTarget.mIsUp) {
      Fail(aNode, aTarget, SourceFailure::Unreachable);
      return;
    }
    const bool isUsable = HasCurrentCopy(aTarget) && AgeOf(aTarget) <= kMaxAge;
    if (!isUsable) {
      ++mVainPolls;
      Fail(aNode, aTarget, SourceFailure::NoCopy);
      return;
    }
    const bool hasNews = aTarget.mConfirmedAt > aNode.mConfirmedAt;
    if (!hasNews && mNow < aUntil) {
      After(kStep, [this, &aNode, &aTarget, aUntil] {
        Answer(aNode, aTarget, aUntil);
      });
      return;
    }
    ++aNode.mGeneration;
    aNode.mNextCall = TimePoint::max();
    aNode.mFollowsStore = false;
    aNode.mIsLost = false;
    aNode.mSource = aTarget.mSelf.mInstance;
    aNode.mConfirmedAt = std::max(aNode.mConfirmedAt, aTarget.mConfirmedAt);
    aNode.mChoice.OnAnswered(aTarget.mSelf, mNow);
    aNode.mNextStep = mNow;
  }

  void Fail(Node& aNode, const Node& aTarget, SourceFailure aFailure)
  {
    if (!aNode.mConfirmedAt && aFailure == SourceFailure::NoCopy) {
      aNode.mNextStep = mNow + kFindPoll;
      return;
    }
    const bool isAnswered = aFailure == SourceFailure::NoCopy;
    aNode.mChoice.OnFailed(aTarget.mSelf.mInstance,
                           aFailure,
                           mNow,
                           isAnswered ? aTarget.mSource : std::string());
    if (aNode.mChoice.IsWithoutSource()) {
      aNode.mSource.clear();
    }
    if (aNode.mConfirmedAt && AgeOf(aNode) > kMaxAge) {
      TurnToStore(aNode);
    }
    aNode.mNextStep = mNow;
  }

  TimePoint mNow = kStart;
  std::multimap<TimePoint, std::function<void()>> mEvents;
  std::minstd_rand mRandom;
};

} // namespace

// load: 27 instances that lost their source at the same moment each called the
// store and polled all others of the domain
TEST_CASE("the source of 27 instances of a failure domain")
{
  constexpr std::size_t kInstances = 27;
  constexpr std::ptrdiff_t kMaxDirect = 3;

  SUBCASE("is killed at any age of their copies: few of them succeed it")
  {
    for (Duration age{}; age < kPollInterval; age += 50ms) {
      CAPTURE(age.count());
      Fleet fleet(1, kInstances, 1);
      fleet.Run(5s + age);
      REQUIRE(fleet.DirectCount() == 1);
      fleet.ResetCounts();
      fleet.SourceOf("d-0").mIsUp = false;
      fleet.Run(3s);
      CHECK(std::ssize(fleet.mTurned) <= kMaxDirect);
      CHECK(fleet.OldestCopy() <= kMaxAge);
      CHECK(fleet.DirectCount() == 1);
    }
  }

  SUBCASE("is killed while the store is slow")
  {
    // a direct follower's copy gets as old as its interval and two calls
    for (Duration age{}; age < kPollInterval; age += 50ms) {
      CAPTURE(age.count());
      Fleet fleet(1, kInstances, 2);
      fleet.mStoreLatency = 120ms;
      fleet.Run(5s + age);
      fleet.ResetCounts();
      auto& source = fleet.SourceOf("d-0");
      const bool isInTime = fleet.AgeOf(source) < kMaxAge - 400ms;
      source.mIsUp = false;
      fleet.Run(3s);
      // with older copies there is no time to wait for a successor
      CHECK((!isInTime || std::ssize(fleet.mTurned) <= kMaxDirect));
      CHECK(fleet.IsAllFresh());
    }
  }

  SUBCASE("is killed together with every third one")
  {
    Fleet fleet(1, kInstances, 4);
    fleet.Run(5s);
    fleet.ResetCounts();
    fleet.SourceOf("d-0").mIsUp = false;
    for (std::size_t index = 1; index < kInstances; index += 3) {
      fleet.mNodes[index].mIsUp = false;
    }
    fleet.Run(4s);
    CHECK(std::ssize(fleet.mTurned) <= kMaxDirect);
    CHECK(fleet.OldestCopy() <= kMaxAge);
    CHECK(fleet.DirectCount() == 1);
  }

  SUBCASE("falls silent")
  {
    Fleet fleet(1, kInstances, 3);
    fleet.Run(5s);
    fleet.ResetCounts();
    const auto silent = fleet.SourceOf("d-0").mSelf;
    fleet.mIsServed = [&](const Node& aNode) { return aNode.mSelf != silent; };
    fleet.mReaches = [&](const Node& aFrom, const Node& aTo) {
      return aFrom.mSelf != silent && aTo.mSelf != silent;
    };
    fleet.Run(4s);
    CHECK(std::ssize(fleet.mTurned) <= kMaxDirect);
  }

  SUBCASE("loses the store alone")
  {
    Fleet fleet(1, kInstances, 5);
    fleet.Run(5s);
    fleet.ResetCounts();
    const auto lost = fleet.SourceOf("d-0").mSelf;
    fleet.mIsServed = [&](const Node& aNode) { return aNode.mSelf != lost; };
    fleet.Run(10s);
    CHECK(std::ssize(fleet.mTurned) <= kMaxDirect);
    CHECK(fleet.OldestCopy() <= kMaxAge);
    CHECK(fleet.DirectCount() == 1);
  }

  SUBCASE("is turned away by the store, as are two thirds of the others")
  {
    Fleet fleet(1, kInstances, 6);
    fleet.Run(5s);
    fleet.ResetCounts();
    const auto lost = fleet.SourceOf("d-0").mSelf;
    fleet.mIsServed = [&](const Node& aNode) {
      const auto hash = std::hash<std::string>{}(aNode.mSelf.mInstance);
      return aNode.mSelf != lost && hash % 3 == 0;
    };
    fleet.Run(10s);
    CHECK(fleet.IsAllFresh());
    CHECK(fleet.mTurned.size() < kInstances / 2);
  }

  SUBCASE("is not chosen yet, as all start at the same moment")
  {
    Fleet fleet(1, kInstances, 7);
    fleet.Run(1s);
    CHECK(fleet.IsAllFresh());
    CHECK(fleet.DirectCount() == 1);
  }
}

// load: in an outage each of 81 instances polled nearly all others of its
// domain twice a second, and those of a domain that was cut off from the store
// went to and fro between it and an instance of another domain
TEST_CASE("81 instances of three failure domains")
{
  constexpr std::size_t kInstances = 81;
  Fleet fleet(3, kInstances / 3, 8);
  fleet.Run(5s);
  REQUIRE(fleet.DirectCount() == 3);
  fleet.ResetCounts();
  const auto isCutOff = [](const Node& aNode) {
    return aNode.mSelf.mFailureDomain == "d-1";
  };

  SUBCASE("lose the store: they poll some others, and all have it back soon")
  {
    fleet.mIsServed = [](const Node&) { return false; };
    fleet.Run(4s);
    CHECK(fleet.mVainPolls < 5'000);
    CHECK(fleet.mCalls < 600);
    fleet.ResetCounts();
    fleet.mIsServed = [](const Node&) { return true; };
    fleet.Run(1'500ms);
    CHECK(fleet.IsAllFresh());
    CHECK(fleet.mCalls < kInstances / 2);
    fleet.Run(10s);
    CHECK(fleet.DirectCount() == 3);
  }

  SUBCASE("of which one is cut off from the store: it follows the others")
  {
    fleet.mIsServed = [&](const Node& aNode) { return !isCutOff(aNode); };
    fleet.Run(4s);
    CHECK(fleet.IsAllFresh());
    fleet.ResetCounts();
    fleet.Run(8s);
    CHECK(fleet.mCalls < kInstances / 2);
    CHECK(fleet.IsAllFresh());
    fleet.mIsServed = [](const Node&) { return true; };
    fleet.Run(10s);
    CHECK(fleet.DirectCount() == 3);
    CHECK(fleet.SourceOf("d-1").mFollowsStore);
  }

  SUBCASE("of which one is cut off from all: it returns without a storm")
  {
    fleet.mIsServed = [&](const Node& aNode) { return !isCutOff(aNode); };
    fleet.mReaches = [&](const Node& aFrom, const Node& aTo) {
      return isCutOff(aFrom) == isCutOff(aTo);
    };
    fleet.Run(5s);
    fleet.ResetCounts();
    fleet.mIsServed = [](const Node&) { return true; };
    fleet.mReaches = [](const Node&, const Node&) { return true; };
    fleet.Run(3s);
    CHECK(fleet.IsAllFresh());
    CHECK(fleet.mCalls < kInstances / 2);
    fleet.Run(10s);
    CHECK(fleet.DirectCount() == 3);
  }
}
