#include "world.hpp"

#include <cstdio>

/// A client sends HEAD and then GET on one connection.

namespace {

using namespace review;

constexpr int kRounds = 8;
constexpr auto kPatience = milliseconds(3'000);

/// Ends of the second request of a round.
struct Counts
{
  int mAnswered = 0;
  int mForeign = 0; ///< bytes that are no answer came in its place
  int mClosed = 0;
};

std::string
FormatRequest(const std::string& aMethod, const std::string& aId)
{
  return aMethod + " /look/" + aId +
         " HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + aId +
         "\r\nX-Deadline-Ms: 1500\r\nX-Api-Key: key-1\r\n\r\n";
}

/// Sends two requests on a new connection, one after the answer to the other.
void
PlayRound(World& aWorld, int aRound, Counts& aCounts)
{
  constexpr int kFrontendPort = 8'227;
  const std::string method = HasTrouble() ? "HEAD" : "GET";
  const auto id = std::to_string(aRound);
  auto& notes = aWorld.Notes();
  const auto link = Link::Connect(aWorld.MachineAt(0).Address(), kFrontendPort);
  if (!link->IsOpen() || !link->Send(FormatRequest(method, "first-" + id))) {
    return;
  }
  const auto first = link->Read(kPatience, method == "GET");
  if (!first) {
    notes.Write(method + " first-" + id + " gets no answer");
    return;
  }
  notes.Write(method + " first-" + id + " gets \"" + first->mStart + "\"");
  if (first->Header("Connection") == "close") {
    ++aCounts.mClosed;
    return;
  }
  if (!link->Send(FormatRequest("GET", "second-" + id))) {
    ++aCounts.mClosed;
    return;
  }
  const auto second = link->Read(kPatience);
  if (!second) {
    ++aCounts.mClosed;
    return;
  }
  notes.Write("GET second-" + id + " gets \"" + second->mStart + "\"");
  const bool isAnswer = second->mStart.starts_with("HTTP/1.1 ");
  ++(isAnswer ? aCounts.mAnswered : aCounts.mForeign);
}

int
Play(const std::string& aFolder)
{
  World world(aFolder, { .mZones = { "sul-a" }, .mAllZones = { "sul-a" } });
  world.Operate("config",
                "main",
                MakeConfiguration({ .mVersion = 3, .mKeys = { "key-1" } }));
  for (const auto* const id : { "w-1", "w-2" }) {
    (void)world.AddWorker({ .mId = id, .mService = "desk", .mZone = "sul-a" });
  }
  if (!world.StartMachines()) {
    return kExitNotRun;
  }
  Counts counts;
  for (int round = 1; round <= kRounds; ++round) {
    PlayRound(world, round, counts);
  }
  const auto result =
    "second requests answered: " + std::to_string(counts.mAnswered) +
    ", that got bytes that are no answer: " + std::to_string(counts.mForeign) +
    ", connection closed: " + std::to_string(counts.mClosed);
  world.Notes().Write(result);
  std::puts(result.c_str());
  if (counts.mAnswered + counts.mForeign + counts.mClosed == 0) {
    return kExitNotRun;
  }
  return counts.mForeign > 0 ? kExitBroken : kExitHeld;
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
