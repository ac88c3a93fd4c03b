// Measures what an idle daemon costs as the upstreams of its domain grow.

#include "harness/cluster.hpp"

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <exception>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>

namespace {

using namespace figslip;

constexpr auto kSettle = std::chrono::seconds(2);
constexpr auto kSpan = std::chrono::seconds(15);
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kPercent = 100.0;

struct Usage
{
  double mCpuSeconds = 0;
  double mMegabytes = 0;
};

/// Reads processor time and resident memory of a process.
Usage
UsageOf(pid_t aProcess)
{
  const auto folder = "/proc/" + std::to_string(aProcess);
  std::ifstream statFile(folder + "/stat");
  std::string text;
  std::getline(statFile, text);
  // the name in parentheses may contain spaces; 11 fields follow before utime
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  constexpr int kFieldsBeforeTime = 11;
  for (int field = 0; field < kFieldsBeforeTime; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  std::ifstream memory(folder + "/statm");
  double total = 0;
  double resident = 0;
  memory >> total >> resident;
  return { .mCpuSeconds =
             (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
           .mMegabytes = resident * static_cast<double>(sysconf(_SC_PAGESIZE)) /
                         kBytesPerMegabyte };
}

/// Leaves one entry and one upstream, and lists the upstream many times.
void
Measure(std::size_t aUpstreams)
{
  auto plan = test::SmallPlan();
  plan.mEntries.resize(1);
  plan.mUpstreams.resize(1);
  test::Cluster cluster(plan);
  cluster.Start();
  auto manifest = cluster.Manifest();
  const auto upstream = manifest.mUpstreams.front();
  for (std::size_t index = 1; index < aUpstreams; ++index) {
    manifest.mUpstreams.push_back(upstream);
    manifest.mUpstreams.back().mName += std::to_string(index);
  }
  cluster.Publish(manifest);
  std::this_thread::sleep_for(kSettle);
  const auto process = cluster.Entry(plan.mEntries.front().mName).Id();
  const auto before = UsageOf(process);
  const auto start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kSpan);
  const auto after = UsageOf(process);
  const std::chrono::duration<double> span =
    std::chrono::steady_clock::now() - start;
  std::printf("upstreams %zu: %.2f%% of a core, %.1f MB resident\n",
              aUpstreams,
              kPercent * (after.mCpuSeconds - before.mCpuSeconds) /
                span.count(),
              after.mMegabytes);
  std::fflush(stdout);
}

} // namespace

int
main()
{
  try {
    for (const std::size_t upstreams : { 1, 10, 20, 40, 75 }) {
      Measure(upstreams);
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 1;
  }
  return 0;
}
