#pragma once

#include "harness/cluster.hpp"
#include "harness/history.hpp"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace figslip::test {

/// Describes one request of a caller, with its repeats.
struct CallerWork
{
  std::string mAccount;
  std::string mTarget; ///< chat target, or `service/operation`
  bool mStream = false;
  bool mIdempotent = true;
  bool mInSession = false; ///< carries the session token of its caller
  std::string mText = "plan my week";
  bool mTwice = false; ///< sent at two entries at once
};

/// Counts requests, each with all its repeats.
struct Served
{
  int mRequests = 0;
  int mAnswered = 0;

  /// Returns the share of requests answered, 1 without requests.
  [[nodiscard]] double Share() const
  {
    return mRequests == 0 ? 1.0 : static_cast<double>(mAnswered) / mRequests;
  }
};

/// Runs concurrent callers against a cluster and records what happens.
class Traffic
{
public:
  struct Options
  {
    int mCallers = 8;
    int mTries = 6;                 ///< calls a request, at changing entries
    int mDeadlineMs = 4'000;        ///< deadline of a call, milliseconds
    int mPauseMs = 5;               ///< pause of a caller between requests
    std::vector<CallerWork> mWorks; ///< a mixed load if empty
  };

  Traffic(Cluster& aCluster, Options aOptions);
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;
  ~Traffic();

  /// Starts the callers and the sampling of generations.
  void Start();

  /// Waits until so many more requests were answered.
  /// @return whether they were, within a generous limit
  bool WaitForAnswers(int aCount);

  /// @name Faults and changes, recorded as they happen
  /// @{
  void Publish(manifest::Manifest aManifest);
  void Leave(const std::string& aUpstream);
  void RestartEntry(const std::string& aEntry);
  void FreezeEntry(const std::string& aEntry);
  void ResumeEntry(const std::string& aEntry);
  /// Marks that an entry, or each for an empty name, lost the platform.
  void NoteCut(const std::string& aEntry);
  void NoteCutHealed(const std::string& aEntry);
  /// Stops an entry as the platform does: its balancer sends no more calls
  /// once it sees that the entry is not ready.
  void StopEntry(const std::string& aEntry);
  /// @}

  /// Stops callers and entries, and collects all records.
  [[nodiscard]] History Finish();

  [[nodiscard]] Served Idempotent();
  [[nodiscard]] Served NonIdempotent();

  /// Sends one request with its repeats; returns the last call.
  CallerRecord Send(const CallerWork& aWork,
                    const std::string& aRequestId,
                    std::size_t aFirstEntry);

private:
  struct Session
  {
    std::string mToken;
    std::string mVersion;
  };

  void RunCaller(int aCaller);
  CallerRecord CallOnce(const CallerWork& aWork,
                        const std::string& aRequestId,
                        const std::string& aKey,
                        const std::string& aEntry,
                        Session& aSession);
  CallerRecord SendRequest(const CallerWork& aWork,
                           const std::string& aRequestId,
                           std::size_t aFirstEntry,
                           Session& aSession);
  void SendTwice(const CallerWork& aWork,
                 const std::string& aRequestId,
                 Session& aSession);
  void SampleGenerations();
  [[nodiscard]] int PortOf(const std::string& aEntry);
  [[nodiscard]] std::string Balance(std::size_t aIndex);
  [[nodiscard]] bool IsReady(const std::string& aEntry);
  void CountRequest(const CallerWork& aWork, bool aAnswered);
  void Heal(Isolation::Kind aKind, const std::string& aEntry);

  Cluster& mCluster;
  Options mOptions;
  http::HttpClient mClient{ {} };
  std::vector<std::string> mEntries;
  std::atomic<bool> mStopping{ false };
  std::atomic<int> mNextRequest{ 0 };
  std::uint64_t mSeed;
  std::vector<std::thread> mThreads;
  std::mutex mMutex;
  std::condition_variable mAnsweredMore;
  History mHistory;
  std::map<std::string, int> mPorts;
  std::set<std::string> mOutOfBalancer;
  Served mIdempotent;
  Served mNonIdempotent;
};

/// Returns the seed of this run: `FIGSLIP_SEED`, or a fixed one.
[[nodiscard]] std::uint64_t
SeedOfRun();

/// Returns the present time of the records.
[[nodiscard]] Millis
NowMillis();

} // namespace figslip::test
