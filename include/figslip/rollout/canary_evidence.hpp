#pragma once

#include <figslip/rollout/comparison_counts.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace figslip::rollout {

/// @brief Describes the outcome of one attempt, for the comparison of versions.
struct CanarySample
{
  std::string mRoute; ///< attempts are compared with those on the same route
  bool mFailed = false;
  /// upstream that aborted the attempt without reporting a failure, otherwise
  /// empty; later aborts by this upstream, and aborts by others soon after,
  /// count as the same failure
  std::string mAbortedBy;
  TimePoint mAbortedAt; ///< end of an aborted attempt
  /// time without an event after which the attempt was given up, otherwise zero
  Duration mSilentFor{};
  bool mHadEvent = false; ///< there was a sample of this attempt before
  /// time to the first event divided by the expected time; empty if there was
  /// no event
  std::optional<double> mLatencyRatio;
  /// its upstream if that reports its speed, so that slowness counts by
  /// upstream; empty: each slow attempt counts
  std::string mMachine;
  int mMachineCount = 0; ///< upstreams of the same version
};

/// @brief Describes the machine of an upstream that reports its speed.
struct MachineSpeed
{
  std::string mUpstream;
  double mTimeFactor = 1.0; ///< time that work takes, relative to the usual
  int mCount = 1; ///< upstreams of the same version, this one included
};

/// @brief Creates the sample of a successful attempt from its latency.
/// @param[in] aRoute route of the request
/// @param[in] aElapsed time to the first event
/// @param[in] aExpected expected time to the first event on a machine of usual
///            speed
/// @param[in] aMachine if the upstream reports its speed: the time is divided
/// by
///            the factor, and slowness counts by upstream
[[nodiscard]] CanarySample
SampleOf(std::string aRoute,
         Duration aElapsed,
         Duration aExpected,
         const std::optional<MachineSpeed>& aMachine = std::nullopt);

/// @brief Compares a new version (target) with the other ones (baseline).
///
/// The comparison uses a sliding window of the latest attempts, because a
/// version can start to fail late or under load, and the counts of all other
/// instances, because each has only a few attempts of its own on a new version.
///
/// An attempt is slow if it took twice the usual time. Expected times may be
/// far too long for a service, so they are compared with the times that
/// attempts on the other versions usually take.
///
/// An attempt given up for its silence has no latency, although it was slow.
/// It counts as slow if its upstream answered other attempts at that time; a
/// silent upstream is down instead, which says nothing about the version.
///
/// Slowness at a few slow machines is no evidence against a version. Where
/// upstreams report their speed, slow attempts on the new version count by
/// upstream; see `ComparisonCounts::Evidence`.
class CanaryEvidence
{
public:
  /// @brief Adds an attempt on the new version.
  void OnTargetSample(const CanarySample& aSample);

  /// @brief Adds an attempt on any other version.
  void OnBaselineSample(const CanarySample& aSample);

  /// @brief Records an event from an upstream, on any attempt.
  /// @return whether it changed the counts
  bool OnEvent(const std::string& aUpstream, TimePoint aNow);

  /// @brief Returns why the new version should be rolled back.
  /// @return empty while the evidence is insufficient
  [[nodiscard]] std::optional<std::string> RejectionReason() const;

  /// @brief Returns why the new version should be rolled back rather than
  /// completed now, which takes less evidence.
  [[nodiscard]] std::optional<std::string> DoubtReason() const;

  /// @brief Returns whether the new version is suspected, so that its share
  /// must not grow.
  ///
  /// Counts silent attempts at upstreams that may be down, too.
  [[nodiscard]] bool IsSuspected() const;

  /// @brief Sets the number of instances that judge the version, each by counts
  /// of its own.
  void SetInstanceCount(int aInstances);

  /// @brief Replaces the sum of the counts of all other instances.
  void SetPeerCounts(ComparisonCounts aCounts) { mPeers = std::move(aCounts); }

  /// @brief Returns the counts of this instance's latest attempts.
  [[nodiscard]] const ComparisonCounts& OwnCounts() const { return mOwn; }

  /// @brief Returns the counts of all instances.
  [[nodiscard]] ComparisonCounts MergedCounts() const;

  /// @brief Returns the number of attempts counted on the new version.
  [[nodiscard]] std::size_t TargetSampleCount() const
  {
    return mTargetSampleCount;
  }

private:
  struct Attempt
  {
    std::string mRoute;
    bool mIsDegraded = false;
    std::string mMachine; ///< as in the sample; empty if it failed
  };

  /// Silent attempt whose upstream has not been heard of since.
  struct SilentAttempt
  {
    std::string mRoute;
    std::string mMachine; ///< as in the sample
    bool mIsTarget = false;
    bool mHadEvent = false;
    TimePoint mEndedAt;
  };

  void OnSample(const CanarySample& aSample, bool aIsTarget);
  /// Returns the upstream by which the slowness of an attempt counts.
  /// @param[in] aIsExtreme it is more than a slow machine explains
  [[nodiscard]] static std::string MachineOf(const CanarySample& aSample,
                                             bool aIsExtreme);
  /// Returns the usual latency ratio on a route, at most 1.
  [[nodiscard]] double UsualRatio(const std::string& aRoute) const;
  /// Adds an attempt to its window, and removes the oldest one of a full
  /// window.
  void Add(Attempt aAttempt, bool aIsTarget);
  /// Adds the attempt to the counts, or removes it.
  void Count(const Attempt& aAttempt, bool aIsTarget, int aChange);
  void AddSilent(const SilentAttempt& aAttempt);
  void OnSilence(const CanarySample& aSample, bool aIsTarget);

  /// Returns whether an abort has the same cause as one counted before, and
  /// records it.
  [[nodiscard]] bool IsRepeatedAbort(const CanarySample& aSample);
  /// Returns the counts with the latest attempts on the new version only.
  [[nodiscard]] ComparisonCounts RecentCounts() const;
  static void CountTarget(RouteCounts& aCounts,
                          const Attempt& aAttempt,
                          int aChange);

  std::deque<Attempt> mTargetAttempts;
  std::deque<Attempt> mBaselineAttempts;
  ComparisonCounts mOwn; ///< of the attempts above
  /// latest latency ratios of the other versions, by route
  std::map<std::string, std::deque<double>> mBaselineRatios;
  ComparisonCounts mPeers;
  std::multimap<std::string, SilentAttempt> mSilentAttempts; ///< by upstream
  std::map<std::string, TimePoint> mLastEvents;              ///< by upstream
  std::set<std::string> mAbortingUpstreams;   ///< those seen so far
  std::optional<TimePoint> mLastCountedAbort; ///< end of that attempt
  std::size_t mTargetSampleCount = 0;
  double mCaution = 0.0; ///< added to the evidence that rejects a version
};

} // namespace figslip::rollout
