#include <harness/prompt_world.hpp>

#include <doctest/doctest.h>

#include <future>
#include <vector>

using namespace figslip;
using test::CallerAnswer;
using test::CheckDeadlyParts;
using test::kDeadlyPart;
using test::kSubjects;
using test::Parts;
using test::PromptWorld;
using test::SubjectOf;

TEST_CASE("requests that share a deadly prompt part crash one upstream after "
          "the other")
{
  PromptWorld world;
  std::vector<Parts> deadly = { { kDeadlyPart } };
  std::vector<std::future<CallerAnswer>> beside;

  SUBCASE("alone") {}

  SUBCASE("beside sound requests whose parts were never served")
  {
    for (int number = 0; number < kSubjects; ++number) {
      beside.push_back(world.SendLater({ SubjectOf(number) }));
    }
  }

  SUBCASE("together with a sound part that was never served")
  {
    deadly = { { SubjectOf(0), kDeadlyPart }, { kDeadlyPart, SubjectOf(0) } };
  }
  CheckDeadlyParts(world, deadly, beside);
}
