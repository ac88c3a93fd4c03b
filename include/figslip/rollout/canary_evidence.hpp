#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace figslip::rollout {

/// @brief Holds what one attempt tells of its version.
struct CanarySample
{
  std::string mRoute;
  bool mFailed = false;
  /// upstream that broke the attempt off, if it did not report a failure; what
  /// breaks off there, or elsewhere soon after, counts as one failure
  std::string mAbortedBy;
  TimePoint mAbortedAt; ///< end of an attempt that was broken off
  /// time to the first event as a multiple of what was expected; none where
  /// there was no event
  std::optional<double> mLatencyRatio;
};

/// @brief Makes the sample of an attempt that had an event.
/// @param[in] aTook time to the first event
/// @param[in] aExpected time that was expected
[[nodiscard]] CanarySample
SampleOf(std::string aRoute, Duration aElapsed, Duration aExpected);

/// @brief Compares a new version with the others on the latest attempts.
///
/// Only the latest count, as a version may turn bad late, under load, or on
/// one route alone.
class CanaryEvidence
{
public:
  void OnTargetSample(const CanarySample& aSample);
  void OnBaselineSample(const CanarySample& aSample);

  /// @brief Tells why the new version is bad.
  /// @return nothing while there is no sufficient evidence
  [[nodiscard]] std::optional<std::string> RejectionReason() const;

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

  /// Tells whether the break, or another with the same cause, was counted.
  [[nodiscard]] bool IsRepeatedAbort(const CanarySample& aSample);
  [[nodiscard]] static bool IsFailing(const SampleWindow& aTarget,
                                      const SampleWindow& aOthers);

  std::map<std::string, SampleWindow> mTargetByRoute; ///< by route
  std::map<std::string, SampleWindow> mBaselineByRoute;
  SampleWindow mAllTarget;
  SampleWindow mAllBaseline;
  std::set<std::string>
    mAbortingUpstreams; ///< upstreams that broke attempts off
  std::optional<TimePoint> mLastCountedAbort; ///< that was counted
  std::size_t mTargetSampleCount = 0;
};

} // namespace figslip::rollout
