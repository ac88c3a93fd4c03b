#include <figslip/error/error_kind.hpp>
#include <figslip/error/finding.hpp>

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <set>
#include <string>

using namespace figslip::error;

namespace {

std::string
ErrorPage()
{
  std::ifstream file(FIGSLIP_SOURCE_DIR "/docs/ERRORS.md");
  return { std::istreambuf_iterator<char>(file), {} };
}

std::string
TagOf(const ErrorDescription& aError)
{
  return "[" + std::string(aError.mTopic) + "." + std::string(aError.mName) +
         "." + std::to_string(aError.mNumber) + "]";
}

} // namespace

TEST_CASE("the table of errors")
{
  SUBCASE("gives each kind a number and a name of its own, in rising order")
  {
    std::set<std::string> names;
    int previous = 99;
    for (const auto& error : AllErrors()) {
      CAPTURE(error.mNumber);
      CHECK(error.mNumber > previous);
      CHECK(error.mNumber < 1000);
      CHECK(
        names.insert(std::string(error.mTopic) + "." + std::string(error.mName))
          .second);
      previous = error.mNumber;
    }
  }

  SUBCASE("describes every kind")
  {
    const auto last = static_cast<int>(ErrorKind::MalformedRecord);
    CHECK(AllErrors().size() == static_cast<std::size_t>(last) + 1);
    for (int kind = 0; kind <= last; ++kind) {
      const auto& description = Describe(static_cast<ErrorKind>(kind));
      CHECK(static_cast<int>(description.mKind) == kind);
      const auto found = FindErrorByNumber(description.mNumber);
      CHECK((found && found->mKind == description.mKind));
    }
  }

  SUBCASE("has nothing under a number that was never given")
  {
    CHECK_FALSE(FindErrorByNumber(0));
    CHECK_FALSE(FindErrorByNumber(999));
  }

  SUBCASE("is documented whole, each error with an example")
  {
    const auto page = ErrorPage();
    REQUIRE_FALSE(page.empty());
    for (const auto& error : AllErrors()) {
      CAPTURE(TagOf(error));
      CHECK(page.find(TagOf(error)) != std::string::npos);
    }
  }
}

TEST_CASE("findings")
{
  const Findings findings = {
    { ErrorKind::DuplicateName, "/models/3/name", "\"a\" is already defined" },
    { ErrorKind::BadSetting, "/port", "bad" }
  };

  SUBCASE("start with topic, name and number")
  {
    CHECK(findings[0].Message() == "[manifest.duplicate_name.104] "
                                   "/models/3/name: \"a\" is already defined");
  }

  SUBCASE("are joined one a line")
  {
    CHECK(JoinMessages(findings) ==
          findings[0].Message() + "\n" + findings[1].Message());
    CHECK(JoinMessages({}).empty());
  }
}
