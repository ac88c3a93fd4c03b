#pragma once

#include <chrono>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace figslip::test {

/// Passes TCP connections on to a port on loopback, and breaks them on demand.
class Relay
{
public:
  enum class Mode
  {
    Open,
    Cut,    ///< open connections are reset, new ones closed at once
    OneWay, ///< bytes towards the server pass, bytes from it are swallowed
    Slow    ///< bytes pass late, in both directions
  };

  /// How late bytes pass in the mode `Slow`.
  static constexpr std::chrono::milliseconds kDelay{ 80 };

  explicit Relay(int aTargetPort);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay();

  [[nodiscard]] int Port() const { return mPort; }

  void SetMode(Mode aMode);

  /// Makes all open connections silent for good; new ones work.
  void SilenceOpenConnections();

private:
  struct Link;

  void Accept();
  void Pump(Link& aLink, bool aToServer);
  [[nodiscard]] Mode CurrentMode();

  int mTargetPort;
  int mPort = 0;
  int mListener = -1;
  std::mutex mMutex;
  Mode mMode = Mode::Open;
  bool mStopping = false;
  std::list<std::unique_ptr<Link>> mLinks;
  std::condition_variable mAllEnded;
  std::thread mAcceptor;
};

} // namespace figslip::test
