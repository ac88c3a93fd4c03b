#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace figslip::log {

/// @brief Lists the levels of log lines, the least urgent first.
enum class Level
{
  Debug,
  Info,
  Warning,
  Error
};

/// @brief Holds one field of a structured log line.
struct Field
{
  std::string_view mName;
  std::string mValue;
};

/// @brief Sets up logging to standard output, one JSON object a line.
/// @param[in] aInstance name of the instance, a field of every line
/// @param[in] aLevel lowest level written: `debug`, `info`, `warning`, `error`
void
Configure(std::string_view aInstance, std::string_view aLevel);

/// @brief Writes one line; never waits for the reader of standard output.
///
/// Each event has a budget of lines; see `LineBudget`. Lines that are left out
/// are counted in the field `left_out` of the next one.
/// @param[in] aEvent name of the event, in lower case with underscores
void
Write(Level aLevel,
      std::string_view aEvent,
      std::initializer_list<Field> aFields = {});

/// @brief Writes lines that were kept while nobody read standard output.
void
Flush();

} // namespace figslip::log
