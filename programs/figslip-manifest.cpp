#include <figslip/manifest/manifest_diff.hpp>
#include <figslip/manifest/manifest_publisher.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>

namespace {

using figslip::Result;
using figslip::error::ErrorKind;
using figslip::manifest::Manifest;

constexpr int kExitOk = 0;
constexpr int kExitDifferent = 1; ///< `diff` found changes
constexpr int kExitRefused = 1;   ///< `publish` lost against another generation
constexpr int kExitBadInput = 2;
constexpr int kExitPlatform =
  3; ///< the platform fails or the outcome is unknown

constexpr auto kExitCodes =
  "Exit codes: 0 done or no changes; 1 diff: there are changes, publish: "
  "another generation is in force; 2 findings in a file or wrong usage; "
  "3 publish: the platform cannot be used or the outcome is unknown";

Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  if (!file) {
    return figslip::Failure(
      ErrorKind::UnreadableFile, aPath, "the file cannot be read");
  }
  return text;
}

Result<Manifest>
ReadManifest(const std::string& aPath)
{
  BOOST_OUTCOME_TRY(text, ReadFile(aPath));
  return figslip::manifest::ParseManifest(text);
}

int
ReportFindings(const figslip::error::Findings& aFindings, int aExitCode)
{
  std::cerr << figslip::error::JoinMessages(aFindings) << '\n';
  return aExitCode;
}

int
Check(const std::string& aPath)
{
  const auto read = ReadManifest(aPath);
  if (!read) {
    return ReportFindings(read.assume_error(), kExitBadInput);
  }
  const auto& manifest = read.assume_value();
  std::cout << "generation " << manifest.mGeneration << ": "
            << manifest.mFailureDomains.size() << " failure domains, "
            << manifest.mModels.size() << " models, "
            << manifest.mCascades.size() << " cascades, "
            << manifest.mServices.size() << " services, "
            << manifest.mUpstreams.size() << " upstreams, "
            << manifest.mClientAccounts.size() << " client accounts\n";
  return kExitOk;
}

int
Diff(const std::string& aOldPath, const std::string& aNewPath)
{
  const auto before = ReadManifest(aOldPath);
  if (!before) {
    return ReportFindings(before.assume_error(), kExitBadInput);
  }
  const auto after = ReadManifest(aNewPath);
  if (!after) {
    return ReportFindings(after.assume_error(), kExitBadInput);
  }
  const auto changes = figslip::manifest::DiffManifests(before.assume_value(),
                                                        after.assume_value());
  for (const auto& change : changes) {
    std::cout << change.mPlace << ": " << change.mText << '\n';
  }
  return changes.empty() ? kExitOk : kExitDifferent;
}

int
ExitCodeOf(const figslip::error::Findings& aFindings)
{
  switch (aFindings.front().mKind) {
    case ErrorKind::LowerGeneration:
    case ErrorKind::PlatformConflict:
      return kExitRefused;
    case ErrorKind::PlatformUnavailable:
    case ErrorKind::PlatformOutcomeUnknown:
    case ErrorKind::PlatformMalformed:
      return kExitPlatform;
    default:
      return kExitBadInput;
  }
}

int
Publish(const std::string& aPath,
        const figslip::http::Endpoint& aPlatform,
        const figslip::manifest::PublishOptions& aOptions)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return ReportFindings(text.assume_error(), kExitBadInput);
  }
  const figslip::platform::PlatformClient platform(
    { .mEndpoint = aPlatform },
    std::make_shared<figslip::http::HttpClient>(
      figslip::http::HttpClient::Options{}));
  const auto published =
    figslip::manifest::PublishManifest(platform, text.assume_value(), aOptions);
  if (!published) {
    const auto& findings = published.assume_error();
    return ReportFindings(findings, ExitCodeOf(findings));
  }
  const auto& result = published.assume_value();
  std::cout << "generation " << result.mGeneration
            << (result.mAlreadyThere ? " was published before"
                                     : " is published")
            << '\n';
  return kExitOk;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Checks, compares and publishes manifests of figslip");
  app.footer(kExitCodes);
  app.require_subcommand(1);
  int exitCode = kExitOk;

  std::string file;
  auto* const check = app.add_subcommand("check", "Prints all findings");
  check->add_option("file", file, "JSON file with the manifest")->required();
  check->callback([&] { exitCode = Check(file); });

  std::string newFile;
  auto* const diff = app.add_subcommand("diff", "Lists the changes in words");
  diff->add_option("old", file, "manifest before")->required();
  diff->add_option("new", newFile, "manifest after")->required();
  diff->callback([&] { exitCode = Diff(file, newFile); });

  figslip::http::Endpoint platform;
  figslip::manifest::PublishOptions options;
  auto* const publish =
    app.add_subcommand("publish", "Puts a manifest in force");
  publish->add_option("file", file, "JSON file with the manifest")->required();
  publish->add_option("--platform-address", platform.mAddress, "IP number")
    ->required();
  publish->add_option("--platform-port", platform.mPort, "TCP port")
    ->required()
    ->check(CLI::Range(1, 65'535));
  publish->add_option("--expected-generation",
                      options.mExpectedGeneration,
                      "generation seen in force, 0 for none; the one before "
                      "the new generation if not given");
  publish->callback([&] { exitCode = Publish(file, platform, options); });

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadInput;
  }
  return exitCode;
}
