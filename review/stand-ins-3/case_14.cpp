#include "world.hpp"

#include <cstdio>

/// Two of three machines are stopped and started again; meanwhile the store
/// goes down for half a minute.

namespace {

using namespace review;

constexpr double kStopAt = 3.0;
constexpr double kStoreDownAt = 4.0;
constexpr double kStoreBackAt = 38.0;
constexpr auto kRestartDelay = milliseconds(300);
constexpr double kDownAt = 46.0;
constexpr double kBackAt = 50.5;
constexpr double kEndAt = 54.0;

/// `cold_per_s`, `cold_overage` and `cold_slack` of the deployment.
constexpr double kColdPerSecond = 13.0;
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 5.0;
constexpr auto kColdTime = milliseconds(3'000);

void
NoteRegistrations(World& aWorld)
{
  std::string names;
  for (const auto& name : aWorld.Platform().Names("figslip")) {
    names += " " + name;
  }
  aWorld.Notes().Write("objects of the system in the store:" + names);
}

int
Play(const std::string& aFolder)
{
  World world(
    aFolder,
    { .mZones = { "sul-a", "sul-b" }, .mAllZones = { "sul-a", "sul-b" } });
  auto& store = world.Platform();
  world.Operate("config",
                "main",
                MakeConfiguration({ .mVersion = 3,
                                    .mKeys = { "key-1" },
                                    .mColdStartSeconds = 3.0,
                                    .mColdPerSecond = kColdPerSecond }));
  auto& before =
    world.AddWorker({ .mId = "w-1", .mService = "desk", .mZone = "sul-a" });
  if (!world.StartMachines()) {
    return kExitNotRun;
  }
  std::vector<std::unique_ptr<Client>> clients;
  constexpr int kClientsPerMachine = 10;
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
  world.SleepUntil(kStopAt);
  auto& machine = world.MachineAt(1);
  world.Notes().Write("SIGTERM for the second machine");
  std::thread stop([&machine] { machine.Stop(); });
  world.SleepUntil(kStoreDownAt);
  NoteRegistrations(world);
  if (HasTrouble()) {
    store.GoAway();
    world.Notes().Write("the store is down");
  }
  stop.join();
  world.Notes().Write("the second machine has ended");
  std::this_thread::sleep_for(kRestartDelay);
  machine.Start();
  world.SleepUntil(kStoreBackAt);
  store.Return();
  world.Notes().Write("the store is up");
  if (!machine.AwaitReady(std::chrono::seconds(8))) {
    return kExitNotRun;
  }
  world.Notes().Write("the second machine is ready again");
  NoteRegistrations(world);
  world.SleepUntil(kDownAt);
  NoteRegistrations(world);
  before.Crash();
  world.SleepUntil(kBackAt);
  const double limit = kColdPerSecond * kColdOverage + kColdSlack;
  auto& worker =
    world.AddWorker({ .mId = "w-2",
                      .mService = "desk",
                      .mZone = "sul-a",
                      .mCold = kColdTime,
                      .mCrashAbove = static_cast<int>(limit) + 1 });
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
