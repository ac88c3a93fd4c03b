#include <figslip/billing/ledger.hpp>
#include <figslip/http/http_client.hpp>
#include <figslip/platform/platform_client.hpp>

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

namespace billing = figslip::billing;
namespace platform = figslip::platform;

constexpr int kExitClean = 0;
constexpr int kExitFindings = 1;
constexpr int kExitNotRead = 2;
constexpr int kMaxPort = 65'535;

void
ReadFiles(const std::vector<std::string>& aPaths, billing::Ledger& aLedger)
{
  for (const auto& path : aPaths) {
    std::ifstream file(path);
    if (!file) {
      aLedger.AddFinding({ figslip::error::ErrorKind::UnreadableFile,
                           path,
                           "the file cannot be read" });
      continue;
    }
    const std::string text{ std::istreambuf_iterator<char>(file), {} };
    aLedger.AddBatch(path, text);
  }
}

/// Reads all batches; one that cannot be read is a finding.
/// @return whether the batches could be listed
bool
ReadPlatform(const figslip::http::Endpoint& aEndpoint, billing::Ledger& aLedger)
{
  const platform::PlatformClient client(
    { .mEndpoint = aEndpoint },
    std::make_shared<figslip::http::HttpClient>(
      figslip::http::HttpClient::Options{}));
  const auto names = client.List("billing");
  if (!names) {
    std::cerr << figslip::error::JoinMessages(names.assume_error()) << '\n';
    return false;
  }
  for (const auto& name : names.assume_value()) {
    const auto stored = client.Read({ .mKind = "billing", .mName = name });
    if (stored) {
      aLedger.AddBatch("billing/" + name, stored.assume_value().mValue);
      continue;
    }
    for (auto finding : stored.assume_error()) {
      finding.mPlace = "billing/" + name;
      aLedger.AddFinding(std::move(finding));
    }
  }
  return true;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Audits billing batches: bills each request once, sums up by "
               "client account and version, exits with 1 on findings");
  std::vector<std::string> paths;
  figslip::http::Endpoint endpoint;
  bool json = false;
  auto* const files = app.add_option("files", paths, "files with a batch each");
  auto* const address = app.add_option(
    "--platform-address", endpoint.mAddress, "IP number of the platform");
  app.add_option("--platform-port", endpoint.mPort, "TCP port of the platform")
    ->check(CLI::Range(1, kMaxPort))
    ->needs(address);
  app.add_flag("--json", json, "prints JSON instead of text");
  files->excludes(address);
  CLI11_PARSE(app, argc, argv);
  if (paths.empty() && endpoint.mPort == 0) {
    std::cerr << "name files, or the platform by --platform-address and "
                 "--platform-port\n";
    return kExitNotRead;
  }
  billing::Ledger ledger;
  ReadFiles(paths, ledger);
  if (endpoint.mPort != 0 && !ReadPlatform(endpoint, ledger)) {
    return kExitNotRead;
  }
  ledger.Close();
  std::cout << (json ? billing::PrintJson(ledger) : billing::PrintText(ledger));
  return ledger.Findings().empty() ? kExitClean : kExitFindings;
}
