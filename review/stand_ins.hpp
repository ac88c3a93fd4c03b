#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

/// @brief Stand-ins of the store, of workers and of clients for the cases of
/// the review. All of them use loopback addresses only.
namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using nlohmann::json;

/// Milliseconds since the start of the case.
long long
Now();

void
SleepFor(long long aMilliseconds);

/// Waits until a time since the start of the case.
void
SleepUntil(long long aNow);

/// Returns false if the case runs without its disruption.
bool
HasTrouble();

/// @brief Writes `record.txt`: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();

  void Write(const std::string& aLine);

private:
  std::mutex mMutex;
  int mFile = -1;
};

struct Message
{
  std::string mStart; ///< request line or status line
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;

  [[nodiscard]] std::string Header(const std::string& aName) const;
  [[nodiscard]] std::string Method() const;
  [[nodiscard]] std::string Target() const;
  [[nodiscard]] int Status() const; ///< 0: no answer
};

struct Answer
{
  int mStatus = 200;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  /// further pieces of the body, each sent after the time in a chunk of its own
  std::vector<std::string> mPieces{};
  int mPieceMs = 0;
};

/// @brief Serves HTTP/1.1 at a loopback address, a thread a connection.
class Server
{
public:
  using Handler = std::function<Answer(const Message&)>;

  Server(std::string aAddress, Handler aHandler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  [[nodiscard]] int Port() const { return mPort; }
  [[nodiscard]] std::string Place() const;
  /// Closes the address and all connections.
  void Close();
  /// Listens again at the same port.
  void Open();
  /// Returns whether the address is closed, so that waiting calls end.
  [[nodiscard]] bool IsClosed() const { return mIsClosed; }

private:
  void Accept();
  void Serve(int aSocket);

  std::string mAddress;
  Handler mHandler;
  int mPort = 0;
  std::atomic<int> mListener{ -1 };
  std::atomic<bool> mIsClosed{ false };
  std::atomic<bool> mIsEnding{ false };
  std::mutex mMutex;
  std::set<int> mSockets;
  std::atomic<int> mThreads{ 0 };
  std::thread mAcceptor;
};

/// @brief Plays the platform's store: objects, one counter of revisions,
/// watches, and the drill in which it comes back from an earlier copy.
class Store
{
public:
  struct Copy
  {
    std::map<std::string, std::map<std::string, json>> mObjects;
    std::int64_t mRevision = 0;
    std::vector<json> mEvents;
  };

  explicit Store(Record& aRecord);

  [[nodiscard]] std::string Place() const { return mServer->Place(); }
  /// Writes what the operator or a worker writes.
  /// @return the revision of the store
  std::int64_t Put(const std::string& aKind,
                   const std::string& aName,
                   const json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);
  [[nodiscard]] std::int64_t Revision();
  [[nodiscard]] Copy TakeCopy();
  void GoAway();
  /// Comes back from a copy, with the next era.
  void ComeBack(const Copy& aCopy);
  /// Comes back with all that it had.
  void ComeBack();

private:
  Answer Handle(const Message& aRequest);
  Answer Read(const std::string& aKind,
              const std::string& aName,
              const std::string& aQuery);
  Answer Watch(const std::string& aKind, std::int64_t aFrom, long aWait);
  Answer Write(const Message& aRequest,
               const std::string& aKind,
               const std::string& aName,
               const std::string& aPart,
               const std::string& aQuery);
  void Note(const std::string& aKind, const json& aObject, bool aIsDeleted);

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  Copy mState;
  int mEra = 1;
  std::unique_ptr<Server> mServer;
};

/// @brief Plays a worker, which records the requests that it runs.
class Worker
{
public:
  struct Run
  {
    long long mAt = 0;
    std::string mAttempt;
    std::string mTenant;
    std::string mTarget;
  };

  struct Options
  {
    std::string mId;
    std::string mService;
    std::string mZone = "a";
    std::string mVersion = "v1";
    int mSlots = 6;
    int mWorkMs = 20;
    bool mStreams = false;
    int mEvents = 0;    ///< of a stream that is sent event by event
    int mEventMs = 100; ///< between two of them
  };

  Worker(Record& aRecord, Options aOptions);

  [[nodiscard]] const std::string& Id() const { return mOptions.mId; }
  [[nodiscard]] json Entry(const std::string& aState = "ready") const;
  [[nodiscard]] std::vector<Run> Runs();

private:
  Answer Handle(const Message& aRequest);

  Record& mRecord;
  Options mOptions;
  long long mBorn = 0;
  std::mutex mMutex;
  std::vector<Run> mRuns;
  std::unique_ptr<Server> mServer;
};

/// @brief Starts the program of the deploy file as a process.
class Instance
{
public:
  struct Options
  {
    std::string mName;
    std::string mZone = "a";
    std::vector<std::string> mZones = { "a" };
    std::string mStore;
    std::string mFolder; ///< for settings and log
    int mMemoryMb = 220;
    int mMaxDescriptors = 1024;
    json mContracts = { "base",    "drain",   "config",   "cost",
                        "retry",   "recover", "engine",   "stream",
                        "tenants", "places",  "platform", "rollout" };
  };

  explicit Instance(Options aOptions);
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;
  ~Instance();

  [[nodiscard]] const std::string& Name() const { return mOptions.mName; }
  [[nodiscard]] int CallerPort() const { return mCallerPort; }
  [[nodiscard]] int ReadinessPort() const { return mReadinessPort; }
  [[nodiscard]] pid_t Id() const { return mId; }
  [[nodiscard]] bool WaitForReady(long long aPatience);
  [[nodiscard]] bool IsRunning();
  /// Returns the memory that the process holds, MB; 0: it is gone.
  [[nodiscard]] double MemoryMb() const;
  void Signal(int aSignal) const;
  void Start();
  void Kill();

private:
  Options mOptions;
  int mCallerPort = 0;
  int mReadinessPort = 0;
  pid_t mId = -1;
};

/// Sends a request on a new connection and reads the answer.
Message
Exchange(int aPort, const std::string& aBytes, long long aPatience);

/// Formats a request as clients send it.
std::string
FormatCall(const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aAttempt,
           const std::string& aKey,
           const std::string& aMore = "");

/// Returns a port that is free now.
int
FreePort(const std::string& aAddress);

/// Returns a new folder for temporary files, which the destructor removes.
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  [[nodiscard]] const std::string& Path() const { return mPath; }

private:
  std::string mPath;
};

/// Runs a case.
/// @return 1: a rule was broken, 0: it held, 2: the case could not run
int
RunCase(const std::function<int()>& aCase);

} // namespace review
