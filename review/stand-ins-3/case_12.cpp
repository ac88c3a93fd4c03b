#include "world.hpp"

#include <cstdio>

/// A zone is emptied after a drill in which the store came back from a copy.

namespace {

using namespace review;

constexpr double kCopyAt = 6.0;
constexpr double kDrillAt = 10.5;
constexpr double kReturnAt = 12.5;
constexpr double kEvacuateAt = 16.0;
constexpr double kEndAt = 46.0;

/// `evacuation_ms` and `max_extension_ms` of the deployment.
constexpr auto kEvacuation = milliseconds(5'000);
constexpr auto kMaxExtension = milliseconds(5'000);

int
Play(const std::string& aFolder)
{
  World world(
    aFolder,
    { .mZones = { "sul-a", "sul-b" }, .mAllZones = { "sul-a", "sul-b" } });
  const bool hasTrouble = HasTrouble();
  auto& store = world.Platform();
  ConfigurationOptions options{ .mVersion = 3, .mKeys = { "key-1" } };
  const auto write = [&] {
    world.Operate("config", "main", MakeConfiguration(options));
  };
  write();
  for (const auto* const zone : { "sul-a", "sul-b" }) {
    (void)world.AddWorker(
      { .mId = "w-" + std::string(zone), .mService = "desk", .mZone = zone });
  }
  if (!world.StartMachines()) {
    return kExitNotRun;
  }
  std::vector<std::unique_ptr<Client>> clients;
  constexpr int kClients = 4;
  for (int index = 0; index < kClients; ++index) {
    const bool books = index >= kClients / 2;
    Client::Options client{ .mName = "c" + std::to_string(index),
                            .mMethod = books ? "POST" : "GET",
                            .mPath = books ? "/book/" : "/look/",
                            .mKey = "key-1" };
    clients.push_back(std::make_unique<Client>(
      std::move(client),
      world.MachineAt(static_cast<std::size_t>(index) % world.MachineCount()),
      world.Notes()));
  }
  world.SleepUntil(kCopyAt);
  const auto copy = store.TakeCopy();
  world.Notes().Write("the copy has revision " +
                      std::to_string(copy.mRevision));
  for (const int timeout : { 1'400, 1'300 }) {
    options.mVersion += 2;
    options.mTimeoutMs = timeout;
    write();
  }
  world.SleepUntil(kDrillAt);
  if (hasTrouble) {
    store.GoAway();
    world.Notes().Write("the store is away");
    world.SleepUntil(kReturnAt);
    store.ReturnWith(copy);
    world.Notes().Write("the store is back with the copy");
    write(); // again
  }
  world.SleepUntil(kEvacuateAt);
  world.Operate("evacuations", "sul-b", nlohmann::json::object());
  const auto boundAt = Clock::now() + kEvacuation + kMaxExtension;
  world.SleepUntil(kEndAt);
  clients.clear();
  int before = 0;
  int late = 0;
  int lateBookings = 0;
  for (const auto& worker : world.Workers()) {
    for (const auto& run : worker->Runs()) {
      const bool isThere = worker->Settings().mZone == "sul-b";
      const bool isLate = isThere && run.mAt > boundAt;
      before += isThere && !isLate ? 1 : 0;
      late += isLate ? 1 : 0;
      lateBookings += isLate && run.mRequest.starts_with("c3") ? 1 : 0;
    }
  }
  const auto result =
    std::to_string(late) + " requests, of them " +
    std::to_string(lateBookings) +
    " bookings, reached the worker in sul-b later than evacuation_ms + "
    "max_extension_ms after the acknowledgement, " +
    std::to_string(before) + " before";
  world.Notes().Write(result);
  std::puts(result.c_str());
  if (before == 0) {
    return kExitNotRun;
  }
  return late > 0 ? kExitBroken : kExitHeld;
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
