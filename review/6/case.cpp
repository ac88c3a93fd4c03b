// After a drill of the store some instances go on with a configuration that
// has been replaced, and serve a key that was taken away.
#include "drill.hpp"

#include <iostream>

namespace {

using namespace review;

int
Run()
{
  Record record("record.txt");
  TemporaryFolder folder;
  Store store(record);
  std::vector<std::unique_ptr<Worker>> workers;
  const auto addWorker = [&] {
    workers.push_back(std::make_unique<Worker>(
      record,
      Worker::Options{ .mId = "w-" + std::to_string(workers.size() + 1),
                       .mService = "desk" }));
    store.Put("servers", workers.back()->Id(), workers.back()->Entry());
  };
  for (int number = 0; number < 4; ++number) {
    addWorker();
  }
  const auto configuration = [](int aVersion, const json& aAccounts) {
    return ConfigurationOf(aVersion,
                           { RouteOf("book", "desk", false) },
                           { ServiceOf("desk") },
                           aAccounts);
  };
  const json accounts = { AccountOf("north", { "kept", "lost", "moved" }),
                          AccountOf("south", { "other" }) };
  store.Put("config", "main", configuration(1, accounts));

  // the drill comes back from this copy
  const auto copy = store.TakeCopy();
  const auto instances = StartInstances(store, folder, 8, { "a" });
  store.Put("config", "main", configuration(2, accounts));
  const auto clients = StartClients(record,
                                    instances,
                                    { { "kept", "/book/1", "kept" },
                                      { "lost", "/book/1", "lost" },
                                      { "moved", "/book/1", "moved" } });
  SleepFor(3'500);
  if (!AllServed(clients)) {
    std::cerr << "an instance serves nothing before the drill\n";
    return 2;
  }
  if (HasTrouble()) {
    store.GoAway();
    SleepFor(kAwayMs);
    store.ComeBack(copy);
    // the operator writes it again; the workers' entries are in the copy
    store.Put("config", "main", configuration(2, accounts));
  }
  SleepFor(kCalmMs);

  store.Put("config",
            "main",
            configuration(3,
                          { AccountOf("north", { "kept" }),
                            AccountOf("south", { "other", "moved" }) }));
  const auto revokedAt = Now();
  record.Write("operator: the key \"lost\" is taken away, and \"moved\" "
               "belongs to the tenant south");
  SleepFor(1'000);
  for (int number = 0; number < 12; ++number) {
    addWorker();
  }
  SleepUntil(revokedAt + kRevokeMs + 10'000);
  for (const auto& client : clients) {
    client->Stop();
  }

  int late = 0;
  int foreign = 0;
  for (const auto& worker : workers) {
    for (const auto& run : worker->Runs()) {
      const auto sent = FindSent(clients, run.mAttempt);
      if (!sent || sent->mAt <= revokedAt + kRevokeMs) {
        continue;
      }
      late += sent->mKind == "lost" ? 1 : 0;
      foreign += sent->mKind == "moved" && run.mTenant != "south" ? 1 : 0;
    }
  }
  const auto result =
    std::to_string(late) + " requests with the key taken away, and " +
    std::to_string(foreign) +
    " of a tenant that no longer holds the key, ran though they were sent "
    "later than revoke_ms after the acknowledgement";
  record.Write("result: " + result);
  std::cout << result << '\n';
  return late > 0 ? 1 : 0;
}

} // namespace

int
main()
{
  return review::RunCase(Run);
}
