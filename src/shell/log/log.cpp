#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

INITIALIZE_EASYLOGGINGPP

namespace figslip::log {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = { "debug",
                                                          "info",
                                                          "warning",
                                                          "error" };

struct State
{
  std::string mInstance;
  Level mLowest = Level::Info;
};

State&
SharedState()
{
  static State sState;
  return sState;
}

} // namespace

void
Configure(std::string_view aInstance, std::string_view aLevel)
{
  auto& state = SharedState();
  state.mInstance = aInstance;
  const auto* const level = std::ranges::find(kLevelNames, aLevel);
  if (level != kLevelNames.end()) {
    state.mLowest = static_cast<Level>(level - kLevelNames.begin());
  }
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void
Write(Level aLevel,
      std::string_view aEvent,
      std::initializer_list<Field> aFields)
{
  const auto& state = SharedState();
  if (aLevel < state.mLowest) {
    return;
  }
  nlohmann::ordered_json line = {
    { "time_ms", ToUnixMillis(ReadClock()) },
    { "level", kLevelNames.at(static_cast<std::size_t>(aLevel)) },
    { "instance", state.mInstance },
    { "event", aEvent },
  };
  for (const auto& field : aFields) {
    line[std::string(field.mName)] = field.mValue;
  }
  const auto text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  LOG(INFO) << text;
}

} // namespace figslip::log
