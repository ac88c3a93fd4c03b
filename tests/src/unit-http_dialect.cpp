#include <figslip/ingress/dialect.hpp>
#include <platform/http_dialect.hpp>

#include <doctest/doctest.h>

#include <optional>
#include <string>

using namespace figslip;

namespace {

std::optional<ingress::ReportedLoad>
ReadLoad(const std::string& aText)
{
  const auto dialect = platform::MakeHttpDialect();
  return dialect
    .mReadResponse(
      { .mStatus = 200,
        .mHeaders = { { .mName = "X-Server-Load", .mValue = aText } } })
    .mLoad;
}

} // namespace

TEST_CASE("the load that an upstream reports")
{
  SUBCASE("has running and waiting requests and slots")
  {
    const auto load = ReadLoad("3,1,8");
    REQUIRE(load);
    CHECK(load->mRunning == 3);
    CHECK(load->mWaiting == 1);
    CHECK(load->mSlots == 8);
    CHECK_FALSE(load->mTimeFactor);
  }

  // regression: the slots and the time of work were read as one number, and the
  // whole report was lost
  SUBCASE("is not lost with the time that work takes")
  {
    const auto load = ReadLoad("3,0,8,250");
    REQUIRE(load);
    CHECK(load->mRunning == 3);
    CHECK(load->mSlots == 8);
    CHECK(load->mTimeFactor == 2.5);

    SUBCASE("nor with figures that may follow")
    {
      REQUIRE(ReadLoad("3,0,8,100,7"));
      CHECK(ReadLoad("3,0,8,100,7")->mTimeFactor == 1.0);
    }

    SUBCASE("nor with a time that is none")
    {
      for (const auto* const text :
           { "3,0,8,", "3,0,8,0", "3,0,8,-5", "3,0,8,x" }) {
        CAPTURE(text);
        REQUIRE(ReadLoad(text));
        CHECK_FALSE(ReadLoad(text)->mTimeFactor);
      }
    }
  }

  SUBCASE("is ignored as a whole where one of the three is missing")
  {
    for (const auto* const text :
         { "", "3", "3,0", "3,0,", "x,0,8", "3,,8,100" }) {
      CAPTURE(text);
      CHECK_FALSE(ReadLoad(text));
    }
  }
}
