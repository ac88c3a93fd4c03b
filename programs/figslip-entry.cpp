#include <figslip/entry/entry_daemon.hpp>
#include <figslip/json/document.hpp>
#include <figslip/log/log.hpp>
#include <figslip/settings/entry_settings.hpp>

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

struct Overrides
{
  std::optional<std::string> mAddress;
  std::optional<int> mCallerPort;
  std::optional<int> mPeerPort;
  std::optional<std::string> mLogLevel;
};

/// Applies the options of the command line to the text of the settings.
std::string
ApplyOverrides(const std::string& aText, const Overrides& aOverrides)
{
  auto document = nlohmann::json::parse(aText, nullptr, false);
  if (!document.is_object()) {
    return aText;
  }
  bool changed = false;
  const auto apply = [&](const char* aField, const auto& aValue) {
    if (aValue) {
      document[aField] = *aValue;
      changed = true;
    }
  };
  apply("address", aOverrides.mAddress);
  apply("caller_port", aOverrides.mCallerPort);
  apply("peer_port", aOverrides.mPeerPort);
  apply("log_level", aOverrides.mLogLevel);
  // a text with findings is checked as it is, as printing would hide some
  return changed && figslip::json::ParseDocument(aText) ? document.dump()
                                                        : aText;
}

figslip::Result<figslip::settings::EntrySettings>
ReadSettings(const std::string& aPath, const Overrides& aOverrides)
{
  std::ifstream file(aPath);
  if (!file) {
    return figslip::Failure(figslip::error::ErrorKind::UnreadableFile,
                            aPath,
                            "the file cannot be read");
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  return figslip::settings::ParseEntrySettings(
    ApplyOverrides(text, aOverrides));
}

/// Blocks the signals that stop the daemon, so that `WaitForStop` takes them.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void
WaitForStop(const sigset_t& aSignals)
{
  int signal = 0;
  sigwait(&aSignals, &signal);
}

int
RunDaemon(const figslip::settings::EntrySettings& aSettings)
{
  const auto signals = BlockStopSignals();
  figslip::log::Configure(aSettings.mInstance, aSettings.mLogLevel);
  figslip::entry::EntryDaemon daemon(aSettings);
  if (const auto started = daemon.Start(); !started) {
    std::cerr << figslip::error::JoinMessages(started.assume_error()) << '\n';
    return kExitFailed;
  }
  const nlohmann::json listening = { { "instance", aSettings.mInstance },
                                     { "caller_port", daemon.CallerPort() },
                                     { "peer_port", daemon.PeerPort() } };
  std::cout << listening.dump() << '\n' << std::flush;
  WaitForStop(signals);
  daemon.Stop();
  return kExitOk;
}

} // namespace

int
main(int argc, char** argv)
{
  CLI::App app("Serves callers of one failure domain of figslip");
  std::string path;
  Overrides overrides;
  app.add_option("settings", path, "JSON file with the settings")->required();
  bool checkOnly = false;
  app.add_flag("--check",
               checkOnly,
               "check the settings and exit: 0 if good, 2 with findings");
  app.add_option("--address", overrides.mAddress, "IP number to listen on");
  app.add_option(
    "--caller-port", overrides.mCallerPort, "TCP port for callers");
  app.add_option("--peer-port", overrides.mPeerPort, "TCP port for peers");
  app.add_option(
    "--log-level", overrides.mLogLevel, "debug, info, warning or error");
  CLI11_PARSE(app, argc, argv);
  const auto settings = ReadSettings(path, overrides);
  if (!settings) {
    std::cerr << figslip::error::JoinMessages(settings.assume_error()) << '\n';
    return kExitBadSettings;
  }
  if (checkOnly) {
    std::cout << "the settings of instance "
              << settings.assume_value().mInstance << " are good\n";
    return kExitOk;
  }
  return RunDaemon(settings.assume_value());
}
