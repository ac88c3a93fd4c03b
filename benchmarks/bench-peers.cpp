// Measures processor time and memory that entries spend on control while no
// caller comes, as processes on loopback: one JSON line for each size.

#include "harness/cluster.hpp"

#include <nlohmann/json.hpp>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace figslip;

constexpr int kDomains = 4;
constexpr auto kSettle = std::chrono::seconds(5);
constexpr auto kMeasured = std::chrono::seconds(10);

/// Reads the processor time of a process, seconds.
double
ProcessorSeconds(pid_t aId)
{
  std::ifstream file("/proc/" + std::to_string(aId) + "/stat");
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  // the fields after the name in parentheses; user and system time are the
  // twelfth and thirteenth of them
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int field = 0; field < 11; ++field) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return static_cast<double>(user + system) /
         static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Reads a field in kilobytes of the status of a process.
std::int64_t
StatusKilobytes(pid_t aId, const std::string& aField)
{
  std::ifstream file("/proc/" + std::to_string(aId) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with(aField + ":")) {
      return std::strtoll(line.c_str() + aField.size() + 1, nullptr, 10);
    }
  }
  return 0;
}

void
Measure(int aEntries)
{
  auto plan = test::SmallPlan();
  plan.mEntries.clear();
  plan.mManifest.mFailureDomains.clear();
  for (int domain = 0; domain < kDomains; ++domain) {
    const auto name = std::string("sul-") + static_cast<char>('a' + domain);
    plan.mManifest.mFailureDomains.push_back(
      { .mName = name, .mRegion = "sul" });
  }
  for (int index = 0; index < aEntries; ++index) {
    const auto& domain =
      plan.mManifest
        .mFailureDomains[static_cast<std::size_t>(index % kDomains)];
    plan.mEntries.push_back({ .mName = "entry-" + std::to_string(index),
                              .mFailureDomain = domain.mName,
                              .mSettings = { { "traffic_threads", 4 } } });
  }
  test::Cluster cluster(plan);
  cluster.Start();
  std::this_thread::sleep_for(kSettle);
  std::vector<double> before;
  before.reserve(plan.mEntries.size());
  for (const auto& entry : plan.mEntries) {
    before.push_back(ProcessorSeconds(cluster.Entry(entry.mName).Id()));
  }
  std::this_thread::sleep_for(kMeasured);
  double seconds = 0.0;
  std::int64_t memory = 0;
  for (std::size_t index = 0; index < plan.mEntries.size(); ++index) {
    const auto id = cluster.Entry(plan.mEntries[index].mName).Id();
    seconds += ProcessorSeconds(id) - before[index];
    memory += StatusKilobytes(id, "VmRSS");
  }
  const nlohmann::ordered_json line = {
    { "entries", aEntries },
    { "core_percent_per_daemon",
      100.0 * seconds / aEntries /
        std::chrono::duration<double>(kMeasured).count() },
    { "resident_megabytes_per_daemon",
      static_cast<double>(memory) / 1024.0 / aEntries },
  };
  std::cout << line.dump() << '\n' << std::flush;
}

} // namespace

int
main()
{
  for (const int entries : { 2, 5, 10, 20, 40 }) {
    Measure(entries);
  }
}
