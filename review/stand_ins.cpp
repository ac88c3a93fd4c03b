#include "stand_ins.hpp"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

const Clock::time_point kStart = Clock::now();

constexpr std::string_view kRoot = "/-/objects/";

sockaddr_in
AddressOf(const std::string& aAddress, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aAddress.c_str(), &address.sin_addr);
  return address;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto size =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

/// Reads more bytes.
/// @return false at the end of the connection or of the time
bool
ReadMore(int aSocket, std::string& aText, Clock::time_point aUntil)
{
  const auto left =
    std::chrono::duration_cast<Milliseconds>(aUntil - Clock::now()).count();
  pollfd descriptor{ .fd = aSocket, .events = POLLIN, .revents = 0 };
  if (left <= 0 || ::poll(&descriptor, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  std::array<char, 16'384> bytes{};
  const auto size = ::recv(aSocket, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  aText.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

bool
EqualNames(const std::string& aLeft, const std::string& aRight)
{
  return std::ranges::equal(aLeft, aRight, [](char aOne, char aOther) {
    return std::tolower(static_cast<unsigned char>(aOne)) ==
           std::tolower(static_cast<unsigned char>(aOther));
  });
}

/// Reads a message: its head and a body with a length or in chunks.
/// @param[in,out] aText bytes read and not used yet
std::optional<Message>
ReadMessage(int aSocket, std::string& aText, Clock::time_point aUntil)
{
  auto end = aText.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!ReadMore(aSocket, aText, aUntil)) {
      return std::nullopt;
    }
    end = aText.find("\r\n\r\n");
  }
  Message message;
  std::istringstream head(aText.substr(0, end + 2));
  aText.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  message.mStart = line.substr(0, line.find('\r'));
  while (std::getline(head, line)) {
    line = line.substr(0, line.find('\r'));
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.mHeaders.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
    }
  }
  if (EqualNames(message.Header("Transfer-Encoding"), "chunked")) {
    while (true) {
      auto lineEnd = aText.find("\r\n");
      while (lineEnd == std::string::npos) {
        if (!ReadMore(aSocket, aText, aUntil)) {
          return std::nullopt;
        }
        lineEnd = aText.find("\r\n");
      }
      const auto size = std::strtoul(aText.c_str(), nullptr, 16);
      const auto whole = lineEnd + 2 + size + 2;
      while (aText.size() < whole) {
        if (!ReadMore(aSocket, aText, aUntil)) {
          return std::nullopt;
        }
      }
      message.mBody.append(aText, lineEnd + 2, size);
      aText.erase(0, whole);
      if (size == 0) {
        return message;
      }
    }
  }
  const auto length =
    std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
  while (aText.size() < length) {
    if (!ReadMore(aSocket, aText, aUntil)) {
      return std::nullopt;
    }
  }
  message.mBody = aText.substr(0, length);
  aText.erase(0, length);
  return message;
}

/// Sends a body in chunks.
bool
SendPieces(int aSocket, const std::string& aHead, const Answer& aAnswer)
{
  if (!SendAll(aSocket, aHead + "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  for (const auto& piece : aAnswer.mPieces) {
    SleepFor(aAnswer.mPieceMs);
    std::ostringstream chunk;
    chunk << std::hex << piece.size() << "\r\n" << piece << "\r\n";
    if (!SendAll(aSocket, chunk.str())) {
      return false;
    }
  }
  return SendAll(aSocket, "0\r\n\r\n");
}

std::int64_t
Parameter(const std::string& aQuery,
          const std::string& aName,
          std::int64_t aFallback)
{
  const auto place = ("&" + aQuery).find("&" + aName + "=");
  return place == std::string::npos
           ? aFallback
           : std::atoll(aQuery.c_str() + place + aName.size() + 1);
}

/// Returns a text parameter of a query; names here need no decoding.
std::string
TextParameter(const std::string& aQuery, const std::string& aName)
{
  const auto query = "&" + aQuery;
  const auto place = query.find("&" + aName + "=");
  if (place == std::string::npos) {
    return "";
  }
  const auto begin = place + aName.size() + 2;
  return query.substr(begin, query.find('&', begin) - begin);
}

} // namespace

long long
Now()
{
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - kStart)
    .count();
}

void
SleepFor(long long aMilliseconds)
{
  std::this_thread::sleep_for(Milliseconds(std::max(0LL, aMilliseconds)));
}

void
SleepUntil(long long aNow)
{
  SleepFor(aNow - Now());
}

bool
HasTrouble()
{
  const char* const trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

Record::Record(const std::string& aPath)
  : mFile(::open(aPath.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0644))
{
  if (mFile < 0) {
    throw std::runtime_error("cannot write " + aPath);
  }
}

Record::~Record()
{
  ::close(mFile);
}

void
Record::Write(const std::string& aLine)
{
  const std::scoped_lock lock(mMutex);
  const auto line = std::to_string(Now()) + " ms " + aLine + "\n";
  if (::write(mFile, line.data(), line.size()) < 0) {
    std::cerr << "the record cannot be written\n";
  }
}

std::string
Message::Header(const std::string& aName) const
{
  const auto found = std::ranges::find_if(mHeaders, [&](const auto& aHeader) {
    return EqualNames(aHeader.first, aName);
  });
  return found == mHeaders.end() ? "" : found->second;
}

std::string
Message::Method() const
{
  return mStart.substr(0, mStart.find(' '));
}

std::string
Message::Target() const
{
  const auto begin = mStart.find(' ') + 1;
  return mStart.substr(begin, mStart.find(' ', begin) - begin);
}

int
Message::Status() const
{
  return mStart.starts_with("HTTP/") ? std::atoi(mStart.c_str() + 9) : 0;
}

Server::Server(std::string aAddress, Handler aHandler)
  : mAddress(std::move(aAddress))
  , mHandler(std::move(aHandler))
{
  Open();
}

Server::~Server()
{
  mIsEnding = true;
  Close();
  while (mThreads > 0) {
    SleepFor(1);
  }
}

std::string
Server::Place() const
{
  return mAddress + ":" + std::to_string(mPort);
}

void
Server::Open()
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (mPort == 0) {
    mPort = FreePort(mAddress);
  }
  const auto address = AddressOf(mAddress, mPort);
  if (::bind(listener,
             reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, 256) != 0) {
    ::close(listener);
    throw std::runtime_error("cannot listen at " + Place());
  }
  mListener = listener;
  mIsClosed = false;
  if (mAcceptor.joinable()) {
    mAcceptor.join();
  }
  mAcceptor = std::thread([this] { Accept(); });
}

void
Server::Close()
{
  if (mIsClosed.exchange(true)) {
    return;
  }
  ::shutdown(mListener, SHUT_RDWR);
  if (mAcceptor.joinable()) {
    mAcceptor.join();
  }
  ::close(mListener.exchange(-1));
  const std::scoped_lock lock(mMutex);
  for (const int socket : mSockets) {
    ::shutdown(socket, SHUT_RDWR);
  }
}

void
Server::Accept()
{
  while (!mIsClosed) {
    const int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (!mIsClosed) {
        SleepFor(1);
      }
      continue;
    }
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::scoped_lock lock(mMutex);
      mSockets.insert(socket);
    }
    ++mThreads;
    std::thread([this, socket] {
      Serve(socket);
      {
        const std::scoped_lock lock(mMutex);
        mSockets.erase(socket);
      }
      ::close(socket);
      --mThreads;
    }).detach();
  }
}

void
Server::Serve(int aSocket)
{
  std::string text;
  while (!mIsClosed) {
    const auto request =
      ReadMessage(aSocket, text, Clock::now() + std::chrono::seconds(60));
    if (!request) {
      return;
    }
    const auto answer = mHandler(*request);
    if (mIsClosed) {
      return;
    }
    std::string bytes =
      "HTTP/1.1 " + std::to_string(answer.mStatus) + " Answer\r\n";
    for (const auto& [name, value] : answer.mHeaders) {
      bytes += name + ": " + value + "\r\n";
    }
    if (!answer.mPieces.empty()) {
      if (!SendPieces(aSocket, bytes, answer)) {
        return;
      }
      continue;
    }
    bytes +=
      "Content-Length: " + std::to_string(answer.mBody.size()) + "\r\n\r\n";
    bytes += answer.mBody;
    if (!SendAll(aSocket, bytes)) {
      return;
    }
  }
}

Store::Store(Record& aRecord)
  : mRecord(aRecord)
{
  mState.mRevision = 100;
  mServer = std::make_unique<Server>(
    "127.0.0.1", [this](const Message& aRequest) { return Handle(aRequest); });
}

std::int64_t
Store::Revision()
{
  const std::scoped_lock lock(mMutex);
  return mState.mRevision;
}

Store::Copy
Store::TakeCopy()
{
  const std::scoped_lock lock(mMutex);
  mRecord.Write("store: the copy is of revision " +
                std::to_string(mState.mRevision));
  return mState;
}

void
Store::GoAway()
{
  mRecord.Write("store: away");
  mServer->Close();
  mChanged.notify_all();
}

void
Store::ComeBack(const Copy& aCopy)
{
  {
    const std::scoped_lock lock(mMutex);
    mRecord.Write("store: back from the copy, revision " +
                  std::to_string(mState.mRevision) + " -> " +
                  std::to_string(aCopy.mRevision));
    mState = aCopy;
    ++mEra;
  }
  mServer->Open();
}

void
Store::ComeBack()
{
  mRecord.Write("store: back");
  mServer->Open();
}

void
Store::Note(const std::string& aKind, const json& aObject, bool aIsDeleted)
{
  ++mState.mRevision;
  mState.mEvents.push_back(
    { { "kind", aKind },
      { "revision", mState.mRevision },
      { "event", { { "object", aObject }, { "deleted", aIsDeleted } } } });
  mChanged.notify_all();
}

std::int64_t
Store::Put(const std::string& aKind,
           const std::string& aName,
           const json& aSpec)
{
  const std::scoped_lock lock(mMutex);
  auto& object = mState.mObjects[aKind][aName];
  if (object.is_object() && object["spec"] == aSpec) {
    return mState.mRevision;
  }
  const auto next = mState.mRevision + 1;
  if (!object.is_object()) {
    object = { { "metadata",
                 { { "name", aName },
                   { "created", next },
                   { "finalizers", json::array() },
                   { "deleting", false } } },
               { "status", nullptr } };
  }
  object["spec"] = aSpec;
  object["metadata"]["revision"] = next;
  Note(aKind, object, false);
  mRecord.Write("store: " + aKind + "/" + aName + " written, revision " +
                std::to_string(next));
  return next;
}

void
Store::Remove(const std::string& aKind, const std::string& aName)
{
  const std::scoped_lock lock(mMutex);
  auto& objects = mState.mObjects[aKind];
  const auto found = objects.find(aName);
  if (found != objects.end()) {
    auto object = found->second;
    objects.erase(found);
    object["metadata"]["revision"] = mState.mRevision + 1;
    Note(aKind, object, true);
    mRecord.Write("store: " + aKind + "/" + aName + " removed, revision " +
                  std::to_string(mState.mRevision));
  }
}

Answer
Store::Handle(const Message& aRequest)
{
  const auto target = aRequest.Target();
  const auto question = target.find('?');
  auto path = target.substr(0, question);
  const auto query =
    question == std::string::npos ? "" : target.substr(question + 1);
  Answer answer{ .mStatus = 404, .mHeaders = {}, .mBody = "{}" };
  if (path.starts_with(kRoot)) {
    path.erase(0, kRoot.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? "" : path.substr(slash + 1);
    std::string part = "spec";
    if (name.ends_with("/status")) {
      name.erase(name.size() - 7);
      part = "status";
    }
    answer = aRequest.Method() == "GET"
               ? Read(kind, name, query)
               : Write(aRequest, kind, name, part, query);
  }
  answer.mHeaders.emplace_back("Content-Type", "application/json");
  const std::scoped_lock lock(mMutex);
  answer.mHeaders.emplace_back("Store-Era", std::to_string(mEra));
  return answer;
}

Answer
Store::Read(const std::string& aKind,
            const std::string& aName,
            const std::string& aQuery)
{
  const auto watch = Parameter(aQuery, "watch", -1);
  if (watch >= 0) {
    return Watch(
      aKind, watch, static_cast<long>(Parameter(aQuery, "wait_ms", 0)));
  }
  const std::scoped_lock lock(mMutex);
  const auto& objects = mState.mObjects[aKind];
  if (!aName.empty()) {
    const auto found = objects.find(aName);
    if (found == objects.end()) {
      return { .mStatus = 404, .mHeaders = {}, .mBody = "{}" };
    }
    return { .mStatus = 200, .mHeaders = {}, .mBody = found->second.dump() };
  }
  json page = { { "items", json::array() },
                { "has_more", false },
                { "store_revision", mState.mRevision } };
  const auto after = TextParameter(aQuery, "after");
  for (const auto& [name, object] : objects) {
    if (name > after) {
      page["items"].push_back(object);
    }
  }
  return { .mStatus = 200, .mHeaders = {}, .mBody = page.dump() };
}

Answer
Store::Watch(const std::string& aKind, std::int64_t aFrom, long aWait)
{
  const auto until = Clock::now() + Milliseconds(std::min(aWait, 30'000L));
  std::unique_lock lock(mMutex);
  while (true) {
    if (aFrom > mState.mRevision) {
      return { .mStatus = 410, .mHeaders = {}, .mBody = "{}" };
    }
    json answer = { { "events", json::array() },
                    { "store_revision", mState.mRevision } };
    for (const auto& event : mState.mEvents) {
      if (event["kind"] == aKind && event["revision"] > aFrom) {
        answer["events"].push_back(event["event"]);
      }
    }
    const bool isOver =
      !answer["events"].empty() || Clock::now() >= until || mServer->IsClosed();
    if (isOver) {
      return { .mStatus = 200, .mHeaders = {}, .mBody = answer.dump() };
    }
    mChanged.wait_until(lock, until);
  }
}

Answer
Store::Write(const Message& aRequest,
             const std::string& aKind,
             const std::string& aName,
             const std::string& aPart,
             const std::string& aQuery)
{
  const std::scoped_lock lock(mMutex);
  auto& objects = mState.mObjects[aKind];
  const auto body = json::parse(aRequest.mBody, nullptr, false);
  const auto next = mState.mRevision + 1;
  const auto done = [&](const std::string& aName, const std::string& aWhat) {
    mRecord.Write("store: " + aKind + "/" + aName + " " + aWhat +
                  " by the system, revision " +
                  std::to_string(mState.mRevision));
  };
  if (aRequest.Method() == "DELETE") {
    const auto found = objects.find(aName);
    if (found == objects.end()) {
      return { .mStatus = 404, .mHeaders = {}, .mBody = "{}" };
    }
    const auto wanted = Parameter(aQuery, "revision", -1);
    if (wanted >= 0 && found->second["metadata"]["revision"] != wanted) {
      return { .mStatus = 409, .mHeaders = {}, .mBody = found->second.dump() };
    }
    auto object = found->second;
    objects.erase(found);
    object["metadata"]["revision"] = next;
    Note(aKind, object, true);
    done(aName, "removed");
    return { .mStatus = 200, .mHeaders = {}, .mBody = object.dump() };
  }
  if (!body.is_object() || !body.contains("metadata")) {
    return { .mStatus = 400, .mHeaders = {}, .mBody = "{}" };
  }
  if (aRequest.Method() == "POST") {
    const std::string name = body["metadata"].value("name", "");
    if (objects.contains(name)) {
      return { .mStatus = 409, .mHeaders = {}, .mBody = objects[name].dump() };
    }
    json object = { { "metadata",
                      { { "name", name },
                        { "revision", next },
                        { "created", next },
                        { "finalizers", json::array() },
                        { "deleting", false } } },
                    { "spec", body.value("spec", json()) },
                    { "status", nullptr } };
    objects[name] = object;
    Note(aKind, object, false);
    done(name, "created");
    return { .mStatus = 200, .mHeaders = {}, .mBody = object.dump() };
  }
  const auto found = objects.find(aName);
  if (found == objects.end()) {
    return { .mStatus = 404, .mHeaders = {}, .mBody = "{}" };
  }
  auto& object = found->second;
  const auto wanted = body["metadata"].value("revision", json());
  if (!wanted.is_null() && wanted != object["metadata"]["revision"]) {
    return { .mStatus = 409, .mHeaders = {}, .mBody = object.dump() };
  }
  const auto& value = body.value(aPart, json());
  if (object[aPart] != value) {
    object[aPart] = value;
    object["metadata"]["revision"] = next;
    Note(aKind, object, false);
    done(aName, aPart + " replaced");
  }
  return { .mStatus = 200, .mHeaders = {}, .mBody = object.dump() };
}

Worker::Worker(Record& aRecord, Options aOptions)
  : mRecord(aRecord)
  , mOptions(std::move(aOptions))
  , mBorn(std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count())
{
  mServer = std::make_unique<Server>(
    "127.0.0.1", [this](const Message& aRequest) { return Handle(aRequest); });
}

json
Worker::Entry(const std::string& aState) const
{
  return { { "service", mOptions.mService },
           { "address", mServer->Place() },
           { "zone", mOptions.mZone },
           { "version", mOptions.mVersion },
           { "slots", mOptions.mSlots },
           { "state", aState },
           { "cold_remaining_ms", 0 },
           { "born", mBorn },
           { "seq", 1 } };
}

std::vector<Worker::Run>
Worker::Runs()
{
  const std::scoped_lock lock(mMutex);
  return mRuns;
}

Answer
Worker::Handle(const Message& aRequest)
{
  const auto attempt = aRequest.Header("X-Attempt-Id");
  const auto expected = aRequest.Header("X-Expected-Instance");
  if (aRequest.Target() == "/healthz") {
    return { .mStatus = 200,
             .mHeaders = { { "X-Instance-Id", mOptions.mId } },
             .mBody = "" };
  }
  if (!expected.empty() && expected != mOptions.mId) {
    return { .mStatus = 421,
             .mHeaders = { { "X-Instance-Id", mOptions.mId } },
             .mBody = "" };
  }
  {
    const std::scoped_lock lock(mMutex);
    mRuns.push_back({ .mAt = Now(),
                      .mAttempt = attempt,
                      .mTenant = aRequest.Header("X-Tenant"),
                      .mTarget = aRequest.Target() });
  }
  mRecord.Write("worker " + mOptions.mId + " of " + mOptions.mService +
                ": runs " + attempt + ", X-Tenant \"" +
                aRequest.Header("X-Tenant") + "\"");
  SleepFor(mOptions.mWorkMs);
  Answer answer{ .mStatus = 200,
                 .mHeaders = { { "X-Attempt-Id", attempt },
                               { "X-Response-Signature",
                                 "s." + mOptions.mId + "." + attempt },
                               { "X-Server-Load",
                                 "1,0," + std::to_string(mOptions.mSlots) } },
                 .mBody = "answer of " + mOptions.mId + "\n" };
  if (mOptions.mEvents > 0) {
    answer.mHeaders.emplace_back("Content-Type", "text/event-stream");
    answer.mPieceMs = mOptions.mEventMs;
    for (int event = 1; event <= mOptions.mEvents; ++event) {
      answer.mPieces.push_back("id: " + std::to_string(event) +
                               "\ndata: some words\n\n");
    }
  }
  if (mOptions.mStreams) {
    answer.mHeaders.emplace_back("Content-Type", "text/event-stream");
    answer.mHeaders.emplace_back("X-Weight-Versions", "1");
    answer.mBody = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
  }
  return answer;
}

Instance::Instance(Options aOptions)
  : mOptions(std::move(aOptions))
{
  const std::string address = "127.0.0.1";
  const auto place = [&](int aPort) {
    return address + ":" + std::to_string(aPort);
  };
  mCallerPort = FreePort(address);
  mReadinessPort = FreePort(address);
  auto zones = json::array();
  for (const auto& zone : mOptions.mZones) {
    zones.push_back({ { "name", zone }, { "region", "r" } });
  }
  // as the template of the deploy file gives them for the smaller site
  const json settings = { { "instance", mOptions.mName },
                          { "failure_domain", mOptions.mZone },
                          { "failure_domains", zones },
                          { "callers", place(mCallerPort) },
                          { "readiness", place(mReadinessPort) },
                          { "metrics", place(FreePort(address)) },
                          { "peers", place(FreePort(address)) },
                          { "demand_exchange", place(FreePort(address)) },
                          { "store", mOptions.mStore },
                          { "memory_mb", mOptions.mMemoryMb },
                          { "max_descriptors", mOptions.mMaxDescriptors },
                          { "grace_s", 8 },
                          { "upstream_heartbeat_ms", 1200 },
                          { "revocation_ms", 5000 },
                          { "retry_share", 0.9 },
                          { "retry_slack", 56 },
                          { "retry_window_s", 10 },
                          { "session_ttl_s", 5 },
                          { "exposure_share", 0.15 },
                          { "exposure_slack", 30 },
                          { "platform_contracts", mOptions.mContracts } };
  std::ofstream(mOptions.mFolder + "/" + mOptions.mName + ".json")
    << settings.dump(2) << '\n';
  Start();
}

Instance::~Instance()
{
  Kill();
}

void
Instance::Start()
{
  // the command of the deploy file, run in the root of the repository
  const std::string path = "target/bin/figslip-ingress";
  const char* const root = std::getenv("FIGSLIP_ROOT");
  const auto settings = mOptions.mFolder + "/" + mOptions.mName + ".json";
  const auto log = mOptions.mFolder + "/" + mOptions.mName + ".log";
  const auto parent = ::getpid();
  mId = ::fork();
  if (mId == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent || ::chdir(root == nullptr ? "." : root) != 0) {
      ::_exit(127);
    }
    ::setenv("FIGSLIP_BOOT", settings.c_str(), 1);
    const int file =
      ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execl(path.c_str(), path.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  if (mId < 0) {
    throw std::runtime_error("cannot start a process");
  }
}

bool
Instance::IsRunning()
{
  if (mId > 0 && ::waitpid(mId, nullptr, WNOHANG) == mId) {
    mId = -1;
  }
  return mId > 0;
}

bool
Instance::WaitForReady(long long aPatience)
{
  const auto until = Now() + aPatience;
  while (Now() < until && IsRunning()) {
    const auto answer = Exchange(
      mReadinessPort, "GET /-/readyz HTTP/1.1\r\nHost: p\r\n\r\n", 500);
    if (answer.Status() == 200) {
      return true;
    }
    SleepFor(20);
  }
  return false;
}

double
Instance::MemoryMb() const
{
  std::ifstream status("/proc/" + std::to_string(mId) + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atof(line.c_str() + 6) / 1024.0;
    }
  }
  return 0.0;
}

void
Instance::Signal(int aSignal) const
{
  if (mId > 0) {
    ::kill(mId, aSignal);
  }
}

void
Instance::Kill()
{
  if (mId > 0) {
    ::kill(mId, SIGKILL);
    ::waitpid(mId, nullptr, 0);
    mId = -1;
  }
}

Message
Exchange(int aPort, const std::string& aBytes, long long aPatience)
{
  const auto until = Clock::now() + Milliseconds(aPatience);
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = AddressOf("127.0.0.1", aPort);
  Message answer;
  std::string text;
  if (::connect(socket,
                reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0 &&
      SendAll(socket, aBytes)) {
    answer = ReadMessage(socket, text, until).value_or(Message{});
  }
  ::close(socket);
  return answer;
}

std::string
FormatCall(const std::string& aMethod,
           const std::string& aTarget,
           const std::string& aAttempt,
           const std::string& aKey,
           const std::string& aMore)
{
  auto text = aMethod + " " + aTarget + " HTTP/1.1\r\n";
  text += "Host: figslip.example\r\n";
  text += "X-Attempt-Id: " + aAttempt + "\r\n";
  if (!aKey.empty()) {
    text += "X-Api-Key: " + aKey + "\r\n";
  }
  text += aMore;
  if (aMethod == "POST") {
    text += "Content-Length: 4\r\n\r\nbody";
    return text;
  }
  return text + "\r\n";
}

int
FreePort(const std::string& aAddress)
{
  static std::mutex sMutex;
  static std::set<int> sGiven;
  static std::mt19937 sRandom(std::random_device{}());
  const std::scoped_lock lock(sMutex);
  // below the range from which the system takes the ports of connections
  std::uniform_int_distribution ports(16'000, 30'000);
  for (int attempt = 0; attempt < 1'000; ++attempt) {
    const int port = ports(sRandom);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = AddressOf(aAddress, port);
    const bool isFree = ::bind(socket,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address)) == 0;
    ::close(socket);
    if (isFree && sGiven.insert(port).second) {
      return port;
    }
  }
  throw std::runtime_error("no free port");
}

TemporaryFolder::TemporaryFolder()
{
  const char* const base = std::getenv("TMPDIR");
  auto path =
    std::string(base == nullptr ? "/tmp" : base) + "/figslip-review-XXXXXX";
  if (::mkdtemp(path.data()) == nullptr) {
    throw std::runtime_error("no temporary folder");
  }
  mPath = path;
}

TemporaryFolder::~TemporaryFolder()
{
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored; // a file that stays harms nothing
    std::filesystem::remove_all(mPath, ignored);
  } else {
    std::cerr << "kept " << mPath << '\n';
  }
}

int
RunCase(const std::function<int()>& aCase)
{
  std::signal(SIGPIPE, SIG_IGN);
  try {
    return aCase();
  } catch (const std::exception& error) {
    std::cerr << "the case could not run: " << error.what() << '\n';
    return 2;
  }
}

} // namespace review
