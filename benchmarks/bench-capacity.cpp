// Measures how the cost of the decision core grows with the deployment.

#include <figslip/billing/billing_core.hpp>
#include <figslip/evidence/evidence_store.hpp>
#include <figslip/manifest/manifest_index.hpp>
#include <figslip/routing/router.hpp>

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace figslip;

constexpr int kRuns = 7; ///< the median of these counts
constexpr double kNanosPerMicro = 1e3;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::size_t kVersionsAtSize = 39;
constexpr std::size_t kUpstreamsAtSize = 600;
const TimePoint kNow{ std::chrono::hours(1) };

double
CpuMicros()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosPerMicro;
}

double
HeapBytes()
{
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Measures the median processor time of a task, microseconds.
double
TimeOf(const std::function<void()>& aTask)
{
  std::vector<double> times;
  for (int run = 0; run < kRuns; ++run) {
    const auto start = CpuMicros();
    aTask();
    times.push_back(CpuMicros() - start);
  }
  std::ranges::nth_element(times, times.begin() + kRuns / 2);
  return times[kRuns / 2];
}

struct Point
{
  double mSize;
  double mValue;
};

/// Prints a series with its least-squares line and the largest residual.
void
PrintSeries(const char* aName,
            const char* aUnit,
            const std::vector<Point>& aPoints)
{
  const auto count = static_cast<double>(aPoints.size());
  double sumX = 0;
  double sumY = 0;
  double sumXx = 0;
  double sumXy = 0;
  for (const auto& point : aPoints) {
    sumX += point.mSize;
    sumY += point.mValue;
    sumXx += point.mSize * point.mSize;
    sumXy += point.mSize * point.mValue;
  }
  const auto slope =
    (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
  const auto base = (sumY - slope * sumX) / count;
  double residual = 0;
  std::printf("%-34s", aName);
  for (const auto& point : aPoints) {
    std::printf(" %.0f:%.2f", point.mSize, point.mValue);
    residual =
      std::max(residual, std::abs(base + slope * point.mSize - point.mValue));
  }
  std::printf(" %s | %.3f + %.5f x, largest residual %.2f\n",
              aUnit,
              base,
              slope,
              residual);
}

struct Sizes
{
  std::size_t mVersions = kVersionsAtSize;
  std::size_t mUpstreams = kUpstreamsAtSize;
};

manifest::Manifest
ManifestOf(const Sizes& aSizes)
{
  constexpr std::size_t kVersionsPerUpstream = 4;
  constexpr std::size_t kVersionsPerModel = 3;
  constexpr int kAccounts = 20;
  manifest::Manifest manifest{ .mGeneration = 1 };
  manifest.mFailureDomains = { { .mName = "north", .mRegion = "sul" } };
  std::vector<std::string> versions;
  for (std::size_t index = 0; index < aSizes.mVersions; ++index) {
    if (index % kVersionsPerModel == 0) {
      manifest.mModels.push_back(
        { .mName = "model" + std::to_string(index / kVersionsPerModel) });
    }
    versions.push_back("version" + std::to_string(index));
    manifest.mModels.back().mVersions.push_back(
      { .mName = versions.back(), .mCostPerThousandTokens = 100 });
  }
  for (std::size_t index = 0; index < aSizes.mUpstreams; ++index) {
    manifest::Upstream upstream{ .mName = "upstream" + std::to_string(index),
                                 .mFailureDomain = "north",
                                 .mAddress = "127.0.0.1",
                                 .mPort = 8000,
                                 .mConcurrency = 8 };
    for (std::size_t next = 0; next < kVersionsPerUpstream; ++next) {
      const auto version =
        (index * kVersionsPerUpstream + next) % versions.size();
      upstream.mVersions.push_back(versions[version]);
    }
    manifest.mUpstreams.push_back(std::move(upstream));
  }
  for (int index = 0; index < kAccounts; ++index) {
    manifest::ClientAccount account{ .mName =
                                       "account" + std::to_string(index) };
    for (const auto& model : manifest.mModels) {
      account.mAllow.push_back(model.mName);
    }
    manifest.mClientAccounts.push_back(std::move(account));
  }
  return manifest;
}

manifest::Manifest
ParseOrThrow(const std::string& aText)
{
  auto parsed = manifest::ParseManifest(aText);
  if (!parsed) {
    throw std::runtime_error(error::JoinMessages(parsed.assume_error()));
  }
  return std::move(parsed).assume_value();
}

void
MeasureManifest(const char* aBy,
                const std::vector<std::size_t>& aSizes,
                std::size_t Sizes::* aField)
{
  std::vector<Point> bytes;
  std::vector<Point> parse;
  std::vector<Point> index;
  std::vector<Point> memory;
  for (const auto size : aSizes) {
    Sizes sizes;
    sizes.*aField = size;
    const auto text = manifest::PrintManifest(ManifestOf(sizes));
    const auto x = static_cast<double>(size);
    bytes.push_back({ x, static_cast<double>(text.size()) });
    parse.push_back({ x, TimeOf([&] { (void)ParseOrThrow(text); }) });
    const auto parsed = ParseOrThrow(text);
    index.push_back(
      { x, TimeOf([&] { const manifest::ManifestIndex made(parsed); }) });
    const auto before = HeapBytes();
    const manifest::ManifestIndex kept(parsed);
    memory.push_back({ x, HeapBytes() - before });
  }
  const std::string by(aBy);
  PrintSeries(("manifest text, " + by).c_str(), "bytes", bytes);
  PrintSeries(("manifest parse, " + by).c_str(), "us", parse);
  PrintSeries(("manifest index, " + by).c_str(), "us", index);
  PrintSeries(("manifest index memory, " + by).c_str(), "bytes", memory);
}

routing::ControlSnapshotPtr
SnapshotOf(const Sizes& aSizes, std::size_t aInstances)
{
  routing::ControlSnapshot snapshot{
    .mManifest = std::make_shared<manifest::ManifestIndex>(ManifestOf(aSizes)),
    .mConfirmedAt = kNow,
    .mHeartbeatAt = kNow
  };
  for (std::size_t index = 0; index < aInstances; ++index) {
    snapshot.mInstances.mEntries.push_back(
      { .mName = "entry" + std::to_string(index),
        .mFailureDomain = "north",
        .mAddress = "127.0.0.1" });
  }
  return std::make_shared<const routing::ControlSnapshot>(std::move(snapshot));
}

void
RunRequest(routing::Router& aRouter, routing::TicketId aTicket)
{
  const routing::Request request{ .mId = "r",
                                  .mAccount = "account1",
                                  .mTarget =
                                    routing::ChatTarget{ .mName = "model1" },
                                  .mDeadline = kNow + std::chrono::seconds(10),
                                  .mExpectedTokens = 435 };
  const auto decision = aRouter.Start(aTicket, request, kNow);
  const auto* const dispatch = std::get_if<routing::Dispatch>(&decision);
  if (dispatch == nullptr) {
    throw std::runtime_error("the request was not dispatched");
  }
  if (aRouter.RecheckDispatch(aTicket, kNow)) {
    throw std::runtime_error("the dispatch was refused");
  }
  (void)aRouter.OnOutcome(
    aTicket,
    { .mEnd = routing::AttemptEnd::Completed, .mBootId = "b", .mTokens = 435 },
    kNow);
  (void)aRouter.Close(aTicket, kNow);
}

void
MeasureRouter(const std::vector<std::size_t>& aSizes)
{
  constexpr int kRequests = 1000;
  std::vector<Point> requests;
  std::vector<Point> publish;
  for (const auto size : aSizes) {
    const Sizes sizes{ .mUpstreams = size };
    routing::Router router({ .mFailureDomain = "north", .mSelf = { "e", 1 } });
    const auto snapshot = SnapshotOf(sizes, 1);
    router.OnSnapshot(snapshot, kNow);
    for (const auto& upstream : snapshot->mManifest->Content().mUpstreams) {
      router.OnGrant({ .mUpstream = upstream.mName,
                       .mSlots = 1,
                       .mExpiry = kNow + std::chrono::hours(1) },
                     kNow);
    }
    routing::TicketId ticket = 0;
    const auto x = static_cast<double>(size);
    const auto time = TimeOf([&] {
      for (int request = 0; request < kRequests; ++request) {
        RunRequest(router, ++ticket);
      }
    });
    requests.push_back({ x, time / kRequests });
    publish.push_back(
      { x, TimeOf([&] { router.OnSnapshot(snapshot, kNow); }) });
  }
  PrintSeries("router request, upstreams of domain", "us", requests);
  PrintSeries("snapshot taken by router, upstreams", "us", publish);
}

void
MeasureEvidence(const std::vector<std::size_t>& aOrigins)
{
  std::vector<Point> merge;
  std::vector<Point> memory;
  std::vector<Point> sum;
  for (const auto origins : aOrigins) {
    std::vector<evidence::EvidenceEntry> entries;
    for (std::size_t origin = 0; origin < origins; ++origin) {
      for (std::size_t version = 0; version < kVersionsAtSize; ++version) {
        entries.push_back(
          { .mOrigin = { "entry" + std::to_string(origin), 1 },
            .mBucket = 60,
            .mKey = { "version" + std::to_string(version), "plan" },
            .mCounts = { .mAnswered = 5, .mGood = 1 } });
      }
    }
    const auto x = static_cast<double>(origins);
    const auto before = HeapBytes();
    evidence::EvidenceStore store({ .mSelf = { "e", 1 } });
    store.Merge(entries, kNow);
    memory.push_back({ x, HeapBytes() - before });
    merge.push_back({ x, TimeOf([&] { store.Merge(entries, kNow); }) });
    sum.push_back({ x, TimeOf([&] { (void)store.SumOfVersion("version7"); }) });
  }
  PrintSeries("evidence merge, origins x 39", "us", merge);
  PrintSeries("evidence memory, one bucket", "bytes", memory);
  PrintSeries("evidence sum of version, one bucket", "us", sum);
}

billing::BillingRecord
RecordOf(std::size_t aNumber)
{
  return { .mRequestId = "entry123-1796364658185-r" + std::to_string(aNumber),
           .mAccount = "account12",
           .mTarget = "assistant",
           .mVersion = "version12",
           .mAnsweredAtMs = 1'796'364'658'185,
           .mLatencyMs = 1234,
           .mAttempts = { { "upstream123", "version11", 435, 43 },
                          { "upstream321", "version12", 435, 430 } } };
}

void
MeasureBilling(const std::vector<std::size_t>& aRecords)
{
  std::vector<Point> bytes;
  std::vector<Point> write;
  std::vector<Point> hold;
  std::vector<Point> memory;
  for (const auto count : aRecords) {
    const auto x = static_cast<double>(count);
    std::string text;
    write.push_back({ x, TimeOf([&] {
                        billing::BillingBatcher batcher(
                          { .mSelf = { "entry123", 1 } });
                        for (std::size_t next = 0; next < count; ++next) {
                          (void)batcher.Add(RecordOf(next));
                        }
                        text = batcher.NextBatch()->mText;
                        batcher.OnWritten();
                      }) });
    bytes.push_back({ x, static_cast<double>(text.size()) });
    hold.push_back({ x, TimeOf([&] {
                       billing::BillingNeighbour neighbour({});
                       (void)neighbour.Hold({ { "entry1", 1 }, 1, text }, kNow);
                     }) });
    const auto before = HeapBytes();
    billing::BillingBatcher batcher({ .mSelf = { "entry123", 1 } });
    for (std::size_t next = 0; next < count; ++next) {
      (void)batcher.Add(RecordOf(next));
    }
    memory.push_back({ x, HeapBytes() - before });
  }
  PrintSeries("billing batch text, records", "bytes", bytes);
  PrintSeries("billing add and print, records", "us", write);
  PrintSeries("billing copy checked, records", "us", hold);
  PrintSeries("billing backlog memory, records", "bytes", memory);
}

void
MeasurePeers(const std::vector<std::size_t>& aInstances)
{
  std::vector<Point> publish;
  std::vector<Point> memory;
  std::vector<Point> choose;
  for (const auto count : aInstances) {
    const auto x = static_cast<double>(count);
    const auto snapshot = SnapshotOf({ .mUpstreams = 1 }, count);
    publish.push_back({ x, TimeOf([&] {
                          (void)std::make_shared<routing::ControlSnapshot>(
                            *snapshot);
                        }) });
    const auto before = HeapBytes();
    const auto copy = std::make_shared<routing::ControlSnapshot>(*snapshot);
    memory.push_back({ x, HeapBytes() - before });
    std::vector<billing::BillingPeer> peers;
    for (const auto& entry : snapshot->mInstances.mEntries) {
      peers.push_back({ { entry.mName, 1 }, entry.mFailureDomain });
    }
    billing::HandOver handOver({ .mSelf = { "entry0", 1 } });
    choose.push_back({ x, TimeOf([&] { handOver.OnPeers(peers); }) });
  }
  PrintSeries("snapshot copied, instances", "us", publish);
  PrintSeries("snapshot memory, instances", "bytes", memory);
  PrintSeries("neighbour ranked, instances", "us", choose);
}

} // namespace

int
main()
{
  try {
    MeasureManifest("upstreams", { 75, 150, 300, 600 }, &Sizes::mUpstreams);
    MeasureManifest("versions", { 9, 18, 39, 78 }, &Sizes::mVersions);
    MeasureRouter({ 10, 20, 40, 75, 150 });
    MeasureEvidence({ 10, 43, 85, 170, 340 });
    MeasureBilling({ 10, 50, 100, 500, 1000 });
    MeasurePeers({ 10, 43, 85, 170, 340 });
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
  return 0;
}
