#include <harness/ingress_world.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <random>
#include <set>
#include <stdexcept>
#include <thread>

namespace figslip::test {

namespace {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

/// Names of services.
constexpr const char* kEngines = "engines";
constexpr const char* kLookups = "lookups";

constexpr auto kReadyPatience = std::chrono::seconds(10);
constexpr auto kPoll = std::chrono::milliseconds(1);

sockaddr_in
Loopback(int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Keeps a port from other test programs until the claim is destroyed.
/// @return null if another one has it
IngressWorld::PortClaim
ClaimPort(int aPort)
{
  const auto path = std::filesystem::temp_directory_path() /
                    ("figslip-port-" + std::to_string(aPort));
  constexpr mode_t kMode = 0666;
  const int file = ::open(path.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, kMode);
  if (file < 0) {
    return nullptr;
  }
  if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
    ::close(file);
    return nullptr;
  }
  return { nullptr, [file](void*) { ::close(file); } };
}

/// Finds a port that is free now. It is outside the range from which the system
/// takes the ports of connections, so that none of those takes it before an
/// instance listens.
int
FreePort(std::vector<IngressWorld::PortClaim>& aClaims)
{
  constexpr int kFirstPort = 16'000;
  constexpr int kLastPort = 30'000;
  constexpr int kTries = 100;
  static std::mt19937 sRandom(std::random_device{}());
  std::uniform_int_distribution ports(kFirstPort, kLastPort);
  for (int attempt = 0; attempt < kTries; ++attempt) {
    const int port = ports(sRandom);
    auto claim = ClaimPort(port);
    if (claim.use_count() == 0) {
      continue;
    }
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = Loopback(port);
    const bool isFree = ::bind(descriptor,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address)) == 0;
    ::close(descriptor);
    if (isFree) {
      aClaims.push_back(std::move(claim));
      return port;
    }
  }
  throw std::runtime_error("no free port on loopback");
}

/// Reads until a time; returns whether the other side closed.
bool
ReadUntil(int aDescriptor,
          Clock::time_point aUntil,
          std::string& aText,
          const std::function<bool()>& aIsDone)
{
  while (!aIsDone() && Clock::now() < aUntil) {
    pollfd descriptor{ .fd = aDescriptor, .events = POLLIN, .revents = 0 };
    if (::poll(&descriptor, 1, 20) <= 0) {
      continue;
    }
    std::array<char, 65'536> bytes; // filled by recv
    const auto size = ::recv(aDescriptor, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return true;
    }
    aText.append(bytes.data(), static_cast<std::size_t>(size));
  }
  return false;
}

/// Decodes the answer to a caller while its bytes arrive. Each byte is decoded
/// once: a caller that reads a long answer slowly holds up the stream, and with
/// it the slot of its upstream.
class AnswerDecoder
{
public:
  explicit AnswerDecoder(CallerAnswer& aAnswer)
    : mAnswer(aAnswer)
  {
  }

  /// Decodes what has been appended to a text since the last call.
  void Decode(const std::string& aText)
  {
    if (mNext == 0) {
      DecodeHead(aText);
    }
    if (mNext == 0 || mAnswer.mIsWhole) {
      return;
    }
    if (mIsChunked) {
      DecodeChunks(aText);
    } else {
      const auto size = std::min(aText.size() - mNext, mLength);
      mAnswer.mBody.append(aText, mNext, size);
      mNext += size;
      mLength -= size;
      mAnswer.mIsWhole = mLength == 0;
    }
    mAnswer.mHasExtra = mAnswer.mIsWhole && mNext < aText.size();
  }

private:
  void DecodeHead(const std::string& aText)
  {
    const auto end = aText.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const std::string_view lengthField = "Content-Length: ";
    mAnswer.mHead = aText.substr(0, end + 2);
    mAnswer.mStatus = std::atoi(mAnswer.mHead.c_str() + 9);
    mIsChunked = mAnswer.mHead.find("chunked") != std::string::npos;
    const auto length = mAnswer.mHead.find(lengthField);
    mLength =
      length == std::string::npos
        ? 0UL
        : std::strtoul(
            mAnswer.mHead.c_str() + length + lengthField.size(), nullptr, 10);
    mNext = end + 4;
  }

  /// Decodes whole chunks; the answer is whole with the last one.
  void DecodeChunks(const std::string& aText)
  {
    while (true) {
      const auto end = aText.find("\r\n", mNext);
      if (end == std::string::npos) {
        return;
      }
      const auto size = std::strtoul(aText.c_str() + mNext, nullptr, 16);
      const auto begin = end + 2;
      if (size == 0) {
        mAnswer.mIsWhole = aText.compare(begin, 2, "\r\n") == 0;
        mNext = mAnswer.mIsWhole ? begin + 2 : mNext;
        return;
      }
      if (aText.size() - begin < size + 2) {
        return;
      }
      mAnswer.mBody.append(aText, begin, size);
      mNext = begin + size + 2;
    }
  }

  CallerAnswer& mAnswer;
  std::size_t mNext = 0;   ///< first byte that is not decoded; 0: in the head
  std::size_t mLength = 0; ///< bytes of the body that are missing
  bool mIsChunked = false;
};

} // namespace

IngressWorld::IngressWorld(Options aOptions)
  : mOptions(std::move(aOptions))
{
  for (int number = 1; number <= mOptions.mEngines; ++number) {
    mEngineStarts.emplace_back(1);
    mEngines.push_back(
      std::make_unique<EngineStandIn>("e-" + std::to_string(number)));
    if (mOptions.mIsRelayed) {
      mEngineRelays.push_back(std::make_unique<Relay>(mEngines.back()->Port()));
    }
  }
  for (std::size_t index = 0; index < mEngines.size(); ++index) {
    PutEngine(index);
  }
  PutConfiguration({ "key-1" });
  mExchangePort = FreePort(mExchangeClaim);
  mHandOverPort = FreePort(mExchangeClaim);
  std::set<std::string> names(mOptions.mDomains.begin(),
                              mOptions.mDomains.end());
  names.insert(mOptions.mEngineDomain);
  auto domains = json::array();
  std::ranges::transform(
    names, std::back_inserter(domains), [](const auto& aName) {
      return json{ { "name", aName }, { "region", "r" } };
    });
  for (int number = 0; number < mOptions.mInstances; ++number) {
    const int storePort = MakeStorePort();
    Running running;
    running.mCallerPort = FreePort(running.mPortClaims);
    running.mReadinessPort = FreePort(running.mPortClaims);
    running.mMetricsPort = FreePort(running.mPortClaims);
    running.mPeersPort = FreePort(running.mPortClaims);
    const auto address = [](int aPort) {
      return "127.0.0.1:" + std::to_string(aPort);
    };
    const auto name = "entry-" + std::to_string(number);
    const auto& domain =
      mOptions.mDomains.at(mInstances.size() % mOptions.mDomains.size());
    const json settings = { { "instance", name },
                            { "failure_domain", domain },
                            { "failure_domains", domains },
                            { "callers", address(running.mCallerPort) },
                            { "readiness", address(running.mReadinessPort) },
                            { "metrics", address(running.mMetricsPort) },
                            { "peers", address(running.mPeersPort) },
                            { "store", address(storePort) },
                            { "memory_mb", mOptions.mMemoryMb },
                            { "max_descriptors", mOptions.mMaxDescriptors },
                            { "grace_s", 8 },
                            { "revocation_ms", 5000 },
                            { "retry_share", 0.9 },
                            { "retry_slack", 50 },
                            { "retry_window_s", 10 },
                            { "session_ttl_s", 5 },
                            { "exposure_share", 0.15 },
                            { "exposure_slack", 30 },
                            { "max_direct_publishers",
                              mOptions.mMaxDirectPublishers } };
    auto written = settings;
    const auto own = "127.0.0." + std::to_string(number + 1) + ":";
    if (mOptions.mOverloadControl || mOptions.mHandsOver) {
      written["peers"] = own + std::to_string(running.mPeersPort);
    }
    if (mOptions.mOverloadControl) {
      written["overload_control"] = true;
      written["demand_exchange"] = own + std::to_string(mExchangePort);
    }
    if (mOptions.mHandsOver) {
      written["hand_over"] = own + std::to_string(mHandOverPort);
    }
    running.mSettings = WriteTemporaryFile(name + ".json", written.dump());
    mInstances.push_back(std::move(running));
    Restart(static_cast<std::size_t>(number));
  }
}

int
IngressWorld::PortOfEngine(std::size_t aIndex) const
{
  return mEngineRelays.empty() ? mEngines.at(aIndex)->Port()
                               : mEngineRelays.at(aIndex)->Port();
}

int
IngressWorld::MakeStorePort()
{
  int port = mStore.Port();
  if (mOptions.mHasOwnRelays) {
    auto& relays = mOwnRelays.emplace_back();
    std::map<std::string, std::string> replacements;
    const auto quoted = [](int aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
    };
    for (std::size_t index = 0; index < mEngines.size(); ++index) {
      const int enginePort = PortOfEngine(index);
      relays.push_back(std::make_unique<Relay>(enginePort));
      replacements[quoted(enginePort)] = quoted(relays.back()->Port());
    }
    port = mStore.AddPort(std::move(replacements));
  }
  if (mOptions.mIsRelayed) {
    mStoreRelays.push_back(std::make_unique<Relay>(port));
    port = mStoreRelays.back()->Port();
  }
  return port;
}

void
IngressWorld::SetWayToEngines(std::size_t aInstance, Relay::Mode aMode)
{
  for (const auto& relay : mOwnRelays.at(aInstance)) {
    relay->SetMode(aMode);
  }
}

double
IngressWorld::PeakMemoryMb(std::size_t aIndex)
{
  constexpr double kKilobytes = 1024.0;
  constexpr std::string_view kPeak = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(Instance(aIndex).Id()) +
                       "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with(kPeak)) {
      return std::strtod(line.c_str() + kPeak.size(), nullptr) / kKilobytes;
    }
  }
  throw std::runtime_error("the process of the instance has ended");
}

int
IngressWorld::OpenSockets(std::size_t aIndex)
{
  const std::filesystem::directory_iterator descriptors(
    "/proc/" + std::to_string(Instance(aIndex).Id()) + "/fd");
  return static_cast<int>(
    std::ranges::count_if(descriptors, [](const auto& aEntry) {
      std::error_code closed; // it may have been closed since
      const auto target = std::filesystem::read_symlink(aEntry.path(), closed);
      return target.string().starts_with("socket:");
    }));
}

void
IngressWorld::Restart(std::size_t aIndex)
{
  Start(aIndex);
  if (!WaitForReady(aIndex)) {
    throw std::runtime_error("the instance did not become ready");
  }
}

void
IngressWorld::Start(std::size_t aIndex)
{
  auto& running = mInstances.at(aIndex);
  running.mProcess = std::make_unique<Process>(
    "figslip-ingress",
    std::vector<std::string>{ "--settings", running.mSettings });
  running.mProcess->DrainOutput();
}

bool
IngressWorld::WaitForListener(std::size_t aIndex)
{
  const auto until = Clock::now() + kReadyPatience;
  while (Clock::now() < until) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = Loopback(mInstances.at(aIndex).mCallerPort);
    const bool isOpen = ::connect(descriptor,
                                  reinterpret_cast<const sockaddr*>(&address),
                                  sizeof(address)) == 0;
    ::close(descriptor);
    if (isOpen) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

void
IngressWorld::ChangeSetting(std::size_t aIndex,
                            const std::string& aField,
                            const json& aValue)
{
  const auto& path = mInstances.at(aIndex).mSettings;
  std::ifstream file(path);
  auto settings = json::parse(file);
  settings[aField] = aValue;
  // a reader never sees half of it
  const auto next = path + ".next";
  std::ofstream(next) << settings.dump();
  std::filesystem::rename(next, path);
}

void
IngressWorld::MoveLookups()
{
  mHasMovedLookups = true;
  PutEngine(mEngines.size() - 1);
}

void
IngressWorld::PutConfiguration(const std::vector<std::string>& aKeys,
                               StoreStandIn& aStore)
{
  const auto route = [](const char* aName,
                        const char* aPrefix,
                        const char* aType,
                        int aAttempts,
                        const char* aService = kEngines) {
    return json{ { "name", aName },
                 { "host", "a.example" },
                 { "path_prefix", aPrefix },
                 { "type", aType },
                 { "timeout_ms", 4000 },
                 { "target_latency_ms", 400 },
                 { "target_gap_ms", 500 },
                 { "service", aService },
                 { "max_attempts", aAttempts },
                 { "resumable", std::string(aType) == "streaming" } };
  };
  auto accounts =
    json::array({ { { "name", "studio" }, { "api_keys", aKeys } } });
  if (!mOptions.mSchoolKey.empty()) {
    accounts.push_back(
      { { "name", "school" }, { "api_keys", { mOptions.mSchoolKey } } });
  }
  ++mVersion;
  aStore.Put(
    "config",
    "main",
    { { "version", mVersion },
      { "routes",
        { route("chat", "/chat/", "streaming", 3),
          route("booking", "/book/", "non_idempotent", 1),
          route("lookup",
                "/look/",
                "idempotent",
                3,
                mHasMovedLookups ? kLookups : kEngines) } },
      { "services", { { { "name", kEngines } }, { { "name", kLookups } } } },
      { "limits",
        { { "max_header_bytes", mOptions.mMaxHeaderBytes },
          { "max_body_bytes", mOptions.mMaxBodyBytes },
          { "header_timeout_ms", 500 },
          { "idle_timeout_ms", mOptions.mIdleTimeoutMs } } },
      { "tenants", accounts } });
}

void
IngressWorld::PutEngine(std::size_t aIndex,
                        const std::string& aState,
                        const std::string& aVersion,
                        StoreStandIn& aStore)
{
  const auto& engine = *mEngines.at(aIndex);
  const bool isMoved = mHasMovedLookups && aIndex + 1 == mEngines.size();
  const int port = PortOfEngine(aIndex);
  aStore.Put("servers",
             engine.Id(),
             { { "service", isMoved ? kLookups : kEngines },
               { "address", "127.0.0.1:" + std::to_string(port) },
               { "zone", mOptions.mEngineDomain },
               { "version", aVersion },
               { "slots", mOptions.mEngineSlots },
               { "state", aState },
               { "cold_remaining_ms", 0 },
               { "born", mEngineStarts.at(aIndex).load() },
               { "seq", mVersion } });
}

bool
IngressWorld::WaitForReady(std::size_t aIndex, bool aReady)
{
  const auto until = Clock::now() + kReadyPatience;
  while (Clock::now() < until) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = Loopback(mInstances.at(aIndex).mReadinessPort);
    std::string text;
    const bool isOpen = ::connect(descriptor,
                                  reinterpret_cast<const sockaddr*>(&address),
                                  sizeof(address)) == 0;
    if (isOpen) {
      const std::string question =
        "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
      ::send(descriptor, question.data(), question.size(), MSG_NOSIGNAL);
      ReadUntil(descriptor, Clock::now() + std::chrono::seconds(1), text, [&] {
        return text.find("\r\n\r\n") != std::string::npos;
      });
    }
    ::close(descriptor);
    const bool isReady = text.find(" 200 ") != std::string::npos;
    if (isReady == aReady) {
      return true;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

CallerAnswer
IngressWorld::SendRaw(std::size_t aIndex,
                      const std::string& aBytes,
                      std::chrono::milliseconds aPatience)
{
  CallerLink link(CallerPort(aIndex));
  return link.IsOpen() ? link.Exchange(aBytes, aPatience) : CallerAnswer{};
}

std::string
IngressWorld::FormatCall(const std::string& aMethod,
                         const std::string& aPath,
                         const std::string& aAttempt,
                         const std::string& aKey)
{
  const std::string body = aMethod == "POST" ? "body" : "";
  return aMethod + " " + aPath +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + aAttempt +
         "\r\nX-Deadline-Ms: 4000\r\nX-Api-Key: " + aKey +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

CallerAnswer
IngressWorld::Send(std::size_t aIndex,
                   const std::string& aMethod,
                   const std::string& aPath,
                   const std::string& aAttempt,
                   const std::string& aKey)
{
  return SendRaw(aIndex, FormatCall(aMethod, aPath, aAttempt, aKey));
}

CallerLink::CallerLink(int aPort)
  : mDescriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  const auto address = Loopback(aPort);
  mIsOpen = ::connect(mDescriptor,
                      reinterpret_cast<const sockaddr*>(&address),
                      sizeof(address)) == 0;
}

CallerLink::~CallerLink()
{
  ::close(mDescriptor);
}

CallerAnswer
CallerLink::Exchange(const std::string& aBytes,
                     std::chrono::milliseconds aPatience)
{
  CallerAnswer answer;
  AnswerDecoder decoder(answer);
  std::string text;
  ::send(mDescriptor, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  answer.mCloses = ReadUntil(mDescriptor, Clock::now() + aPatience, text, [&] {
    decoder.Decode(text);
    return answer.mIsWhole;
  });
  decoder.Decode(text);
  answer.mCloses = answer.mCloses ||
                   answer.mHead.find("Connection: close") != std::string::npos;
  return answer;
}

std::map<std::string, int>
IngressWorld::CountRuns()
{
  std::map<std::string, int> counts;
  for (const auto& engine : mEngines) {
    for (const auto& run : engine->Runs()) {
      const auto attempt = net::FindHeader(run.mHeaders, "X-Attempt-Id");
      ++counts[std::string(attempt.value_or(""))];
    }
  }
  return counts;
}

int
IngressWorld::RunsOf(const std::string& aAttempt)
{
  return CountRuns()[aAttempt];
}

} // namespace figslip::test
