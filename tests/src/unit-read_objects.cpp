#include <platform/read_objects.hpp>
#include <platform/store_dialect.hpp>

#include <doctest/doctest.h>

#include <string>

using namespace figslip;

namespace {

const std::string kGoodSpec =
  R"({"service":"engines","address":"10.0.0.1:80","zone":"a","version":"v1",)"
  R"("slots":8,"state":"ready","cold_remaining_ms":0,"born":1,"seq":1})";

std::string
Item(const std::string& aName, const std::string& aSpec)
{
  return R"({"metadata":{"name":")" + aName +
         R"(","revision":7,"created":3},"spec":)" + aSpec + "}";
}

/// Returns the good spec with a text replaced.
std::string
With(const std::string& aText, const std::string& aReplacement)
{
  auto spec = kGoodSpec;
  spec.replace(spec.find(aText), aText.size(), aReplacement);
  return spec;
}

store::Page
PageOf(const std::string& aOdd)
{
  const auto page = platform::ReadPage(
    {},
    R"({"items":[)" + Item("e-1", kGoodSpec) + "," + aOdd + "," +
      Item("e-3", kGoodSpec) + R"(],"has_more":true,"store_revision":9})");
  REQUIRE(page);
  return page.assume_value();
}

} // namespace

TEST_CASE("a page with an odd entry")
{
  std::string odd;

  SUBCASE("nested deeply")
  {
    odd = Item("e-2", std::string(500'000, '[') + std::string(500'000, ']'));
  }
  SUBCASE("nested deeply in a field that is not read")
  {
    odd =
      Item("e-2",
           With(R"("seq":1)",
                R"("more":)" + std::string(65, '[') + std::string(65, ']')));
  }
  SUBCASE("with a number that no double holds")
  {
    odd = Item("e-2", With(R"("seq":1)", R"("seq":1e999)"));
  }
  SUBCASE("with a whole number that is too large")
  {
    odd = Item("e-2", With(R"("seq":1)", R"("seq":99999999999999999999)"));
  }
  SUBCASE("with more slots than any upstream has")
  {
    odd = Item("e-2", With(R"("slots":8)", R"("slots":2000000000)"));
  }
  SUBCASE("with a time that overflows")
  {
    odd = Item("e-2", With(R"(_ms":0)", R"(_ms":1e14)"));
  }
  SUBCASE("with a port out of range")
  {
    odd = Item("e-2", With(":80", ":65536"));
  }
  SUBCASE("with the port 0")
  {
    odd = Item("e-2", With(":80", ":0"));
  }
  SUBCASE("with an address that is no IP number")
  {
    odd = Item("e-2", With("10.0.0.1", "host"));
  }
  SUBCASE("with bytes that are no text")
  {
    odd = Item("e-2", With("v1", "\xc3\x28"));
  }
  SUBCASE("with a zero byte")
  {
    odd = Item("e-2", With("v1", std::string("v\0", 2)));
  }
  SUBCASE("with a name that would end a header")
  {
    odd = Item("e\\r\\n", kGoodSpec);
  }
  SUBCASE("with a name of absurd length")
  {
    odd = Item(std::string(10'000, 'n'), kGoodSpec);
  }
  SUBCASE("without metadata")
  {
    odd = R"({"spec":)" + kGoodSpec + "}";
  }
  SUBCASE("that is no object")
  {
    odd = "[[7]]";
  }

  const auto page = PageOf(odd);
  CHECK(page.mHasMore);
  CHECK(page.mRevision == store::StoreRevision({}, 9));
  CHECK(page.mLastName == "e-3");
  REQUIRE(page.mObjects.size() == 3);
  CHECK(platform::ReadUpstream(page.mObjects[0]));
  CHECK_FALSE(platform::ReadUpstream(page.mObjects[1]));
  CHECK(platform::ReadUpstream(page.mObjects[2]));
}

TEST_CASE("changes with an odd object")
{
  const auto changes = platform::ReadChanges(
    {},
    R"({"events":[7,{"deleted":true},{"object":)" + Item("e-1", "1e999") +
      R"(,"deleted":[]},{"object":)" + Item("e-2", kGoodSpec) +
      R"(,"deleted":true}],"store_revision":9})");
  REQUIRE(changes);
  const auto& list = changes.assume_value().mChanges;
  REQUIRE(list.size() == 2);
  CHECK(list[0].mObject.mName == "e-1");
  CHECK(list[0].mObject.mRevision == store::StoreRevision({}, 7));
  CHECK_FALSE(list[0].mDeleted);
  CHECK_FALSE(platform::ReadUpstream(list[0].mObject));
  CHECK(list[1].mDeleted);
}

TEST_CASE("an answer of the store")
{
  const auto page =
    R"({"items":[)" + Item("e-1", kGoodSpec) + R"(],"store_revision":9})";
  const auto events = R"({"events":[{"object":)" + Item("e-1", kGoodSpec) +
                      R"(}],"store_revision":9})";

  SUBCASE("gives its era to all revisions in it")
  {
    constexpr store::StoreEra kEra{ 3 };
    const net::Headers headers = { { .mName = "store-era", .mValue = "3" } };
    const auto listed = platform::ReadPage(headers, page).value();
    CHECK(listed.mRevision == store::StoreRevision(kEra, 9));
    CHECK(listed.mObjects.at(0).mRevision == store::StoreRevision(kEra, 7));
    const auto changes = platform::ReadChanges(headers, events).value();
    CHECK(changes.mRevision == store::StoreRevision(kEra, 9));
    CHECK(changes.mChanges.at(0).mObject.mRevision ==
          store::StoreRevision(kEra, 7));
  }

  SUBCASE("is rejected if its era cannot be read")
  {
    for (const auto* const era :
         { "", "-1", "3x", "1e2", "99999999999999999999" }) {
      CAPTURE(era);
      const net::Headers headers = { { .mName = "Store-Era", .mValue = era } };
      const auto read = platform::ReadPage(headers, page);
      REQUIRE_FALSE(read);
      CHECK(error::JoinMessages(read.assume_error()).find("/Store-Era") !=
            std::string::npos);
      CHECK_FALSE(platform::ReadChanges(headers, events));
    }
  }
}

TEST_CASE("an odd status of a roll-out counts as none")
{
  for (const auto* const status :
       { "7", "1e999", "{\"state\":[]}", "{\"state\":\"odd\"}" }) {
    CAPTURE(status);
    const auto page = PageOf(
      R"({"metadata":{"name":"engines","revision":7},"spec":)"
      R"({"service":"engines","target":"v2","duration_s":10},"status":)" +
      std::string(status) + "}");
    const auto order = platform::ReadRollout(page.mObjects[1]);
    REQUIRE(order);
    CHECK(order.assume_value().mState == rollout::RolloutState::Ordered);
  }
}

TEST_CASE("only one object holds the configuration")
{
  const auto page = PageOf(Item("other", R"({"version":1000})"));
  CHECK_FALSE(platform::ReadConfiguration(page.mObjects[1]));
}

TEST_CASE("an odd name stays one part of a path")
{
  const auto dialect = platform::MakeStoreDialect();
  const std::string name = "a b\r\nX: 1/../c?\xc3\xa9";
  const std::string encoded = "a%20b%0D%0AX%3A%201%2F..%2Fc%3F%C3%A9";
  CHECK(dialect.mList(store::ObjectKind::Upstreams, name)
          .mTarget.ends_with("?after=" + encoded));
  CHECK(dialect.mRemoveShared(name).mTarget.ends_with("/" + encoded));
  CHECK(dialect.mReplaceShared(name, {}).mTarget.ends_with("/" + encoded));
  CHECK(dialect.mRemoveShared("instance.a-1_b~")
          .mTarget.ends_with("/instance.a-1_b~"));
  CHECK(dialect.mPutStatus({ .mOrder = { .mService = name } })
          .mTarget.ends_with("/" + encoded + "/status"));
}
