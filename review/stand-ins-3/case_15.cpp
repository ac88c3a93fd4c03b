#include "world.hpp"

#include <cstdio>

/// A worker comes back cold after a drill in which the store came back from a
/// copy that is older than the registrations of the machines.

namespace {

using namespace review;

constexpr double kDrillAt = 3.1;
constexpr double kReturnAt = 3.6;
constexpr double kDownAt = 24.0;
constexpr double kBackAt = 28.5;
constexpr double kEndAt = 32.0;

/// `cold_per_s`, `cold_overage` and `cold_slack` of the deployment.
constexpr double kColdPerSecond = 13.0;
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 5.0;
constexpr auto kColdTime = milliseconds(3'000);

int
Play(const std::string& aFolder)
{
  World world(aFolder,
              { .mZones = { "sul-a", "sul-b", "sul-c", "sul-d" },
                .mAllZones = { "sul-a", "sul-b", "sul-c", "sul-d" } });
  const bool hasTrouble = HasTrouble();
  auto& store = world.Platform();
  ConfigurationOptions options{ .mVersion = 3,
                                .mKeys = { "key-1" },
                                .mColdStartSeconds = 3.0,
                                .mColdPerSecond = kColdPerSecond };
  const auto write = [&] {
    world.Operate("config", "main", MakeConfiguration(options));
  };
  write();
  auto& before =
    world.AddWorker({ .mId = "w-1", .mService = "desk", .mZone = "sul-a" });
  const auto copy = store.TakeCopy();
  world.Notes().Write("the copy has revision " +
                      std::to_string(copy.mRevision));
  if (!world.StartMachines()) {
    return kExitNotRun;
  }
  world.SleepUntil(kDrillAt);
  if (hasTrouble) {
    store.GoAway();
    world.Notes().Write("the store is away");
    world.SleepUntil(kReturnAt);
    store.ReturnWith(copy);
    world.Notes().Write("the store is back with the copy");
  }
  for (int change = 0; change < 5; ++change) {
    world.SleepUntil(6.0 + change * 0.5);
    options.mVersion += 2;
    options.mTimeoutMs -= 50;
    write();
  }
  world.SleepUntil(10.0);
  std::vector<std::unique_ptr<Client>> clients;
  constexpr int kClientsPerMachine = 4;
  for (std::size_t index = 0; index < world.MachineCount() * kClientsPerMachine;
       ++index) {
    Client::Options client{ .mName = "c" + std::to_string(index),
                            .mMethod = "POST",
                            .mPath = "/book/",
                            .mKey = "key-1" };
    clients.push_back(
      std::make_unique<Client>(std::move(client),
                               world.MachineAt(index % world.MachineCount()),
                               world.Notes()));
  }
  world.SleepUntil(kDownAt);
  std::string names;
  for (const auto& name : store.Names("figslip")) {
    names += " " + name;
  }
  world.Notes().Write("objects of the system in the store:" + names);
  before.Crash();
  world.SleepUntil(kBackAt);
  const double limit = kColdPerSecond * kColdOverage + kColdSlack;
  auto& worker =
    world.AddWorker({ .mId = "w-2",
                      .mService = "desk",
                      .mZone = "sul-a",
                      .mCold = kColdTime,
                      .mCrashAbove = static_cast<int>(1.5 * limit) });
  world.SleepUntil(kEndAt);
  clients.clear();
  const auto result =
    "the cold worker got " + std::to_string(worker.MostWhileCold()) +
    " requests in one second, the limit is " + std::to_string(limit) +
    "; it crashed " + std::to_string(worker.Crashes()) + " times with " +
    std::to_string(worker.Lost()) + " requests";
  world.Notes().Write(result);
  std::puts(result.c_str());
  if (worker.MostWhileCold() == 0) {
    return kExitNotRun;
  }
  return worker.MostWhileCold() > limit ? kExitBroken : kExitHeld;
}

} // namespace

int
main(int argc, char** argv)
{
  try {
    return argc == 2 ? Play(argv[1]) : kExitNotRun;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return kExitNotRun;
  }
}
