#pragma once

#include <string>
#include <string_view>

namespace figslip::evidence {

/// @brief Path on which a request reached a stage of a cascade.
///
/// Escalated requests are harder than others, and answers that passed a check
/// of their score are better than others, so the three are counted separately.
enum class StagePath
{
  Committed, ///< the answer is delivered regardless of its score
  Checked,   ///< the first stage; a low score escalates
  Escalated  ///< the score of an earlier stage was low
};

/// @brief Returns the name of a path as it appears in a task key.
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

/// @brief Returns the key of a group of similar requests for counting evidence.
/// @param[in] aCascade name of the cascade; empty if none
/// @param[in] aTaskKind task kind of the request
/// @param[in] aPath path on which the request reached the stage
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
