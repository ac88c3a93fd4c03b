#include <doctest/doctest.h>

#include <limits>

// These are properties of the build, set in CMakeLists.txt.
static_assert(std::numeric_limits<char>::is_signed,
              "char has the sign that it has by default on x86-64");

TEST_CASE("a product and a sum are rounded one after the other")
{
  // the square of the factor is 1 + 2^-29 + 2^-60, whose last part is rounded
  // away unless the sum takes the exact product
  const volatile double factor = 1.0 + 0x1p-30;
  const volatile double subtrahend = 1.0 + 0x1p-29;
  CHECK(factor * factor - subtrahend == 0.0);
}
