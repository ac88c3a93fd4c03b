#include "deployment.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>

namespace review {

namespace {

using Json = nlohmann::json;

/// Interval at which a worker writes its entry.
constexpr auto kHeartbeat = milliseconds(1'200);

/// Time of silence after which the entry of a worker is removed.
constexpr auto kEntryLife = 3 * kHeartbeat;

/// Port of each kind on a machine; each machine has an address of its own.
constexpr int kFrontendPort = 8'227;
constexpr int kReadinessPort = 8'220;
constexpr int kControlPort = 8'229;
constexpr int kFirstInternalPort = 7'340;
constexpr int kLastInternalPort = 7'355;
constexpr int kMetricsPort = 9'464;

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

/// Finds a field by a path such as `a.b.0`.
Json
Find(const Json& aFields, const std::string& aPath)
{
  Json value = aFields;
  std::size_t from = 0;
  while (from <= aPath.size() && aPath != ".") {
    const auto end = std::min(aPath.find('.', from), aPath.size());
    const auto step = aPath.substr(from, end - from);
    if (value.is_object() && value.contains(step)) {
      value = Json(value[step]);
    } else if (value.is_array() && !step.empty() && std::isdigit(step[0])) {
      value = Json(value.at(std::strtoul(step.c_str(), nullptr, 10)));
    } else {
      return {};
    }
    from = end + 1;
  }
  return value;
}

std::string
ToText(const Json& aValue)
{
  if (aValue.is_null()) {
    return "";
  }
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

/// Fills in the placeholders of a text that has no sections.
std::string
RenderPlain(const std::string& aText,
            const Json& aFields,
            const std::string& aKey,
            bool aIsLast)
{
  std::string text;
  std::size_t from = 0;
  for (auto at = aText.find("{{"); at != std::string::npos;
       at = aText.find("{{", from)) {
    text += aText.substr(from, at - from);
    const auto end = aText.find("}}", at);
    auto name = aText.substr(at + 2, end - at - 2);
    from = end + 2;
    const auto isJson = name.ends_with("|json");
    name = name.substr(0, name.find('|'));
    if (name == "@") {
      text += aKey;
    } else if (name == ",") {
      text += aIsLast ? "" : ",";
    } else {
      const auto value = Find(aFields, name);
      text += isJson ? value.dump() : ToText(value);
    }
  }
  return text + aText.substr(from);
}

} // namespace

Json
MakeConfiguration(const ConfigurationOptions& aOptions)
{
  const auto route = [](const char* aName,
                        const char* aPrefix,
                        const char* aType,
                        int aTimeoutMs,
                        int aAttempts) {
    return Json{ { "name", aName },
                 { "host", "app.example" },
                 { "path_prefix", aPrefix },
                 { "type", aType },
                 { "timeout_ms", aTimeoutMs },
                 { "target_latency_ms", 150 },
                 { "priority", 2 },
                 { "service", "desk" },
                 { "max_attempts", aAttempts },
                 { "public", false } };
  };
  return {
    { "version", aOptions.mVersion },
    { "routes",
      { route("lookup", "/look/", "idempotent", aOptions.mTimeoutMs, 3),
        route("booking",
              "/book/",
              "non_idempotent",
              aOptions.mBookingTimeoutMs,
              3) } },
    { "services",
      { { { "name", "desk" },
          { "health_path", "/healthz" },
          { "max_connections", 370 },
          { "cold_start_s", aOptions.mColdStartSeconds },
          { "cold_per_s", aOptions.mColdPerSecond } } } },
    { "limits",
      { { "max_header_bytes", 16'384 },
        { "max_body_bytes", 4'194'304 },
        { "header_timeout_ms", 3'000 },
        { "idle_timeout_ms", 15'000 } } },
    { "tenants",
      { { { "name", "salon" }, { "api_keys", aOptions.mKeys } },
        { { "name", "school" }, { "api_keys", { "key-of-school" } } } } }
  };
}

std::string
Render(const std::string& aTemplate, const Json& aFields)
{
  std::string text;
  std::size_t from = 0;
  for (auto at = aTemplate.find("{{#"); at != std::string::npos;
       at = aTemplate.find("{{#", from)) {
    text += RenderPlain(aTemplate.substr(from, at - from), aFields, "", true);
    const auto end = aTemplate.find("}}", at);
    const auto name = aTemplate.substr(at + 3, end - at - 3);
    const auto close = aTemplate.find("{{/" + name + "}}", end);
    const auto body = aTemplate.substr(end + 2, close - end - 2);
    from = close + name.size() + 5;
    const auto list = Find(aFields, name);
    std::size_t index = 0;
    for (const auto& [key, value] : list.items()) {
      text += RenderPlain(body, value, key, ++index == list.size());
    }
  }
  return text + RenderPlain(aTemplate.substr(from), aFields, "", true);
}

std::string
FreeNetwork()
{
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution numbers(20, 240);
  constexpr int kTries = 100;
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const auto network = "127." + std::to_string(numbers(random)) + "." +
                         std::to_string(numbers(random)) + ".";
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(kFrontendPort);
    ::inet_pton(AF_INET, (network + "1").c_str(), &address.sin_addr);
    const bool isFree = ::bind(descriptor,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address)) == 0;
    ::close(descriptor);
    if (isFree) {
      return network;
    }
  }
  throw std::runtime_error("no free loopback network");
}

Record::Record(const std::string& aPath)
  : mFile(std::fopen(aPath.c_str(), "w"))
{
  if (mFile == nullptr) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

Record::~Record()
{
  std::fclose(mFile);
}

double
Record::Seconds() const
{
  return std::chrono::duration<double>(Clock::now() - mStart).count();
}

void
Record::Write(const std::string& aLine)
{
  const std::scoped_lock lock(mMutex);
  std::fprintf(mFile, "%8.3f %s\n", Seconds(), aLine.c_str());
  std::fflush(mFile);
}

Worker::Worker(Options aOptions,
               std::string aAddress,
               Store& aStore,
               Record& aRecord)
  : mOptions(std::move(aOptions))
  , mAddress(std::move(aAddress))
  , mStore(aStore)
  , mRecord(aRecord)
  , mColdUntil(Clock::now() + mOptions.mCold)
{
  mServer = std::make_unique<Server>(
    mAddress, 0, [this](const Message& aRequest) { return Serve(aRequest); });
  Beat();
  mBeat = std::thread([this] {
    auto next = Clock::now() + kHeartbeat;
    while (!mIsEnding) {
      std::this_thread::sleep_for(milliseconds(20));
      if (Clock::now() < next) {
        continue;
      }
      next = Clock::now() + kHeartbeat;
      if (mServer->IsUp()) {
        Beat();
      } else if (Clock::now() >= mCrashedAt + kEntryLife) {
        mStore.Remove("servers", mOptions.mId);
      }
    }
  });
}

Worker::~Worker()
{
  mIsEnding = true;
  mBeat.join();
}

void
Worker::Beat()
{
  milliseconds cold{};
  {
    const std::scoped_lock lock(mMutex);
    const auto left = mColdUntil - Clock::now();
    cold =
      std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(left));
    ++mSequence;
  }
  mStore.Put("servers",
             mOptions.mId,
             { { "service", mOptions.mService },
               { "address", mAddress + ":" + std::to_string(mServer->Port()) },
               { "zone", mOptions.mZone },
               { "version", mOptions.mVersion },
               { "slots", mOptions.mSlots },
               { "state", "ready" },
               { "cold_remaining_ms", cold.count() },
               { "seq", mSequence } });
}

std::vector<Worker::Run>
Worker::Runs()
{
  const std::scoped_lock lock(mMutex);
  return mRuns;
}

int
Worker::MostWhileCold()
{
  const std::scoped_lock lock(mMutex);
  return mMostWhileCold;
}

bool
Worker::IsTooMuch()
{
  const std::scoped_lock lock(mMutex);
  const auto now = Clock::now();
  if (now >= mColdUntil) {
    return false;
  }
  std::erase_if(mColdArrivals, [&](const auto& aAt) {
    return aAt + std::chrono::seconds(1) <= now;
  });
  mColdArrivals.push_back(now);
  const int count = static_cast<int>(mColdArrivals.size());
  mMostWhileCold = std::max(mMostWhileCold, count);
  return count > mOptions.mCrashAbove;
}

void
Worker::Crash()
{
  if (!mServer->IsUp()) {
    return;
  }
  mCrashedAt = Clock::now();
  ++mCrashes;
  mLost += mActive;
  mRecord.Write("worker " + mOptions.mId + " crashes with " +
                std::to_string(mActive) + " requests");
  mServer->SetUp(false);
}

std::string
Worker::Serve(const Message& aRequest)
{
  const auto request = aRequest.Header("X-Attempt-Id");
  if (aRequest.Header("X-Expected-Instance") != mOptions.mId) {
    return FormatAnswer(421, { { "X-Instance-Id", mOptions.mId } }, "");
  }
  ++mActive;
  const auto account = aRequest.Header("X-Tenant");
  {
    const std::scoped_lock lock(mMutex);
    mRuns.push_back({ request, account, Clock::now() });
  }
  mRecord.Write("worker " + mOptions.mId + " " + mOptions.mVersion + " runs " +
                request + " of " + account);
  if (IsTooMuch()) {
    Crash();
  }
  std::this_thread::sleep_for(mOptions.mWork);
  --mActive;
  const auto hash = std::hash<std::string>{}(request + mOptions.mId) % 1'000;
  const bool fails = static_cast<int>(hash) < mOptions.mFailures;
  const auto load =
    std::to_string(mActive) + ",0," + std::to_string(mOptions.mSlots);
  auto answer = FormatAnswer(fails ? 500 : 200,
                             { { "X-Attempt-Id", request },
                               { "X-Response-Signature", "s." + mOptions.mId },
                               { "X-Server-Load", load } },
                             "answer of " + mOptions.mId + " to " + request);
  if (aRequest.Word(0) == "HEAD") {
    answer.resize(answer.find("\r\n\r\n") + 4);
  }
  return answer;
}

Machine::Machine(std::string aName,
                 const Json& aFields,
                 const std::string& aFolder)
  : mName(std::move(aName))
  , mAddress(aFields.at("ip"))
  , mSettings(aFolder + "/" + mName + ".json")
  , mLog(aFolder + "/" + mName + ".log")
{
  const auto filled = Render(ReadFile("deploy/settings.json.in"), aFields);
  std::ofstream(mSettings) << filled;
}

Machine::~Machine()
{
  Kill();
}

void
Machine::Start()
{
  const auto variable = "FIGSLIP_BOOT=" + mSettings;
  mProcess = ::fork();
  if (mProcess != 0) {
    return;
  }
  ::prctl(PR_SET_PDEATHSIG, SIGKILL); // it ends with this program
  const int log =
    ::open(mLog.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  const char* const program = "target/bin/figslip-ingress";
  char* const arguments[] = { const_cast<char*>(program), nullptr };
  char* const environment[] = { const_cast<char*>(variable.c_str()),
                                const_cast<char*>("PATH=/usr/bin:/bin"),
                                const_cast<char*>("HOME=/tmp"),
                                nullptr };
  ::execve(program, arguments, environment);
  ::_exit(127);
}

void
Machine::Stop()
{
  constexpr int kGraceMs = 8'000;
  constexpr int kStepMs = 20;
  ::kill(mProcess, SIGTERM);
  for (int waited = 0; waited < kGraceMs; waited += kStepMs) {
    if (::waitpid(mProcess, nullptr, WNOHANG) == mProcess) {
      mProcess = -1;
      return;
    }
    std::this_thread::sleep_for(milliseconds(kStepMs));
  }
  Kill();
}

void
Machine::Kill()
{
  if (mProcess > 0) {
    ::kill(mProcess, SIGKILL);
    ::waitpid(mProcess, nullptr, 0);
    mProcess = -1;
  }
}

bool
Machine::AwaitReady(milliseconds aPatience) const
{
  const auto until = Clock::now() + aPatience;
  while (Clock::now() < until) {
    const auto link = Link::Connect(mAddress, kReadinessPort);
    if (link->IsOpen() &&
        link->Send("GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")) {
      const auto answer = link->Read(milliseconds(500));
      if (answer && answer->Status() == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

double
Machine::MemoryMb() const
{
  constexpr double kKilobytes = 1024.0;
  constexpr std::string_view kHeld = "VmRSS:";
  std::ifstream status("/proc/" + std::to_string(mProcess) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(kHeld)) {
      return std::strtod(line.c_str() + kHeld.size(), nullptr) / kKilobytes;
    }
  }
  return 0.0;
}

World::World(const std::string& aFolder, Options aOptions)
  : mFolder(aFolder)
  , mRecord(aFolder + "/record.txt")
  , mNetwork(FreeNetwork())
  , mStore(std::make_unique<Store>(mNetwork + "250"))
{
  std::string folder = "/tmp/figslip-review-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  mFolder = folder;
  auto zones = Json::object();
  for (const auto& zone : aOptions.mAllZones) {
    zones[zone] = "sul";
  }
  for (const auto& zone : aOptions.mZones) {
    const auto number = mMachines.size() + 1;
    const auto ip = mNetwork + std::to_string(number);
    const auto at = [&](int aPort) { return ip + ":" + std::to_string(aPort); };
    const auto name = "edge-" + zone + "-" + std::to_string(number);
    // as for a machine of sites/tesoura-sul.toml
    const Json fields = {
      { "node_name", name },
      { "role", "ingress" },
      { "machine_class", "edge" },
      { "ip", ip },
      { "zone", zone },
      { "region", "sul" },
      { "internal_ports", { kFirstInternalPort, kLastInternalPort } },
      { "heartbeat_ms", kHeartbeat.count() },
      { "contracts",
        { "base",
          "drain",
          "config",
          "cost",
          "retry",
          "recover",
          "engine",
          "stream",
          "tenants",
          "places",
          "platform",
          "rollout" } },
      { "zones", zones },
      { "listen",
        { { "frontend", at(kFrontendPort) },
          { "readiness", at(kReadinessPort) },
          { "control_plane", at(kControlPort) } } },
      { "limits", { { "memory_mb", 220 }, { "max_fds", 4'100 } } },
      { "bounds",
        { { "grace_s", 8 },
          { "revoke_ms", 5'000 },
          { "retry_budget_ratio", 0.9 },
          { "retry_budget_slack", 56 },
          { "budget_window_s", 10 },
          { "session_ttl_s", 5 },
          { "exposure_share", 0.15 },
          { "exposure_slack", 30 } } },
      { "platform",
        { { "address", mNetwork + "250:" + std::to_string(mStore->Port()) } } }
    };
    mMachines.push_back(std::make_unique<Machine>(name, fields, mFolder));
  }
  if (std::getenv("KEEP_LOGS") != nullptr) {
    mRecord.Write("machines write their logs to " + mFolder);
  }
}

World::~World()
{
  mMachines.clear();
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::error_code ignored; // nothing depends on it
    std::filesystem::remove_all(mFolder, ignored);
  }
}

Worker&
World::AddWorker(Worker::Options aOptions)
{
  mWorkers.push_back(
    std::make_unique<Worker>(std::move(aOptions),
                             mNetwork + std::to_string(100 + mWorkers.size()),
                             *mStore,
                             mRecord));
  return *mWorkers.back();
}

bool
World::StartMachines()
{
  mStart = Clock::now();
  for (const auto& machine : mMachines) {
    machine->Start();
  }
  const bool areReady =
    std::ranges::all_of(mMachines, [](const auto& aMachine) {
      return aMachine->AwaitReady(std::chrono::seconds(8));
    });
  mRecord.Write(areReady ? "all machines are ready"
                         : "a machine did not become ready");
  return areReady;
}

double
World::Seconds() const
{
  return std::chrono::duration<double>(Clock::now() - mStart).count();
}

void
World::SleepUntil(double aSeconds) const
{
  std::this_thread::sleep_until(mStart +
                                std::chrono::duration_cast<Clock::duration>(
                                  std::chrono::duration<double>(aSeconds)));
}

std::int64_t
World::Operate(const std::string& aKind,
               const std::string& aName,
               const Json& aSpec)
{
  const auto revision = mStore->Put(aKind, aName, aSpec);
  mRecord.Write("operator writes " + aKind + "/" + aName +
                (aSpec.contains("version")
                   ? " version " + aSpec["version"].dump()
                   : std::string()) +
                ", acknowledged with revision " + std::to_string(revision));
  return revision;
}

Client::Client(Options aOptions, const Machine& aMachine, Record& aRecord)
  : mOptions(std::move(aOptions))
  , mMachine(aMachine)
  , mRecord(aRecord)
  , mThread([this] { Run(); })
{
}

Client::~Client()
{
  mIsEnding = true;
  mThread.join();
}

std::vector<Client::Attempt>
Client::Attempts()
{
  const std::scoped_lock lock(mMutex);
  return mAttempts;
}

void
Client::Run()
{
  std::unique_ptr<Link> link;
  auto next = Clock::now();
  int number = 0;
  while (!mIsEnding) {
    next = std::max(next + mOptions.mInterval, Clock::now());
    const auto request = mOptions.mName + "-" + std::to_string(++number);
    const std::string body(mOptions.mMethod == "POST" ? mOptions.mBodyBytes : 0,
                           'b');
    const auto bytes =
      mOptions.mMethod + " " + mOptions.mPath + std::to_string(number) +
      " HTTP/1.1\r\nHost: " + mOptions.mHost + "\r\nX-Attempt-Id: " + request +
      "\r\nX-Deadline-Ms: " + std::to_string(mOptions.mDeadlineMs) +
      "\r\nX-Api-Key: " + mOptions.mKey +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!link || !link->IsOpen()) {
      link = Link::Connect(mMachine.Address(), kFrontendPort);
    }
    Attempt attempt{ .mRequest = request, .mSentAt = Clock::now() };
    if (link->IsOpen()) {
      const bool isSent = link->Send(bytes);
      const auto answer =
        isSent ? link->Read(milliseconds(mOptions.mDeadlineMs + 500))
               : std::nullopt;
      attempt.mStatus = answer ? answer->Status() : 0;
      mRecord.Write("client " + request + " with key " + mOptions.mKey +
                    " gets " + std::to_string(attempt.mStatus));
      if (!answer || answer->Header("Connection") == "close") {
        link.reset();
      }
    } else {
      mRecord.Write("client " + request + " cannot connect");
    }
    {
      const std::scoped_lock lock(mMutex);
      mAttempts.push_back(std::move(attempt));
    }
    std::this_thread::sleep_until(next);
  }
}

bool
HasTrouble()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string_view(trouble) != "0";
}

} // namespace review
