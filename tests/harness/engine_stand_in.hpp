#pragma once

#include <figslip/net/asio.hpp>
#include <figslip/net/caller_connection.hpp>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace figslip::test {

/// Holds bytes that an engine sends as they are in place of an answer.
struct RawAnswer
{
  std::string mTargetPrefix; ///< of the requests that get it
  std::string mBegin;        ///< {id} stands for the id of the attempt
  std::string mRepeated;     ///< follows until the caller closes; empty: none
  std::chrono::milliseconds mPause{}; ///< before each repetition
  bool mResets = false;               ///< the connection ends with a reset
  bool mIsEarly = false; ///< sent on new connections once a head has arrived
};

/// Plays an upstream of the platform: streams of events and plain answers.
class EngineStandIn
{
public:
  enum class Behaviour
  {
    Good,
    BreakMidway,    ///< closes a stream in the middle of its third event
    SilentMidway,   ///< sends nothing after the second event of a stream
    RunAndVanish,   ///< runs the request and closes without an answer
    Refuse,         ///< vouches that it did not run the request
    RefuseAndPause, ///< likewise, and asks for a pause
    TurnAway, ///< does not run the request, does not vouch, asks for a pause
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

  /// Sends raw bytes from now on to some requests; nothing: to none.
  void AnswerRaw(std::optional<RawAnswer> aAnswer);
  /// Sets the text of Retry-After when it asks for a pause.
  void SetPauseAsked(std::string aText);
  /// Says, or no longer says, in all answers whose heads are sent from now on
  /// that it leaves.
  void SetLeaving(bool aIsLeaving) { mIsLeaving = aIsLeaving; }
  /// Sets the parts of prompts, in hexadecimal, on which it crashes when it
  /// begins to answer: it closes all connections and refuses new ones for a
  /// while.
  void SetDeadlyParts(std::vector<std::string> aParts);
  [[nodiscard]] int Crashes() const { return mCrashes; }

  /// Returns the requests that it has begun to run.
  [[nodiscard]] std::vector<net::RequestMessage> Runs();
  /// Counts the requests that have arrived, also those that it did not run.
  [[nodiscard]] int Arrivals() const { return mArrivals; }

private:
  using Connection = std::shared_ptr<net::CallerConnection>;

  [[nodiscard]] net::Header PauseAsked();
  [[nodiscard]] bool IsHeld(const std::string& aTarget);
  [[nodiscard]] bool IsDeadly(const net::RequestMessage& aRequest);
  [[nodiscard]] net::Awaitable<void> Crash();
  [[nodiscard]] net::Awaitable<void> Accept();
  [[nodiscard]] net::Awaitable<void> Serve(Connection aConnection, int aSocket);
  [[nodiscard]] net::Awaitable<bool> Answer(Connection aConnection,
                                            int aSocket);
  [[nodiscard]] std::optional<RawAnswer> RawAnswerTo(
    const std::string& aTarget);
  /// Sends an early answer to the first request of a connection.
  /// @return whether there is one
  [[nodiscard]] net::Awaitable<bool> AnswerEarly(int aSocket);
  [[nodiscard]] net::Awaitable<void> SendRaw(RawAnswer aAnswer,
                                             std::string aAttempt,
                                             int aSocket);
  /// Returns the headers with which it speaks of itself.
  [[nodiscard]] net::Headers OwnHeaders() const;
  [[nodiscard]] net::Awaitable<bool> Stream(Connection aConnection,
                                            net::Headers aHeaders);

  std::string mId;
  net::asio::io_context mContext{ 1 };
  net::tcp::acceptor mAcceptor;
  int mPort = 0;
  std::atomic<Behaviour> mBehaviour{ Behaviour::Good };
  std::atomic<std::chrono::milliseconds> mPause{ std::chrono::milliseconds(2) };
  std::atomic<int> mConfidence{ -1 };
  std::atomic<bool> mIsLeaving{ false };
  std::atomic<int> mArrivals{ 0 };
  std::mutex mMutex;
  std::string mHeldPrefix;
  std::optional<RawAnswer> mRaw;
  std::string mPauseAsked = "0.3"; ///< seconds
  std::vector<std::string> mDeadlyParts;
  std::atomic<int> mCrashes{ 0 };
  std::vector<std::weak_ptr<net::CallerConnection>> mConnections;
  std::vector<net::RequestMessage> mRuns;
  std::thread mThread;
};

} // namespace figslip::test
