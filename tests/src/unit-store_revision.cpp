#include <figslip/store/store_revision.hpp>

#include <doctest/doctest.h>

#include <compare>

using namespace figslip;
using store::IsBehind;
using store::StoreEra;
using store::StoreRevision;

TEST_CASE("revisions of the store")
{
  constexpr StoreRevision kEarly(StoreEra{ 1 }, 5);
  constexpr StoreRevision kLate(StoreEra{ 1 }, 9);

  SUBCASE("are ordered within an era")
  {
    CHECK(kEarly < kLate);
    CHECK(IsBehind(kEarly, kLate));
    CHECK_FALSE(IsBehind(kLate, kEarly));
    CHECK_FALSE(IsBehind(kLate, kLate));
  }

  SUBCASE("of different eras")
  {
    constexpr StoreRevision kRestored(StoreEra{ 2 }, 5);

    SUBCASE("are neither equal nor ordered")
    {
      CHECK(kRestored != kEarly);
      CHECK((kRestored <=> kEarly) == std::partial_ordering::unordered);
      CHECK((kRestored <=> kLate) == std::partial_ordering::unordered);
    }

    SUBCASE("belong to copies of which that of the earlier era is behind")
    {
      CHECK(IsBehind(kLate, kRestored));
      CHECK_FALSE(IsBehind(kRestored, kLate));
    }
  }
}
