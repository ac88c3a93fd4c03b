#pragma once

#include <chrono>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace figslip::test {

/// Passes TCP connections on to a port on loopback, and breaks them on demand.
class Relay
{
public:
  enum class Mode
  {
    Open,
    Cut,    ///< open connections are reset, new ones closed at once
    Refuse, ///< open connections live on, new ones are refused
    Sever,  ///< open connections are reset, new ones are refused
    Hang,   ///< open connections fall silent for good, new ones never open
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

  /// Returns when the mode is in force, also for connections that come.
  void SetMode(Mode aMode);

  /// Makes all open connections silent for good; new ones work.
  void SilenceOpenConnections();

private:
  struct Link;

  void Accept();
  /// Lets the listener accept, refuse or ignore connections.
  void SetListener(Mode aMode);
  void Pump(Link& aLink, bool aToServer);
  [[nodiscard]] Mode CurrentMode();

  int mTargetPort;
  int mPort = 0;
  int mListener = -1;
  std::mutex mMutex;
  Mode mMode = Mode::Open;
  Mode mListenerMode = Mode::Open;
  std::condition_variable mListenerSet;
  std::vector<int> mFillers; ///< that occupy the queue of the listener
  bool mStopping = false;
  std::list<std::unique_ptr<Link>> mLinks;
  std::condition_variable mAllEnded;
  std::thread mAcceptor;
};

} // namespace figslip::test
