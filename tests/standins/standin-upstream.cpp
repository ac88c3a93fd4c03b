#include "harness/stand_in_main.hpp"
#include "harness/upstream_stand_in.hpp"

#include <figslip/time/wall_clock.hpp>

#include <CLI/CLI.hpp>
#include <unistd.h>

int
main(int argc, char** argv)
{
  CLI::App app("Stands in for a model engine or a plain service in tests");
  int port = 0;
  figslip::test::UpstreamStandIn::Options options;
  std::vector<std::string> badShares;
  app.add_option("name", options.mName, "name of the upstream")->required();
  app.add_option("--port", port, "TCP port; 0 lets the system choose");
  app.add_option("--concurrency", options.mConcurrency);
  app.add_option("--cold-concurrency", options.mColdConcurrency);
  app.add_option("--cold-requests", options.mColdRequests);
  app.add_option("--token-ms", options.mTokenMs);
  app.add_option("--history",
                 options.mHistoryFile,
                 "file to which each request started is appended");
  app.add_flag("--takes-orders", options.mTakesOrders);
  app.add_flag("--checks-fencing", options.mChecksFencing);
  app.add_option("--bad-share", badShares, "VERSION=SHARE of bad answers");
  CLI11_PARSE(app, argc, argv);
  options.mBootId = std::to_string(getpid()) + "-" +
                    std::to_string(figslip::ToUnixMillis(figslip::ReadClock()));
  for (const auto& entry : badShares) {
    const auto equals = entry.find('=');
    if (equals == std::string::npos) {
      std::cerr << "--bad-share: expected VERSION=SHARE\n";
      return 2;
    }
    options.mBadShare[entry.substr(0, equals)] =
      std::stod(entry.substr(equals + 1));
  }
  figslip::test::UpstreamStandIn upstream(options);
  return figslip::test::ServeUntilStopped(port, upstream.Routes());
}
