#pragma once

#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::test {

/// Holds one connection of a client that sends and does not read.
class UntrustedClient
{
public:
  explicit UntrustedClient(int aPort);
  UntrustedClient(const UntrustedClient&) = delete;
  UntrustedClient& operator=(const UntrustedClient&) = delete;
  ~UntrustedClient();

  /// Sends what the other side takes within a time; the rest is left out.
  void Send(std::string_view aBytes,
            std::chrono::milliseconds aPatience = std::chrono::seconds(1));
  /// Says that nothing more will be sent.
  void EndSending();

private:
  int mDescriptor = -1;
};

/// Holds one place at which an instance accepts requests.
struct Door
{
  std::string mName;
  std::string mMethod;
  std::string mPath;
  int mPort = 0;
};

/// Lists routes with and without a body, a path without a route, the readiness
/// address, the metrics and the internal port.
[[nodiscard]] std::vector<Door>
DoorsOf(const IngressWorld& aWorld);

/// Writes the head of a request with further fields, with its empty line.
[[nodiscard]] std::string
FormatHead(const Door& aDoor, const std::string& aFields);

using Crowd = std::vector<std::unique_ptr<UntrustedClient>>;

/// Connects clients to a door.
[[nodiscard]] Crowd
Gather(const Door& aDoor, int aSize);

/// Holds what an instance holds beside a crowd, and what it answers.
struct Observation
{
  double mMemoryMb = 0.0; ///< peak of the process, and its queues in the kernel
  int mSockets = 0;
  CallerAnswer mAnswer; ///< to an ordinary request with a whole body
};

/// Measures the first instance and sends it an ordinary request; like callers,
/// it tries again if the request was refused.
[[nodiscard]] Observation
Observe(IngressWorld& aWorld);

/// Holds the bounds of an instance's memory and sockets.
struct WorldBounds
{
  double mMemoryMb = 0.0;
  int mSockets = 0;
};

/// Checks that the first instance lives within bounds and serves.
inline void
CheckServes(IngressWorld& aWorld, const WorldBounds& aBounds)
{
  const auto seen = Observe(aWorld);
  CHECK(seen.mAnswer.mStatus == 200);
  CHECK(seen.mAnswer.mIsWhole);
  CHECK(seen.mMemoryMb < aBounds.mMemoryMb);
  CHECK(seen.mSockets <= aBounds.mSockets);
}

} // namespace figslip::test
