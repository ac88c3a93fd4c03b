#include <harness/ingress_world.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace figslip;
using namespace std::chrono_literals;
using test::CallerAnswer;
using test::IngressWorld;
using test::RawAnswer;

namespace {

constexpr int kMemoryMb = 110;

/// Fills the slots of both engines.
constexpr int kAtOnce = 16;

constexpr std::size_t kLongBytes = 4096;

/// Bytes of an answer without end that a caller gets at most: of each of three
/// attempts 256 kB between two events, and what is read with the last of them.
constexpr std::size_t kMaxForwardedBytes = 900'000;

const std::string kLookup = "/look/endless";
const std::string kSoundLookup = "/look/sound";
const std::string kStream = "/chat/endless";

/// Returns the head of an engine's proper answer.
std::string
Head(const std::string& aFields)
{
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n"
         "X-Response-Signature: signed\r\n" +
         aFields + "\r\n";
}

const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kEventStream = "Content-Type: text/event-stream\r\n";

std::string
Long()
{
  return std::string(kLongBytes, 'x');
}

/// Holds one way in which an answer can go on without end.
struct Form
{
  std::string mName;
  RawAnswer mAnswer;
};

std::vector<Form>
EndlessAnswers()
{
  const auto form =
    [](std::string aName, std::string aBegin, std::string aRepeated) {
      return Form{ .mName = std::move(aName),
                   .mAnswer = { .mTargetPrefix = kLookup,
                                .mBegin = std::move(aBegin),
                                .mRepeated = std::move(aRepeated) } };
    };
  return {
    form("bytes that are no HTTP", "", Long()),
    form("status line", "HTTP/1.1 200 ", Long()),
    form("header", "HTTP/1.1 200 OK\r\nX-Long: ", Long()),
    form("headers", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"),
    form("interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"),
    form("body without length", Head(""), Long()),
    form("body with length", Head("Content-Length: 999999999999\r\n"), Long()),
    form("chunks", Head(kChunked), "1000\r\n" + Long() + "\r\n"),
    form("chunk extension", Head(kChunked) + "1;", Long()),
    form("chunk extensions", Head(kChunked), "1;" + Long() + "\r\nx\r\n"),
    form("trailers", Head(kChunked) + "0\r\n", "X-More: 1\r\n")
  };
}

std::vector<Form>
EndlessStreams()
{
  const auto form =
    [](std::string aName, std::string aBegin, std::string aRepeated) {
      return Form{ .mName = std::move(aName),
                   .mAnswer = { .mTargetPrefix = kStream,
                                .mBegin = std::move(aBegin),
                                .mRepeated = std::move(aRepeated) } };
    };
  const auto head = Head(kEventStream);
  return {
    form("event", head + "id: 1\ndata: ", Long()),
    form("lines", head + "id: 1\n", "data: x\n"),
    form("body that is no stream", Head(""), Long()),
    form("comments", head, ": x\n\n"),
    form("blank lines", head, "\n"),
    form("comments after an event", head + "id: 1\ndata: token\n\n", ": x\n\n")
  };
}

void
AnswerRaw(IngressWorld& aWorld, const RawAnswer& aAnswer)
{
  aWorld.Engine(0).AnswerRaw(aAnswer);
  aWorld.Engine(1).AnswerRaw(aAnswer);
}

bool
IsServed(const CallerAnswer& aAnswer)
{
  return aAnswer.mStatus == 200 && aAnswer.mIsWhole;
}

std::vector<std::future<CallerAnswer>>
SendAtOnce(IngressWorld& aWorld,
           const std::string& aMethod,
           const std::string& aPath)
{
  std::vector<std::future<CallerAnswer>> open;
  open.reserve(kAtOnce);
  for (int number = 0; number < kAtOnce; ++number) {
    // the texts end with the call, the requests do not
    open.push_back(
      std::async(std::launch::async, [&aWorld, aMethod, aPath, number] {
        return aWorld.Send(0, aMethod, aPath, "r" + std::to_string(number));
      }));
  }
  return open;
}

bool
IsAnyServed(std::vector<std::future<CallerAnswer>> aOpen)
{
  bool isAnyServed = false;
  for (auto& open : aOpen) {
    const auto answer = open.get();
    // upstreams are given up by size, however long it takes to read the bytes
    CHECK(answer.mBody.size() <= kMaxForwardedBytes);
    isAnyServed = IsServed(answer) || isAnyServed;
  }
  return isAnyServed;
}

/// Sends a sound look-up once all the open requests have reached an engine.
///
/// They hold all slots until they are given up, which takes as long as it takes
/// to send and read their bytes. A look-up that finds no slot within its target
/// latency is to be refused without a run, and to be served on a retry after
/// the time that the refusal names; before the deadline of the first try.
bool
IsServedBeside(IngressWorld& aWorld)
{
  using Clock = std::chrono::steady_clock;
  constexpr auto kDeadline = 4s; // of a call of the world
  constexpr std::string_view kRetryAfter = "Retry-After: ";
  auto until = Clock::now() + kDeadline;
  while (aWorld.CountRuns().size() < kAtOnce) {
    if (Clock::now() > until) {
      MESSAGE("the requests without end have not arrived");
      return false;
    }
    std::this_thread::sleep_for(1ms);
  }
  until = Clock::now() + kDeadline;
  for (int number = 0; Clock::now() < until; ++number) {
    const auto attempt = "sound" + std::to_string(number);
    const auto answer = aWorld.Send(0, "GET", kSoundLookup, attempt);
    if (IsServed(answer)) {
      return true;
    }
    const auto field = answer.mHead.find(kRetryAfter);
    const bool isRefusal = answer.mStatus == 503 &&
                           field != std::string::npos &&
                           aWorld.RunsOf(attempt) == 0;
    if (!isRefusal) {
      MESSAGE("status ", answer.mStatus, ", ", answer.mHead);
      return false;
    }
    const double seconds =
      std::atof(answer.mHead.c_str() + field + kRetryAfter.size());
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
  return false;
}

bool
HasReason(IngressWorld& aWorld)
{
  aWorld.Instance(0).Stop(9s);
  const auto log = aWorld.Instance(0).Log();
  return log.find("\"reason\":\"oversized\"") != std::string::npos ||
         log.find("\"reason\":\"memory_full\"") != std::string::npos ||
         log.find("\"reason\":\"malformed\"") != std::string::npos;
}

} // namespace

TEST_CASE("an answer without end")
{
  for (const auto& form : EndlessAnswers()) {
    CAPTURE(form.mName);
    IngressWorld world({ .mMemoryMb = kMemoryMb });
    AnswerRaw(world, form.mAnswer);
    auto open = SendAtOnce(world, "GET", kLookup);
    CHECK(IsServedBeside(world));
    CHECK_FALSE(IsAnyServed(std::move(open)));
    REQUIRE(world.Instance(0).IsRunning());
    CHECK(world.PeakMemoryMb(0) < kMemoryMb);
    CHECK(IsServed(world.Send(0, "GET", kSoundLookup, "after")));
    CHECK(HasReason(world));
  }
}

TEST_CASE("a stream without end")
{
  for (const auto& form : EndlessStreams()) {
    CAPTURE(form.mName);
    IngressWorld world({ .mMemoryMb = kMemoryMb });
    AnswerRaw(world, form.mAnswer);
    auto open = SendAtOnce(world, "POST", kStream);
    CHECK(IsServedBeside(world));
    CHECK_FALSE(IsAnyServed(std::move(open)));
    REQUIRE(world.Instance(0).IsRunning());
    CHECK(world.PeakMemoryMb(0) < kMemoryMb);
    CHECK(IsServed(world.Send(0, "GET", kSoundLookup, "after")));
    CHECK(HasReason(world));
  }
}

TEST_CASE("an answer without end is retried at another upstream")
{
  auto forms = EndlessAnswers();
  auto slow = forms.front();
  slow.mName = "slow body";
  slow.mAnswer.mBegin = Head("");
  slow.mAnswer.mRepeated = "x";
  slow.mAnswer.mPause = 20ms;
  forms.push_back(slow);
  for (const auto& form : forms) {
    CAPTURE(form.mName);
    IngressWorld world({ .mMemoryMb = kMemoryMb });
    world.Engine(0).AnswerRaw(form.mAnswer);
    for (int number = 0; number < 4; ++number) {
      const auto name = "r" + std::to_string(number);
      const auto answer = world.Send(0, "GET", kLookup, name);
      CHECK(IsServed(answer));
      CHECK(answer.mBody == "answer to " + name);
    }
  }
}

TEST_CASE("a stream without end goes on at another upstream")
{
  auto forms = EndlessStreams();
  for (auto form : EndlessStreams()) {
    form.mName += ", slowly";
    form.mAnswer.mRepeated.resize(
      std::min<std::size_t>(form.mAnswer.mRepeated.size(), 9));
    form.mAnswer.mPause = 20ms;
    forms.push_back(form);
  }
  for (const auto& form : forms) {
    CAPTURE(form.mName);
    IngressWorld world({ .mMemoryMb = kMemoryMb });
    world.Engine(0).AnswerRaw(form.mAnswer);
    for (int number = 0; number < 4; ++number) {
      const auto name = "r" + std::to_string(number);
      CHECK(IsServed(world.Send(0, "POST", kStream, name)));
    }
  }
}

TEST_CASE("bytes without end after a whole answer belong to no request")
{
  IngressWorld world({ .mMemoryMb = kMemoryMb });
  AnswerRaw(world,
            { .mTargetPrefix = kLookup,
              .mBegin = Head("Content-Length: 2\r\n") + "ok",
              .mRepeated = Long() });
  for (int number = 0; number < kAtOnce; ++number) {
    const auto name = "r" + std::to_string(number);
    const auto answer = world.Send(0, "GET", kLookup, name);
    CHECK(IsServed(answer));
    CHECK(answer.mBody == "ok");
    CHECK_FALSE(answer.mHasExtra);
    CHECK(IsServed(world.Send(0, "GET", kSoundLookup, "sound")));
  }
  CHECK(world.PeakMemoryMb(0) < kMemoryMb);
}

TEST_CASE("an answer without length")
{
  IngressWorld world;
  RawAnswer raw{ .mTargetPrefix = kLookup, .mBegin = Head("") + "whole" };

  SUBCASE("is whole when its connection is closed")
  {
    AnswerRaw(world, raw);
    const auto answer = world.Send(0, "GET", kLookup, "closed");
    CHECK(IsServed(answer));
    CHECK(answer.mBody == "whole");
  }

  SUBCASE("is not whole when its connection is reset")
  {
    raw.mResets = true;

    SUBCASE("and another upstream answers")
    {
      world.Engine(0).AnswerRaw(raw);
      for (int number = 0; number < 4; ++number) {
        const auto name = "r" + std::to_string(number);
        const auto answer = world.Send(0, "GET", kLookup, name);
        CHECK(IsServed(answer));
        CHECK(answer.mBody == "answer to " + name);
      }
    }

    SUBCASE("and no other upstream answers")
    {
      AnswerRaw(world, raw);
      CHECK(world.Send(0, "GET", kLookup, "reset").mStatus == 502);
    }
  }
}

TEST_CASE("a stream without length")
{
  IngressWorld world;
  const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
  RawAnswer raw{ .mTargetPrefix = kStream,
                 .mBegin = Head(kEventStream) + events };

  SUBCASE("is whole when its connection is closed after an event")
  {
    AnswerRaw(world, raw);
    const auto answer = world.Send(0, "POST", kStream, "closed");
    CHECK(IsServed(answer));
    CHECK(answer.mBody == events);
  }

  SUBCASE("has been broken off")
  {
    auto insideLine = raw;
    insideLine.mBegin += "id: 3\nda";
    auto afterLine = raw;
    afterLine.mBegin += "id: 3\ndata: c\n";
    auto withoutEvent = raw;
    withoutEvent.mBegin = Head(kEventStream);
    auto reset = raw;
    reset.mResets = true;
    for (const auto& form : { Form{ "closed inside a line", insideLine },
                              Form{ "closed after a line", afterLine },
                              Form{ "closed before an event", withoutEvent },
                              Form{ "reset after an event", reset } }) {
      CAPTURE(form.mName);
      IngressWorld broken;

      // goes on at another upstream
      broken.Engine(0).AnswerRaw(form.mAnswer);
      for (int number = 0; number < 4; ++number) {
        const auto name = "r" + std::to_string(number);
        const auto answer = broken.Send(0, "POST", kStream, name);
        CHECK(IsServed(answer));
        CHECK(answer.mBody.find("id: 6\n") != std::string::npos);
      }

      // never looks complete
      AnswerRaw(broken, form.mAnswer);
      CHECK_FALSE(IsServed(broken.Send(0, "POST", kStream, "broken")));
    }
  }
}
