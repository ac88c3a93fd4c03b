#pragma once

#include "objects.hpp"

#include <cstdio>
#include <sys/types.h>

namespace review {

/// @brief Writes `record.txt`: what was sent, answered and run.
class Record
{
public:
  explicit Record(const std::string& aPath);
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;
  ~Record();

  /// @brief Writes a line with the time since the start.
  void Write(const std::string& aLine);
  /// @brief Returns the seconds since the start.
  [[nodiscard]] double Seconds() const;

private:
  std::FILE* mFile;
  std::mutex mMutex;
  Clock::time_point mStart = Clock::now();
};

/// @brief Plays a worker.
class Worker
{
public:
  struct Options
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    std::string mVersion = "v1";
    int mSlots = 64;
    milliseconds mWork{ 20 };
    /// share of the requests that fail with a 500 of its own, by thousandths
    int mFailures = 0;
    /// time after its start for which it is cold
    milliseconds mCold{};
    /// requests in one second above which it crashes while cold
    int mCrashAbove = 0;
  };

  /// A request that it has run.
  struct Run
  {
    std::string mRequest;
    std::string mAccount;
    Clock::time_point mAt;
  };

  Worker(Options aOptions,
         std::string aAddress,
         Store& aStore,
         Record& aRecord);
  ~Worker();

  [[nodiscard]] const std::string& Id() const { return mOptions.mId; }
  [[nodiscard]] const Options& Settings() const { return mOptions; }
  [[nodiscard]] std::vector<Run> Runs();
  /// @brief Closes its connections and its port, for good.
  void Crash();
  /// @brief Counts crashes.
  [[nodiscard]] int Crashes() const { return mCrashes; }
  /// @brief Counts requests that ran when it crashed.
  [[nodiscard]] int Lost() const { return mLost; }
  /// @brief Returns the most requests that arrived in one second while cold.
  [[nodiscard]] int MostWhileCold();

private:
  [[nodiscard]] std::string Serve(const Message& aRequest);
  void Beat();
  /// Notes an arrival while cold and returns whether it is too much.
  [[nodiscard]] bool IsTooMuch();

  Options mOptions;
  std::string mAddress;
  Store& mStore;
  Record& mRecord;
  std::mutex mMutex;
  std::vector<Run> mRuns;
  std::vector<Clock::time_point> mColdArrivals;
  Clock::time_point mColdUntil;
  int mMostWhileCold = 0;
  int mSequence = 0;
  std::atomic<int> mActive{ 0 };
  std::atomic<int> mLost{ 0 };
  std::atomic<int> mCrashes{ 0 };
  std::atomic<bool> mIsEnding{ false };
  std::unique_ptr<Server> mServer;
  Clock::time_point mCrashedAt{};
  std::thread mBeat;
};

/// @brief Runs a machine's process with the command and the template of the
/// deploy file.
class Machine
{
public:
  /// @param[in] aFields fields of the platform's settings file
  Machine(std::string aName,
          const nlohmann::json& aFields,
          const std::string& aFolder);
  ~Machine();

  [[nodiscard]] const std::string& Address() const { return mAddress; }
  void Start();
  /// @brief Sends SIGTERM, and SIGKILL after the grace period.
  void Stop();
  void Kill();
  [[nodiscard]] bool AwaitReady(milliseconds aPatience) const;
  /// @brief Returns the memory that the process holds; 0: it has ended.
  [[nodiscard]] double MemoryMb() const;

private:
  std::string mName;
  std::string mAddress;
  std::string mSettings;
  std::string mLog;
  pid_t mProcess = -1;
};

/// @brief What operators change from one version of the configuration to the
/// next.
struct ConfigurationOptions
{
  int mVersion = 0;
  std::vector<std::string> mKeys; ///< of the account `salon`
  int mTimeoutMs = 1'500;         ///< of the lookups
  int mBookingTimeoutMs = 1'500;
  double mColdStartSeconds = 0.0;
  double mColdPerSecond = 0.0;
};

/// @brief Returns a configuration with one service, `desk`.
[[nodiscard]] nlohmann::json
MakeConfiguration(const ConfigurationOptions& aOptions);

/// @brief Fills in a template as the platform does.
[[nodiscard]] std::string
Render(const std::string& aTemplate, const nlohmann::json& aFields);

/// @brief Returns a free loopback network, as the first three numbers.
[[nodiscard]] std::string
FreeNetwork();

/// @brief Runs the parts of a small deployment.
class World
{
public:
  struct Options
  {
    std::vector<std::string> mZones; ///< of the machines
    std::vector<std::string> mAllZones;
  };

  /// @param[in] aFolder gets `record.txt`
  World(const std::string& aFolder, Options aOptions);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  /// @brief Ends the machines. Keeps their logs if KEEP_LOGS is set.
  ~World();

  [[nodiscard]] Record& Notes() { return mRecord; }
  [[nodiscard]] Store& Platform() { return *mStore; }
  [[nodiscard]] Machine& MachineAt(std::size_t aIndex)
  {
    return *mMachines.at(aIndex);
  }
  [[nodiscard]] std::size_t MachineCount() const { return mMachines.size(); }
  [[nodiscard]] Worker& AddWorker(Worker::Options aOptions);
  [[nodiscard]] const std::vector<std::unique_ptr<Worker>>& Workers() const
  {
    return mWorkers;
  }
  /// @brief Starts all machines and waits until they are ready.
  [[nodiscard]] bool StartMachines();
  /// @brief Waits until a time since the start of the machines.
  void SleepUntil(double aSeconds) const;
  [[nodiscard]] double Seconds() const;
  /// @brief Writes an object as the operator and notes the acknowledgement.
  std::int64_t Operate(const std::string& aKind,
                       const std::string& aName,
                       const nlohmann::json& aSpec);

private:
  std::string mFolder;
  Record mRecord;
  std::string mNetwork;
  std::unique_ptr<Store> mStore;
  std::vector<std::unique_ptr<Worker>> mWorkers;
  std::vector<std::unique_ptr<Machine>> mMachines;
  Clock::time_point mStart = Clock::now();
};

/// @brief Sends requests at a steady rate until it is destroyed.
class Client
{
public:
  struct Options
  {
    std::string mName;
    std::string mMethod = "GET";
    std::string mHost = "app.example";
    std::string mPath;
    std::string mKey;
    milliseconds mInterval{ 100 };
    int mDeadlineMs = 1'500;
    std::size_t mBodyBytes = 4; ///< of a POST
  };

  /// An attempt and its answer.
  struct Attempt
  {
    std::string mRequest;
    Clock::time_point mSentAt;
    int mStatus = 0; ///< 0: the connection ended without an answer
  };

  Client(Options aOptions, const Machine& aMachine, Record& aRecord);
  ~Client();

  [[nodiscard]] const Options& Settings() const { return mOptions; }
  [[nodiscard]] std::vector<Attempt> Attempts();

private:
  void Run();

  Options mOptions;
  const Machine& mMachine;
  Record& mRecord;
  std::mutex mMutex;
  std::vector<Attempt> mAttempts;
  std::atomic<bool> mIsEnding{ false };
  std::thread mThread;
};

/// @brief Returns whether the run includes the disruption (TROUBLE is not 0).
[[nodiscard]] bool
HasTrouble();

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

} // namespace review
