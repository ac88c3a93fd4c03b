#pragma once

#include <figslip/error/finding.hpp>

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

#include <string>
#include <utility>

namespace figslip {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// @brief Holds a value, or the findings that explain why there is none.
template<typename Value>
using Result =
  outcome::basic_result<Value, error::Findings, outcome::policy::terminate>;

/// @brief Makes the failure of a `Result` with one finding.
/// @param[in] aKind what is wrong
/// @param[in] aPlace where it was found
/// @param[in] aText the explanation
/// @return a failure that converts to any `Result`
[[nodiscard]] inline auto
Failure(error::ErrorKind aKind, std::string aPlace, std::string aText)
{
  return outcome::failure(error::Findings{
    error::Finding{ aKind, std::move(aPlace), std::move(aText) } });
}

} // namespace figslip
