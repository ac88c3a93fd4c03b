#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <set>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

namespace review {

using nlohmann::json;

inline void
SleepUntil(Clock::time_point aTime)
{
  std::this_thread::sleep_until(aTime);
}

/// Writes what happened, with the time since the start in seconds.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }

  void Write(const std::string& aText)
  {
    const std::scoped_lock lock(mMutex);
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%8.3f  ", At(Clock::now()));
    mFile << time.data() << aText << std::endl;
  }

  [[nodiscard]] double At(Clock::time_point aTime) const
  {
    return std::chrono::duration<double>(aTime - mStart).count();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  Clock::time_point mStart = Clock::now();
};

/// Plays the platform's store.
class Store
{
public:
  /// Time of an answer.
  static constexpr milliseconds kAnswerTime{ 4 };

  explicit Store(Record& aRecord)
    : mRecord(aRecord)
    , mPort(FreePort())
    , mListener(TryListen(mPort))
  {
    std::thread([this] { Accept(); }).detach();
  }

  [[nodiscard]] int Port() const { return mPort; }

  /// Writes an object as the operator or a worker would, without the proxy.
  /// @return the time of the acknowledgement
  Clock::time_point Put(const std::string& aKind,
                        const std::string& aName,
                        const json& aSpec)
  {
    const std::scoped_lock lock(mMutex);
    auto& object = mObjects[aKind][aName];
    if (!object.is_object()) {
      object = { { "metadata",
                   { { "name", aName },
                     { "created", mRevision + 1 },
                     { "finalizers", json::array() },
                     { "deleting", false } } },
                 { "status", nullptr } };
    }
    object["spec"] = aSpec;
    Note(aKind, object, false);
    return Clock::now();
  }

  void Remove(const std::string& aKind, const std::string& aName)
  {
    const std::scoped_lock lock(mMutex);
    Erase(aKind, aName);
  }

  /// Cuts off all watches that are waiting; new calls work.
  void CutWatches()
  {
    const std::scoped_lock lock(mMutex);
    ++mCuts;
    mChanged.notify_all();
  }

  /// Waits until the store has answered a call that begins so.
  bool AwaitAnswer(const std::string& aCall, milliseconds aLimit)
  {
    std::unique_lock lock(mMutex);
    const auto before = mAnswered[aCall];
    return mChanged.wait_for(
      lock, aLimit, [&] { return mAnswered[aCall] > before; });
  }

private:
  struct Event
  {
    std::string mKind;
    std::int64_t mRevision = 0;
    json mBody;
  };

  struct Answer
  {
    int mStatus = 200;
    json mBody = json::object();
  };

  void Note(const std::string& aKind, json& aObject, bool aDeleted)
  {
    aObject["metadata"]["revision"] = ++mRevision;
    mEvents.push_back(
      { aKind, mRevision, { { "object", aObject }, { "deleted", aDeleted } } });
    mChanged.notify_all();
  }

  bool Erase(const std::string& aKind, const std::string& aName)
  {
    auto& objects = mObjects[aKind];
    const auto found = objects.find(aName);
    if (found == objects.end()) {
      return false;
    }
    auto object = found->second;
    objects.erase(found);
    Note(aKind, object, true);
    return true;
  }

  void Accept()
  {
    while (true) {
      const int handle = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle >= 0) {
        std::thread([this, handle] { Serve(handle); }).detach();
      }
    }
  }

  void Serve(int aHandle)
  {
    Reader reader(aHandle);
    while (true) {
      const auto request =
        reader.Read(Clock::now() + std::chrono::seconds(120));
      if (!request.mIsWhole) {
        break;
      }
      const auto target = request.Target();
      const auto question = target.find('?');
      const auto path = target.substr(0, question);
      const auto query =
        question == std::string::npos ? "" : target.substr(question);
      const auto rest = path.substr(std::string("/-/objects/").size());
      const auto slash = rest.find('/');
      const auto kind = rest.substr(0, slash);
      const auto name =
        slash == std::string::npos ? "" : rest.substr(slash + 1);
      const bool isWatch = query.find("watch=") != std::string::npos;
      std::this_thread::sleep_for(kAnswerTime);
      const auto answer =
        isWatch ? Watch(kind, query) : Call(request, kind, name);
      if (answer.mStatus == 0) {
        mRecord.Write("store: WATCH " + kind + " is cut off");
        break;
      }
      const auto body = answer.mBody.dump();
      const bool isSent =
        SendAll(aHandle,
                "HTTP/1.1 " + std::to_string(answer.mStatus) +
                  " X\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
      const auto call =
        (isWatch ? "WATCH" : request.Method()) + std::string(" ") + kind;
      mRecord.Write("store: " + call + " " + name + " " +
                    std::to_string(answer.mStatus));
      {
        const std::scoped_lock lock(mMutex);
        ++mAnswered[call];
      }
      mChanged.notify_all();
      if (!isSent) {
        break;
      }
    }
    ::close(aHandle);
  }

  static std::int64_t Number(const std::string& aQuery, const char* aName)
  {
    const auto at = aQuery.find(aName);
    return at == std::string::npos
             ? 0
             : std::atoll(aQuery.c_str() + at + std::string(aName).size());
  }

  Answer Watch(const std::string& aKind, const std::string& aQuery)
  {
    const auto from = Number(aQuery, "watch=");
    const auto until = Clock::now() + milliseconds(Number(aQuery, "wait_ms="));
    std::unique_lock lock(mMutex);
    json events = json::array();
    const auto cuts = mCuts;
    while (true) {
      if (cuts != mCuts) {
        return { 0, json::object() };
      }
      for (const auto& event : mEvents) {
        if (event.mKind == aKind && event.mRevision > from) {
          events.push_back(event.mBody);
        }
      }
      const bool isOver = !events.empty() || mChanged.wait_until(lock, until) ==
                                               std::cv_status::timeout;
      if (isOver) {
        break;
      }
    }
    return { 200, { { "events", events }, { "store_revision", mRevision } } };
  }

  Answer Call(const Message& aRequest,
              const std::string& aKind,
              const std::string& aName)
  {
    const std::scoped_lock lock(mMutex);
    auto& objects = mObjects[aKind];
    const auto method = aRequest.Method();
    if (method == "GET") {
      Answer answer{ 200,
                     { { "items", json::array() },
                       { "has_more", false },
                       { "store_revision", mRevision } } };
      for (const auto& [name, object] : objects) {
        answer.mBody["items"].push_back(object);
      }
      return answer;
    }
    if (method == "DELETE") {
      return { Erase(aKind, aName) ? 200 : 404, json::object() };
    }
    const auto body = json::parse(aRequest.mBody);
    if (method == "POST") {
      const auto name = body["metadata"]["name"].get<std::string>();
      if (objects.contains(name)) {
        return { 409, objects[name] };
      }
      auto& object = objects[name];
      object = body;
      object["status"] = nullptr;
      object["metadata"]["created"] = mRevision + 1;
      Note(aKind, object, false);
      return { 200, object };
    }
    const auto slash = aName.find('/');
    const auto found = objects.find(aName.substr(0, slash));
    if (found == objects.end()) {
      return { 404, json::object() };
    }
    auto& object = found->second;
    const auto wanted = body["metadata"].value("revision", json());
    if (!wanted.is_null() && wanted != object["metadata"]["revision"]) {
      return { 409, object };
    }
    const auto* const part = slash == std::string::npos ? "spec" : "status";
    if (object[part] != body.at(part)) {
      object[part] = body.at(part);
      Note(aKind, object, false);
    }
    return { 200, object };
  }

  Record& mRecord;
  int mPort;
  int mListener;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::int64_t mRevision = 5;
  int mCuts = 0; ///< times that the watches were cut off
  std::map<std::string, std::map<std::string, json>> mObjects;
  std::vector<Event> mEvents;
  std::map<std::string, int> mAnswered; ///< by method or WATCH, and kind
};

/// Passes connections on to a port; open ones can fall silent for good.
class Proxy
{
public:
  explicit Proxy(int aTarget)
    : mTarget(aTarget)
    , mPort(FreePort())
    , mListener(TryListen(mPort))
  {
    std::thread([this] { Accept(); }).detach();
  }

  [[nodiscard]] int Port() const { return mPort; }

  /// Makes all open connections silent, without a reset; new ones work.
  /// @return how many are open
  int SilenceOpenConnections()
  {
    const std::scoped_lock lock(mMutex);
    int open = 0;
    for (const auto& link : mLinks) {
      if (!link->mIsClosed && !link->mIsSilent.exchange(true)) {
        ++open;
      }
    }
    return open;
  }

private:
  struct Link
  {
    std::atomic<bool> mIsSilent{ false };
    std::atomic<bool> mIsClosed{ false };
  };

  void Accept()
  {
    while (true) {
      const int client = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client < 0) {
        continue;
      }
      const int server = Connect(mTarget);
      if (server < 0) {
        ::close(client);
        continue;
      }
      const auto link = std::make_shared<Link>();
      {
        const std::scoped_lock lock(mMutex);
        mLinks.push_back(link);
      }
      std::thread([=] { Pump(*link, client, server); }).detach();
    }
  }

  static void Pump(Link& aLink, int aClient, int aServer)
  {
    std::array<pollfd, 2> ends{
      pollfd{ .fd = aClient, .events = POLLIN, .revents = 0 },
      pollfd{ .fd = aServer, .events = POLLIN, .revents = 0 }
    };
    std::array<char, 65'536> bytes{};
    bool isOpen = true;
    while (isOpen) {
      ::poll(ends.data(), ends.size(), -1);
      for (std::size_t side = 0; isOpen && side < ends.size(); ++side) {
        if (ends.at(side).revents == 0) {
          continue;
        }
        const auto size =
          ::recv(ends.at(side).fd, bytes.data(), bytes.size(), 0);
        if (size <= 0) {
          // a silent connection hides the end of one side from the other
          ends.at(side).events = 0;
          isOpen = aLink.mIsSilent && side == 1;
          if (isOpen) {
            ends.at(side).fd = -1;
          }
        } else if (!aLink.mIsSilent) {
          isOpen = SendAll(
            ends.at(1 - side).fd,
            std::string_view(bytes.data(), static_cast<std::size_t>(size)));
        }
      }
    }
    aLink.mIsClosed = true;
    ::close(aClient);
    ::close(aServer);
  }

  int mTarget;
  int mPort;
  int mListener;
  std::mutex mMutex;
  std::list<std::shared_ptr<Link>> mLinks;
};

/// One request at a worker.
struct Run
{
  std::string mAttempt;
  std::string mWorker;
  Clock::time_point mArrivedAt;
  bool mIsCut = false; ///< the worker ended before its answer
};

/// Plays a worker of a plain service.
class Worker
{
public:
  struct Options
  {
    std::string mId;
    std::string mService;
    std::string mZone = "zone-a";
    std::string mVersion = "v1";
    int mSlots = 6;
    milliseconds mWork{ 30 };
  };

  Worker(Record& aRecord, Store& aStore, Options aOptions)
    : mRecord(aRecord)
    , mStore(aStore)
    , mOptions(std::move(aOptions))
    , mWorkMs(mOptions.mWork.count())
    , mPort(FreePort())
    , mListener(TryListen(mPort))
  {
    std::thread([this] { Accept(); }).detach();
    Register("ready");
  }

  void SetWork(milliseconds aWork) { mWorkMs = aWork.count(); }

  /// Reports that the worker leaves; all its answers say so too.
  Clock::time_point Drain()
  {
    mIsLeaving = true;
    return Register("draining");
  }

  /// Leaves without a report: the entry is removed, and all answers say so.
  Clock::time_point LeaveUnannounced()
  {
    mIsLeaving = true;
    mStore.Remove("servers", mOptions.mId);
    mRecord.Write("the entry of worker " + mOptions.mId + " is removed");
    return Clock::now();
  }

  /// Ends the worker at once: its connections break, its port is closed.
  void Stop()
  {
    const std::scoped_lock lock(mMutex);
    mHasEnded = true;
    ::shutdown(mListener, SHUT_RDWR);
    ::close(mListener);
    for (const int handle : mHandles) {
      const linger reset{ .l_onoff = 1, .l_linger = 0 };
      ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::shutdown(handle, SHUT_RDWR);
    }
    mRecord.Write("worker " + mOptions.mId + " ends");
  }

  std::vector<Run> Runs()
  {
    const std::scoped_lock lock(mMutex);
    return mRuns;
  }

private:
  Clock::time_point Register(const std::string& aState)
  {
    mRecord.Write("worker " + mOptions.mId + " registers as " + aState);
    return mStore.Put("servers",
                      mOptions.mId,
                      { { "service", mOptions.mService },
                        { "address", "127.0.0.1:" + std::to_string(mPort) },
                        { "zone", mOptions.mZone },
                        { "version", mOptions.mVersion },
                        { "slots", mOptions.mSlots },
                        { "state", aState },
                        { "cold_remaining_ms", 0 },
                        { "born", 1'790'000'000'000 },
                        { "seq", ++mSequence } });
  }

  void Accept()
  {
    while (!mHasEnded) {
      const int handle = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      const std::scoped_lock lock(mMutex);
      if (handle < 0 || mHasEnded) {
        continue;
      }
      mHandles.insert(handle);
      std::thread([this, handle] { Serve(handle); }).detach();
    }
  }

  void Serve(int aHandle)
  {
    Reader reader(aHandle);
    bool goesOn = true;
    while (goesOn) {
      const auto request =
        reader.Read(Clock::now() + std::chrono::seconds(120));
      goesOn = request.mIsWhole && Answer(aHandle, request);
    }
    const std::scoped_lock lock(mMutex);
    mHandles.erase(aHandle);
    ::close(aHandle);
  }

  bool Answer(int aHandle, const Message& aRequest)
  {
    const auto attempt = aRequest.Header("x-attempt-id");
    const std::string leaving = mIsLeaving ? "Server-Leaving: 1\r\n" : "";
    if (aRequest.Header("x-expected-instance") != mOptions.mId) {
      return SendAll(
        aHandle,
        "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + mOptions.mId +
          "\r\n" + leaving + "Content-Length: 0\r\n\r\n");
    }
    std::size_t index = 0;
    {
      const std::scoped_lock lock(mMutex);
      index = mRuns.size();
      mRuns.push_back({ attempt, mOptions.mId, Clock::now(), false });
    }
    mRecord.Write("worker " + mOptions.mId + " runs " + attempt + " " +
                  aRequest.Target());
    std::this_thread::sleep_for(milliseconds(mWorkMs.load()));
    const std::string body = "done by " + mOptions.mId + " for " + attempt;
    const bool isSent =
      !mHasEnded && SendAll(aHandle,
                            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
                              "\r\nX-Response-Signature: s-" + attempt +
                              "\r\n" + leaving + "Content-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!isSent) {
      const std::scoped_lock lock(mMutex);
      mRuns[index].mIsCut = true;
      mRecord.Write("worker " + mOptions.mId + " never answers " + attempt);
    }
    return isSent;
  }

  Record& mRecord;
  Store& mStore;
  Options mOptions;
  std::atomic<std::int64_t> mWorkMs;
  int mPort;
  int mListener;
  std::atomic<bool> mHasEnded{ false };
  std::atomic<bool> mIsLeaving{ false };
  int mSequence = 0;
  std::mutex mMutex;
  std::set<int> mHandles;
  std::vector<Run> mRuns;
};

/// Runs the program of the deploy file with settings of a small deployment.
class Ingress
{
public:
  Ingress(Record& aRecord, const std::string& aFolder, int aStorePort)
    : mRecord(aRecord)
    , mCallers(FreePort())
    , mReadiness(FreePort())
  {
    const auto address = [](int aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    const json zone = { { "name", "zone-a" }, { "region", "region" } };
    const json settings = { { "instance", "edge-1" },
                            { "failure_domain", "zone-a" },
                            { "failure_domains", json::array({ zone }) },
                            { "callers", address(mCallers) },
                            { "readiness", address(mReadiness) },
                            { "metrics", address(FreePort()) },
                            { "peers", address(FreePort()) },
                            { "store", address(aStorePort) },
                            { "memory_mb", 390 },
                            { "max_descriptors", 6150 },
                            { "grace_s", 8 },
                            { "revocation_ms", 5000 },
                            { "retry_share", 0.9 },
                            { "retry_slack", 58 },
                            { "retry_window_s", 10 },
                            { "session_ttl_s", 5 },
                            { "exposure_share", 0.15 },
                            { "exposure_slack", 30 } };
    const auto path = aFolder + "/settings.json";
    std::ofstream(path) << settings.dump(2);
    mBoot = "FIGSLIP_BOOT=" + path;
    mLog = aFolder + "/ingress.log";
    Start();
  }
  Ingress(const Ingress&) = delete;
  Ingress& operator=(const Ingress&) = delete;
  ~Ingress() { End(); }

  void End()
  {
    if (mProcess > 0) {
      ::kill(mProcess, SIGKILL);
      ::waitpid(mProcess, nullptr, 0);
      mProcess = -1;
    }
  }

  [[nodiscard]] int CallerPort() const { return mCallers; }

  bool AwaitReady()
  {
    const auto until = Clock::now() + std::chrono::seconds(15);
    while (Clock::now() < until) {
      const int handle = Connect(mReadiness);
      if (handle >= 0) {
        SendAll(handle, "GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto status =
          Reader(handle).Read(Clock::now() + std::chrono::seconds(1)).Status();
        ::close(handle);
        if (status == 200) {
          mRecord.Write("the machine is ready");
          return true;
        }
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

private:
  void Start()
  {
    static const char* const kProgram = "target/bin/figslip-ingress";
    std::array<char*, 2> arguments{ const_cast<char*>(kProgram), nullptr };
    std::array<char*, 2> environment{ mBoot.data(), nullptr };
    mProcess = ::fork();
    if (mProcess == 0) {
      // it ends with the case, also if that is killed
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(mLog.c_str(), O_CREAT | O_WRONLY, 0644);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      ::execve(kProgram, arguments.data(), environment.data());
      ::_exit(127);
    }
  }

  Record& mRecord;
  int mCallers;
  int mReadiness;
  std::string mBoot;
  std::string mLog;
  pid_t mProcess = -1;
};

/// One request of a client.
struct Sent
{
  std::string mAttempt;
  Clock::time_point mSentAt;
  int mStatus = 0;
  std::string mBody;
};

/// Sends a request on a new connection and reads the answer.
inline Sent
SendRequest(Record& aRecord,
            int aPort,
            const std::string& aMethod,
            const std::string& aPath,
            const std::string& aAttempt,
            milliseconds aPatience)
{
  Sent sent;
  sent.mAttempt = aAttempt;
  sent.mSentAt = Clock::now();
  const int handle = Connect(aPort);
  if (handle < 0) {
    return sent;
  }
  sent.mSentAt = Clock::now();
  const std::string length = aMethod == "GET" ? "" : "Content-Length: 4\r\n";
  SendAll(handle,
          aMethod + " " + aPath + " HTTP/1.1\r\nHost: app.example\r\n" +
            "X-Attempt-Id: " + aAttempt + "\r\nX-Deadline-Ms: " +
            std::to_string(aPatience.count()) + "\r\nX-Api-Key: key-1\r\n" +
            length + "\r\n" + (aMethod == "GET" ? "" : "body"));
  const auto answer = Reader(handle).Read(sent.mSentAt + aPatience);
  sent.mStatus = answer.Status();
  sent.mBody = answer.mBody;
  ::close(handle);
  aRecord.Write("client: " + aAttempt + " sent at " +
                std::to_string(aRecord.At(sent.mSentAt)) + " answered " +
                std::to_string(sent.mStatus) + " " + sent.mBody.substr(0, 60));
  return sent;
}

inline json
Route(const std::string& aName,
      const std::string& aPrefix,
      const std::string& aType,
      const std::string& aService,
      int aAttempts)
{
  return { { "name", aName },
           { "host", "app.example" },
           { "path_prefix", aPrefix },
           { "type", aType },
           { "timeout_ms", 1'000 },
           { "target_latency_ms", 150 },
           { "priority", 2 },
           { "service", aService },
           { "max_attempts", aAttempts },
           { "public", false },
           { "sticky", false },
           { "resumable", false } };
}

inline json
Configuration(int aVersion,
              const std::vector<json>& aRoutes,
              const std::vector<std::string>& aServices)
{
  json services = json::array();
  for (const auto& name : aServices) {
    services.push_back({ { "name", name },
                         { "health_path", "/healthz" },
                         { "max_connections", 110 },
                         { "cold_start_s", 0.0 },
                         { "cold_per_s", 0.0 } });
  }
  return { { "version", aVersion },
           { "routes", aRoutes },
           { "services", services },
           { "limits",
             { { "max_header_bytes", 16'384 },
               { "max_body_bytes", 4'194'304 },
               { "header_timeout_ms", 3'000 },
               { "idle_timeout_ms", 15'000 } } },
           { "tenants",
             json::array({ { { "name", "tenant-1" },
                             { "api_keys", json::array({ "key-1" }) },
                             { "priority", 1 } } }) } };
}

/// Tells whether the disruption is played; without it a case must pass.
inline bool
HasTrouble()
{
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

/// Ends the processes that a case has started, and the case.
[[noreturn]] inline void
Finish(Ingress& aIngress, int aEnd)
{
  aIngress.End();
  std::fflush(nullptr);
  ::_exit(aEnd);
}

} // namespace review
