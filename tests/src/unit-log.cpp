#include <figslip/log/line_budget.hpp>
#include <figslip/log/line_sink.hpp>

#include <doctest/doctest.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <string>

using namespace figslip;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kStart{ std::chrono::hours(1) };

/// A pipe that is read only by explicit calls, as by a stalled reader.
struct Pipe
{
  Pipe() { REQUIRE(::pipe(mEnds.data()) == 0); }
  Pipe(const Pipe&) = delete;
  Pipe& operator=(const Pipe&) = delete;
  ~Pipe()
  {
    ::close(mEnds[0]);
    ::close(mEnds[1]);
  }

  /// Reads at most 64 KB.
  [[nodiscard]] std::string Read() const
  {
    std::string text(65'536, '\0');
    const auto size = ::read(mEnds[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

  std::array<int, 2> mEnds{};
};

} // namespace

TEST_CASE("log line budget")
{
  log::LineBudget budget(
    { .mLinesPerSecond = 10.0, .mBurst = 5.0, .mMaxEvents = 3 });

  SUBCASE("limits a frequent event and reports the number of suppressed lines")
  {
    int written = 0;
    for (int line = 0; line < 1'000; ++line) {
      written += budget.TryConsume("request_failed", kStart) ? 1 : 0;
    }
    CHECK(written == 5);
    CHECK(budget.TryConsume("request_failed", kStart + 100ms) == 995);
    CHECK(budget.TryConsume("request_failed", kStart + 200ms) == 0);

    SUBCASE("without suppressing another event")
    {
      CHECK(budget.TryConsume("store_lost", kStart) == 0);
    }
  }

  SUBCASE("limits the number of tracked events")
  {
    for (int event = 0; event < 100; ++event) {
      (void)budget.TryConsume("event" + std::to_string(event), kStart);
    }
    CHECK_FALSE(budget.TryConsume("new", kStart));
  }
}

TEST_CASE("log line sink")
{
  const Pipe pipe;
  log::LineSink sink(pipe.mEnds[1], 100'000);

  SUBCASE("writes lines in order")
  {
    sink.Write("one\n");
    sink.Write("two\n");
    CHECK(pipe.Read() == "one\ntwo\n");
  }

  SUBCASE("does not block on a stalled reader")
  {
    const std::string line(999, 'x');
    for (int count = 0; count < 1'000; ++count) {
      sink.Write(line + "\n");
    }
    CHECK(sink.Dropped() > 0);

    SUBCASE("and writes whole lines once the reader resumes")
    {
      std::string all;
      for (int reads = 0; reads < 10; ++reads) {
        all += pipe.Read();
        sink.Flush();
        sink.Write("probe\n");
      }
      CHECK(all.starts_with(line + "\n" + line));
      CHECK(all.find("probe\n") != std::string::npos);
    }
  }
}
