#pragma once

#include <figslip/error/result.hpp>
#include <figslip/routing/request.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace figslip::session {

/// @brief Holds a secret key that signs session tokens, and its id.
struct SigningKey
{
  std::string mId;     ///< letters and digits; included in every token it signs
  std::string mSecret; ///< HMAC key; the same on all entries
};

/// @brief Signs and verifies session tokens.
///
/// A token contains the pin of its session, so every entry can serve the
/// session without shared state, even during a network partition. The first key
/// signs and all keys verify, so keys can be rotated without invalidating the
/// tokens of open sessions.
class SessionSigner
{
public:
  /// @param[in] aKeys the keys, the signing key first; not empty
  explicit SessionSigner(std::vector<SigningKey> aKeys);

  /// @brief Creates the signed token of a session.
  [[nodiscard]] std::string Sign(const routing::SessionPin& aPin) const;

  /// @brief Verifies the signature of a token and decodes it.
  /// @return the pin, or a `ForgedSession` finding if the token is malformed,
  /// its key is unknown or its signature does not match
  [[nodiscard]] Result<routing::SessionPin> Verify(
    std::string_view aToken) const;

private:
  std::vector<SigningKey> mKeys;
};

} // namespace figslip::session
