#pragma once

#include <figslip/error/error_kind.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace figslip::error {

/// @brief Describes one fault together with the place where it was found.
struct Finding
{
  ErrorKind mKind;    ///< what is wrong
  std::string mPlace; ///< a JSON pointer, a header name or an address
  std::string mText;  ///< the explanation, without number and place

  /// @brief Formats the finding as `[topic.name.number] place: text`.
  /// @return one line without a line break
  [[nodiscard]] std::string Message() const;

  bool operator==(const Finding&) const = default;
};

/// @brief Holds all findings of one check, in the order they were found.
using Findings = std::vector<Finding>;

/// @brief Joins the messages of all findings.
/// @param[in] aFindings the findings to print
/// @param[in] aSeparator the text between two messages
/// @return the joined text, empty without findings
[[nodiscard]] std::string
JoinMessages(const Findings& aFindings, std::string_view aSeparator = "\n");

} // namespace figslip::error
