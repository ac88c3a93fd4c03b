#include <figslip/relay/source_choice.hpp>

#include <xxhash.h>

#include <algorithm>

namespace figslip::relay {

namespace {

std::uint64_t
HashOf(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
SeedOf(std::string_view aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

} // namespace

SourceChoice::SourceChoice(Options aOptions)
  : mOptions(std::move(aOptions))
{
}

void
SourceChoice::OnPeers(const std::vector<Peer>& aPeers)
{
  mBefore.clear();
  mOthers.clear();
  const auto domain = SeedOf(mOptions.mFailureDomain);
  const auto own = HashOf(mOptions.mInstance, domain);
  for (const auto& peer : aPeers) {
    if (peer.mInstance == mOptions.mInstance) {
      continue;
    }
    const bool isBefore = peer.mFailureDomain == mOptions.mFailureDomain &&
                          HashOf(peer.mInstance, domain) < own;
    (isBefore ? mBefore : mOthers).push_back(peer);
  }
  std::ranges::sort(mBefore, {}, [&](const Peer& aPeer) {
    return HashOf(aPeer.mInstance, domain);
  });
  const auto mine = SeedOf(mOptions.mInstance);
  std::ranges::sort(mOthers, {}, [&](const Peer& aPeer) {
    return HashOf(aPeer.mInstance, mine);
  });
  mOthers.resize(std::min(mOthers.size(), mOptions.mMaxOthers));
  std::erase_if(mFailures, [&](const auto& aFailure) {
    return std::ranges::find(aPeers, aFailure.first, &Peer::mInstance) ==
           aPeers.end();
  });
}

std::optional<Peer>
SourceChoice::Next(bool aHasLostStore, TimePoint aNow) const
{
  const auto first =
    [&](const std::vector<Peer>& aPeers) -> std::optional<Peer> {
    const auto found = std::ranges::find_if(aPeers, [&](const Peer& aPeer) {
      return !IsAvoided(aPeer.mInstance, aNow);
    });
    return found == aPeers.end() ? std::nullopt : std::optional(*found);
  };
  auto peer = first(mBefore);
  if (!peer && aHasLostStore) {
    peer = first(mOthers);
  }
  return peer;
}

void
SourceChoice::OnAnswered(std::string_view aInstance)
{
  const auto found = mFailures.find(aInstance);
  if (found != mFailures.end()) {
    mFailures.erase(found);
  }
}

void
SourceChoice::OnFailed(std::string_view aInstance,
                       SourceFailure aFailure,
                       TimePoint aNow)
{
  auto& failure = mFailures[std::string(aInstance)];
  if (aFailure == SourceFailure::NoCopy) {
    failure = { .mInRow = 0, .mUntil = aNow + mOptions.mNoCopyAvoid };
    return;
  }
  const auto time = mOptions.mAvoid * (1 << std::min(failure.mInRow, 10));
  ++failure.mInRow;
  failure.mUntil = aNow + std::min<Duration>(time, mOptions.mMaxAvoid);
}

bool
SourceChoice::IsAvoided(std::string_view aInstance, TimePoint aNow) const
{
  const auto found = mFailures.find(aInstance);
  return found != mFailures.end() && aNow < found->second.mUntil;
}

} // namespace figslip::relay
