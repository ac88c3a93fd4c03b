#include <figslip/ingress/configuration_recovery.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

namespace figslip::ingress {

namespace {

constexpr std::string_view kPrefix = "configuration.";

} // namespace

std::string
ConfigurationRecovery::RecordName(std::int64_t aVersion)
{
  return std::string(kPrefix) + std::to_string(aVersion);
}

std::optional<std::int64_t>
ConfigurationRecovery::VersionOf(std::string_view aName)
{
  if (!aName.starts_with(kPrefix)) {
    return std::nullopt;
  }
  const std::string digits(aName.substr(kPrefix.size()));
  const auto* const end = digits.data() + digits.size();
  std::int64_t version = 0;
  const auto read = std::from_chars(digits.data(), end, version);
  // another spelling of the number is another name
  const bool isVersion = read.ec == std::errc{} && read.ptr == end &&
                         version >= 0 && RecordName(version) == aName;
  return isVersion ? std::optional(version) : std::nullopt;
}

void
ConfigurationRecovery::OnInForce(std::int64_t aVersion)
{
  mInForce = aVersion;
  mIsPublished = false;
}

Duration
ConfigurationRecovery::DelayOf(bool aFollowsStore) const
{
  const auto spread =
    std::max(mOptions.mMinSpread, mOptions.mSpreadPerInstance * mInstanceCount);
  const auto part = static_cast<Duration::rep>(
    mOptions.mSeed % static_cast<std::uint64_t>(spread.count()));
  return Duration(part) +
         (aFollowsStore ? Duration::zero() : mOptions.mFollowerDelay);
}

void
ConfigurationRecovery::OnStored(std::int64_t aVersion,
                                store::StoreEra aEra,
                                bool aFollowsStore,
                                TimePoint aNow)
{
  if (aEra != mStoredEra) {
    mIsPublished = false;
  }
  mStored = aVersion;
  mStoredEra = aEra;
  mDueAt = aNow + DelayOf(aFollowsStore);
  mRemovalAt = mDueAt;
}

void
ConfigurationRecovery::OnRecords(std::set<std::int64_t> aVersions,
                                 store::StoreEra aEra,
                                 TimePoint aNow)
{
  const bool hasVanished = aEra == mRecordEra && mRecords.contains(mInForce) &&
                           !aVersions.contains(mInForce);
  if (hasVanished) {
    mIsPublished = false;
    mDueAt = std::max(mDueAt, aNow + mOptions.mVanishedDelay + DelayOf(true));
  }
  mRecords = std::move(aVersions);
  mRecordEra = aEra;
}

bool
ConfigurationRecovery::TakeDue(TimePoint aNow)
{
  const bool hasRecord = KnowsRecords() && mRecords.contains(mInForce);
  const bool isDue = mStored >= 0 && mStored < mInForce && !hasRecord &&
                     !mIsPublished && aNow >= mDueAt;
  mIsPublished = mIsPublished || isDue;
  return isDue;
}

std::vector<std::string>
ConfigurationRecovery::TakeObsolete(bool aFollowsStore, TimePoint aNow)
{
  std::vector<std::string> names;
  if (!aFollowsStore || !KnowsRecords() || aNow < mRemovalAt) {
    return names;
  }
  const auto end = mRecords.upper_bound(mStored);
  std::transform(mRecords.begin(), end, std::back_inserter(names), RecordName);
  mRecords.erase(mRecords.begin(), end);
  return names;
}

} // namespace figslip::ingress
