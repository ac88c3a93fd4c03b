#include <figslip/membership/instance_count.hpp>

#include <doctest/doctest.h>

#include <chrono>

using namespace figslip;
using namespace std::chrono_literals;

TEST_CASE("common limits are not divided among fewer instances than serve")
{
  constexpr TimePoint kStart{ std::chrono::hours(1) };
  membership::InstanceCount count(10s);

  SUBCASE("without a list there is this instance")
  {
    CHECK(count.At(kStart) == 1);
    count.OnRegistered(0, kStart);
    CHECK(count.At(kStart) == 1);
  }

  SUBCASE("an instance that stops is counted until it has ended")
  {
    count.OnRegistered(5, kStart);
    count.OnRegistered(4, kStart + 1s);
    CHECK(count.At(kStart + 1s) == 5);
    CHECK(count.At(kStart + 10'999ms) == 5);
    CHECK(count.At(kStart + 11s) == 4);
  }

  SUBCASE("also when all of them are restarted in turn")
  {
    count.OnRegistered(5, kStart);
    for (int stopped = 1; stopped <= 5; ++stopped) {
      count.OnRegistered(5 - stopped, kStart + stopped * 1s);
    }
    CHECK(count.At(kStart + 6s) == 5);
    CHECK(count.At(kStart + 12s) == 3);
    CHECK(count.At(kStart + 20s) == 1);
  }

  SUBCASE("a new instance is counted at once")
  {
    count.OnRegistered(2, kStart);
    count.OnRegistered(3, kStart + 1s);
    CHECK(count.At(kStart + 1s) == 3);
  }
}
