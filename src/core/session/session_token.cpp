#include <figslip/session/session_token.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <optional>
#include <ranges>
#include <utility>

namespace figslip::session {

namespace {

/// Length of an HMAC-SHA-256 value.
constexpr std::size_t kSignatureBytes = 32;
constexpr char kFieldSeparator = '\n';
constexpr std::string_view kHexDigits = "0123456789abcdef";

std::string
ToHex(std::string_view aBytes)
{
  std::string text;
  text.reserve(aBytes.size() * 2);
  for (const char character : aBytes) {
    const auto byte = static_cast<unsigned char>(character);
    text += kHexDigits[byte >> 4U];
    text += kHexDigits[byte & 0xFU];
  }
  return text;
}

std::optional<std::string>
FromHex(std::string_view aText)
{
  if (aText.size() % 2 != 0) {
    return std::nullopt;
  }
  std::string bytes;
  bytes.reserve(aText.size() / 2);
  for (std::size_t index = 0; index < aText.size(); index += 2) {
    const auto high = kHexDigits.find(aText[index]);
    const auto low = kHexDigits.find(aText[index + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return std::nullopt;
    }
    bytes += static_cast<char>((high << 4U) | low);
  }
  return bytes;
}

std::string
ComputeSignature(const SigningKey& aKey, std::string_view aPayload)
{
  std::array<unsigned char, kSignatureBytes> bytes{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.mSecret.data(),
       static_cast<int>(aKey.mSecret.size()),
       reinterpret_cast<const unsigned char*>(aPayload.data()),
       aPayload.size(),
       bytes.data(),
       &length);
  assert(length == bytes.size());
  return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

/// Returns the text that is signed. It includes the key id, so that a token
/// cannot be presented under the id of another key.
std::string
SignedText(const SigningKey& aKey, std::string_view aPayload)
{
  return aKey.mId + kFieldSeparator + std::string(aPayload);
}

std::vector<std::string>
Split(std::string_view aText, char aSeparator)
{
  std::vector<std::string> parts;
  for (const auto part : std::views::split(aText, aSeparator)) {
    parts.emplace_back(part.begin(), part.end());
  }
  return parts;
}

auto
ForgedSessionFailure(std::string aText)
{
  return Failure(
    error::ErrorKind::ForgedSession, "Figslip-Session", std::move(aText));
}

} // namespace

SessionSigner::SessionSigner(std::vector<SigningKey> aKeys)
  : mKeys(std::move(aKeys))
{
  assert(!mKeys.empty());
}

std::string
SessionSigner::Sign(const routing::SessionPin& aPin) const
{
  const auto& key = mKeys.front();
  const auto payload = aPin.mAccount + kFieldSeparator + aPin.mTarget +
                       kFieldSeparator + aPin.mVersion;
  return key.mId + "." + ToHex(payload) + "." +
         ToHex(ComputeSignature(key, SignedText(key, payload)));
}

Result<routing::SessionPin>
SessionSigner::Verify(std::string_view aToken) const
{
  const auto parts = Split(aToken, '.');
  if (parts.size() != 3) {
    return ForgedSessionFailure("the token is malformed");
  }
  const auto key = std::ranges::find(mKeys, parts[0], &SigningKey::mId);
  const auto payload = FromHex(parts[1]);
  const auto signature = FromHex(parts[2]);
  if (key == mKeys.end() || !payload || !signature) {
    return ForgedSessionFailure(
      "the token is malformed or its key is not known");
  }
  const auto expected = ComputeSignature(*key, SignedText(*key, *payload));
  if (signature->size() != expected.size() ||
      CRYPTO_memcmp(signature->data(), expected.data(), expected.size()) != 0) {
    return ForgedSessionFailure("the signature of the token does not match");
  }
  auto fields = Split(*payload, kFieldSeparator);
  if (fields.size() != 3) {
    return ForgedSessionFailure("the token does not describe a session");
  }
  return routing::SessionPin{ .mAccount = std::move(fields[0]),
                              .mTarget = std::move(fields[1]),
                              .mVersion = std::move(fields[2]) };
}

} // namespace figslip::session
