#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
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
  /// time to the first event divided by the expected time; empty if there was
  /// no event
  std::optional<double> mLatencyRatio;
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
class CanaryEvidence
{
public:
  /// @brief Adds an attempt on the new version.
  void OnTargetSample(const CanarySample& aSample);

  /// @brief Adds an attempt on any other version.
  void OnBaselineSample(const CanarySample& aSample);

  /// @brief Returns why the new version should be rolled back.
  /// @return empty while the evidence is insufficient
  [[nodiscard]] std::optional<std::string> RejectionReason() const;

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

  /// Returns whether an abort has the same cause as one counted before, and
  /// records it.
  [[nodiscard]] bool IsRepeatedAbort(const CanarySample& aSample);
  [[nodiscard]] static bool IsFailing(const SampleWindow& aTarget,
                                      const SampleWindow& aOthers);

  std::map<std::string, SampleWindow> mTargetByRoute;
  std::map<std::string, SampleWindow> mBaselineByRoute;
  SampleWindow mAllTarget;
  SampleWindow mAllBaseline;
  std::set<std::string> mAbortingUpstreams;   ///< those seen so far
  std::optional<TimePoint> mLastCountedAbort; ///< end of that attempt
  std::size_t mTargetSampleCount = 0;
};

} // namespace figslip::rollout
