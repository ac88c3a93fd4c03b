#pragma once

#include <figslip/error/result.hpp>
#include <figslip/routing/request.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace figslip::session {

/// @brief Holds one key that signs session tokens.
struct SigningKey
{
  std::string mId;     ///< letters and digits; part of every token
  std::string mSecret; ///< shared by all entries
};

/// @brief Signs and verifies session tokens.
///
/// A token carries the pin of its session, so that every entry can serve the
/// session without shared state, also across a network partition. The first
/// key signs; all keys verify, so that keys can be exchanged without a break.
class SessionSigner
{
public:
  /// @param[in] aKeys the keys, the signing one first; not empty
  explicit SessionSigner(std::vector<SigningKey> aKeys);

  /// @brief Makes the token of a session.
  [[nodiscard]] std::string Sign(const routing::SessionPin& aPin) const;

  /// @brief Verifies a token.
  /// @return the pin, or a finding of the kind `ForgedSession`
  [[nodiscard]] Result<routing::SessionPin> Verify(
    std::string_view aToken) const;

private:
  std::vector<SigningKey> mKeys;
};

} // namespace figslip::session
