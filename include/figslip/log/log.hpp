#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace figslip::log {

/// @brief Severity levels of log lines in ascending order.
enum class Level
{
  Debug,
  Info,
  Warning,
  Error
};

/// @brief Name and value of one additional field of a structured log line.
struct Field
{
  std::string_view mName;
  std::string mValue;
};

/// @brief Configures logging to standard output, one JSON object per line.
///
/// An unknown level leaves the current minimum unchanged, `info` by default.
/// @param[in] aInstance name of the instance, written in every line
/// @param[in] aLevel minimum level written: `debug`, `info`, `warning`, `error`
/// @note Not thread-safe; call it before other threads write lines.
void
Configure(std::string_view aInstance, std::string_view aLevel);

/// @brief Writes one line without blocking on the reader of standard output;
/// thread-safe.
///
/// The rate of lines is limited per event, see `LineBudget`; the field
/// `left_out` of the next line counts the suppressed ones. The field `dropped`
/// counts the lines lost since the start because the output buffer was full.
/// @param[in] aLevel severity; a line below the configured minimum is discarded
/// @param[in] aEvent name of the event, in lower case with underscores
/// @param[in] aFields additional fields; a value that is not valid UTF-8 is
/// written with replacement characters
void
Write(Level aLevel,
      std::string_view aEvent,
      std::initializer_list<Field> aFields = {});

/// @brief Writes lines that were buffered while standard output was not
/// writable; thread-safe.
void
Flush();

} // namespace figslip::log
