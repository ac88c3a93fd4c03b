#include <figslip/log/line_budget.hpp>
#include <figslip/log/line_sink.hpp>
#include <figslip/log/log.hpp>
#include <figslip/time/wall_clock.hpp>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <mutex>

INITIALIZE_EASYLOGGINGPP

namespace figslip::log {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = { "debug",
                                                          "info",
                                                          "warning",
                                                          "error" };

/// Limit on the lines buffered while standard output is not writable.
constexpr std::size_t kMaxBufferedBytes = 262'144;

struct State
{
  std::mutex mMutex;
  std::string mInstance;
  Level mMinLevel = Level::Info;
  LineBudget mBudget{ {} };
  LineSink mSink{ STDOUT_FILENO, kMaxBufferedBytes };
};

State&
SharedState()
{
  static State sState;
  return sState;
}

/// Forwards the lines of easylogging++ to the non-blocking sink.
class SinkDispatch : public el::LogDispatchCallback
{
protected:
  void handle(const el::LogDispatchData* aData) override
  {
    SharedState().mSink.Write(aData->logMessage()->message() + "\n");
  }
};

constexpr const char* kDispatchName = "figslip_sink";

} // namespace

void
Configure(std::string_view aInstance, std::string_view aLevel)
{
  auto& state = SharedState();
  state.mInstance = aInstance;
  const auto* const level = std::ranges::find(kLevelNames, aLevel);
  if (level != kLevelNames.end()) {
    state.mMinLevel = static_cast<Level>(level - kLevelNames.begin());
  }
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  el::Helpers::installLogDispatchCallback<SinkDispatch>(kDispatchName);
}

void
Write(Level aLevel,
      std::string_view aEvent,
      std::initializer_list<Field> aFields)
{
  auto& state = SharedState();
  if (aLevel < state.mMinLevel) {
    return;
  }
  const std::scoped_lock lock(state.mMutex);
  const auto suppressed = state.mBudget.TryConsume(aEvent, ReadBootClock());
  if (!suppressed) {
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
  if (*suppressed > 0) {
    line["left_out"] = *suppressed;
  }
  if (const auto dropped = state.mSink.Dropped()) {
    line["dropped"] = dropped;
  }
  const auto text =
    line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  LOG(INFO) << text;
}

void
Flush()
{
  auto& state = SharedState();
  const std::scoped_lock lock(state.mMutex);
  state.mSink.Flush();
}

} // namespace figslip::log
