#include <figslip/coldstart/grant_book.hpp>
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

constexpr std::size_t kEntries = 3;
constexpr auto kUpstream = "engine";
constexpr auto kCallTimeout = 300ms;
constexpr auto kLongestWork = 3s;

/// Holds one ask and its answer on the way.
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

struct Entry
{
  membership::Incarnation mSelf;
  coldstart::GrantBook mBook;
  coldstart::GrantHolder mHolder;
  membership::InstanceList mView;
  std::vector<TimePoint> mWork; ///< latest ends of the running requests
  std::int64_t mSequence = 0;
  TimePoint mAskedAt; ///< start of the call under way
  bool mAsking = false;
};

/// Runs entries that see the instance list late over a network that loses and
/// delays; the oracle is the sum of the work on the upstream.
class World
{
public:
  World(std::uint64_t aSeed, int aBound)
    : mRandom(aSeed)
    , mBound(aBound)
  {
    for (std::size_t index = 0; index < kEntries; ++index) {
      const auto name = "entry-" + std::to_string(index);
      mList.mEntries.push_back(
        { .mName = name, .mFailureDomain = "sul-a", .mPeerPort = 1 });
      const membership::Incarnation self{ name, 1 };
      mEntries.push_back(
        { .mSelf = self,
          .mBook = coldstart::GrantBook(
            { .mSelf = self, .mLongestWork = kLongestWork }) });
    }
    for (auto& entry : mEntries) {
      See(entry);
    }
  }

  void Step()
  {
    mNow += std::chrono::milliseconds(Pick(8));
    auto& entry = mEntries[Pick(kEntries)];
    switch (Pick(8)) {
      case 0:
        ChangeList();
        break;
      case 1:
        See(entry);
        break;
      case 2:
      case 3:
        Ask(entry);
        break;
      case 4:
        Deliver();
        break;
      case 5:
        StartWork(entry);
        break;
      case 6:
        EndWork(entry);
        break;
      default:
        ReportLoad();
        break;
    }
    for (auto& each : mEntries) {
      std::erase_if(each.mWork, [&](auto aEnd) { return mNow >= aEnd; });
    }
  }

  [[nodiscard]] int Running() const
  {
    return std::accumulate(
      mEntries.begin(), mEntries.end(), 0, [](int aSum, const Entry& aEntry) {
        return aSum + static_cast<int>(aEntry.mWork.size());
      });
  }

  [[nodiscard]] int Started() const { return mStarted; }

  /// Lets a share of the calls get lost; 0 makes the network reliable.
  void SetLoss(unsigned aPercent) { mLossPercent = aPercent; }
  void KeepList() { mKeepList = true; }

private:
  std::size_t Pick(std::size_t aCount)
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(mRandom);
  }

  /// Entries leave and return, so that the home moves; one of them at a time
  /// may be missing altogether, though it lives on.
  void ChangeList()
  {
    if (mKeepList || Pick(50) != 0) {
      return;
    }
    if (Pick(3) == 0) {
      mMissing = mMissing ? std::nullopt : std::optional(Pick(kEntries));
      return;
    }
    auto& state = mList.mEntries[Pick(kEntries)].mState;
    state = state == membership::InstanceState::Live
              ? membership::InstanceState::Leaving
              : membership::InstanceState::Live;
  }

  void See(Entry& aEntry)
  {
    if (mNow != TimePoint{} && Pick(3) == 0) {
      return;
    }
    aEntry.mView = mList;
    if (mMissing) {
      aEntry.mView.mEntries.erase(aEntry.mView.mEntries.begin() +
                                  static_cast<std::ptrdiff_t>(*mMissing));
    }
    std::set<std::string, std::less<>> names;
    for (const auto& entry : aEntry.mView.mEntries) {
      names.insert(entry.mName);
    }
    aEntry.mBook.OnEntries(std::move(names));
  }

  std::string HomeSeenBy(const Entry& aEntry) const
  {
    return std::string(membership::OwnerOf(aEntry.mView, "sul-a", kUpstream));
  }

  void Ask(Entry& aEntry)
  {
    if (aEntry.mAsking && mNow - aEntry.mAskedAt < kCallTimeout) {
      return;
    }
    const auto home = HomeSeenBy(aEntry);
    const auto to = std::ranges::find(mEntries, home, [](const Entry& aOther) {
      return aOther.mSelf.mInstance;
    });
    if (to == mEntries.end()) {
      return;
    }
    const auto use = aEntry.mHolder.Ask(kUpstream,
                                        home,
                                        static_cast<int>(aEntry.mWork.size()),
                                        static_cast<int>(Pick(mBound + 1)),
                                        mNow);
    const Call call{ .mFrom = static_cast<std::size_t>(&aEntry - &mEntries[0]),
                     .mTo = static_cast<std::size_t>(to - mEntries.begin()),
                     .mSequence = ++aEntry.mSequence,
                     .mUse = use,
                     .mSentAt = mNow };
    if (call.mFrom == call.mTo) {
      aEntry.mHolder.OnAnswer(Serve(call), mNow);
      return;
    }
    aEntry.mAsking = true;
    aEntry.mAskedAt = mNow;
    mCalls.push_back(call);
  }

  ColdGrant Serve(const Call& aCall)
  {
    auto& home = mEntries[aCall.mTo];
    return home.mBook.OnUse(
      mEntries[aCall.mFrom].mSelf,
      aCall.mSequence,
      aCall.mUse,
      { HomeSeenBy(home) == home.mSelf.mInstance, mBound },
      mNow);
  }

  /// Moves any call on by one step, in any order; some get lost, some late.
  void Deliver()
  {
    if (mCalls.empty()) {
      return;
    }
    const auto index = Pick(mCalls.size());
    auto call = mCalls[index];
    mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(index));
    if (Pick(100) < mLossPercent) {
      return;
    }
    if (!call.mServed) {
      call.mGrant = Serve(call);
      call.mServed = true;
      mCalls.push_back(call);
      return;
    }
    auto& from = mEntries[call.mFrom];
    if (from.mAsking && from.mAskedAt == call.mSentAt &&
        mNow - call.mSentAt < kCallTimeout) {
      from.mAsking = false;
      from.mHolder.OnAnswer(call.mGrant, call.mSentAt);
    }
  }

  void StartWork(Entry& aEntry)
  {
    while (static_cast<int>(aEntry.mWork.size()) <
           aEntry.mHolder.Slots(kUpstream, mNow)) {
      aEntry.mWork.push_back(mNow + kLongestWork);
      ++mStarted;
    }
  }

  void EndWork(Entry& aEntry)
  {
    if (!aEntry.mWork.empty()) {
      aEntry.mWork.pop_back();
    }
  }

  void ReportLoad()
  {
    for (auto& entry : mEntries) {
      entry.mBook.OnLoadReport(kUpstream, Running(), mNow, mNow);
    }
  }

  std::mt19937_64 mRandom;
  int mBound;
  unsigned mLossPercent = 20;
  bool mKeepList = false;
  TimePoint mNow;
  membership::InstanceList mList;
  std::optional<std::size_t> mMissing;
  std::vector<Entry> mEntries;
  std::deque<Call> mCalls;
  int mStarted = 0;
};

} // namespace

TEST_CASE("cold capacity under several homes, loss and delay")
{
  CHECK(rc::check("the work of all entries stays within the bound", [] {
    const int bound = *rc::gen::inRange(1, 5);
    World world(*rc::gen::arbitrary<std::uint64_t>(), bound);
    for (int step = 0; step < 50'000; ++step) {
      world.Step();
      RC_ASSERT(world.Running() <= bound);
    }
    RC_CLASSIFY(world.Started() > 20, "much work was started");
  }));
}

TEST_CASE("cold capacity with a quiet list and network is used")
{
  World world(1, 2);
  world.SetLoss(0);
  world.KeepList();
  for (int step = 0; step < 10'000; ++step) {
    world.Step();
    REQUIRE(world.Running() <= 2);
  }
  CHECK(world.Started() > 20);
}
