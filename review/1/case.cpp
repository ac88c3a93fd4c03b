// Workers answer before they have read a long body, and without a length. One
// of them crashes in the middle of an answer. The client gets the first part as
// a complete success.

#include "../world.hpp"

#include <cstdio>

namespace {

using namespace review;
using std::chrono::seconds;

/// Below max_body_bytes of the site, 4,194,304.
constexpr std::size_t kBodyBytes = 400'000;
/// As on Ethernet; loopback would send 64 KB in a packet and buffer megabytes.
constexpr int kSegmentBytes = 1'448;
/// A small receive window.
constexpr int kWindowBytes = 16'384;
/// Mean size of an answer at the site.
constexpr std::size_t kAnswerBytes = 800;
/// Time between the two parts of an answer, and from the begin of a run to the
/// crash.
constexpr milliseconds kPause{ 200 };
constexpr milliseconds kCrashAfter{ 100 };
/// One of these crashes: a share of 0.167.
constexpr int kWorkers = 6;
constexpr int kRequests = 6;

/// Plays a worker that answers early, with the end of its connection as the
/// end of the answer, and reads the rest of the body afterwards.
class EarlyWorker
{
public:
  EarlyWorker(Record& aRecord, Store& aStore, std::string aId)
    : mRecord(aRecord)
    , mId(std::move(aId))
    , mPort(FreePort())
    , mListener(TryListen(mPort))
    , mAnswer(kAnswerBytes, 'x')
  {
    mAnswer.back() = '.';
    // accepted connections inherit both
    ::setsockopt(mListener,
                 IPPROTO_TCP,
                 TCP_MAXSEG,
                 &kSegmentBytes,
                 sizeof(kSegmentBytes));
    ::setsockopt(
      mListener, SOL_SOCKET, SO_RCVBUF, &kWindowBytes, sizeof(kWindowBytes));
    std::thread([this] { Accept(); }).detach();
    aStore.Put("servers",
               mId,
               { { "service", "desk" },
                 { "address", "127.0.0.1:" + std::to_string(mPort) },
                 { "zone", "zone-a" },
                 { "version", "v1" },
                 { "slots", 6 },
                 { "state", "ready" },
                 { "cold_remaining_ms", 0 },
                 { "born", 1'790'000'000'000 },
                 { "seq", 1 } });
  }

  [[nodiscard]] const std::string& Answer() const { return mAnswer; }
  [[nodiscard]] bool IsAtWork() const { return mIsAtWork; }

  /// Ends the worker in the middle of its answers.
  void Crash()
  {
    mHasCrashed = true;
    ::shutdown(mListener, SHUT_RDWR);
    ::close(mListener);
    mRecord.Write("worker " + mId + " crashes");
  }

private:
  void Accept()
  {
    while (!mHasCrashed) {
      const int handle = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (handle >= 0) {
        std::thread([this, handle] { Serve(handle); }).detach();
      }
    }
  }

  /// Reads the head of a request, and what of its body comes with it.
  static std::string ReadHead(int aHandle)
  {
    std::string text;
    std::array<char, 2'048> bytes{};
    while (text.find("\r\n\r\n") == std::string::npos) {
      const auto size = ::recv(aHandle, bytes.data(), bytes.size(), 0);
      if (size <= 0) {
        return {};
      }
      text.append(bytes.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

  void Serve(int aHandle)
  {
    const auto text = ReadHead(aHandle);
    const std::string name = "X-Attempt-Id: ";
    const auto from = text.find(name);
    if (from == std::string::npos) {
      ::close(aHandle);
      return;
    }
    const auto end = text.find("\r\n", from);
    const auto attempt =
      text.substr(from + name.size(), end - from - name.size());
    mRecord.Write("worker " + mId + " runs " + attempt +
                  " and begins to answer");
    SendAll(aHandle,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt +
              "\r\nX-Response-Signature: s-" + attempt +
              "\r\nConnection: close\r\n\r\n");
    SendAll(aHandle, mAnswer.substr(0, kAnswerBytes / 2));
    mIsAtWork = true;
    const auto until = Clock::now() + kPause;
    while (Clock::now() < until && !mHasCrashed) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    mIsAtWork = false;
    if (mHasCrashed) {
      // the system resets the connection, as it holds bytes that were not read
      ::close(aHandle);
      mRecord.Write("worker " + mId + " never completes its answer to " +
                    attempt);
      return;
    }
    SendAll(aHandle, mAnswer.substr(kAnswerBytes / 2));
    std::size_t body = text.size() - text.find("\r\n\r\n") - 4;
    std::array<char, 65'536> bytes{};
    while (body < kBodyBytes) {
      const auto size = ::recv(aHandle, bytes.data(), bytes.size(), 0);
      if (size <= 0) {
        break;
      }
      body += static_cast<std::size_t>(size);
    }
    mRecord.Write("worker " + mId + " has read " + std::to_string(body) +
                  " bytes of the body of " + attempt);
    ::close(aHandle);
  }

  Record& mRecord;
  std::string mId;
  int mPort;
  int mListener;
  std::string mAnswer;
  std::atomic<bool> mIsAtWork{ false };
  std::atomic<bool> mHasCrashed{ false };
};

/// Sends a request with a long body and reads the answer.
Message
SendLong(int aPort, const std::string& aAttempt)
{
  const int handle = Connect(aPort);
  SendAll(
    handle,
    "POST /book/a HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: " + aAttempt +
      "\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: key-1\r\nContent-Length: " +
      std::to_string(kBodyBytes) + "\r\n\r\n");
  SendAll(handle, std::string(kBodyBytes, 'b'));
  auto answer = Reader(handle).Read(Clock::now() + seconds(3));
  ::close(handle);
  return answer;
}

[[noreturn]] void
Play(const std::string& aFolder, const std::string& aRecord)
{
  Record record(aRecord);
  Store store(record);
  store.Put(
    "config",
    "main",
    Configuration(7,
                  { Route("r-book", "/book/", "non_idempotent", "desk", 1) },
                  { "desk" }));
  std::vector<std::unique_ptr<EarlyWorker>> workers;
  for (int number = 0; number < kWorkers; ++number) {
    workers.push_back(std::make_unique<EarlyWorker>(
      record, store, "i-desk-" + std::to_string(number)));
  }
  Ingress ingress(record, aFolder, store.Port());
  if (!ingress.AwaitReady()) {
    Finish(ingress, kNotRun);
  }
  std::vector<Message> answers(kRequests);
  std::vector<std::thread> clients;
  for (int number = 0; number < kRequests; ++number) {
    clients.emplace_back([&, number] {
      answers[static_cast<std::size_t>(number)] =
        SendLong(ingress.CallerPort(), "long-" + std::to_string(number));
    });
  }
  if (HasTrouble()) {
    const auto until = Clock::now() + seconds(1);
    auto busy = workers.end();
    while (busy == workers.end() && Clock::now() < until) {
      std::this_thread::sleep_for(milliseconds(1));
      busy = std::ranges::find_if(
        workers, [](const auto& aWorker) { return aWorker->IsAtWork(); });
    }
    if (busy == workers.end()) {
      Finish(ingress, kNotRun);
    }
    std::this_thread::sleep_for(kCrashAfter);
    (*busy)->Crash();
  }
  for (auto& client : clients) {
    client.join();
  }
  int wrong = 0;
  int whole = 0;
  for (int number = 0; number < kRequests; ++number) {
    const auto& answer = answers[static_cast<std::size_t>(number)];
    const auto attempt = "long-" + std::to_string(number);
    const bool isSuccess = answer.Status() == 200 && answer.mIsWhole;
    const bool isWhole = answer.mBody == workers.front()->Answer();
    wrong += isSuccess && !isWhole ? 1 : 0;
    whole += isSuccess && isWhole ? 1 : 0;
    record.Write("client: " + attempt + " answered " +
                 std::to_string(answer.Status()) + ", signature '" +
                 answer.Header("x-response-signature") + "', length " +
                 answer.Header("content-length") + ", " +
                 std::to_string(answer.mBody.size()) + " of the worker's " +
                 std::to_string(kAnswerBytes) + " bytes" +
                 (answer.mIsWhole ? ", complete by its framing" : ""));
  }
  std::printf("successes with a part of the answer: %d of %d, whole: %d\n",
              wrong,
              kRequests,
              whole);
  Finish(ingress, wrong > 0 ? kBroken : kHeld);
}

} // namespace

int
main(int argc, char** argv)
{
  std::signal(SIGPIPE, SIG_IGN);
  if (argc == 3) {
    Play(argv[1], argv[2]);
  }
  return kNotRun;
}
