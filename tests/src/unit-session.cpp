#include <figslip/session/session_token.hpp>

#include <doctest/doctest.h>

using figslip::routing::SessionPin;
using figslip::session::SessionSigner;
using figslip::session::SigningKey;

TEST_CASE("a session token")
{
  const SessionSigner signer({ { "k2", "new secret" }, { "k1", "secret" } });
  const SessionPin pin{ .mAccount = "salon",
                        .mTarget = "chat",
                        .mVersion = "small-1" };

  SUBCASE("created by a signer")
  {
    const auto token = signer.Sign(pin);

    SUBCASE("verifies to the same pin")
    {
      const auto verified = signer.Verify(token);
      REQUIRE(verified);
      CHECK(verified.assume_value() == pin);
    }

    SUBCASE("is accepted by a signer whose second key it is")
    {
      const SessionSigner other({ { "k3", "third" }, { "k2", "new secret" } });
      CHECK(other.Verify(token));
    }

    SUBCASE("is refused by a signer without the key")
    {
      const SessionSigner other(std::vector<SigningKey>{ { "k1", "secret" } });
      const auto verified = other.Verify(token);
      REQUIRE_FALSE(verified);
      CHECK(verified.assume_error().front().Message() ==
            "[request.forged_session.305] Figslip-Session: the token is "
            "malformed or its key is not known");
    }

    SUBCASE("is refused when any character is changed")
    {
      for (std::size_t index = 0; index < token.size(); ++index) {
        auto forged = token;
        forged[index] = forged[index] == '0' ? '1' : '0';
        CAPTURE(forged);
        CHECK_FALSE(signer.Verify(forged));
      }
    }
  }

  SUBCASE("is refused when malformed")
  {
    for (const auto* const token : { "", ".", "..", "k2.zz.00", "k2.0.0" }) {
      CAPTURE(token);
      CHECK_FALSE(signer.Verify(token));
    }
  }
}
