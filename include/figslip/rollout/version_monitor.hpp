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

/// @brief Decides how much traffic each version of a model gets.
///
/// A version in roll-out starts at its initial share and grows only with
/// evidence. A version found bad is stopped by this instance by itself; the
/// verdict stays until the manifest gives the version another state.
class VersionMonitor
{
public:
  /// @param[in] aEvidence the counts to test; outlives the monitor
  /// @param[in] aIsAdaptive false keeps all shares and stops no version by
  /// itself
  explicit VersionMonitor(const evidence::EvidenceStore& aEvidence,
                          bool aIsAdaptive = true);

  /// @brief Takes a new manifest into account.
  void OnManifest(const manifest::ManifestIndex& aManifest, TimePoint aNow);

  /// @brief Runs the tests on the evidence seen so far.
  /// @return versions stopped by this call
  std::vector<std::string> Evaluate(TimePoint aNow);

  /// @brief Stops a version on the word of a peer.
  void StopVersion(std::string_view aVersion, TimePoint aNow);

  /// @brief Tells whether this instance has stopped a version.
  [[nodiscard]] bool IsStopped(std::string_view aVersion) const;

  /// @brief Returns all versions stopped by this instance.
  [[nodiscard]] std::vector<std::string> StoppedVersions() const;

  /// @brief Chooses one of the versions of a model by their shares.
  /// @param[in] aVersions versions that the request may run on
  /// @param[in] aRandom seeded generator
  /// @return the version chosen; null if all are stopped or none is given
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
    bool mIsHeldBack = false; ///< suspected, so that its share is small
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
