#include <figslip/http/http_client.hpp>
#include <figslip/http/http_server.hpp>

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <future>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace figslip;
using namespace figslip::http;
namespace asio = boost::asio;

namespace {

constexpr int kThreads = 8;
constexpr int kCallsPerThread = 50;
constexpr int kOk = 200;

/// Holds requests until the test lets them go.
class Gate
{
public:
  void Wait()
  {
    std::unique_lock lock(mMutex);
    mOpened.wait(lock, [this] { return mOpen; });
  }

  void Open()
  {
    {
      const std::lock_guard lock(mMutex);
      mOpen = true;
    }
    mOpened.notify_all();
  }

private:
  std::mutex mMutex;
  std::condition_variable mOpened;
  bool mOpen = false;
};

/// Server whose answer goes on without end until the caller closes.
class EndlessServer
{
public:
  EndlessServer(std::string aBegin, std::string aRepeated)
    : mAcceptor(mContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this,
               begin = std::move(aBegin),
               repeated = std::move(aRepeated)] { Serve(begin, repeated); })
  {
  }

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;
  ~EndlessServer() { mThread.join(); }

  [[nodiscard]] Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

  /// @brief Returns the bytes that were sent; waits until the caller closes.
  [[nodiscard]] std::size_t SentBytes() { return mSent.get_future().get(); }

private:
  /// The server gives up here, so that a client that reads on ends too.
  static constexpr std::size_t kMostBytes = std::size_t{ 256 } << 20U;

  void Serve(const std::string& aBegin, const std::string& aRepeated)
  {
    auto socket = mAcceptor.accept();
    boost::system::error_code error;
    std::string block;
    while (block.size() < kBlockBytes) {
      block += aRepeated;
    }
    std::size_t sent = asio::write(socket, asio::buffer(aBegin), error);
    while (!error && sent < kMostBytes) {
      sent += asio::write(socket, asio::buffer(block), error);
    }
    error = socket.close(error);
    mSent.set_value(sent);
  }

  static constexpr std::size_t kBlockBytes = 16'384;

  asio::io_context mContext;
  asio::ip::tcp::acceptor mAcceptor;
  std::promise<std::size_t> mSent;
  std::thread mThread;
};

} // namespace

TEST_CASE("an answer without end does not fill the memory of its caller")
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  struct Form
  {
    std::string mName;
    std::string mBegin;
    std::string mRepeated;
  };
  const std::vector<Form> forms{
    { "bytes that are no HTTP", "", "x" },
    { "a status line", "HTTP/1.1 200 ", "x" },
    { "a header", head + "X-Long: ", "x" },
    { "headers", head, "X-More: 1\r\n" },
    { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n" },
    { "a body without length", head + "\r\n", "x" },
    { "a body with length",
      head + "Content-Length: 999999999999\r\n\r\n",
      "x" },
    { "chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n" },
    { "a chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x" },
    { "trailers",
      head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-More: 1\r\n" }
  };
  // what the client may keep, and what both sockets may hold
  constexpr std::size_t kMostBytes = std::size_t{ 16 } << 20U;
  for (const auto& form : forms) {
    CAPTURE(form.mName);
    EndlessServer server(form.mBegin, form.mRepeated);
    {
      HttpClient client({});
      const auto result =
        client.Call(server.Address(), { .mTarget = "/look" }, {});
      CHECK(std::holds_alternative<CallFailure>(result));
    }
    CHECK(server.SentBytes() < kMostBytes);
  }
}

TEST_CASE("an HTTP client takes no broken answer for a whole one")
{
  // sent before the request has been read, then the connection is reset
  const std::string rest = "\r\nContent-Length: 2\r\n\r\nno";
  const std::vector<std::string> answers{ "HTTP/1.1 200 OK\r\n\r\nhalf",
                                          "HTTP/1.1 103 Hints\r\n\r\n",
                                          "HTTP/1.1 000 None" + rest,
                                          "HTTP/1.1 099 None" + rest,
                                          "HTTP/1.1 101 Switch" + rest };
  for (const auto& answer : answers) {
    // in the buffers of the system, and more than they hold
    for (const std::size_t size : { 150'000U, 16'000'000U }) {
      CAPTURE(answer);
      CAPTURE(size);
      asio::io_context context;
      asio::ip::tcp::acceptor acceptor(
        context, { asio::ip::make_address("127.0.0.1"), 0 });
      auto server = std::async(std::launch::async, [&] {
        auto socket = acceptor.accept();
        asio::write(socket, asio::buffer(answer));
        // what was sent arrives before the reset for the unread request
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      });
      HttpClient client({});
      bool hasHead = false;
      const auto result =
        client.Call({ "127.0.0.1", acceptor.local_endpoint().port() },
                    { .mMethod = Method::Post,
                      .mTarget = "/early",
                      .mBody = std::string(size, 'b') },
                    { .mOnHead = [&](const ClientResponse& aHead) {
                      hasHead = aHead.mStatus != kOk;
                    } });
      server.get();
      const auto* const failure = std::get_if<CallFailure>(&result);
      REQUIRE(failure != nullptr);
      CHECK(failure->mBytesMayHaveLeft);
      CHECK_FALSE(hasHead);
    }
  }
}

TEST_CASE("an HTTP client and server")
{
  Gate gate;
  auto started = HttpServer::Start(
    { .mThreads = 2 * kThreads },
    { { "/echo",
        [](const ServerRequest& aRequest, ResponseWriter& aWriter) {
          (void)aWriter.Send(kOk, {}, aRequest.mBody);
        } },
      { "/halves",
        [&](const ServerRequest& /*aRequest*/, ResponseWriter& aWriter) {
          (void)aWriter.Begin(kOk, {});
          (void)aWriter.SendChunk("first ");
          gate.Wait();
          (void)aWriter.SendChunk("second");
          (void)aWriter.End();
        } },
      { "/broken",
        [](const ServerRequest& /*aRequest*/, ResponseWriter& aWriter) {
          (void)aWriter.Begin(kOk, {});
          (void)aWriter.SendChunk("first ");
          aWriter.Abort();
        } } });
  REQUIRE(started);
  const auto& server = *started.assume_value();
  const Endpoint endpoint{ "127.0.0.1", server.Port() };
  HttpClient client({});

  SUBCASE("give each of many threads the answer to its own request")
  {
    std::atomic<int> right{ 0 };
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (int thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back([&, thread] {
        for (int count = 0; count < kCallsPerThread; ++count) {
          const auto body =
            std::to_string(thread) + "/" + std::to_string(count);
          const auto result = client.Call(
            endpoint,
            { .mMethod = Method::Post, .mTarget = "/echo", .mBody = body },
            {});
          const auto* const response = std::get_if<ClientResponse>(&result);
          right += response != nullptr && response->mBody == body ? 1 : 0;
        }
      });
    }
    for (auto& thread : threads) {
      thread.join();
    }
    CHECK(right == kThreads * kCallsPerThread);
  }

  SUBCASE("hand over each part of an answer as it comes")
  {
    std::string received;
    const auto result = client.Call(endpoint,
                                    { .mTarget = "/halves" },
                                    { .mReceiver = [&](std::string_view aData) {
                                      received += aData;
                                      // the second half comes only after this
                                      gate.Open();
                                      return true;
                                    } });
    CHECK(std::holds_alternative<ClientResponse>(result));
    CHECK(received == "first second");
  }

  SUBCASE("report an answer that breaks off as a failure after bytes left")
  {
    const auto result = client.Call(endpoint, { .mTarget = "/broken" }, {});
    const auto* const failure = std::get_if<CallFailure>(&result);
    REQUIRE(failure != nullptr);
    CHECK(failure->mBytesMayHaveLeft);
  }

  SUBCASE("give up an answer that goes silent, once a step takes too long")
  {
    const auto result =
      client.Call(endpoint,
                  { .mTarget = "/halves" },
                  { .mNextByteTimeout = std::chrono::milliseconds(100) });
    gate.Open();
    const auto* const failure = std::get_if<CallFailure>(&result);
    REQUIRE(failure != nullptr);
    CHECK(failure->mTimedOut);
    CHECK(failure->mBytesMayHaveLeft);
  }

  SUBCASE("know that no byte left when nobody listens")
  {
    const Endpoint nobody{ "127.0.0.1", 1 };
    const auto result = client.Call(nobody, { .mTarget = "/echo" }, {});
    const auto* const failure = std::get_if<CallFailure>(&result);
    REQUIRE(failure != nullptr);
    CHECK_FALSE(failure->mBytesMayHaveLeft);
  }

  SUBCASE("send nothing when the last check says no")
  {
    const auto result =
      client.Call(endpoint,
                  { .mMethod = Method::Post, .mTarget = "/echo" },
                  { .mBeforeSend = [] { return false; } });
    const auto* const failure = std::get_if<CallFailure>(&result);
    REQUIRE(failure != nullptr);
    CHECK_FALSE(failure->mBytesMayHaveLeft);
  }
  gate.Open();
}
