#include <figslip/manifest/manifest.hpp>
#include <figslip/manifest/manifest_keeper.hpp>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>

using namespace figslip;
using namespace figslip::manifest;

namespace {

/// Makes one of a few manifests; variants share a generation.
std::string
TextOf(std::int64_t aGeneration, int aVariant)
{
  Manifest manifest{ .mGeneration = aGeneration };
  manifest.mFailureDomains = { { .mName = "d", .mRegion = "r" } };
  manifest.mFailureDomains[0].mRegion += std::to_string(aVariant);
  return PrintManifest(manifest);
}

/// Says in a few lines what a keeper has to do.
struct Oracle
{
  std::int64_t mGeneration = 0;
  std::string mText;
  TimePoint mConfirmedAt;

  OfferResult Offer(const std::string& aText,
                    std::int64_t aGeneration,
                    bool aValid,
                    TimePoint aConfirmedAt)
  {
    if (!aValid) {
      return OfferResult::Invalid;
    }
    if (aText == mText) {
      mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
      return OfferResult::Confirmed;
    }
    if (aGeneration <= mGeneration) {
      return OfferResult::Lower;
    }
    mGeneration = aGeneration;
    mText = aText;
    mConfirmedAt = aConfirmedAt;
    return OfferResult::Adopted;
  }
};

} // namespace

TEST_CASE("a keeper of the manifest does as its oracle, whatever is offered")
{
  CHECK(rc::check("keeper and oracle agree", [] {
    ManifestKeeper keeper;
    Oracle oracle;
    TimePoint now{ std::chrono::seconds(1000) };
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
      const std::int64_t generation = *rc::gen::inRange(1, 8);
      const bool valid = *rc::gen::inRange(0, 4) > 0;
      auto text = TextOf(generation, *rc::gen::inRange(0, 2));
      if (!valid) {
        text += "}";
      }
      // the clock of a peer may be behind or ahead
      const auto seen =
        now + std::chrono::milliseconds(*rc::gen::inRange(-5000, 5000));
      const auto before = keeper.Generation();
      switch (*rc::gen::inRange(0, 3)) {
        case 0:
          RC_ASSERT(keeper.OfferFromPlatform(text, now) ==
                    oracle.Offer(text, generation, valid, now));
          break;
        case 1:
          RC_ASSERT(keeper.OfferFromPeer(text, seen, now) ==
                    oracle.Offer(text, generation, valid, std::min(seen, now)));
          break;
        default:
          keeper.ConfirmFromPeer(generation, seen, now);
          if (generation == oracle.mGeneration) {
            oracle.mConfirmedAt =
              std::max(oracle.mConfirmedAt, std::min(seen, now));
          }
      }
      RC_ASSERT(keeper.Generation() == oracle.mGeneration);
      RC_ASSERT(keeper.Generation() >= before);
      RC_ASSERT(keeper.Text() == oracle.mText);
      RC_ASSERT(keeper.ConfirmedAt() == oracle.mConfirmedAt);
      RC_ASSERT(keeper.ConfirmedAt() <= now);
      RC_ASSERT((keeper.InForce() == nullptr) == (oracle.mGeneration == 0));
    }
  }));
}

TEST_CASE("a keeper that refuses a manifest")
{
  ManifestKeeper keeper;
  const TimePoint now{ std::chrono::seconds(1000) };
  REQUIRE(keeper.OfferFromPlatform(TextOf(3, 0), now) == OfferResult::Adopted);

  SUBCASE("keeps the one in force and names the findings")
  {
    CHECK(keeper.OfferFromPlatform(R"({"format":1,"generation":0})", now) ==
          OfferResult::Invalid);
    CHECK(keeper.Generation() == 3);
    CHECK(keeper.LastFindings().front().Message() ==
          "[manifest.out_of_range.107] /generation: 0 is not between 1 and "
          "9223372036854775807");

    SUBCASE("until it adopts a good one")
    {
      CHECK(keeper.OfferFromPlatform(TextOf(4, 0), now) ==
            OfferResult::Adopted);
      CHECK(keeper.LastFindings().empty());
    }
  }
}
