#pragma once

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
  std::string mRoute; ///< failures are also compared for each route
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
};

/// @brief Counts the slow attempts on a new version and on the other ones.
struct SlownessCounts
{
  std::int64_t mTarget = 0; ///< attempts on the new version
  std::int64_t mTargetSlow = 0;
  std::int64_t mOthers = 0; ///< attempts on the other versions
  std::int64_t mOthersSlow = 0;

  SlownessCounts& operator+=(const SlownessCounts& aOther);
  bool operator==(const SlownessCounts&) const = default;

  /// @brief Checks whether counts from outside are possible ones.
  [[nodiscard]] bool IsPlausible() const;

  /// @brief Returns the log evidence that slow attempts are more frequent on
  /// the new version, >= 0.
  [[nodiscard]] double Evidence() const;

  /// @brief Returns the counts for logs.
  [[nodiscard]] std::string Text() const;
};

/// @brief Creates the sample of a successful attempt from its latency.
/// @param[in] aRoute route of the request
/// @param[in] aElapsed time to the first event
/// @param[in] aExpected expected time to the first event
[[nodiscard]] CanarySample
SampleOf(std::string aRoute, Duration aElapsed, Duration aExpected);

/// @brief Compares a new version (target) with the other ones (baseline).
///
/// The comparison uses a sliding window of the latest attempts, in total and
/// for each route, because a version can start to fail late, under load, or on
/// one route only.
///
/// An attempt given up for its silence has no latency, although it was slow.
/// It counts as slow if its upstream answered other attempts at that time; a
/// silent upstream is down instead, which says nothing about the version.
class CanaryEvidence
{
public:
  /// @brief Adds an attempt on the new version.
  void OnTargetSample(const CanarySample& aSample);

  /// @brief Adds an attempt on any other version.
  void OnBaselineSample(const CanarySample& aSample);

  /// @brief Records an event from an upstream, on any attempt.
  void OnEvent(const std::string& aUpstream, TimePoint aNow);

  /// @brief Returns why the new version should be rolled back.
  /// @return empty while the evidence is insufficient
  [[nodiscard]] std::optional<std::string> RejectionReason() const;

  /// @brief Returns whether the new version may be slow, so that its share must
  /// not grow.
  ///
  /// Counts silent attempts at upstreams that may be down, too.
  [[nodiscard]] bool MayBeSlow() const;

  /// @brief Replaces the sum of the counts of all other instances.
  void SetPeerCounts(const SlownessCounts& aCounts) { mPeers = aCounts; }

  /// @brief Returns the counts of this instance's latest attempts.
  [[nodiscard]] SlownessCounts OwnCounts() const;

  /// @brief Returns the counts of all instances.
  [[nodiscard]] SlownessCounts MergedCounts() const;

  /// @brief Returns the number of attempts counted on the new version.
  [[nodiscard]] std::size_t TargetSampleCount() const
  {
    return mTargetSampleCount;
  }

private:
  struct SampleWindow
  {
    std::deque<bool> mFailed;
    std::deque<double> mLatencyRatios;

    void Add(const CanarySample& aSample);
    [[nodiscard]] int FailureCount() const;
    [[nodiscard]] double FailureRate() const;
    [[nodiscard]] double MedianLatencyRatio() const;
  };

  /// Slow and other attempts, among the latest ones.
  struct SlownessWindow
  {
    std::deque<bool> mIsSlow;

    void Add(bool aIsSlow, std::size_t aMaxCount);
    void Add(const CanarySample& aSample, std::size_t aMaxCount);
    /// Counts an attempt as slow that was added as a fast one, if it was.
    void Correct();
    [[nodiscard]] std::int64_t SlowCount() const;
  };

  /// Silent attempt whose upstream has not been heard of since.
  struct SilentAttempt
  {
    bool mIsTarget = false;
    bool mHadEvent = false;
    TimePoint mEndedAt;
  };

  void AddSlow(const SilentAttempt& aAttempt);
  void OnSilence(const CanarySample& aSample, bool aIsTarget);

  /// Returns whether an abort has the same cause as one counted before, and
  /// records it.
  [[nodiscard]] bool IsRepeatedAbort(const CanarySample& aSample);
  [[nodiscard]] static bool IsFailing(const SampleWindow& aTarget,
                                      const SampleWindow& aOthers);

  std::map<std::string, SampleWindow> mTargetByRoute;
  std::map<std::string, SampleWindow> mBaselineByRoute;
  SampleWindow mAllTarget;
  SampleWindow mAllBaseline;
  SlownessWindow mTargetSlowness;
  SlownessWindow mBaselineSlowness;
  SlownessCounts mPeers;
  std::multimap<std::string, SilentAttempt> mSilentAttempts; ///< by upstream
  std::map<std::string, TimePoint> mLastEvents;              ///< by upstream
  std::set<std::string> mAbortingUpstreams;   ///< those seen so far
  std::optional<TimePoint> mLastCountedAbort; ///< end of that attempt
  std::size_t mTargetSampleCount = 0;
};

} // namespace figslip::rollout
