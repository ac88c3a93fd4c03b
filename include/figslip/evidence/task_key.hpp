#pragma once

#include <string>
#include <string_view>

namespace figslip::evidence {

/// @brief Lists how a request came to a stage, since the answers differ.
///
/// Escalated requests are harder than others, and answers that passed a check
/// of their score are better than others; counts of the three do not mix.
enum class StagePath
{
  Committed, ///< the answer is delivered whatever its score
  Checked,   ///< the first stage; a low score escalates
  Escalated  ///< an earlier stage scored low
};

/// @brief Returns the name that a task key holds.
[[nodiscard]] constexpr std::string_view
NameOf(StagePath aPath)
{
  switch (aPath) {
    case StagePath::Committed:
      return "committed";
    case StagePath::Checked:
      return "checked";
    case StagePath::Escalated:
      break;
  }
  return "escalated";
}

/// @brief Names the group of like requests that evidence is counted for.
/// @param[in] aCascade name of the cascade; empty if none
/// @param[in] aTaskKind task kind of the request
/// @param[in] aPath how the request came to the stage
[[nodiscard]] inline std::string
TaskKey(std::string_view aCascade, std::string_view aTaskKind, StagePath aPath)
{
  std::string key(aCascade);
  key += '/';
  key += aTaskKind;
  key += '/';
  key += NameOf(aPath);
  return key;
}

} // namespace figslip::evidence
