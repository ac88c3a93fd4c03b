#include <figslip/http/http_client.hpp>
#include <figslip/manifest/manifest.hpp>
#include <figslip/report/print_burn.hpp>
#include <figslip/report/sample.hpp>
#include <figslip/time/wall_clock.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <vector>

namespace {

namespace http = figslip::http;
namespace report = figslip::report;

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kOk = 200;
constexpr auto kTimeout = std::chrono::seconds(2);

struct SampleOptions
{
  std::vector<std::string> mDaemons; ///< each as `IP:PORT`
};

struct BurnOptions
{
  std::vector<std::string> mSamples;
  std::vector<std::string> mBatches;
  std::string mManifest;
  double mShortHours = 1.0;
  double mLongHours = 6.0;
  std::string mFormat = "text";
};

std::optional<http::Endpoint>
ParseEndpoint(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  http::Endpoint endpoint{ .mAddress = aText.substr(0, colon) };
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  const auto* const end = aText.data() + aText.size();
  const auto [stop, error] =
    std::from_chars(aText.data() + colon + 1, end, endpoint.mPort);
  if (error != std::errc{} || stop != end) {
    return std::nullopt;
  }
  return endpoint;
}

std::optional<std::string>
ReadMetrics(http::HttpClient& aClient, const std::string& aDaemon)
{
  const auto endpoint = ParseEndpoint(aDaemon);
  if (!endpoint) {
    return std::nullopt;
  }
  const http::ClientRequest request{ .mTarget = "/metrics",
                                     .mHeaders = {},
                                     .mBody = {} };
  const auto result = aClient.Call(*endpoint,
                                   request,
                                   { .mConnectTimeout = kTimeout,
                                     .mFirstByteTimeout = kTimeout,
                                     .mNextByteTimeout = kTimeout });
  const auto* const response = std::get_if<http::ClientResponse>(&result);
  if (response == nullptr || response->mStatus != kOk) {
    return std::nullopt;
  }
  return response->mBody;
}

/// Prints one sample; daemons that cannot be read are named in it.
int
TakeSample(const SampleOptions& aOptions)
{
  http::HttpClient client{ http::HttpClient::Options{} };
  report::Sample sample{ .mTakenAtMs =
                           figslip::ToUnixMillis(figslip::ReadClock()),
                         .mDaemons = {},
                         .mMissing = {},
                         .mCounts = {} };
  for (const auto& daemon : aOptions.mDaemons) {
    const auto text = ReadMetrics(client, daemon);
    const auto points =
      text ? report::ParseExposition(*text)
           : figslip::Result<std::vector<report::MetricPoint>>(figslip::Failure(
               figslip::error::ErrorKind::ReadFailed, daemon, "no metrics"));
    if (points) {
      report::AddDaemon(sample, daemon, points.assume_value());
    } else {
      std::cerr << figslip::error::JoinMessages(points.assume_error()) << '\n';
      sample.mMissing.push_back(daemon);
    }
  }
  std::cout << report::PrintSample(sample);
  return sample.mMissing.empty() ? kExitOk : kExitFailed;
}

/// Reads files and collects findings about those that cannot be read.
class FileReader
{
public:
  std::string Read(const std::string& aPath)
  {
    std::ifstream file(aPath);
    if (!file) {
      mFindings.push_back({ figslip::error::ErrorKind::UnreadableFile,
                            aPath,
                            "the file cannot be read" });
    }
    return { std::istreambuf_iterator<char>(file), {} };
  }

  template<typename Value>
  Value Take(figslip::Result<Value> aResult)
  {
    if (aResult) {
      return std::move(aResult).assume_value();
    }
    const auto& findings = aResult.assume_error();
    mFindings.insert(mFindings.end(), findings.begin(), findings.end());
    return {};
  }

  [[nodiscard]] const figslip::error::Findings& Findings() const
  {
    return mFindings;
  }

private:
  figslip::error::Findings mFindings;
};

report::BurnInput
ReadInput(const BurnOptions& aOptions, FileReader& aReader)
{
  using Hours = std::chrono::duration<double, std::ratio<3600>>;
  report::BurnInput input{
    .mSlos = aReader
               .Take(figslip::manifest::ParseManifest(
                 aReader.Read(aOptions.mManifest)))
               .mSlos,
    .mSamples = {},
    .mShort = std::chrono::duration_cast<figslip::Duration>(
      Hours(aOptions.mShortHours)),
    .mLong =
      std::chrono::duration_cast<figslip::Duration>(Hours(aOptions.mLongHours)),
    .mBatches = {}
  };
  std::string lines;
  for (const auto& path : aOptions.mSamples) {
    for (auto& sample :
         aReader.Take(report::ParseSamples(path, aReader.Read(path)))) {
      input.mSamples.push_back(std::move(sample));
    }
  }
  std::ranges::sort(input.mSamples, {}, &report::Sample::mTakenAtMs);
  for (const auto& path : aOptions.mBatches) {
    input.mBatches.push_back(aReader.Read(path));
  }
  return input;
}

int
PrintBurn(const BurnOptions& aOptions)
{
  FileReader reader;
  const auto input = ReadInput(aOptions, reader);
  if (!reader.Findings().empty()) {
    std::cerr << figslip::error::JoinMessages(reader.Findings()) << '\n';
    return kExitFailed;
  }
  const auto burns = report::ComputeBurn(input);
  if (!burns) {
    std::cerr << figslip::error::JoinMessages(burns.assume_error()) << '\n';
    return kExitFailed;
  }
  const auto& values = burns.assume_value();
  std::cout << (aOptions.mFormat == "json"   ? report::PrintJson(values)
                : aOptions.mFormat == "html" ? report::PrintHtml(values)
                                             : report::PrintText(values));
  return kExitOk;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Reports the service-level burn by client account and SLO");
  app.require_subcommand(1);
  SampleOptions sample;
  auto* const sampleCommand = app.add_subcommand(
    "sample", "prints the SLO counters of all daemons as one line of JSON");
  sampleCommand->add_option("daemons", sample.mDaemons, "IP:PORT of daemons")
    ->required();
  BurnOptions burn;
  auto* const burnCommand = app.add_subcommand(
    "burn",
    "computes budgets and burn rates from samples of two times or more");
  burnCommand->add_option("samples", burn.mSamples, "files with samples")
    ->required();
  burnCommand->add_option("--manifest", burn.mManifest, "file with the SLOs")
    ->required();
  burnCommand->add_option(
    "--billing", burn.mBatches, "files with billing batches");
  burnCommand
    ->add_option(
      "--short-hours", burn.mShortHours, "length of the short window")
    ->check(CLI::PositiveNumber);
  burnCommand
    ->add_option("--long-hours", burn.mLongHours, "length of the long window")
    ->check(CLI::PositiveNumber);
  burnCommand->add_option("--format", burn.mFormat, "text, json or html")
    ->check(CLI::IsMember({ "text", "json", "html" }));
  CLI11_PARSE(app, argc, argv);
  return *sampleCommand ? TakeSample(sample) : PrintBurn(burn);
}
