#include <figslip/json/document.hpp>
#include <figslip/json/raw_value.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace json = figslip::json;
using figslip::json::ParseDocument;
using figslip::json::PointerTo;

namespace {

std::string
Refusal(const std::string& aText)
{
  const auto parsed = ParseDocument(aText);
  return parsed ? "accepted"
                : figslip::error::JoinMessages(parsed.assume_error());
}

std::string
Nested(int aDepth)
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

} // namespace

TEST_CASE("a JSON document")
{
  SUBCASE("is parsed")
  {
    CHECK(ParseDocument(R"({"a":[1,{"b":2}]})").assume_value()["a"][1]["b"] ==
          2);
  }

  SUBCASE("with a field given twice")
  {
    SUBCASE("is refused with the place of each")
    {
      CHECK(Refusal(R"({"a":1,"a":2,"b":[{},{"c/d":1,"c/d":2}]})") ==
            "[manifest.duplicate_field.105] /a: the field is given more than "
            "once\n[manifest.duplicate_field.105] /b/1/c~1d: the field is "
            "given more than once");
    }

    SUBCASE("in different objects is accepted")
    {
      CHECK(ParseDocument(R"([{"a":1},{"a":{"a":1}}])"));
    }

    SUBCASE("thousands of times is refused with a bounded list")
    {
      std::string text = "{\"a\":0";
      for (int count = 0; count < 5000; ++count) {
        text += ",\"a\":0";
      }
      CHECK(ParseDocument(text + "}").assume_error().size() == 100);
    }
  }

  SUBCASE("that is nested deeply")
  {
    SUBCASE("is parsed up to the limit")
    {
      CHECK(ParseDocument(Nested(64)));
    }

    SUBCASE("is refused beyond it")
    {
      CHECK(Refusal(Nested(65)).find("nested deeper than 64 levels") !=
            std::string::npos);
      CHECK(Refusal(std::string(1'000'000, '['))
              .find("nested deeper than 64 levels") != std::string::npos);
      CHECK_FALSE(ParseDocument(std::string(100'000, '{')));
    }
  }

  SUBCASE("with a number that no double can hold is refused")
  {
    CHECK(Refusal("[1e999]") == "[manifest.malformed_json.101] number: number "
                                "overflow parsing '1e999'");
  }

  SUBCASE("that is malformed is refused with the byte")
  {
    CHECK(Refusal("{\"a\":}") ==
          "[manifest.malformed_json.101] byte 6: parse error at line 1, column "
          "6: syntax error while parsing value - unexpected '}'; expected '[', "
          "'{', or a literal");
    for (const auto* const text :
         { "", " ", "{", "nul", "[1,]", "\"\xff\"", "\"\xc0\xaf\"", "1 2" }) {
      CAPTURE(text);
      CHECK_FALSE(ParseDocument(text));
    }
    CHECK_FALSE(ParseDocument(std::string("[1]\0", 4)));
  }
}

TEST_CASE("a JSON pointer escapes what it must")
{
  CHECK(PointerTo("", "a~b/c") == "/a~0b~1c");
  CHECK(PointerTo("/a", std::size_t{ 12 }) == "/a/12");
}

TEST_CASE("a text that is split before it is parsed")
{
  SUBCASE("keeps the neighbours of what cannot be parsed")
  {
    const auto split =
      json::SplitArray(" [ 1e999, \"\xff\" ,{\"a\":\"]\\\"\"}, [[NaN]] ] ");
    REQUIRE(split);
    const auto& values = split.assume_value();
    REQUIRE(values.size() == 4);
    CHECK_FALSE(json::ParseValue(values[0]));
    CHECK_FALSE(json::ParseValue(values[1]));
    CHECK(json::ParseValue(values[2]).assume_value()["a"] == "]\"");
    CHECK(values[3].mDepth == 2);
    CHECK_FALSE(json::ParseValue(values[3]));
  }

  SUBCASE("has the fields of an object in order")
  {
    const auto split = json::SplitObject(R"({"a" : 1 , "b\n":{"c":[]},"a":2})");
    REQUIRE(split);
    const auto& fields = split.assume_value();
    REQUIRE(fields.size() == 3);
    CHECK(fields[1].mName == "b\n");
    CHECK(fields[1].mValue.mText == R"({"c":[]})");
    CHECK(json::FindField(fields, "a")->mText == "2");
    CHECK(json::FindField(fields, "c") == nullptr);
  }

  SUBCASE("may be empty")
  {
    CHECK(json::SplitArray("[ ]").assume_value().empty());
    CHECK(json::SplitObject("{}").assume_value().empty());
  }

  SUBCASE("must have brackets and quotes that match")
  {
    for (const auto* const text : { "",
                                    " ",
                                    "[",
                                    "]",
                                    "[1",
                                    "[1,",
                                    "[1,]",
                                    "[,]",
                                    "[1 2]",
                                    "[\"a]",
                                    "[\"\\",
                                    "[1]]",
                                    "[1]x",
                                    "7" }) {
      CAPTURE(text);
      CHECK_FALSE(json::SplitArray(text));
    }
    for (const auto* const text :
         { "{", "{\"a\"}", "{\"a\":}", "{\"a\":1", "{:1}", "[]" }) {
      CAPTURE(text);
      CHECK_FALSE(json::SplitObject(text));
    }
  }

  SUBCASE("is bounded in depth and size where it is parsed")
  {
    const auto nested = [](std::size_t aDepth) {
      return std::string(aDepth, '[') + std::string(aDepth, ']');
    };
    CHECK(json::ParseValue(nested(64)));
    CHECK_FALSE(json::ParseValue(nested(65)));
    CHECK_FALSE(json::ParseValue(nested(1'000'000)));
    CHECK_FALSE(json::ParseValue('"' + std::string(3'000'000, 'x') + '"'));
  }
}
