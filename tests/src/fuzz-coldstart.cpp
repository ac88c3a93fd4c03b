#include <figslip/coldstart/grant_allocator.hpp>
#include <figslip/coldstart/grant_holder.hpp>
#include <figslip/membership/rendezvous.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <numeric>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using coldstart::ColdGrant;
using coldstart::ColdUse;

namespace {

constexpr std::size_t kInstances = 3;
constexpr auto kUpstream = "engine";
constexpr auto kCallTimeout = 300ms;
constexpr auto kMaxRequestDuration = 3s;

/// Use report or its response in transit.
struct Call
{
  std::size_t mFrom;
  std::size_t mTo;
  std::int64_t mSequence;
  ColdUse mUse;
  TimePoint mSentAt;
  bool mServed = false;
  ColdGrant mGrant;
};

struct Instance
{
  membership::Incarnation mSelf;
  coldstart::GrantAllocator mAllocator;
  coldstart::GrantHolder mHolder;
  membership::InstanceList mView;
  std::vector<TimePoint> mRequestEnds; ///< latest ends of running requests
  std::int64_t mSequence = 0;
  TimePoint mAskedAt; ///< start of the pending call
  bool mIsAsking = false;
};

/// Simulates instances that see changes of the instance list late, over a
/// network that loses, delays and reorders calls. The invariant to check is the
/// total number of requests on the upstream.
class Simulation
{
public:
  Simulation(std::uint64_t aSeed, int aBound)
    : mRandom(aSeed)
    , mBound(aBound)
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      const auto name = "entry-" + std::to_string(index);
      mList.mEntries.push_back(
        { .mName = name, .mFailureDomain = "sul-a", .mPeerPort = 1 });
      const membership::Incarnation self{ name, 1 };
      mInstances.push_back(
        { .mSelf = self,
          .mAllocator = coldstart::GrantAllocator(
            { .mSelf = self, .mMaxRequestDuration = kMaxRequestDuration }) });
    }
    for (auto& instance : mInstances) {
      RefreshView(instance);
    }
  }

  void Step()
  {
    mNow += std::chrono::milliseconds(RandomIndex(8));
    auto& instance = mInstances[RandomIndex(kInstances)];
    switch (RandomIndex(8)) {
      case 0:
        ChangeList();
        break;
      case 1:
        RefreshView(instance);
        break;
      case 2:
      case 3:
        Ask(instance);
        break;
      case 4:
        Deliver();
        break;
      case 5:
        StartWork(instance);
        break;
      case 6:
        EndWork(instance);
        break;
      default:
        ReportLoad();
        break;
    }
    for (auto& each : mInstances) {
      std::erase_if(each.mRequestEnds, [&](auto aEnd) { return mNow >= aEnd; });
    }
  }

  [[nodiscard]] int Running() const
  {
    return std::accumulate(mInstances.begin(),
                           mInstances.end(),
                           0,
                           [](int aSum, const Instance& aInstance) {
                             return aSum + static_cast<int>(
                                             aInstance.mRequestEnds.size());
                           });
  }

  [[nodiscard]] int Started() const { return mStarted; }

  /// Sets the percentage of lost messages; 0 makes the network reliable.
  void SetLoss(unsigned aPercent) { mLossPercent = aPercent; }
  void FreezeList() { mIsListFrozen = true; }

private:
  std::size_t RandomIndex(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  /// Instances leave and return, so that the owner changes. At most one of them
  /// is missing from the list while it keeps running.
  void ChangeList()
  {
    if (mIsListFrozen || RandomIndex(50) != 0) {
      return;
    }
    if (RandomIndex(3) == 0) {
      mMissingInstance = mMissingInstance
                           ? std::nullopt
                           : std::optional(RandomIndex(kInstances));
      return;
    }
    auto& state = mList.mEntries[RandomIndex(kInstances)].mState;
    state = state == membership::InstanceState::Live
              ? membership::InstanceState::Leaving
              : membership::InstanceState::Live;
  }

  void RefreshView(Instance& aInstance)
  {
    if (mNow != TimePoint{} && RandomIndex(3) == 0) {
      return;
    }
    aInstance.mView = mList;
    if (mMissingInstance) {
      aInstance.mView.mEntries.erase(
        aInstance.mView.mEntries.begin() +
        static_cast<std::ptrdiff_t>(*mMissingInstance));
    }
    std::set<std::string, std::less<>> names;
    for (const auto& instance : aInstance.mView.mEntries) {
      names.insert(instance.mName);
    }
    aInstance.mAllocator.OnInstances(std::move(names));
  }

  std::string OwnerSeenBy(const Instance& aInstance) const
  {
    return std::string(
      membership::OwnerOf(aInstance.mView, "sul-a", kUpstream));
  }

  void Ask(Instance& aInstance)
  {
    if (aInstance.mIsAsking && mNow - aInstance.mAskedAt < kCallTimeout) {
      return;
    }
    const auto owner = OwnerSeenBy(aInstance);
    const auto to =
      std::ranges::find(mInstances, owner, [](const Instance& aOther) {
        return aOther.mSelf.mInstance;
      });
    if (to == mInstances.end()) {
      return;
    }
    const auto use = aInstance.mHolder.PrepareUse(
      kUpstream,
      owner,
      static_cast<int>(aInstance.mRequestEnds.size()),
      static_cast<int>(RandomIndex(mBound + 1)),
      mNow);
    const Call call{ .mFrom =
                       static_cast<std::size_t>(&aInstance - &mInstances[0]),
                     .mTo = static_cast<std::size_t>(to - mInstances.begin()),
                     .mSequence = ++aInstance.mSequence,
                     .mUse = use,
                     .mSentAt = mNow };
    if (call.mFrom == call.mTo) {
      aInstance.mHolder.OnAnswer(Serve(call), mNow);
      return;
    }
    aInstance.mIsAsking = true;
    aInstance.mAskedAt = mNow;
    mCalls.push_back(call);
  }

  ColdGrant Serve(const Call& aCall)
  {
    auto& owner = mInstances[aCall.mTo];
    return owner.mAllocator.OnUse(
      mInstances[aCall.mFrom].mSelf,
      aCall.mSequence,
      aCall.mUse,
      { OwnerSeenBy(owner) == owner.mSelf.mInstance, mBound },
      mNow);
  }

  /// Delivers a random message; it may be lost or late.
  void Deliver()
  {
    if (mCalls.empty()) {
      return;
    }
    const auto index = RandomIndex(mCalls.size());
    auto call = mCalls[index];
    mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(index));
    if (RandomIndex(100) < mLossPercent) {
      return;
    }
    if (!call.mServed) {
      call.mGrant = Serve(call);
      call.mServed = true;
      mCalls.push_back(call);
      return;
    }
    auto& from = mInstances[call.mFrom];
    if (from.mIsAsking && from.mAskedAt == call.mSentAt &&
        mNow - call.mSentAt < kCallTimeout) {
      from.mIsAsking = false;
      from.mHolder.OnAnswer(call.mGrant, call.mSentAt);
    }
  }

  void StartWork(Instance& aInstance)
  {
    while (static_cast<int>(aInstance.mRequestEnds.size()) <
           aInstance.mHolder.Slots(kUpstream, mNow)) {
      aInstance.mRequestEnds.push_back(mNow + kMaxRequestDuration);
      ++mStarted;
    }
  }

  void EndWork(Instance& aInstance)
  {
    if (!aInstance.mRequestEnds.empty()) {
      aInstance.mRequestEnds.pop_back();
    }
  }

  void ReportLoad()
  {
    for (auto& instance : mInstances) {
      instance.mAllocator.OnLoadReport(kUpstream, Running(), mNow, mNow);
    }
  }

  std::mt19937_64 mRandom;
  int mBound;
  unsigned mLossPercent = 20;
  bool mIsListFrozen = false;
  TimePoint mNow;
  membership::InstanceList mList;
  std::optional<std::size_t> mMissingInstance;
  std::vector<Instance> mInstances;
  std::deque<Call> mCalls;
  int mStarted = 0;
};

} // namespace

TEST_CASE("cold capacity with several owners, loss and delay")
{
  CHECK(rc::check("the requests of all instances stay within the bound", [] {
    const int bound = *rc::gen::inRange(1, 5);
    Simulation simulation(*rc::gen::arbitrary<std::uint64_t>(), bound);
    for (int step = 0; step < 50'000; ++step) {
      simulation.Step();
      RC_ASSERT(simulation.Running() <= bound);
    }
    RC_CLASSIFY(simulation.Started() > 20, "more than 20 requests started");
  }));
}

TEST_CASE("cold capacity is used with a stable list and a reliable network")
{
  Simulation simulation(1, 2);
  simulation.SetLoss(0);
  simulation.FreezeList();
  for (int step = 0; step < 10'000; ++step) {
    simulation.Step();
    REQUIRE(simulation.Running() <= 2);
  }
  CHECK(simulation.Started() > 20);
}
