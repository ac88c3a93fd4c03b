#include "harness/process.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <sys/wait.h>

using figslip::test::ProgramFolder;
using figslip::test::WriteTemporaryFile;

namespace {

/// Runs a program to its end and returns its exit code.
int
ExitCodeOf(const std::string& aCommand)
{
  const auto line =
    ProgramFolder() + "/" + aCommand + " > /dev/null 2> /dev/null";
  // the arguments are all made up here
  const int status =
    std::system(line.c_str()); // NOLINT(bugprone-command-processor)
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string
ManifestFile(const std::string& aName, int aGeneration, const char* aState)
{
  return WriteTemporaryFile(
    aName,
    R"({"format":1,"generation":)" + std::to_string(aGeneration) +
      R"(,"failure_domains":[{"name":"a","region":"r","state":")" + aState +
      R"("}]})");
}

} // namespace

TEST_CASE("figslip-manifest ends with the exit codes that its help names")
{
  const auto in = ManifestFile("in.json", 1, "in");
  const auto out = ManifestFile("out.json", 2, "out");
  const auto bad = ManifestFile("bad.json", 0, "in");
  const std::string program = "figslip-manifest ";

  CHECK(ExitCodeOf(program + "check " + in) == 0);
  CHECK(ExitCodeOf(program + "check " + bad) == 2);
  CHECK(ExitCodeOf(program + "check /none") == 2);
  CHECK(ExitCodeOf(program + "diff " + in + " " + in) == 0);
  CHECK(ExitCodeOf(program + "diff " + in + " " + out) == 1);
  CHECK(ExitCodeOf(program + "diff " + in + " " + bad) == 2);
  CHECK(ExitCodeOf(program + "publish " + in) == 2);
  CHECK(ExitCodeOf(program) == 2);
  CHECK(ExitCodeOf(program + "--help") == 0);

  SUBCASE("and publishes to a platform")
  {
    figslip::test::Process platform("standin-platform", {});
    const auto place = " --platform-address 127.0.0.1 --platform-port " +
                       std::to_string(platform.WaitForPort("port"));
    CHECK(ExitCodeOf(program + "publish " + out + place) == 1);
    CHECK(ExitCodeOf(program + "publish " + in + place) == 0);
    CHECK(ExitCodeOf(program + "publish " + bad + place) == 2);
    CHECK(ExitCodeOf(program + "publish " + out + place +
                     " --expected-generation 0") == 1);
    CHECK(ExitCodeOf(program + "publish " + out + place) == 0);
    CHECK(ExitCodeOf(program + "publish " + in + place) == 1);
    platform.Kill();
    CHECK(ExitCodeOf(program + "publish " + out + place) == 3);
  }
}

TEST_CASE("figslip-entry --check only checks the settings")
{
  const std::string good =
    R"({"instance":"e","failure_domain":"a","address":"127.0.0.1",)"
    R"("platform_address":"127.0.0.1","platform_port":1,)"
    R"("session_keys":[{"id":"k","secret":"s"}]})";
  const auto file = WriteTemporaryFile("good-settings.json", good);
  const auto twice = WriteTemporaryFile("twice-settings.json",
                                        R"({"instance":"d",)" + good.substr(1));
  CHECK(ExitCodeOf("figslip-entry --check " + file) == 0);
  CHECK(ExitCodeOf("figslip-entry --check --caller-port 70000 " + file) == 2);
  CHECK(ExitCodeOf("figslip-entry --check " + twice) == 2);
  // an option must not hide what is wrong in the file
  CHECK(ExitCodeOf("figslip-entry --check --caller-port 7 " + twice) == 2);
  CHECK(ExitCodeOf("figslip-entry --check /none") == 2);
}
