// The store cuts off the waiting watches once; 1.2 s later a worker leaves by
// the removal of its entry. Later than drain_ms, bookings still go to it.

#include "../world.hpp"

#include <cstdio>

namespace {

using namespace review;
using std::chrono::seconds;

// bounds of sites/pointefit-ph.toml
constexpr milliseconds kContact{ 3'000 };
constexpr milliseconds kDrain{ 2'000 };
/// Time for which a worker serves on after `kDrain`.
constexpr milliseconds kLinger{ 240 };
/// The longest work of a booking at the site.
constexpr milliseconds kWork{ 220 };

/// Time from the cut to the removal: the requests below are sent more than
/// `kContact` after the cut.
constexpr milliseconds kRemovalAfter{ 1'200 };
constexpr milliseconds kBookingsAfter{ 2'060 };
constexpr int kBookings = 8;

[[noreturn]] void
Play(const std::string& aFolder, const std::string& aRecord)
{
  Record record(aRecord);
  Store store(record);
  store.Put(
    "config",
    "main",
    Configuration(7,
                  { Route("r-book", "/book/", "non_idempotent", "desk", 1),
                    Route("r-stock", "/stock/", "idempotent", "stock", 2) },
                  { "desk", "stock" }));
  Worker leaver(record, store, { .mId = "i-leaver", .mService = "desk" });
  Worker stayer(record, store, { .mId = "i-stayer", .mService = "desk" });
  Worker stock(record, store, { .mId = "i-stock", .mService = "stock" });
  Ingress ingress(record, aFolder, store.Port());
  if (!ingress.AwaitReady()) {
    Finish(ingress, kNotRun);
  }
  const auto send = [&](const std::string& aMethod,
                        const std::string& aPath,
                        const std::string& aAttempt) {
    return SendRequest(
      record, ingress.CallerPort(), aMethod, aPath, aAttempt, seconds(1));
  };
  // the start of the machine is past, and both workers have served it
  std::this_thread::sleep_for(kContact + seconds(1));
  for (int number = 0; number < 6; ++number) {
    const auto sent =
      send("POST", "/book/a", "early-" + std::to_string(number));
    if (sent.mStatus != 200) {
      Finish(ingress, kNotRun);
    }
  }
  // a new watch of the workers is open 0.65 s after the last one has ended
  if (!store.AwaitAnswer("WATCH servers", seconds(10))) {
    Finish(ingress, kNotRun);
  }
  std::this_thread::sleep_for(milliseconds(900));
  leaver.SetWork(kWork);
  stayer.SetWork(kWork);
  const auto cutAt = Clock::now();
  if (HasTrouble()) {
    store.CutWatches();
  }
  // lookups at the other service go on all the while
  std::atomic<bool> isOver{ false };
  std::thread lookups([&] {
    for (int number = 0; !isOver; ++number) {
      send("GET", "/stock/b", "look-" + std::to_string(number));
      std::this_thread::sleep_for(milliseconds(100));
    }
  });
  SleepUntil(cutAt + kRemovalAfter);
  const auto removedAt = leaver.LeaveUnannounced();
  std::thread ending([&] {
    SleepUntil(removedAt + kDrain + kLinger);
    leaver.Stop();
  });
  SleepUntil(removedAt + kBookingsAfter);
  std::vector<Sent> sent(kBookings);
  std::vector<std::thread> clients;
  for (int number = 0; number < kBookings; ++number) {
    clients.emplace_back([&, number] {
      sent[static_cast<std::size_t>(number)] =
        send("POST", "/book/a", "late-" + std::to_string(number));
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  ending.join();
  isOver = true;
  lookups.join();
  int late = 0;
  int lost = 0;
  for (const auto& run : leaver.Runs()) {
    const auto request = std::ranges::find(sent, run.mAttempt, &Sent::mAttempt);
    const bool isLate =
      request != sent.end() && run.mArrivedAt > removedAt + kDrain;
    late += isLate ? 1 : 0;
    lost += isLate && request->mStatus != 200 ? 1 : 0;
  }
  record.Write(
    "removal acknowledged at " + std::to_string(record.At(removedAt)) +
    ", bookings that reached the worker too late: " + std::to_string(late) +
    ", of which without success: " + std::to_string(lost));
  std::printf("late at the worker that left: %d, lost: %d\n", late, lost);
  Finish(ingress, late > 0 ? kBroken : kHeld);
}

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == 3) {
    Play(argv[1], argv[2]);
  }
  return kNotRun;
}
