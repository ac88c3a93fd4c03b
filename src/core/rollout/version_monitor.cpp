#include <figslip/rollout/version_monitor.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace figslip::rollout {

namespace {

/// Log evidence that doubles the share of a version in roll-out.
constexpr double kEvidencePerDoubling = 1.5;

/// Upper bound of the share until operators declare the version stable.
constexpr double kMaxRollOutShare = 0.5;

/// Share of a version that is held back; enough to collect further ratings.
constexpr double kHeldBackShare = 0.02;

} // namespace

VersionMonitor::VersionMonitor(const evidence::EvidenceStore& aEvidence,
                               bool aIsAdaptive)
  : mEvidence(aEvidence)
  , mIsAdaptive(aIsAdaptive)
{
}

void
VersionMonitor::OnManifest(const manifest::ManifestIndex& aManifest,
                           TimePoint /*aNow*/)
{
  std::vector<TrackedVersion> tracked;
  for (const auto& model : aManifest.Content().mModels) {
    for (const auto& version : model.mVersions) {
      const auto* const before = Find(version.mName);
      const bool keep = before != nullptr && before->mState == version.mState;
      tracked.push_back(
        { .mName = version.mName,
          .mModel = model.mName,
          .mState = version.mState,
          .mInitialShare = version.mInitialShare,
          .mShare = keep ? before->mShare : version.mInitialShare,
          .mStopped = keep && before->mStopped });
    }
  }
  mVersions = std::move(tracked);
}

std::vector<TestStratum>
VersionMonitor::StrataOf(const TrackedVersion& aVersion) const
{
  std::vector<TestStratum> strata;
  for (const auto& [taskKey, series] :
       mEvidence.SeriesOfVersion(aVersion.mName)) {
    TestStratum stratum{ .mSeries = series };
    for (const auto& other : mVersions) {
      if (other.mModel == aVersion.mModel && other.mName != aVersion.mName &&
          other.mState == manifest::VersionState::Stable && !other.mStopped) {
        stratum.mReference +=
          mEvidence.Sum({ other.mName, std::string(taskKey) });
      }
    }
    strata.push_back(stratum);
  }
  return strata;
}

std::vector<std::string>
VersionMonitor::Evaluate(TimePoint /*aNow*/)
{
  std::vector<std::string> stopped;
  if (!mIsAdaptive) {
    return stopped;
  }
  for (auto& version : mVersions) {
    if (version.mStopped ||
        version.mState == manifest::VersionState::Withdrawn) {
      continue;
    }
    const auto result = TestVersion(StrataOf(version));
    if (std::max(result.mRatingEvidence, result.mErrorEvidence) >=
        kStopThreshold) {
      version.mStopped = true;
      stopped.push_back(version.mName);
      continue;
    }
    const double suspicion = std::max(
      { result.mRatingEvidence, result.mErrorEvidence, result.mScoreEvidence });
    version.mIsHeldBack = suspicion >= kHoldThreshold;
    if (version.mIsHeldBack) {
      continue;
    }
    // evidence expires, but the share never shrinks
    const double earned =
      version.mInitialShare *
      std::exp2(result.mGrowthEvidence / kEvidencePerDoubling);
    version.mShare =
      std::max(version.mShare, std::min(kMaxRollOutShare, earned));
  }
  return stopped;
}

void
VersionMonitor::StopVersion(std::string_view aVersion, TimePoint /*aNow*/)
{
  const auto found =
    std::ranges::find(mVersions, aVersion, &TrackedVersion::mName);
  if (found != mVersions.end()) {
    found->mStopped = true;
  }
}

const VersionMonitor::TrackedVersion*
VersionMonitor::Find(std::string_view aVersion) const
{
  const auto found =
    std::ranges::find(mVersions, aVersion, &TrackedVersion::mName);
  return found == mVersions.end() ? nullptr : &*found;
}

bool
VersionMonitor::IsStopped(std::string_view aVersion) const
{
  const auto* const found = Find(aVersion);
  return found != nullptr && found->mStopped;
}

std::vector<std::string>
VersionMonitor::StoppedVersions() const
{
  std::vector<std::string> names;
  for (const auto& version : mVersions) {
    if (version.mStopped) {
      names.push_back(version.mName);
    }
  }
  return names;
}

double
VersionMonitor::ShareOf(const manifest::ModelVersion& aVersion) const
{
  const auto* const found = Find(aVersion.mName);
  if (found == nullptr) {
    return aVersion.mInitialShare;
  }
  return found->mIsHeldBack ? std::min(found->mShare, kHeldBackShare)
                            : found->mShare;
}

const manifest::ModelVersion*
VersionMonitor::Choose(std::span<const manifest::ModelVersion* const> aVersions,
                       std::mt19937_64& aRandom) const
{
  std::vector<const manifest::ModelVersion*> stable;
  double draw = std::uniform_real_distribution<double>(0.0, 1.0)(aRandom);
  const manifest::ModelVersion* fallback = nullptr;
  for (const auto* const version : aVersions) {
    if (IsStopped(version->mName)) {
      continue;
    }
    if (version->mState == manifest::VersionState::Stable) {
      stable.push_back(version);
      continue;
    }
    fallback = version;
    const double share = ShareOf(*version);
    if (draw < share) {
      return version;
    }
    draw -= share;
  }
  if (stable.empty()) {
    return fallback;
  }
  std::uniform_int_distribution<std::size_t> pick(0, stable.size() - 1);
  return stable[pick(aRandom)];
}

} // namespace figslip::rollout
