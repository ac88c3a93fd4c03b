#include <figslip/ingress/configuration_recovery.hpp>

#include <charconv>
#include <utility>

namespace figslip::ingress {

namespace {

constexpr std::string_view kPrefix = "configuration.";

/// Time after which a record that no list contains is published again.
constexpr auto kRepeatInterval = std::chrono::seconds(3);

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
  const auto digits = aName.substr(kPrefix.size());
  const auto* const end = digits.data() + digits.size();
  std::int64_t version = 0;
  const auto read = std::from_chars(digits.data(), end, version);
  const bool isVersion =
    read.ec == std::errc{} && read.ptr == end && version >= 0;
  return isVersion ? std::optional(version) : std::nullopt;
}

Duration
ConfigurationRecovery::DelayOf(bool aFollowsStore) const
{
  const auto spread = static_cast<Duration::rep>(
    mOptions.mSeed % static_cast<std::uint64_t>(mOptions.mSpread.count() + 1));
  return Duration(spread) +
         (aFollowsStore ? Duration::zero() : mOptions.mFollowerDelay);
}

void
ConfigurationRecovery::OnStored(std::int64_t aVersion,
                                bool aFollowsStore,
                                TimePoint aNow)
{
  mStored = aVersion;
  if (mStored < mInForce) {
    mDueAt = aNow + DelayOf(aFollowsStore);
  }
  mRemovalAt = aNow + DelayOf(aFollowsStore);
}

void
ConfigurationRecovery::OnRecords(std::set<std::int64_t> aVersions)
{
  mRecords = std::move(aVersions);
}

bool
ConfigurationRecovery::TakeDue(TimePoint aNow)
{
  const bool isDue = mStored >= 0 && mStored < mInForce &&
                     !mRecords.contains(mInForce) && aNow >= mDueAt;
  if (isDue) {
    mDueAt = aNow + kRepeatInterval;
  }
  return isDue;
}

std::vector<std::string>
ConfigurationRecovery::TakeObsolete(bool aFollowsStore, TimePoint aNow)
{
  std::vector<std::string> names;
  if (!aFollowsStore || aNow < mRemovalAt) {
    return names;
  }
  const auto end = mRecords.upper_bound(mStored);
  for (auto record = mRecords.begin(); record != end;) {
    names.push_back(RecordName(*record));
    record = mRecords.erase(record);
  }
  return names;
}

} // namespace figslip::ingress
