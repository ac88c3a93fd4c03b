#include "harness/cluster.hpp"
#include "harness/uuid.hpp"

#include <figslip/json/field_or.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <iostream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using figslip::test::CallerResponse;
using figslip::test::Cluster;

constexpr int kOk = 200;
constexpr int kWorkers = 8;
constexpr int kTries = 5;
constexpr auto kStopPatience = std::chrono::seconds(40);
constexpr double kMicrosPerUnit = 1e6;
constexpr double kPercentile95 = 0.95;

struct Options
{
  int mRequests = 120;
  bool mKillEntry = false;
};

struct Kind
{
  std::string mName;
  std::string mPath;
  nlohmann::json mBody;
  bool mIdempotent = true;
};

struct Row
{
  int mAnswered = 0;
  int mRefused = 0;
  std::map<std::string, int> mVersions;
  std::vector<double> mMillis;
};

std::vector<Kind>
Kinds()
{
  const nlohmann::json question = { { { "role", "user" },
                                      { "content", "plan my week" } } };
  return {
    { "chat (cascade)",
      "/v1/chat/completions",
      { { "model", "chat" }, { "messages", question }, { "max_tokens", 20 } } },
    { "chat (streamed)",
      "/v1/chat/completions",
      { { "model", "chat" },
        { "messages", question },
        { "max_tokens", 20 },
        { "stream", true } } },
    { "lookup", "/v1/services/bookings/lookup", { { "client", "ana" } } },
    { "booking", "/v1/services/bookings/book", { { "client", "ana" } }, false },
  };
}

bool
IsAnswer(const CallerResponse& aResponse)
{
  const bool streamed = aResponse.Header("Content-Type") == "text/event-stream";
  return aResponse.mWhole && aResponse.mStatus == kOk &&
         (!streamed || aResponse.mBody.ends_with("data: [DONE]\n\n"));
}

/// Sends the load and collects what came of it.
class Load
{
public:
  Load(Cluster& aCluster, const Options& aOptions)
    : mCluster(aCluster)
    , mOptions(aOptions)
    , mKinds(Kinds())
  {
  }

  void Run()
  {
    std::vector<std::thread> workers;
    workers.reserve(kWorkers);
    for (int worker = 0; worker < kWorkers; ++worker) {
      workers.emplace_back([this] { Work(); });
    }
    for (auto& worker : workers) {
      worker.join();
    }
  }

  [[nodiscard]] const std::map<std::string, Row>& Rows() const { return mRows; }
  [[nodiscard]] const std::set<std::string>& AnsweredIds() const
  {
    return mAnsweredIds;
  }

private:
  void Work()
  {
    int index = mNext++;
    while (index < mOptions.mRequests) {
      if (mOptions.mKillEntry && index == mOptions.mRequests / 2) {
        mCluster.Entry(mCluster.Plan().mEntries.front().mName).Kill();
      }
      Send(index);
      index = mNext++;
    }
  }

  void Send(int aIndex)
  {
    const auto& kind = mKinds[static_cast<std::size_t>(aIndex) % mKinds.size()];
    const auto id = "demo-" + std::to_string(aIndex);
    std::vector<figslip::http::Header> headers = {
      { "Figslip-Account", aIndex % 3 == 0 ? "school" : "salon" },
      { "Figslip-Request-Id", id },
      { "Figslip-Deadline-Ms", "15000" },
      { "Content-Type", "application/json" },
    };
    if (!kind.mIdempotent) {
      headers.push_back({ "Idempotency-Key", figslip::test::NewUuidV7() });
    }
    const auto start = std::chrono::steady_clock::now();
    CallerResponse response;
    // a caller repeats elsewhere what it may repeat: with the same id and key
    for (int attempt = 0; attempt < kTries && !IsAnswer(response); ++attempt) {
      const auto& entries = mCluster.Plan().mEntries;
      const auto entry =
        (static_cast<std::size_t>(aIndex + attempt)) % entries.size();
      response =
        mCluster.Post(entries[entry].mName, kind.mPath, kind.mBody, headers);
    }
    const std::chrono::duration<double, std::milli> took =
      std::chrono::steady_clock::now() - start;
    const std::lock_guard lock(mMutex);
    auto& row = mRows[kind.mName];
    if (!IsAnswer(response)) {
      ++row.mRefused;
      std::cerr << id << ": " << response.mStatus << ' ' << response.mBody
                << '\n';
      return;
    }
    ++row.mAnswered;
    ++row.mVersions[response.Header("Figslip-Version")];
    row.mMillis.push_back(took.count());
    mAnsweredIds.insert(id);
  }

  Cluster& mCluster;
  Options mOptions;
  std::vector<Kind> mKinds;
  std::atomic<int> mNext{ 0 };
  std::mutex mMutex;
  std::map<std::string, Row> mRows;
  std::set<std::string> mAnsweredIds;
};

double
Percentile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0.0;
  }
  std::ranges::sort(aValues);
  const auto last = static_cast<double>(aValues.size() - 1);
  return aValues[static_cast<std::size_t>(aShare * last)];
}

std::string
VersionText(const std::map<std::string, int>& aVersions)
{
  std::string text;
  for (const auto& [version, count] : aVersions) {
    text += (text.empty() ? "" : " ") +
            (version.empty() ? std::string("-") : version) + ":" +
            std::to_string(count);
  }
  return text;
}

void
PrintTable(const std::map<std::string, Row>& aRows)
{
  std::printf("%-16s %8s %8s %9s %9s  %s\n",
              "kind",
              "answered",
              "refused",
              "p50 ms",
              "p95 ms",
              "versions");
  for (const auto& [kind, row] : aRows) {
    std::printf("%-16s %8d %8d %9.1f %9.1f  %s\n",
                kind.c_str(),
                row.mAnswered,
                row.mRefused,
                Percentile(row.mMillis, 0.5),
                Percentile(row.mMillis, kPercentile95),
                VersionText(row.mVersions).c_str());
  }
}

/// Compares the answers with the billing records, a second record of a request
/// id being dropped as the ledger does.
bool
CheckBilling(const nlohmann::json& aRecords, const Load& aLoad)
{
  std::map<std::string, std::int64_t> costs;
  for (const auto& record : aRecords) {
    std::int64_t cost = 0;
    for (const auto& attempt : record.at("attempts")) {
      cost += figslip::json::NumberOr(attempt, "cost", std::int64_t{ 0 });
    }
    costs.emplace(record.at("request_id").get<std::string>(), cost);
  }
  std::int64_t total = 0;
  for (const auto& [id, cost] : costs) {
    total += cost;
  }
  const auto unbilled = std::ranges::count_if(
    aLoad.AnsweredIds(), [&](const auto& aId) { return !costs.contains(aId); });
  std::printf("billed once: %zu of %zu answered requests, %.4f units\n",
              costs.size(),
              aLoad.AnsweredIds().size(),
              static_cast<double>(total) / kMicrosPerUnit);
  return unbilled == 0;
}

bool
StopEntries(Cluster& aCluster)
{
  bool graceful = true;
  for (const auto& entry : aCluster.Plan().mEntries) {
    auto& process = aCluster.Entry(entry.mName);
    if (process.IsRunning()) {
      graceful = process.Stop(kStopPatience) == 0 && graceful;
    }
  }
  return graceful;
}

bool
RunDemo(const Options& aOptions)
{
  Cluster cluster(figslip::test::SmallPlan());
  cluster.Start();
  Load load(cluster, aOptions);
  load.Run();
  const bool graceful = StopEntries(cluster);
  PrintTable(load.Rows());
  const bool billed = CheckBilling(cluster.BillingRecords(), load);
  const bool answered = std::ranges::all_of(load.Rows(), [&](const auto& aRow) {
    // a killed entry may leave the outcome of its bookings unknown
    const bool mayBeUnknown = aOptions.mKillEntry && aRow.first == "booking";
    return aRow.second.mRefused == 0 || mayBeUnknown;
  });
  std::printf("answered: %s, billed: %s, graceful stop: %s\n",
              answered ? "yes" : "NO",
              billed ? "yes" : "NO",
              graceful ? "yes" : "NO");
  return answered && billed && graceful;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Runs figslip on stand-ins and sends it a mixed load");
  Options options;
  app.add_option("--requests", options.mRequests, "requests to send")
    ->check(CLI::Range(1, 100'000));
  app.add_flag("--kill-entry", options.mKillEntry, "kills one entry midway");
  CLI11_PARSE(app, argc, argv);
  try {
    return RunDemo(options) ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
