#include <figslip/manifest/manifest_keeper.hpp>

#include <algorithm>
#include <utility>

namespace figslip::manifest {

std::int64_t
ManifestKeeper::Generation() const
{
  return mInForce == nullptr ? 0 : mInForce->Generation();
}

OfferResult
ManifestKeeper::OfferFromPlatform(std::string_view aText, TimePoint aNow)
{
  return Offer(aText, aNow);
}

OfferResult
ManifestKeeper::OfferFromPeer(std::string_view aText,
                              TimePoint aConfirmedAt,
                              TimePoint aNow)
{
  // the clock of a peer may run ahead of ours
  return Offer(aText, std::min(aConfirmedAt, aNow));
}

void
ManifestKeeper::ConfirmFromPeer(std::int64_t aGeneration,
                                TimePoint aConfirmedAt,
                                TimePoint aNow)
{
  if (aGeneration == Generation()) {
    // a confirmation from the future would hold off the freshness limit
    mConfirmedAt = std::max(mConfirmedAt, std::min(aConfirmedAt, aNow));
  }
}

OfferResult
ManifestKeeper::Offer(std::string_view aText, TimePoint aConfirmedAt)
{
  if (mInForce != nullptr && aText == mText) {
    mConfirmedAt = std::max(mConfirmedAt, aConfirmedAt);
    return OfferResult::Confirmed;
  }
  if (aText == mRefusedText && !mRefusedText.empty()) {
    return OfferResult::Invalid;
  }
  auto parsed = ParseManifest(aText);
  if (!parsed) {
    mLastFindings = std::move(parsed).assume_error();
    mRefusedText = aText;
    return OfferResult::Invalid;
  }
  auto& manifest = parsed.assume_value();
  if (manifest.mGeneration <= Generation()) {
    return OfferResult::Lower;
  }
  mInForce = std::make_shared<const ManifestIndex>(std::move(manifest));
  mText = aText;
  mConfirmedAt = aConfirmedAt;
  mLastFindings.clear();
  return OfferResult::Adopted;
}

} // namespace figslip::manifest
