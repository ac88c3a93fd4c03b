#include <figslip/kernel/kernel.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using figslip::kernel::Kernel;

namespace {

struct Recorder
{
  std::vector<std::string> mEvents;

  void Register(Kernel& aKernel,
                const std::string& aName,
                std::vector<std::string> aDependsOn,
                bool aFails = false)
  {
    aKernel.Register<std::string>(
      { .mName = aName,
        .mDependsOn = std::move(aDependsOn),
        .mStart = [this, aName, aFails]() -> figslip::Result<void> {
          mEvents.push_back("start " + aName);
          if (aFails) {
            return figslip::Failure(
              figslip::error::ErrorKind::BadSetting, aName, "does not start");
          }
          return figslip::outcome::success();
        },
        .mStop = [this, aName] { mEvents.push_back("stop " + aName); } },
      std::make_shared<std::string>(aName));
  }
};

} // namespace

TEST_CASE("a kernel")
{
  Recorder recorder;
  Kernel kernel;

  SUBCASE("with services that depend on each other")
  {
    recorder.Register(kernel, "c", { "b", "a" });
    recorder.Register(kernel, "b", { "a" });
    recorder.Register(kernel, "a", {});

    SUBCASE("finds them by name before the start")
    {
      CHECK(*kernel.Find<std::string>("b") == "b");
    }

    SUBCASE("starts them in order of dependency, stops them in reverse")
    {
      REQUIRE(kernel.Start());
      kernel.Stop();
      kernel.Stop();
      CHECK(recorder.mEvents ==
            std::vector<std::string>{
              "start a", "start b", "start c", "stop c", "stop b", "stop a" });
    }
  }

  SUBCASE("stops what it started when a service does not start")
  {
    recorder.Register(kernel, "a", {});
    recorder.Register(kernel, "b", { "a" }, true);
    recorder.Register(kernel, "c", { "b" });
    const auto started = kernel.Start();
    REQUIRE_FALSE(started);
    CHECK(started.assume_error().front().Message() ==
          "[settings.bad_setting.202] b: does not start");
    CHECK(recorder.mEvents ==
          std::vector<std::string>{ "start a", "start b", "stop a" });
  }

  SUBCASE("refuses dependencies that are missing or circular")
  {
    SUBCASE("missing")
    {
      recorder.Register(kernel, "a", { "b" });
    }
    SUBCASE("circular")
    {
      recorder.Register(kernel, "a", { "b" });
      recorder.Register(kernel, "b", { "a" });
    }
    const auto started = kernel.Start();
    REQUIRE_FALSE(started);
    CHECK(started.assume_error().front().Message() ==
          "[settings.bad_setting.202] service a: its dependencies are missing "
          "or circular");
    CHECK(recorder.mEvents.empty());
  }
}
