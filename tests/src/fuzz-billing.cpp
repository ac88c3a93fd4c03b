#include <figslip/billing/billing_core.hpp>
#include <figslip/billing/ledger.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

using namespace figslip;
using namespace figslip::billing;

namespace {

constexpr int kInstances = 4;
constexpr Duration kStep = std::chrono::milliseconds(300);
constexpr Duration kLongStep = std::chrono::seconds(7);

enum class Step
{
  Answer,
  Write,
  WriteLosesAnswer,
  HandOver,
  HandOverLosesRequest,
  HandOverLosesAnswer,
  HandOverRepeats,
  Release,
  ReleaseLosesAnswer,
  TakeOver,
  Crash,
  GracefulStop,
  ToggleOutage,
  ListInstances,
  PassTime,
  PassLongTime,
  Count
};

struct Command
{
  Step mStep;
  std::size_t mInstance;
};

std::ostream&
operator<<(std::ostream& aOut, const Command& aCommand)
{
  return aOut << static_cast<int>(aCommand.mStep) << '@' << aCommand.mInstance;
}

/// What must hold of one answered request.
struct Answered
{
  membership::Incarnation mOrigin;
  std::set<membership::Incarnation> mHolders; ///< said that they hold it
  bool mMayBeLost = false; ///< origin and all holders crashed before a write
};

/// Instances, a network that loses messages and a platform with outages.
class World
{
public:
  World()
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      mCores.push_back(MakeCore(index));
    }
    ListInstances();
  }

  void Run(const Command& aCommand)
  {
    const auto index = aCommand.mInstance;
    switch (aCommand.mStep) {
      case Step::Answer:
        Answer(index);
        break;
      case Step::Write:
        Write(index, false);
        break;
      case Step::WriteLosesAnswer:
        Write(index, true);
        break;
      case Step::HandOver:
        HandOver(index, 1, true);
        break;
      case Step::HandOverLosesRequest:
        HandOver(index, 0, false);
        break;
      case Step::HandOverLosesAnswer:
        HandOver(index, 1, false);
        break;
      case Step::HandOverRepeats:
        HandOver(index, 2, true);
        break;
      case Step::Release:
        Release(index, true);
        break;
      case Step::ReleaseLosesAnswer:
        Release(index, false);
        break;
      case Step::TakeOver:
        (void)mCores[index].TakeOver(mNow);
        break;
      case Step::Crash:
        Crash(index);
        break;
      case Step::GracefulStop:
        GracefulStop(index);
        break;
      case Step::ToggleOutage:
        mOutage = !mOutage;
        break;
      case Step::ListInstances:
        ListInstances();
        break;
      case Step::PassTime:
        mNow += kStep;
        break;
      case Step::PassLongTime:
      case Step::Count:
        mNow += kLongStep;
        break;
    }
  }

  /// Ends the faults and lets every instance finish its work.
  void Settle()
  {
    mOutage = false;
    constexpr int kRounds = 20;
    for (int round = 0; round < kRounds; ++round) {
      ListInstances();
      mNow += kLongStep;
      for (std::size_t index = 0; index < kInstances; ++index) {
        (void)mCores[index].TakeOver(mNow);
        Write(index, false);
        HandOver(index, 1, true);
        Release(index, true);
      }
    }
  }

  /// Compares the ledger with the answered requests.
  void Check() const
  {
    Ledger ledger;
    std::set<std::string> seen;
    for (const auto& [name, text] : mBatches) {
      ledger.AddBatch(name, text);
      const auto records = ParseBatch(text);
      RC_ASSERT(records.has_value());
      for (const auto& record : records.assume_value()) {
        seen.insert(record.mRequestId);
      }
    }
    ledger.Close();
    RC_ASSERT(ledger.Findings().empty());
    RC_ASSERT(ledger.Requests() == seen.size());
    std::int64_t cost = 0;
    for (const auto& [key, total] : ledger.Totals()) {
      cost += total.mCost;
    }
    // every record costs 1, so that a second billing shows in the sum
    RC_ASSERT(cost == static_cast<std::int64_t>(seen.size()));
    for (const auto& [id, answered] : mAnswered) {
      RC_ASSERT(seen.contains(id) || answered.mMayBeLost);
    }
    for (const auto& core : mCores) {
      RC_ASSERT(core.Pending() == 0U);
    }
  }

private:
  static std::string NameOf(std::size_t aIndex)
  {
    return "e" + std::to_string(aIndex);
  }
  static std::string DomainOf(std::size_t aIndex)
  {
    return aIndex % 2 == 0 ? "north" : "south";
  }
  [[nodiscard]] membership::Incarnation RunOf(std::size_t aIndex) const
  {
    return { NameOf(aIndex), mStarts[aIndex] };
  }

  [[nodiscard]] BillingCore MakeCore(std::size_t aIndex) const
  {
    return BillingCore({ .mSelf = RunOf(aIndex),
                         .mFailureDomain = DomainOf(aIndex),
                         .mMaxBatchRecords = 3,
                         .mMaxCopyBytes = 300 });
  }

  void Answer(std::size_t aIndex)
  {
    const auto id = "r" + std::to_string(mAnswered.size());
    const auto position =
      mCores[aIndex].Add({ .mRequestId = id,
                           .mAccount = "salon",
                           .mTarget = "chat",
                           .mVersion = "small-1",
                           .mAttempts = { { "w1", "small-1", 1, 1 } } });
    RC_ASSERT(position.has_value());
    mAnswered[id] = { .mOrigin = RunOf(aIndex) };
  }

  void Write(std::size_t aIndex, bool aLoseAnswer)
  {
    auto& core = mCores[aIndex];
    while (const auto batch = core.NextBatch(mNow)) {
      if (mOutage) {
        core.OnWriteFailed(mNow);
        return;
      }
      const auto [stored, isNew] = mBatches.emplace(batch->mName, batch->mText);
      // a name never stands for two contents
      RC_ASSERT(stored->second == batch->mText);
      if (aLoseAnswer) {
        core.OnWriteFailed(mNow);
        return;
      }
      core.OnWritten(mNow);
    }
  }

  void HandOver(std::size_t aIndex, int aArrivals, bool aAnswerArrives)
  {
    auto& core = mCores[aIndex];
    const auto order = core.NextHandOver(mNow);
    if (!order) {
      return;
    }
    bool isHeld = false;
    const auto peer = FindRun(order->mPeer.mIncarnation);
    for (int arrival = 0; peer && arrival < aArrivals; ++arrival) {
      isHeld = mCores[*peer].Hold(order->mCopy, mNow) == HoldOutcome::Held;
    }
    if (isHeld) {
      NoteHolder(order->mCopy, RunOf(*peer));
    }
    core.OnHandOver(*order, isHeld && aAnswerArrives, mNow);
  }

  void NoteHolder(const RecordCopy& aCopy,
                  const membership::Incarnation& aHolder)
  {
    const auto records = ParseBatch(aCopy.mText);
    for (const auto& record : records.assume_value()) {
      mAnswered.at(record.mRequestId).mHolders.insert(aHolder);
    }
  }

  void Release(std::size_t aIndex, bool aAnswerArrives)
  {
    auto& core = mCores[aIndex];
    const auto order = core.NextRelease(mNow);
    if (!order) {
      return;
    }
    const auto peer = FindRun(order->mPeer.mIncarnation);
    if (peer) {
      mCores[*peer].Release(RunOf(aIndex), order->mUpTo);
    }
    core.OnRelease(*order, peer && aAnswerArrives, mNow);
  }

  void Crash(std::size_t aIndex)
  {
    for (auto* const answered : OnlyWith(RunOf(aIndex))) {
      answered->mMayBeLost = true;
    }
    Restart(aIndex);
  }

  /// Stops when the core allows it, as the service does.
  void GracefulStop(std::size_t aIndex)
  {
    auto& core = mCores[aIndex];
    core.BeginStop();
    Write(aIndex, false);
    while (core.NextHandOver(mNow)) {
      HandOver(aIndex, 1, true);
    }
    if (core.Pending() > 0 && !core.MayStop()) {
      // the patience of the stop is over
      Crash(aIndex);
      return;
    }
    RC_ASSERT(OnlyWith(RunOf(aIndex)).empty());
    Restart(aIndex);
  }

  /// Ends a run and lists the unbilled requests that no live run knows.
  std::vector<Answered*> OnlyWith(const membership::Incarnation& aRun)
  {
    mDead.insert(aRun);
    std::set<std::string> billed;
    for (const auto& [name, text] : mBatches) {
      const auto records = ParseBatch(text);
      for (const auto& record : records.assume_value()) {
        billed.insert(record.mRequestId);
      }
    }
    std::vector<Answered*> lost;
    for (auto& [id, answered] : mAnswered) {
      const bool allDead =
        mDead.contains(answered.mOrigin) &&
        std::ranges::all_of(answered.mHolders, [this](const auto& aHolder) {
          return mDead.contains(aHolder);
        });
      if (allDead && !answered.mMayBeLost && !billed.contains(id)) {
        lost.push_back(&answered);
      }
    }
    return lost;
  }

  void Restart(std::size_t aIndex)
  {
    ++mStarts[aIndex];
    mCores[aIndex] = MakeCore(aIndex);
  }

  void ListInstances()
  {
    std::vector<BillingPeer> peers;
    membership::InstanceList list;
    for (std::size_t index = 0; index < kInstances; ++index) {
      peers.push_back({ RunOf(index), DomainOf(index) });
      list.mEntries.push_back({ .mName = NameOf(index) });
    }
    for (auto& core : mCores) {
      core.OnPeers(peers);
      core.OnInstances(list, mNow);
    }
  }

  [[nodiscard]] std::optional<std::size_t> FindRun(
    const membership::Incarnation& aRun) const
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      if (RunOf(index) == aRun) {
        return index;
      }
    }
    return std::nullopt;
  }

  TimePoint mNow{ std::chrono::hours(1) };
  std::vector<std::int64_t> mStarts = std::vector<std::int64_t>(kInstances, 1);
  std::vector<BillingCore> mCores;
  std::set<membership::Incarnation> mDead;
  std::map<std::string, std::string> mBatches; ///< at the platform
  std::map<std::string, Answered> mAnswered;
  bool mOutage = false;
};

rc::Gen<Command>
CommandGen()
{
  return rc::gen::construct<Command>(
    rc::gen::map(
      rc::gen::weightedOneOf<int>(
        { { 3, rc::gen::just(0) },
          { 5, rc::gen::inRange(0, static_cast<int>(Step::Count)) } }),
      [](int aStep) { return static_cast<Step>(aStep); }),
    rc::gen::inRange<std::size_t>(0, kInstances));
}

} // namespace

TEST_CASE("billing under crashes, outages and lost or repeated messages")
{
  CHECK(rc::check("bills every answered request once", [] {
    constexpr double kLength = 3.0; // commands for each step of rc's size
    const auto commands = *rc::gen::scale(
      kLength, rc::gen::container<std::vector<Command>>(CommandGen()));
    World world;
    for (const auto& command : commands) {
      world.Run(command);
    }
    world.Settle();
    world.Check();
  }));
}

TEST_CASE("during an outage")
{
  World world;
  world.Run({ Step::ToggleOutage, 0 });
  world.Run({ Step::Answer, 3 });
  world.Run({ Step::HandOver, 3 });

  SUBCASE("a crash loses nothing that a neighbour holds")
  {
    world.Run({ Step::Crash, 3 });
  }

  SUBCASE("a stop asks again, since the neighbour may have crashed unnoticed")
  {
    world.Run({ Step::Crash, 2 });
    world.Run({ Step::GracefulStop, 3 });
  }

  world.Settle();
  world.Check();
}
