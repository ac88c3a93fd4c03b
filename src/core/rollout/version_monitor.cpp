#include <figslip/rollout/version_monitor.hpp>

#include <algorithm>
#include <iterator>

namespace figslip::rollout {

VersionMonitor::VersionMonitor(const evidence::EvidenceStore& aEvidence,
                               bool aLearns)
  : mEvidence(aEvidence)
  , mLearns(aLearns)
{
}

void
VersionMonitor::OnManifest(const manifest::ManifestIndex& aManifest,
                           TimePoint /*aNow*/)
{
  std::vector<Watched> watched;
  for (const auto& model : aManifest.Content().mModels) {
    for (const auto& version : model.mVersions) {
      const auto* const before = Find(version.mName);
      const bool keep = before != nullptr && before->mState == version.mState;
      watched.push_back(
        { .mName = version.mName,
          .mState = version.mState,
          .mShare = keep ? before->mShare : version.mInitialShare,
          .mStopped = keep && before->mStopped });
    }
  }
  mWatched = std::move(watched);
}

std::vector<std::string>
VersionMonitor::Evaluate(TimePoint /*aNow*/)
{
  constexpr std::uint64_t kEnoughBad = 20;
  if (!mLearns) {
    return {};
  }
  std::vector<std::string> stopped;
  for (auto& version : mWatched) {
    const auto counts = mEvidence.SumOfVersion(version.mName);
    if (!version.mStopped && counts.mBad > kEnoughBad &&
        counts.mBad > counts.mGood) {
      version.mStopped = true;
      stopped.push_back(version.mName);
    }
  }
  return stopped;
}

void
VersionMonitor::StopVersion(std::string_view aVersion, TimePoint /*aNow*/)
{
  const auto found = std::ranges::find(mWatched, aVersion, &Watched::mName);
  if (found != mWatched.end()) {
    found->mStopped = true;
  }
}

const VersionMonitor::Watched*
VersionMonitor::Find(std::string_view aVersion) const
{
  const auto found = std::ranges::find(mWatched, aVersion, &Watched::mName);
  return found == mWatched.end() ? nullptr : &*found;
}

bool
VersionMonitor::IsStopped(std::string_view aVersion) const
{
  const auto* const found = Find(aVersion);
  return found != nullptr && found->mStopped;
}

std::vector<std::string>
VersionMonitor::Stopped() const
{
  std::vector<std::string> names;
  for (const auto& version : mWatched) {
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
  return found == nullptr ? aVersion.mInitialShare : found->mShare;
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
