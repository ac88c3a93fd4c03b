#include "harness/platform_stand_in.hpp"
#include "harness/stand_in_main.hpp"

#include <CLI/CLI.hpp>

int
main(int argc, char** argv)
{
  CLI::App app("Stands in for the platform in tests");
  int port = 0;
  app.add_option("--port", port, "TCP port; 0 lets the system choose");
  CLI11_PARSE(app, argc, argv);
  figslip::test::PlatformStandIn platform;
  return figslip::test::ServeUntilStopped(port, platform.Routes());
}
