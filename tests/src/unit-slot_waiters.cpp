#include <figslip/admission/slot_waiters.hpp>

#include <doctest/doctest.h>

#include <optional>

using namespace figslip;
using admission::SlotWaiters;

// The load: connections whose next requests are there before the responses, so
// that each takes the slot that it has just freed.
TEST_CASE("a pipelined request")
{
  SlotWaiters waiters;
  CHECK_FALSE(waiters.MustYield("engines", true));

  SUBCASE("leaves slots to requests that wait at the same service")
  {
    std::optional<SlotWaiters::Wait> first;
    first.emplace(waiters, "engines");
    std::optional<SlotWaiters::Wait> second;
    second.emplace(waiters, "engines");
    CHECK(waiters.MustYield("engines", true));
    CHECK_FALSE(waiters.MustYield("engines", false));
    CHECK_FALSE(waiters.MustYield("plain", true));

    SUBCASE("until the last of them has ended")
    {
      first.reset();
      CHECK(waiters.MustYield("engines", true));
      second.reset();
      CHECK_FALSE(waiters.MustYield("engines", true));
    }
  }
}
