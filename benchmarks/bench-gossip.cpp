// Measures bytes and processor time of the exchange between entries, in one
// process and in virtual time: one JSON line for each size.

#include <figslip/peer/digest_size.hpp>
#include <figslip/peer/gossip.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace figslip;
using namespace std::chrono_literals;

constexpr auto kRound = 500ms;
constexpr int kWarmUpRounds = 20;
constexpr int kRounds = 20;
constexpr int kProbeRounds = 10;        ///< 5 s
constexpr std::size_t kCallHeader = 20; ///< frame, name of the call, sequence
constexpr TimePoint kStart{ std::chrono::hours(1) };

struct Size
{
  int mPeers;
  int mUpstreams;
  int mVersions;
  int mDomains = 8;
};

double
ProcessorMicros()
{
  return 1e6 * static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Runs all entries of one deployment.
class Deployment
{
public:
  explicit Deployment(const Size& aSize)
    : mSize(aSize)
  {
    for (int index = 0; index < aSize.mPeers; ++index) {
      const auto name = "entry-" + std::to_string(index);
      const auto domain = "domain-" + std::to_string(index % aSize.mDomains);
      mList.mEntries.push_back({ .mName = name,
                                 .mFailureDomain = domain,
                                 .mAddress = "127.0.0.1",
                                 .mPeerPort = index + 1 });
      mEntries.push_back(
        peer::Gossip({ .mSelf = { name, 1 },
                       .mFailureDomain = domain,
                       .mSeed = static_cast<std::uint64_t>(index) }));
      mHasProbe.push_back(false);
    }
  }

  void Run(int aRounds)
  {
    for (int round = 0; round < aRounds; ++round) {
      mNow += kRound;
      for (std::size_t index = 0; index < mEntries.size(); ++index) {
        mEntries[index].OnLocalNews(NewsOf(index), mNow);
      }
      for (std::size_t index = 0; index < mEntries.size(); ++index) {
        for (const auto& peer : mEntries[index].PickPeers(mList)) {
          Exchange(index, static_cast<std::size_t>(peer.mPeerPort - 1));
        }
      }
    }
  }

  void StartProbe()
  {
    mProbing = true;
    mHasProbe[0] = true;
  }

  void StartCount()
  {
    mBytes = 0;
    mExchanges = 0;
  }

  [[nodiscard]] double Bytes() const { return static_cast<double>(mBytes); }
  [[nodiscard]] double Exchanges() const { return mExchanges; }

  [[nodiscard]] double ProbeReach() const
  {
    return static_cast<double>(std::ranges::count(mHasProbe, true)) /
           static_cast<double>(mHasProbe.size());
  }

  /// Mean age of the load of the upstreams that an entry knows, seconds.
  [[nodiscard]] double LoadAge() const
  {
    double sum = 0.0;
    int count = 0;
    for (std::size_t index = 0; index < mEntries.size(); ++index) {
      for (const auto& name : UpstreamsOf(index)) {
        const auto at = mEntries[index].LoadReportedAt(name);
        if (at != TimePoint{}) {
          sum += std::chrono::duration<double>(mNow - at).count();
          ++count;
        }
      }
    }
    return count == 0 ? 0.0 : sum / count;
  }

private:
  [[nodiscard]] std::vector<std::string> UpstreamsOf(std::size_t aEntry) const
  {
    std::vector<std::string> names;
    const int domain = static_cast<int>(aEntry) % mSize.mDomains;
    for (int index = domain; index < mSize.mUpstreams;
         index += mSize.mDomains) {
      names.push_back("upstream-" + std::to_string(index));
    }
    return names;
  }

  /// Each entry answers five requests a second, on random versions, and reads
  /// the load of the upstreams that it is home of.
  peer::LocalNews NewsOf(std::size_t aEntry)
  {
    peer::LocalNews news{ .mGeneration = 1,
                          .mConfirmedAt = mNow,
                          .mLoad = { .mFailureDomain =
                                       mList.mEntries[aEntry].mFailureDomain,
                                     .mFreeSlots = 10,
                                     .mAt = mNow } };
    // one version in twenty is in roll-out
    for (int version = 0; version < mSize.mVersions; version += 20) {
      news.mUrgentVersions.insert("version-" + std::to_string(version));
    }
    news.mUrgentVersions.insert("probe");
    const int answers = 2 + static_cast<int>(mRandom() % 2);
    for (int answer = 0; answer < answers; ++answer) {
      const auto version = mRandom() % static_cast<unsigned>(mSize.mVersions);
      news.mEvidence.push_back(
        { .mOrigin = { mList.mEntries[aEntry].mName, 1 },
          .mBucket = mNow.time_since_epoch() / 1min,
          .mKey = { "version-" + std::to_string(version), "chat" },
          .mCounts = { .mAnswered = static_cast<std::uint64_t>(++mAnswers),
                       .mGood = static_cast<std::uint64_t>(mAnswers) } });
    }
    if (mProbing && aEntry == 0) {
      news.mEvidence.push_back({ .mOrigin = { mList.mEntries[0].mName, 1 },
                                 .mBucket = mNow.time_since_epoch() / 1min,
                                 .mKey = { "probe", "chat" },
                                 .mCounts = { .mBad = 1 } });
    }
    const auto upstreams = UpstreamsOf(aEntry);
    const auto entriesOfDomain =
      static_cast<std::size_t>(std::max(1, mSize.mPeers / mSize.mDomains));
    const auto place = aEntry / static_cast<std::size_t>(mSize.mDomains);
    for (std::size_t index = place; index < upstreams.size();
         index += entriesOfDomain) {
      news.mUpstreams.push_back({ .mUpstream = upstreams[index],
                                  .mBootId = "boot-1",
                                  .mWarm = true,
                                  .mInFlight = 3,
                                  .mRunning = static_cast<int>(mRandom() % 16),
                                  .mRunningAt = mNow });
    }
    return news;
  }

  void Exchange(std::size_t aFrom, std::size_t aTo)
  {
    Send(aFrom, aTo);
    Send(aTo, aFrom);
    ++mExchanges;
  }

  void Send(std::size_t aFrom, std::size_t aTo)
  {
    const auto digest =
      mEntries[aFrom].Compose(mList.mEntries[aTo].mFailureDomain, mNow);
    mBytes += peer::EncodedSize(digest, mNow) + kCallHeader;
    const auto learned = mEntries[aTo].Absorb(digest, mNow);
    if (std::ranges::any_of(learned.mEvidence, [](const auto& aEntry) {
          return aEntry.mKey.mVersion == "probe";
        })) {
      mHasProbe[aTo] = true;
    }
  }

  Size mSize;
  std::mt19937_64 mRandom{ 1 };
  membership::InstanceList mList;
  std::vector<peer::Gossip> mEntries;
  std::vector<bool> mHasProbe;
  bool mProbing = false;
  TimePoint mNow = kStart;
  std::size_t mBytes = 0;
  int mExchanges = 0;
  int mAnswers = 0;
};

void
Measure(const Size& aSize)
{
  Deployment deployment(aSize);
  deployment.Run(kWarmUpRounds);
  deployment.StartCount();
  const auto before = ProcessorMicros();
  deployment.Run(kRounds);
  const auto micros = ProcessorMicros() - before;
  const double seconds =
    std::chrono::duration<double>(kRounds * kRound).count();
  const auto bytes = deployment.Bytes();
  const auto exchanges = deployment.Exchanges();
  const auto age = deployment.LoadAge();
  deployment.StartProbe();
  deployment.Run(kProbeRounds);
  const auto reach = deployment.ProbeReach();
  deployment.Run(kProbeRounds);
  const nlohmann::ordered_json line = {
    { "peers", aSize.mPeers },
    { "upstreams", aSize.mUpstreams },
    { "versions", aSize.mVersions },
    { "bytes_per_exchange", bytes / exchanges },
    { "sent_bytes_per_daemon_second", bytes / aSize.mPeers / seconds },
    { "sent_and_received_bytes_per_daemon_second",
      2 * bytes / aSize.mPeers / seconds },
    { "micros_per_exchange", micros / exchanges },
    { "core_percent_per_daemon",
      100.0 * micros / 1e6 / aSize.mPeers / seconds },
    { "mean_load_age_seconds", age },
    { "roll_out_evidence_reach_after_5s", reach },
    { "roll_out_evidence_reach_after_10s", deployment.ProbeReach() },
  };
  std::cout << line.dump() << '\n' << std::flush;
}

} // namespace

int
main()
{
  for (const int peers : { 10, 40, 120, 340 }) {
    Measure({ .mPeers = peers, .mUpstreams = 600, .mVersions = 39 });
  }
  for (const int upstreams : { 20, 100, 300, 600 }) {
    Measure({ .mPeers = 120, .mUpstreams = upstreams, .mVersions = 39 });
  }
  for (const int versions : { 2, 10, 20, 39 }) {
    Measure({ .mPeers = 120, .mUpstreams = 100, .mVersions = versions });
  }
  Measure({ .mPeers = 5, .mUpstreams = 13, .mVersions = 6, .mDomains = 4 });
}
