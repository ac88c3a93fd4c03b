#pragma once

#include <figslip/net/asio.hpp>
#include <figslip/net/caller_connection.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace figslip::test {

/// Plays an upstream of the platform: streams of events and plain answers.
class EngineStandIn
{
public:
  enum class Behaviour
  {
    Good,
    BreakMidway,  ///< closes a stream in the middle of its third event
    SilentMidway, ///< sends nothing after the second event of a stream
    RunAndVanish, ///< runs the request and closes without an answer
    Refuse,       ///< vouches that it did not run the request
    WrongRequest, ///< answers with the id of another request
    Fail,         ///< answers 500
    Hang          ///< never answers
  };

  static constexpr int kEvents = 6; ///< of a whole stream

  explicit EngineStandIn(std::string aId);
  EngineStandIn(const EngineStandIn&) = delete;
  EngineStandIn& operator=(const EngineStandIn&) = delete;
  ~EngineStandIn();

  [[nodiscard]] const std::string& Id() const { return mId; }
  [[nodiscard]] int Port() const { return mPort; }
  void SetBehaviour(Behaviour aBehaviour) { mBehaviour = aBehaviour; }
  /// Sets the time between two events of a stream.
  void SetPause(std::chrono::milliseconds aPause) { mPause = aPause; }
  /// Sets the targets, by prefix, whose answers do not begin yet; empty: none.
  void HoldHeads(std::string aTargetPrefix);
  /// Sets the confidence that answers state, 0-100; none if negative.
  void SetConfidence(int aConfidence) { mConfidence = aConfidence; }

  /// Sets the parts of prompts, in hexadecimal, on which it crashes when it
  /// begins to answer: it closes all connections and refuses new ones for a
  /// while.
  void SetDeadlyParts(std::vector<std::string> aParts);
  [[nodiscard]] int Crashes() const { return mCrashes; }

  /// Returns the requests that it has begun to run.
  [[nodiscard]] std::vector<net::RequestMessage> Runs();

private:
  using Connection = std::shared_ptr<net::CallerConnection>;

  [[nodiscard]] bool IsHeld(const std::string& aTarget);
  [[nodiscard]] bool IsDeadly(const net::RequestMessage& aRequest);
  [[nodiscard]] net::Awaitable<void> Crash();
  [[nodiscard]] net::Awaitable<void> Accept();
  [[nodiscard]] net::Awaitable<void> Serve(Connection aConnection);
  [[nodiscard]] net::Awaitable<bool> Answer(Connection aConnection);
  [[nodiscard]] net::Awaitable<bool> Stream(Connection aConnection,
                                            net::Headers aHeaders);

  std::string mId;
  net::asio::io_context mContext{ 1 };
  net::tcp::acceptor mAcceptor;
  int mPort = 0;
  std::atomic<Behaviour> mBehaviour{ Behaviour::Good };
  std::atomic<std::chrono::milliseconds> mPause{ std::chrono::milliseconds(2) };
  std::atomic<int> mConfidence{ -1 };
  std::mutex mMutex;
  std::string mHeldPrefix;
  std::vector<std::string> mDeadlyParts;
  std::atomic<int> mCrashes{ 0 };
  std::vector<std::weak_ptr<net::CallerConnection>> mConnections;
  std::vector<net::RequestMessage> mRuns;
  std::thread mThread;
};

} // namespace figslip::test
