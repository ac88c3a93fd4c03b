// Plays the records about crashes that the instances of three failure domains
// publish, in virtual time.

#include <figslip/quarantine/crash_records.hpp>
#include <figslip/quarantine/record_forwarder.hpp>
#include <figslip/quarantine/served_reports.hpp>
#include <figslip/quarantine/suspect_reports.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using quarantine::CrashReport;
using quarantine::CrashSuspects;
using quarantine::ForwardOutcome;
using quarantine::PartId;
using quarantine::RecordBatch;
using quarantine::RecordForwarder;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr Duration kStep = 1ms;
constexpr Duration kTick = 250ms; ///< of the housekeeping
constexpr Duration kMessage = 3ms;
constexpr Duration kStoreLatency = 40ms;
constexpr Duration kRelayLatency = 10ms;
/// between two watches of a source, as in `ControlPlane::Start`
constexpr Duration kWatchPause = 900ms;
constexpr Duration kLossKnown = 75ms;
constexpr Duration kSuccessor = 150ms;
constexpr std::size_t kInstances = 82;
constexpr std::size_t kDomains = 3;
constexpr std::size_t kReporters = 60;

struct Node
{
  std::size_t mDomain = 0;
  bool mIsUp = true;
  bool mIsDirect = false;
  quarantine::CrashRecords mCrashes;
  quarantine::SuspectReports mSuspects;
  quarantine::ServedReports mServed;
  RecordForwarder mForwarder{ {} };
  Duration mPhase{};
};

class Fleet
{
public:
  explicit Fleet(unsigned aSeed, bool aForwards)
    : mRandom(aSeed)
    , mForwards(aForwards)
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      mNodes.push_back(
        { .mDomain = index % kDomains,
          .mIsDirect = index < kDomains,
          .mCrashes = quarantine::CrashRecords({ .mSeed = aSeed + index * 97 }),
          .mSuspects =
            quarantine::SuspectReports({ .mSeed = aSeed + index * 97 }),
          .mServed = {},
          .mPhase = 1ms * (mRandom() % 250) });
      mNodes.back().mCrashes.SetInstanceCount(kInstances);
      mNodes.back().mSuspects.SetInstanceCount(kInstances);
      mNodes.back().mForwarder.SetInstanceCount(kInstances);
    }
    // other objects change as well, so that a watch may be in its pause
    for (auto& view : mViews) {
      view.mNextWatchAt = kStart + 1ms * (mRandom() % 900);
    }
  }

  void At(TimePoint aTime, std::function<void()> aTask)
  {
    mEvents.emplace(aTime, std::move(aTask));
  }

  void Run(Duration aTime)
  {
    for (const auto until = mNow + aTime; mNow < until; mNow += kStep) {
      while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
        mEvents.extract(mEvents.begin()).mapped()();
      }
      for (std::size_t domain = 0; domain < kDomains; ++domain) {
        Watch(domain);
      }
      for (auto& node : mNodes) {
        if (node.mIsUp) {
          Advance(node);
        }
      }
    }
  }

  void Report(Node& aNode, const RecordBatch& aBatch)
  {
    auto batch = aBatch;
    std::erase_if(batch.mReports, [&](const auto& aReport) {
      return aNode.mCrashes.IsKnown(aReport);
    });
    std::erase_if(batch.mSuspects, [&](const auto& aCrash) {
      return aNode.mSuspects.WithoutKnown(aCrash).mParts.empty();
    });
    std::erase_if(batch.mServed, [&](PartId aPart) {
      return mViews[aNode.mDomain].mServed.contains(aPart);
    });
    aNode.mForwarder.OnSource(SourceNameOf(aNode), mNow);
    aNode.mForwarder.Add(batch, mNow);
  }

  /// Kills the source of a domain; another instance takes its place.
  void KillSource(std::size_t aDomain)
  {
    auto& source = SourceOf(aDomain);
    source.mIsUp = false;
    auto& view = mViews[aDomain];
    view.mNextWatchAt = TimePoint::max();
    At(mNow + kLossKnown, [&view] { view.mIsSourceLost = true; });
    At(mNow + kSuccessor, [this, aDomain, &view] {
      view.mIsSourceLost = false;
      view.mNextWatchAt = mNow;
      std::ranges::find_if(mNodes, [&](const Node& aNode) {
        return aNode.mIsUp && aNode.mDomain == aDomain;
      })->mIsDirect = true;
    });
  }

  [[nodiscard]] Node& SourceOf(std::size_t aDomain)
  {
    const auto isSource = [&](const Node& aNode) {
      return aNode.mIsDirect && aNode.mDomain == aDomain && aNode.mIsUp;
    };
    const auto found = std::ranges::find_if(mNodes, isSource);
    return found == mNodes.end() ? mNodes.at(aDomain) : *found;
  }

  [[nodiscard]] bool HasSuspect(PartId aPart) const
  {
    return std::ranges::any_of(mWritten, [&](const RecordBatch& aRecord) {
      return std::ranges::any_of(aRecord.mSuspects, [&](const auto& aCrash) {
        return aCrash.mParts.contains(aPart);
      });
    });
  }

  std::vector<Node> mNodes;
  std::vector<RecordBatch> mWritten; ///< records in the store, one each
  std::vector<TimePoint> mWrittenAt;
  TimePoint mNow = kStart;
  bool mLosesAnswers = false;
  std::pair<TimePoint, TimePoint> mStoreAway; ///< begin and end
  int mRemovals = 0; ///< of records whose request was served

private:
  [[nodiscard]] std::string SourceNameOf(const Node& aNode)
  {
    const auto& source = SourceOf(aNode.mDomain);
    const bool isNone =
      !mForwards || aNode.mIsDirect || mViews[aNode.mDomain].mIsSourceLost;
    return isNone ? std::string() : std::to_string(&source - mNodes.data());
  }

  [[nodiscard]] bool IsStoreAway() const
  {
    return mNow >= mStoreAway.first && mNow < mStoreAway.second;
  }

  void Advance(Node& aNode)
  {
    auto& forwarder = aNode.mForwarder;
    forwarder.OnSource(SourceNameOf(aNode), mNow);
    if (!forwarder.IsIdle()) {
      auto own = forwarder.TakeOwn(mNow);
      mRemovals += static_cast<int>(own.mWithdrawn.size());
      own.mWithdrawn.clear();
      Merge(aNode, own);
      if (auto message = forwarder.TakeMessage(mNow)) {
        Send(aNode, std::move(*message));
      }
    }
    if ((mNow - kStart + aNode.mPhase) % kTick == Duration::zero()) {
      Publish(aNode);
    }
  }

  void Send(Node& aNode, RecordForwarder::Message aMessage)
  {
    auto& source = SourceOf(aNode.mDomain);
    At(mNow + kMessage, [this, &aNode, &source, message = std::move(aMessage)] {
      if (!source.mIsUp) {
        aNode.mForwarder.OnAnswer(
          message.mId, ForwardOutcome::Failed, {}, mNow);
        return;
      }
      auto outcome = ForwardOutcome::Busy;
      if (!IsStoreAway()) {
        Merge(source, message.mBatch);
        outcome = ForwardOutcome::Accepted;
      }
      if (!mLosesAnswers) {
        At(mNow + kMessage, [this, &aNode, id = message.mId, outcome] {
          aNode.mForwarder.OnAnswer(id, outcome, 1s, mNow);
        });
      }
    });
  }

  void Merge(Node& aNode, const RecordBatch& aBatch)
  {
    for (const auto& name : aBatch.mWithdrawn) {
      mRemovals += aNode.mCrashes.TakeRecord(name) ? 1 : 0;
    }
    for (const auto& report : aBatch.mReports) {
      CHECK(aNode.mCrashes.OnOwnReport(report, mNow));
    }
    for (const auto& crash : aBatch.mSuspects) {
      CHECK(aNode.mSuspects.OnOwn(crash, mNow));
    }
    aNode.mServed.OnOwn(aBatch.mServed, mNow);
  }

  void Publish(Node& aNode)
  {
    for (const auto& report : aNode.mCrashes.TakeDue(mNow)) {
      Write({ .mReports = { report }, .mSuspects = {}, .mServed = {} });
    }
    for (const auto& crash : aNode.mSuspects.TakeDue(4, mNow)) {
      Write({ .mReports = {}, .mSuspects = { crash }, .mServed = {} });
    }
    if (auto served = aNode.mServed.TakeDue(mNow); !served.empty()) {
      Write({ .mReports = {}, .mSuspects = {}, .mServed = served });
    }
  }

  void Write(const RecordBatch& aRecord)
  {
    if (IsStoreAway()) {
      At(mStoreAway.second, [this, aRecord] { Write(aRecord); });
      return;
    }
    mWritten.push_back(aRecord);
    mWrittenAt.push_back(mNow);
  }

  /// Shows a failure domain what is new in the store.
  void Watch(std::size_t aDomain)
  {
    auto& view = mViews[aDomain];
    const auto isNew = [&] {
      return view.mSeen < mWritten.size() &&
             mWrittenAt[view.mSeen] + kStoreLatency <= mNow;
    };
    if (mNow < view.mNextWatchAt || !isNew()) {
      return;
    }
    view.mNextWatchAt = mNow + kWatchPause;
    for (; isNew(); ++view.mSeen) {
      const auto record = mWritten[view.mSeen];
      view.mServed.insert(record.mServed.begin(), record.mServed.end());
      for (const auto& report : record.mReports) {
        view.mNames[quarantine::CrashRecords::NameOf(report)] = 1;
      }
      for (auto& node : mNodes) {
        if (node.mDomain == aDomain) {
          const auto late = node.mIsDirect ? Duration::zero() : kRelayLatency;
          At(mNow + late,
             [this, &node, &view, record] { Show(record, view.mNames, node); });
        }
      }
    }
  }

  void Show(const RecordBatch& aRecord,
            const std::map<std::string, int>& aNames,
            Node& aNode)
  {
    aNode.mCrashes.OnRecords(aNames, mNow);
    for (const auto& crash : aRecord.mSuspects) {
      aNode.mSuspects.OnPublished(crash, mNow);
    }
    aNode.mServed.OnPublished(aRecord.mServed, mNow);
    aNode.mForwarder.OnPublished(aRecord);
  }

  /// What the source of a failure domain has seen of the store.
  struct View
  {
    TimePoint mNextWatchAt;
    std::size_t mSeen = 0; ///< records
    bool mIsSourceLost = false;
    std::map<std::string, int> mNames;
    std::set<PartId> mServed;
  };

  std::minstd_rand mRandom;
  bool mForwards;
  std::array<View, kDomains> mViews; ///< by failure domain
  std::multimap<TimePoint, std::function<void()>> mEvents;
};

/// Lets instances report one crash, and the parts that were served after it.
void
ReportCrash(Fleet& aFleet, bool aWithServed)
{
  std::minstd_rand random(7);
  for (std::size_t index = 0; index < kReporters; ++index) {
    auto& node = aFleet.mNodes.at(kInstances - 1 - index);
    // connections break within some ms, and clocks differ
    aFleet.At(kStart + 1ms * (random() % 20), [&aFleet, &node, index] {
      aFleet.Report(node,
                    { .mReports = { { .mFingerprint = 1, .mUpstream = "a" } },
                      .mSuspects = { { .mEndpoint = "a",
                                       .mAtMs = static_cast<int>(index),
                                       .mParts = { 1, 2, 3 } } },
                      .mServed = {} });
    });
    if (aWithServed) {
      const auto at = kStart + 500ms + 1ms * (random() % 400);
      aFleet.At(at, [&aFleet, &node] {
        aFleet.Report(node,
                      { .mReports = {}, .mSuspects = {}, .mServed = { 1, 2 } });
      });
    }
  }
}

std::size_t
CountWritten(bool aForwards, bool aWithServed)
{
  std::size_t most = 0;
  for (unsigned seed = 1; seed <= 5; ++seed) {
    Fleet fleet(seed, aForwards);
    ReportCrash(fleet, aWithServed);
    fleet.Run(8s);
    CHECK(fleet.HasSuspect(3));
    most = std::max(most, fleet.mWritten.size());
  }
  return most;
}

/// Returns the time from the second crash of a part to its record.
Duration
TimeToSecond(unsigned aSeed, bool aForwards)
{
  Fleet fleet(aSeed, aForwards);
  const auto report = [&](std::size_t aNode, const char* aUpstream) {
    fleet.Report(fleet.mNodes.at(aNode),
                 { .mReports = {},
                   .mSuspects = { { .mEndpoint = aUpstream,
                                    .mAtMs = 1,
                                    .mParts = { 1 } } },
                   .mServed = {} });
  };
  report(10, "a");
  fleet.Run(2s);
  const auto before = fleet.mWritten.size();
  const auto since = fleet.mNow;
  report(11, "b");
  fleet.Run(2s);
  REQUIRE(before == 1);
  REQUIRE(fleet.mWritten.size() == 2);
  return fleet.mWrittenAt.back() - since;
}

} // namespace

// load: 60 of 82 instances lose requests at an upstream, and serve their parts
// elsewhere; guards against writes that grow with the number of instances
TEST_CASE("records of one crash that 60 instances of three domains report")
{
  SUBCASE("of suspects and of the request")
  {
    const auto before = CountWritten(false, false);
    const auto after = CountWritten(true, false);
    MESSAGE("records written: " << before << " without, " << after
                                << " with forwarding");
    CHECK(after <= 2 * kDomains);
    CHECK(after * 4 <= before);
  }

  SUBCASE("with the parts that were served")
  {
    const auto before = CountWritten(false, true);
    const auto after = CountWritten(true, true);
    MESSAGE("records written: " << before << " without, " << after
                                << " with forwarding");
    CHECK(after <= 4 * kDomains);
    CHECK(after * 4 <= before);
  }

  Fleet fleet(3, true);
  const auto checkAll = [&] {
    CHECK(fleet.HasSuspect(1));
    CHECK(fleet.HasSuspect(3));
  };

  SUBCASE("arrive although the sources are killed after they accepted them")
  {
    ReportCrash(fleet, false);
    fleet.Run(40ms);
    REQUIRE(fleet.mWritten.empty());
    for (std::size_t domain = 0; domain < kDomains; ++domain) {
      fleet.KillSource(domain);
    }
    fleet.Run(2s);
    checkAll();
    CHECK(fleet.mWritten.size() <= 4 * kDomains);
  }

  SUBCASE("arrive although the answers are lost")
  {
    fleet.mLosesAnswers = true;
    ReportCrash(fleet, false);
    fleet.Run(4s);
    checkAll();
    CHECK(std::ranges::all_of(fleet.mNodes, [](const Node& aNode) {
      return aNode.mForwarder.IsIdle();
    }));
  }

  SUBCASE("arrive once the store is back")
  {
    fleet.mStoreAway = { kStart, kStart + 4s };
    ReportCrash(fleet, false);
    fleet.Run(8s);
    checkAll();
    CHECK(fleet.mWritten.size() <= 4 * kDomains);
  }
}

// load: 60 instances serve a look-up whose crash is published
TEST_CASE("the removal of a record is sent by the sources")
{
  const auto countRemovals = [](bool aForwards) {
    Fleet fleet(1, aForwards);
    fleet.Report(fleet.mNodes.at(20),
                 { .mReports = { { .mFingerprint = 1, .mUpstream = "a" } },
                   .mSuspects = {},
                   .mServed = {} });
    fleet.Run(3s);
    for (std::size_t index = kInstances - kReporters; index < kInstances;
         ++index) {
      auto& node = fleet.mNodes.at(index);
      fleet.Report(node,
                   { .mReports = {},
                     .mSuspects = {},
                     .mServed = {},
                     .mWithdrawn = node.mCrashes.TakeRecordsOf({ 1 }) });
    }
    fleet.Run(1s);
    return fleet.mRemovals;
  };
  CHECK(countRemovals(false) == static_cast<int>(kReporters));
  CHECK(countRemovals(true) == static_cast<int>(kDomains));
}

// guards against a quarantine that comes later because of the forwarding
TEST_CASE("the second crash of a part is published as soon as without it")
{
  for (unsigned seed = 1; seed <= 20; ++seed) {
    CHECK(TimeToSecond(seed, false) <= kTick);
    CHECK(TimeToSecond(seed, true) <= kTick + 50ms);
  }
}

// guards against bounds of one instance at one that publishes for its failure
// domain: 16 instances that lose 64 requests each
TEST_CASE("the source holds the reports of a failure domain")
{
  quarantine::CrashRecords crashes({});
  crashes.SetInstanceCount(kInstances);
  for (std::uint64_t number = 0; number < 1'024; ++number) {
    REQUIRE(crashes.OnOwnReport({ .mFingerprint = number, .mUpstream = "a" },
                                kStart));
  }
  CHECK_FALSE(
    crashes.OnOwnReport({ .mFingerprint = 1'024, .mUpstream = "a" }, kStart));
}

// guards against a refusal of a request with half of the evidence: a report
// that comes back after more than 2 s counts as a second crash
TEST_CASE("a report that comes back from the store counts once")
{
  quarantine::CrashRecords crashes({});
  const CrashReport own{ .mFingerprint = 1, .mUpstream = "a" };
  const CrashReport other{ .mFingerprint = 1, .mUpstream = "b" };
  crashes.OnCounted(own, kStart);
  const auto listAt = [&](TimePoint aNow) {
    const auto reports =
      crashes.OnRecords({ { quarantine::CrashRecords::NameOf(own), 1 },
                          { quarantine::CrashRecords::NameOf(other), 1 } },
                        aNow);
    REQUIRE(reports.size() == 2);
    return crashes.WithoutCounted(reports, aNow);
  };

  SUBCASE("while its record is kept")
  {
    const auto reports = listAt(kStart + 3s);
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().mUpstream == "b");
  }

  SUBCASE("and a later one is another crash")
  {
    CHECK(listAt(kStart + 61s).size() == 2);
  }

  SUBCASE("and one after its withdrawal is another crash")
  {
    CHECK(listAt(kStart + 1s).size() == 1);
    crashes.OnRecords({}, kStart + 2s);
    CHECK(listAt(kStart + 3s).size() == 2);
  }
}

// guards against a deadly part that is sent on while its second crash waits for
// the records of other crashes
TEST_CASE("a report that may complete evidence is published first")
{
  quarantine::SuspectReports reports({});
  const auto report = [&](const std::string& aUpstream, PartId aPart) {
    CHECK(reports.OnOwn(
      { .mEndpoint = aUpstream, .mAtMs = 1, .mParts = { aPart } }, kStart));
  };
  for (PartId part = 1; part <= 8; ++part) {
    report("a" + std::to_string(part), part);
  }
  std::vector<std::string> wanted = { "z1" };

  SUBCASE("with a published crash")
  {
    reports.OnPublished({ .mEndpoint = "b", .mAtMs = 1, .mParts = { 9 } },
                        kStart);
    report("z1", 9);
  }

  SUBCASE("with a crash that is published later")
  {
    report("z1", 9);
    reports.OnPublished({ .mEndpoint = "b", .mAtMs = 1, .mParts = { 9 } },
                        kStart);
  }

  SUBCASE("with a crash that waits, too")
  {
    report("z1", 9);
    report("z2", 9);
    wanted.emplace_back("z2");
  }
  const auto due = reports.TakeDue(4, kStart);
  REQUIRE(due.size() == 4);
  for (const auto& upstream : wanted) {
    CHECK(std::ranges::find(due, upstream, &CrashSuspects::mEndpoint) !=
          due.end());
  }
}

// guards against a record that stays for two minutes although its request was
// served: the source does not know it yet, and ignores the withdrawal
TEST_CASE("the writer removes a record that no list has contained")
{
  quarantine::CrashRecords crashes({});
  const CrashReport report{ .mFingerprint = 1, .mUpstream = "a" };
  const auto name = quarantine::CrashRecords::NameOf(report);
  CHECK_FALSE(crashes.IsOwnUnlisted(name));
  REQUIRE(crashes.OnOwnReport(report, kStart));
  REQUIRE(crashes.TakeDue(kStart).size() == 1);

  SUBCASE("while it is unlisted")
  {
    CHECK(crashes.TakeRecordsOf({ 1 }) == std::vector{ name });
    CHECK(crashes.IsOwnUnlisted(name));
  }

  SUBCASE("but not later")
  {
    crashes.OnRecords({ { name, 1 } }, kStart + 1s);
    CHECK_FALSE(crashes.IsOwnUnlisted(name));
  }

  SUBCASE("and not that of another instance")
  {
    crashes.OnRecords({ { "crash.2.b", 1 } }, kStart + 1s);
    CHECK_FALSE(crashes.IsOwnUnlisted("crash.2.b"));
  }
}

TEST_CASE("the forwarder of an instance")
{
  RecordForwarder forwarder({});
  forwarder.SetInstanceCount(kInstances);
  const RecordBatch records{
    .mReports = { { .mFingerprint = 1, .mUpstream = "a" } },
    .mSuspects = { { .mEndpoint = "a:1", .mAtMs = 5, .mParts = { 1, 2 } } },
    .mServed = { 3 },
    .mWithdrawn = { "crash.2.b" }
  };

  SUBCASE("without a source publishes itself, at once")
  {
    forwarder.Add(records, kStart);
    CHECK_FALSE(forwarder.TakeMessage(kStart + 1s));
    CHECK(forwarder.TakeOwn(kStart).RecordCount() == 4);
    CHECK(forwarder.IsIdle());
  }

  // guards against a detour of evidence where few instances write
  SUBCASE("with a source in a small fleet publishes itself, at once")
  {
    forwarder.SetInstanceCount(10);
    forwarder.OnSource("s.1", kStart);
    forwarder.Add(records, kStart);
    CHECK_FALSE(forwarder.TakeMessage(kStart + 1s));
    CHECK(forwarder.TakeOwn(kStart).RecordCount() == 4);

    SUBCASE("until it grows")
    {
      forwarder.SetInstanceCount(11);
      forwarder.OnSource("s.1", kStart + 1s);
      forwarder.Add(records, kStart + 1s);
      CHECK(forwarder.TakeMessage(kStart + 1'010ms));
    }
  }

  SUBCASE("with a source")
  {
    forwarder.OnSource("s.1", kStart);
    forwarder.Add(records, kStart);
    forwarder.Add(records, kStart);
    CHECK(forwarder.TakeOwn(kStart + 10ms).IsEmpty());
    const auto message = forwarder.TakeMessage(kStart + 10ms);
    REQUIRE(message);
    CHECK(message->mBatch.RecordCount() == 4);
    CHECK_FALSE(forwarder.TakeMessage(kStart + 20ms));
    const auto answer = [&](ForwardOutcome aOutcome) {
      forwarder.OnAnswer(message->mId, aOutcome, 400ms, kStart + 20ms);
    };

    SUBCASE("publishes itself after 1.5 s without an answer")
    {
      CHECK(forwarder.TakeOwn(kStart + 1'500ms).IsEmpty());
      CHECK(forwarder.TakeOwn(kStart + 1'510ms).RecordCount() == 4);
      answer(ForwardOutcome::Accepted); // late
      forwarder.Add(records, kStart + 1'520ms);
      CHECK(forwarder.TakeOwn(kStart + 1'520ms).RecordCount() == 4);
    }

    SUBCASE("publishes itself what the source rejects")
    {
      answer(ForwardOutcome::Failed);
      CHECK(forwarder.TakeOwn(kStart + 20ms).RecordCount() == 4);
    }

    SUBCASE("sends again to a busy source")
    {
      answer(ForwardOutcome::Busy);
      CHECK_FALSE(forwarder.TakeMessage(kStart + 410ms));
      CHECK(forwarder.TakeMessage(kStart + 420ms));
    }

    SUBCASE("that has accepted them")
    {
      answer(ForwardOutcome::Accepted);

      SUBCASE("holds them for a short time")
      {
        CHECK(forwarder.TakeOwn(kStart + 5s).IsEmpty());
        CHECK_FALSE(forwarder.IsIdle());
        CHECK(forwarder.TakeOwn(kStart + 5'020ms).IsEmpty());
        CHECK(forwarder.IsIdle());
      }

      SUBCASE("sends them to the next source")
      {
        forwarder.OnSource("s.2", kStart + 1s);
        const auto next = forwarder.TakeMessage(kStart + 1'010ms);
        REQUIRE(next);
        CHECK(next->mBatch.RecordCount() == 4);
      }

      SUBCASE("publishes them if there is none soon")
      {
        forwarder.OnSource("", kStart + 1s);
        CHECK(forwarder.TakeOwn(kStart + 1'100ms).IsEmpty());
        CHECK(forwarder.TakeOwn(kStart + 1'200ms).RecordCount() == 4);
      }

      SUBCASE("drops what is seen in the store")
      {
        auto published = records;
        published.mSuspects[0].mParts = { 1 };
        forwarder.OnPublished(published);
        CHECK_FALSE(forwarder.IsIdle());
        published.mSuspects[0].mParts = { 2 };
        forwarder.OnPublished(published);
        forwarder.OnSource("", kStart + 1s);
        const auto left = forwarder.TakeOwn(kStart + 2s);
        CHECK(left.mWithdrawn == records.mWithdrawn);
        CHECK(left.RecordCount() == 1);
      }
    }
  }

  SUBCASE("keeps messages within their bounds")
  {
    forwarder.OnSource("s.1", kStart);
    RecordBatch many;
    for (std::uint64_t number = 0; number < 100; ++number) {
      many.mReports.push_back(
        { .mFingerprint = ~number, .mUpstream = std::string(256, 'u') });
    }
    forwarder.Add(many, kStart);
    std::size_t sent = 0;
    while (const auto message = forwarder.TakeMessage(kStart + 1s)) {
      const auto text = quarantine::FormatRecordMessage(
        { .mInstance = "i", .mBatch = message->mBatch });
      const auto read = quarantine::ParseRecordMessage(text);
      REQUIRE(read);
      CHECK(read.assume_value().mBatch.mReports == message->mBatch.mReports);
      sent += message->mBatch.RecordCount();
      forwarder.OnAnswer(
        message->mId, ForwardOutcome::Accepted, {}, kStart + 1s);
    }
    CHECK(sent == 100);
  }
}

// guards against false messages of other processes
TEST_CASE("a message with records is rejected")
{
  std::string text;
  SUBCASE("that is no JSON")
  {
    text = "{";
  }
  SUBCASE("without a sender")
  {
    text = R"({"served":["1"]})";
  }
  SUBCASE("without records")
  {
    text = R"({"instance":"i"})";
  }
  SUBCASE("whose upstream is no part of a name")
  {
    text = R"({"instance":"i","crashes":[)"
           R"({"request":"1","upstream":"a/../b","in_flight":1}]})";
  }
  SUBCASE("that withdraws what is no crash record")
  {
    text = R"({"instance":"i","withdrawn":["instance.i"]})";
  }
  SUBCASE("with too many records")
  {
    RecordBatch batch;
    batch.mReports.resize(
      65, { .mFingerprint = 1, .mUpstream = "a", .mSeenAt = {} });
    text = quarantine::FormatRecordMessage(
      { .mInstance = "i", .mBatch = std::move(batch) });
  }
  SUBCASE("that is too large")
  {
    text = R"({"instance":"i","served":["1"],"x":")" +
           std::string(quarantine::kMaxRecordMessageBytes, 'x') + "\"}";
  }
  CHECK_FALSE(quarantine::ParseRecordMessage(text));
}
