#include <harness/prompt_world.hpp>

#include <doctest/doctest.h>

#include <future>
#include <vector>

using namespace figslip;
using test::CallerAnswer;
using test::CheckDeadlyParts;
using test::kDeadlyPart;
using test::kOtherDeadlyPart;
using test::Parts;
using test::PromptWorld;

TEST_CASE("a first part that was never served is refused for two deadly parts "
          "beside it")
{
  PromptWorld world;
  std::vector<std::future<CallerAnswer>> beside;
  CheckDeadlyParts(world, { { kDeadlyPart }, { kOtherDeadlyPart } }, beside);
}
