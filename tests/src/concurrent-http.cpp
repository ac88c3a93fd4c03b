#include <figslip/http/http_client.hpp>
#include <figslip/http/http_server.hpp>

#include <doctest/doctest.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

using namespace figslip;
using namespace figslip::http;

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

} // namespace

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
