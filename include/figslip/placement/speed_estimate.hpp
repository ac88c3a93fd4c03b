#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::placement {

/// @brief Estimates how long work takes on the machine of an upstream, relative
/// to the expected times.
///
/// The upstream reports the factor of the moment, which changes many times a
/// second; without news it is expected to return to its mean. What its machine
/// takes longer all the time is learnt from measured times.
///
/// @note Applies to upstreams that report the factor only; without a report all
/// times are as expected.
class SpeedEstimate
{
public:
  /// @brief Returns whether the upstream has reported a factor.
  [[nodiscard]] bool IsReported() const { return mIsReported; }

  /// @brief Returns the factor of the moment.
  [[nodiscard]] double MomentaryFactor(TimePoint aNow) const;

  /// @brief Returns the number of recent samples; older ones count less.
  [[nodiscard]] double SampleWeight(TimePoint aNow) const;

  /// @brief Returns the mean logarithm of the samples; 0 without any.
  [[nodiscard]] double MeanSampleLog() const
  {
    return mWeight > 0.0 ? mLogSum / mWeight : 0.0;
  }

  /// @brief Returns the logarithm of the lasting factor.
  /// @param[in] aMeanLog that of all upstreams of the service; the fewer recent
  ///            samples there are, the nearer the result is to it
  [[nodiscard]] double LastingLog(double aMeanLog, TimePoint aNow) const;

  /// @brief Returns the time that work will take from now on.
  /// @param[in] aWork time on a machine of factor 1
  /// @param[in] aMeanLog see `LastingLog`
  [[nodiscard]] Duration Scale(Duration aWork,
                               double aMeanLog,
                               TimePoint aNow) const;

  /// @brief Stores the factor that the upstream reports.
  /// @param[in] aFactor > 0; bounded, as reports may be false
  void OnReport(double aFactor, TimePoint aNow);

  /// @brief Learns from the time of a request.
  /// @param[in] aTook measured time
  /// @param[in] aWork expected time on a machine of factor 1
  /// @param[in] aFactorBefore momentary factor that was expected at its start
  void OnSample(Duration aTook,
                Duration aWork,
                double aFactorBefore,
                TimePoint aNow);

  /// @brief Discards everything, as after a restart of the upstream.
  void Reset() { *this = {}; }

private:
  bool mIsReported = false;
  double mReported = 1.0; ///< factor of the last report
  double mMean = 1.0;     ///< of the reported factors over time
  TimePoint mReportedAt;
  double mLogSum = 0.0; ///< weighted logarithms of the samples
  double mWeight = 0.0; ///< of the samples, as of the last one
  TimePoint mSampledAt;
};

} // namespace figslip::placement
