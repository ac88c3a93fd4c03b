#include "world.hpp"

#include <cstdio>

/// A key is taken away after a drill in which the store came back from a copy.

namespace {

using namespace review;

constexpr double kCopyAt = 6.0;
constexpr double kDrillAt = 9.0;
constexpr double kReturnAt = 10.0;
constexpr double kRevokeAt = 15.0;
constexpr double kEndAt = 40.0;

/// `revoke_ms` of the deployment.
constexpr auto kRevocation = milliseconds(5'000);

int
Play(const std::string& aFolder)
{
  World world(
    aFolder,
    { .mZones = { "sul-a", "sul-b" }, .mAllZones = { "sul-a", "sul-b" } });
  const bool hasTrouble = HasTrouble();
  auto& store = world.Platform();
  ConfigurationOptions options{ .mVersion = 3,
                                .mKeys = { "key-kept", "key-taken" } };
  const auto write = [&] {
    return world.Operate("config", "main", MakeConfiguration(options));
  };
  write();
  for (const auto* const id : { "w-1", "w-2" }) {
    (void)world.AddWorker({ .mId = id, .mService = "desk", .mZone = "sul-a" });
  }
  if (!world.StartMachines()) {
    return kExitNotRun;
  }
  std::vector<std::unique_ptr<Client>> clients;
  for (std::size_t index = 0; index < world.MachineCount(); ++index) {
    for (const auto* const key : { "key-kept", "key-taken" }) {
      Client::Options client{ .mName =
                                std::string(key) + "-" + std::to_string(index),
                              .mPath = "/look/",
                              .mKey = key };
      clients.push_back(std::make_unique<Client>(
        std::move(client), world.MachineAt(index), world.Notes()));
    }
  }
  world.SleepUntil(kCopyAt);
  const auto copy = store.TakeCopy();
  world.Notes().Write("the copy has revision " +
                      std::to_string(copy.mRevision));
  for (const int timeout : { 1'400, 1'300 }) {
    options.mVersion += 2;
    options.mTimeoutMs = timeout;
    write();
    world.SleepUntil(world.Seconds() + 1.0);
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
  world.SleepUntil(kRevokeAt);
  options.mVersion += 2;
  options.mKeys = { "key-kept" };
  write();
  const auto acknowledgedAt = Clock::now();
  world.Notes().Write("key-taken is taken away");
  world.SleepUntil(kEndAt);
  std::map<std::string, Clock::time_point> sent;
  for (const auto& client : clients) {
    for (const auto& attempt : client->Attempts()) {
      if (client->Settings().mKey == "key-taken") {
        sent[attempt.mRequest] = attempt.mSentAt;
      }
    }
  }
  int runs = 0;
  int lateRuns = 0;
  for (const auto& worker : world.Workers()) {
    for (const auto& run : worker->Runs()) {
      const auto found = sent.find(run.mRequest);
      if (found != sent.end()) {
        ++runs;
        lateRuns += found->second > acknowledgedAt + kRevocation ? 1 : 0;
      }
    }
  }
  const auto result =
    std::to_string(lateRuns) + " of " + std::to_string(runs) +
    " runs with key-taken were of requests sent later than revoke_ms after "
    "the acknowledgement";
  world.Notes().Write(result);
  std::puts(result.c_str());
  if (runs == 0) {
    return kExitNotRun; // the key never worked
  }
  return lateRuns > 0 ? kExitBroken : kExitHeld;
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
