#pragma once

#include <figslip/time/time_point.hpp>

#include <atomic>

namespace figslip::entry {

/// @brief Lists the phases in the life of a daemon.
enum class Phase
{
  Starting, ///< no manifest is in force yet
  Serving,
  Draining, ///< not ready, but serves what the balancer still sends
  Stopping  ///< finishes its requests and takes no new ones
};

/// @brief Holds the phase of the daemon and counts its open requests.
class EntryState
{
public:
  [[nodiscard]] Phase Now() const { return mPhase.load(); }
  void Enter(Phase aPhase) { mPhase.store(aPhase); }

  /// @brief Counts a request for as long as it lives.
  class OpenRequest
  {
  public:
    explicit OpenRequest(EntryState& aState)
      : mState(aState)
    {
      ++mState.mOpen;
    }
    OpenRequest(const OpenRequest&) = delete;
    OpenRequest& operator=(const OpenRequest&) = delete;
    ~OpenRequest() { --mState.mOpen; }

  private:
    EntryState& mState;
  };

  [[nodiscard]] int OpenRequests() const { return mOpen.load(); }

private:
  std::atomic<Phase> mPhase{ Phase::Starting };
  std::atomic<int> mOpen{ 0 };
};

} // namespace figslip::entry
