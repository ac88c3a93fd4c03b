#pragma once

#include <figslip/evidence/evidence_store.hpp>
#include <figslip/manifest/manifest_index.hpp>
#include <figslip/rollout/sequential_test.hpp>
#include <figslip/time/time_point.hpp>

#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::rollout {

/// @brief Controls the traffic share of each version of a model.
///
/// A version in roll-out starts at its initial share, which grows only with
/// evidence. This instance stops a bad version without waiting for others. The
/// version stays stopped until its state in the manifest changes.
class VersionMonitor
{
public:
  /// @param[in] aEvidence counts to test; must outlive the monitor
  /// @param[in] aIsAdaptive false disables the tests: shares stay constant, and
  /// versions are stopped only by StopVersion()
  explicit VersionMonitor(const evidence::EvidenceStore& aEvidence,
                          bool aIsAdaptive = true);

  /// @brief Applies a new manifest; keeps the share and the stop of a version
  /// whose state is unchanged.
  void OnManifest(const manifest::ManifestIndex& aManifest, TimePoint aNow);

  /// @brief Tests all versions and adjusts their shares.
  /// @return names of the versions stopped by this call
  std::vector<std::string> Evaluate(TimePoint aNow);

  /// @brief Stops a version that a peer reported as stopped.
  void StopVersion(std::string_view aVersion, TimePoint aNow);

  /// @brief Returns whether a version is stopped at this instance.
  [[nodiscard]] bool IsStopped(std::string_view aVersion) const;

  /// @brief Returns the names of all versions stopped at this instance.
  [[nodiscard]] std::vector<std::string> StoppedVersions() const;

  /// @brief Chooses a version of a model at random, weighted by the shares.
  /// @param[in] aVersions candidates, all of one model
  /// @param[in] aRandom seeded generator
  /// @return the chosen version; null if there are no candidates or all are
  /// stopped
  [[nodiscard]] const manifest::ModelVersion* Choose(
    std::span<const manifest::ModelVersion* const> aVersions,
    std::mt19937_64& aRandom) const;

private:
  struct TrackedVersion
  {
    std::string mName;
    std::string mModel;
    manifest::VersionState mState;
    double mInitialShare = 1.0;
    double mShare = 1.0;
    bool mStopped = false;
    bool mIsHeldBack = false; ///< suspected to be worse; its share is limited
  };

  [[nodiscard]] std::vector<TestStratum> StrataOf(
    const TrackedVersion& aVersion) const;
  [[nodiscard]] const TrackedVersion* Find(std::string_view aVersion) const;
  [[nodiscard]] double ShareOf(const manifest::ModelVersion& aVersion) const;

  const evidence::EvidenceStore& mEvidence;
  bool mIsAdaptive;
  std::vector<TrackedVersion> mVersions;
};

} // namespace figslip::rollout
