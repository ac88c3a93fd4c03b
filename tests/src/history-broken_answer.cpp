#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace figslip;
using test::EngineStandIn;
using test::IngressWorld;
using test::RawAnswer;

namespace {

std::string
ErrorAnswer(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus +
         "\r\nX-Attempt-Id: {id}\r\nX-Response-Signature: signed\r\n"
         "Content-Type: text/plain\r\nContent-Length: " +
         std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

} // namespace

TEST_CASE("a stream that broke off does not go on with the error of the next "
          "upstream")
{
  const std::string text = "data: overloaded\n\nsee the log\n\n";
  for (const std::string status : { "400 Bad Request",
                                    "404 Not Found",
                                    "500 Internal Server Error",
                                    "503 Service Unavailable" }) {
    for (std::size_t broken = 0; broken < 2; ++broken) {
      CAPTURE(status);
      IngressWorld world;
      world.Engine(broken).SetBehaviour(EngineStandIn::Behaviour::BreakMidway);
      world.Engine(1 - broken)
        .AnswerRaw(RawAnswer{ .mTargetPrefix = "/chat/",
                              .mBegin = ErrorAnswer(status, text) });
      for (int request = 0; request < 8; ++request) {
        const auto answer =
          world.Send(0, "POST", "/chat/1", "a" + std::to_string(request));
        if (answer.mStatus == 200) {
          CHECK_FALSE(answer.mIsWhole);
          CHECK(answer.mBody.find("overloaded") == std::string::npos);
        }
      }
    }
  }
}

TEST_CASE("an answer whose head is cut off is not relayed as a whole one")
{
  const std::string whole = ErrorAnswer("200 OK", "answer");
  for (const std::size_t length : { 5U, 12U, 17U, 40U, 70U, 100U }) {
    for (const std::string target : { "/look/1", "/chat/1" }) {
      CAPTURE(length);
      CAPTURE(target);
      IngressWorld world;
      for (std::size_t engine = 0; engine < 2; ++engine) {
        world.Engine(engine).AnswerRaw(RawAnswer{
          .mTargetPrefix = target, .mBegin = whole.substr(0, length) });
      }
      const auto answer =
        world.Send(0, target == "/look/1" ? "GET" : "POST", target, "cut");
      CHECK(answer.mStatus >= 500);
    }
  }
}

TEST_CASE("a head without an id is not attributed to a request on a connection "
          "that is in use again")
{
  const std::string refusal =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
  const std::string answer =
    "HTTP/1.1 200 OK\r\nX-Response-Signature: earlier\r\n"
    "Content-Length: 7\r\n\r\nearlier";
  IngressWorld world({ .mEngines = 1 });
  REQUIRE(world.WaitForReady(0));
  const auto bookAfter = [&](const std::string& aCopy) {
    world.Engine(0).AnswerRaw(
      RawAnswer{ .mTargetPrefix = "/book/", .mBegin = aCopy });
    return world.Send(0, "POST", "/book/1", "booking");
  };

  SUBCASE("after an answer on it")
  {
    REQUIRE(world.Send(0, "GET", "/look/1", "look-up").mStatus == 200);

    SUBCASE("a refusal does not become a promise")
    {
      CHECK(bookAfter(refusal).mStatus == 502);
      CHECK(world.CountRuns()["booking"] == 1);
    }

    SUBCASE("an answer is not relayed")
    {
      const auto booking = bookAfter(answer);
      CHECK(booking.mStatus == 502);
      CHECK(booking.mBody.find("earlier") == std::string::npos);
    }
  }

  SUBCASE("on a new connection a refusal is believed")
  {
    CHECK(bookAfter(refusal).mStatus == 503);
  }
}

TEST_CASE("an answer without a length that is reset while the request is being "
          "sent is not relayed as a whole one")
{
  const std::string half = "id: 1\ndata: half\n\n";
  for (const std::size_t size : { 150'000U, 2'500'000U, 8'000'000U }) {
    for (const std::string target : { "/look/1", "/book/1", "/chat/1" }) {
      CAPTURE(size);
      CAPTURE(target);
      IngressWorld world({ .mMaxBodyBytes = 16 << 20 });
      world.Engine(0).AnswerRaw(
        RawAnswer{ .mBegin = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
                             "X-Response-Signature: signed\r\n\r\n" +
                             half,
                   .mResets = true,
                   .mIsEarly = true });
      REQUIRE(world.WaitForReady(0));
      // the other upstream is whole and may serve the request or go on with it
      for (int request = 0; request < 4; ++request) {
        auto call = IngressWorld::FormatCall(
          "POST", target, "u" + std::to_string(request), "key-1");
        call.resize(call.rfind("4\r\n\r\nbody")); // its length and body
        call += std::to_string(size) + "\r\n\r\n" + std::string(size, 'b');
        const auto answer = world.SendRaw(0, call);
        const bool isHalf = answer.mBody.find("half") != std::string::npos &&
                            answer.mBody.find("id: 6") == std::string::npos;
        CHECK_FALSE((isHalf && answer.mIsWhole));
      }
      CHECK(world.Engine(0).Arrivals() == 0); // none was read as a whole
      CHECK_FALSE(world.Engine(0).Runs().empty());
    }
  }
}

TEST_CASE("an answer whose status is 000 is not relayed, and not awaited")
{
  for (const std::string target : { "/look/1", "/book/1", "/chat/1" }) {
    CAPTURE(target);
    IngressWorld world({ .mEngines = 1 });
    // kept open, as by an upstream that waits for the next request
    world.Engine(0).AnswerRaw(
      RawAnswer{ .mTargetPrefix = target,
                 .mBegin = ErrorAnswer("000 Trouble", ""),
                 .mRepeated = "\r\n",
                 .mPause = std::chrono::seconds(10) });
    REQUIRE(world.WaitForReady(0));
    const auto answer = world.Send(0, "POST", target, "trouble");
    CHECK(answer.mStatus == 502);
    CHECK(answer.mHead.find("signed") == std::string::npos);
  }
}
