#include <figslip/retry/write_backoff.hpp>

#include <doctest/doctest.h>

#include <chrono>

using namespace figslip;
using namespace std::chrono_literals;
using retry::WriteBackoff;
using retry::WriteState;
using retry::WriteUrgency;

// load: an outage of the store in which each instance has some records to
// write; they were sent again up to 12 times each
TEST_CASE("write to the store that fails")
{
  const WriteBackoff backoff({});
  constexpr auto kBackground = WriteUrgency::Background;
  constexpr auto kPrompt = WriteUrgency::Prompt;

  SUBCASE("is sent again later, the more attempts have failed")
  {
    Duration before{};
    for (int attempts = 1; attempts <= 5; ++attempts) {
      const auto time = backoff.Before(kBackground, attempts, 5, 0.5);
      CHECK(time > before);
      before = time;
    }
    CHECK(backoff.Before(kBackground, 5, 5, 0.5) ==
          backoff.Before(kBackground, 40, 5, 0.5));
  }

  SUBCASE("is sent again later, the more instances there are")
  {
    CHECK(backoff.Before(kBackground, 1, 300, 0.0) >= 1'500ms);
    CHECK(backoff.Before(kBackground, 1, 5, 0.0) < 300ms);
    CHECK(backoff.AfterOutage(300, 0.9) > 2s);
  }

  SUBCASE("is spread by chance over half of the time")
  {
    CHECK(backoff.Before(kBackground, 3, 80, 0.0) * 2 ==
          backoff.Before(kBackground, 3, 80, 1.0));
  }

  SUBCASE("is abandoned after some attempts, or when it is of no use")
  {
    CHECK(backoff.MayRetry(kBackground, 7, 10s));
    CHECK_FALSE(backoff.MayRetry(kBackground, 8, 10s));
    CHECK_FALSE(backoff.MayRetry(kBackground, 1, 60s));
  }

  SUBCASE("awaits the end of an outage after the first retry")
  {
    CHECK_FALSE(WriteBackoff::AwaitsStore(kBackground, 1));
    CHECK(WriteBackoff::AwaitsStore(kBackground, 2));
    CHECK_FALSE(WriteBackoff::AwaitsStore(kPrompt, 2));
  }

  SUBCASE("is retried soon if others wait for it, whatever the fleet")
  {
    for (int attempts = 1; attempts < 12; ++attempts) {
      CHECK(backoff.MayRetry(kPrompt, attempts, 100s));
      CHECK(backoff.Before(kPrompt, attempts, 300, 0.9) == 400ms * attempts);
    }
    CHECK_FALSE(backoff.MayRetry(kPrompt, 12, 10s));
  }
}

TEST_CASE("removal of an object that is being created")
{
  WriteState creation(true);
  CHECK(creation.IsUnwritten());
  creation.OnSent();
  CHECK(creation.IsInFlight());
  CHECK_FALSE(creation.IsUnwritten());

  SUBCASE("is not needed if the store was not reached")
  {
    creation.OnEnded(false);
    CHECK(creation.IsUnwritten());
  }

  SUBCASE("is needed if an attempt may have been executed")
  {
    creation.OnEnded(true);
    creation.OnSent();
    creation.OnEnded(false);
    CHECK_FALSE(creation.IsUnwritten());
  }

  SUBCASE("is needed if the object was there before")
  {
    CHECK_FALSE(WriteState(false).IsUnwritten());
  }
}
