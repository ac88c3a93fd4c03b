#include "harness/cluster.hpp"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iostream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using figslip::test::Cluster;

constexpr int kOk = 200;
constexpr double kTicksPerSecond = 100.0;

struct Options
{
  int mRequests = 2000;
  int mCallers = 8;
};

struct Sample
{
  std::vector<double> mMillis; ///< sorted
  double mSeconds = 0.0;
  int mFailed = 0;

  [[nodiscard]] double Percentile(double aShare) const
  {
    const auto last = static_cast<double>(mMillis.size() - 1);
    return mMillis[static_cast<std::size_t>(aShare * last)];
  }
};

/// Runs calls on several threads and times each.
template<typename Call>
Sample
Measure(const Options& aOptions, Call aCall)
{
  std::vector<double> millis(static_cast<std::size_t>(aOptions.mRequests));
  std::atomic<int> next{ 0 };
  std::atomic<int> failed{ 0 };
  const auto start = Clock::now();
  std::vector<std::thread> callers;
  callers.reserve(static_cast<std::size_t>(aOptions.mCallers));
  for (int caller = 0; caller < aOptions.mCallers; ++caller) {
    callers.emplace_back([&] {
      for (int index = next++; index < aOptions.mRequests; index = next++) {
        const auto begin = Clock::now();
        failed += aCall(index) ? 0 : 1;
        const std::chrono::duration<double, std::milli> took =
          Clock::now() - begin;
        millis[static_cast<std::size_t>(index)] = took.count();
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  const std::chrono::duration<double> took = Clock::now() - start;
  std::ranges::sort(millis);
  return { .mMillis = std::move(millis),
           .mSeconds = took.count(),
           .mFailed = failed };
}

/// Reads a field of a process's status, in kB.
long
StatusField(pid_t aProcess, const std::string& aField)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(aField + ":")) {
      return std::stol(line.substr(aField.size() + 1));
    }
  }
  return 0;
}

/// Reads the processor time that a process has used, in seconds.
double
ProcessorSeconds(pid_t aProcess)
{
  constexpr int kFieldsBeforeUserTime = 11;
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string text;
  std::getline(file, text);
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0.0;
  double system = 0.0;
  fields >> user >> system;
  return (user + system) / kTicksPerSecond;
}

void
Print(const char* aName, const Sample& aSample)
{
  std::printf("  \"%s\": {\"requests\": %zu, \"failed\": %d, "
              "\"p50_ms\": %.3f, \"p95_ms\": %.3f, \"p99_ms\": %.3f, "
              "\"requests_per_second\": %.0f},\n",
              aName,
              aSample.mMillis.size(),
              aSample.mFailed,
              aSample.Percentile(0.50),
              aSample.Percentile(0.95),
              aSample.Percentile(0.99),
              static_cast<double>(aSample.mMillis.size()) / aSample.mSeconds);
}

bool
Run(const Options& aOptions)
{
  auto plan = figslip::test::SmallPlan();
  for (auto& upstream : plan.mUpstreams) {
    upstream.mUpstream.mConcurrency = 64;
    upstream.mUpstream.mColdConcurrency = 64;
    upstream.mArguments = { "--token-ms", "0" };
  }
  Cluster cluster(plan);
  cluster.Start();
  const nlohmann::json body = { { "day", "monday" } };
  const auto& entry = cluster.Plan().mEntries.front().mName;
  const auto proxied = [&](int /*aIndex*/) {
    return cluster
             .Post(entry,
                   "/v1/services/bookings/lookup",
                   body,
                   { { "Figslip-Account", "salon" } })
             .mStatus == kOk;
  };
  const auto direct = [&](int aIndex) {
    return cluster
             .PostToUpstream("sul-a-bookings",
                             "/v1/call/lookup",
                             { { "request_id", "direct" },
                               { "attempt_id", std::to_string(aIndex) },
                               { "payload", body } })
             .mStatus == kOk;
  };
  const auto process = cluster.Entry(entry).Id();
  const Options warmUp{ .mRequests = 200, .mCallers = aOptions.mCallers };
  (void)Measure(warmUp, proxied);
  (void)Measure(warmUp, direct);
  const auto directSample = Measure(aOptions, direct);
  const auto before = ProcessorSeconds(process);
  const auto proxiedSample = Measure(aOptions, proxied);
  const auto used = ProcessorSeconds(process) - before;
  std::printf("{\n");
  Print("direct", directSample);
  Print("proxied", proxiedSample);
  std::printf("  \"added_p50_ms\": %.3f,\n",
              proxiedSample.Percentile(0.5) - directSample.Percentile(0.5));
  std::printf("  \"processor_ms_per_request\": %.3f,\n",
              used * 1000.0 / aOptions.mRequests);
  std::printf("  \"resident_kb\": %ld\n}\n", StatusField(process, "VmRSS"));
  return directSample.mFailed == 0 && proxiedSample.mFailed == 0;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Measures what an entry adds to a call of an upstream");
  Options options;
  app.add_option("--requests", options.mRequests)
    ->check(CLI::Range(1, 1'000'000));
  app.add_option("--callers", options.mCallers)->check(CLI::Range(1, 64));
  CLI11_PARSE(app, argc, argv);
  try {
    return Run(options) ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 1;
  }
}
