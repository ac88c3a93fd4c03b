#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <optional>

namespace figslip::cascade {

/// @brief Describes an attempt whose model is chosen or whose answer is
/// checked.
struct SizeQuery
{
  std::size_t mModels = 1;          ///< sizes to choose from, >= 1
  int mAttemptsLeft = 1;            ///< including this one
  Duration mTimeToTarget{};         ///< until the first event is late
  Duration mLargestFirstEvent{};    ///< expected time of the largest model
  bool mWasAnswerRejected = false;  ///< a smaller model's answer was rejected
  double mPrefillUtilization = 0.0; ///< fraction of engine time in prefill
};

/// @brief Chooses models by size and decides whether a small model's answer is
/// accepted.
///
/// The smallest model answers first where the time suffices to use the largest
/// model afterwards. Its answer is accepted if the confidence that it reports
/// reaches a threshold.
///
/// The policy also handles overloaded engines: the prefill of the largest model
/// takes ten times as long as that of the smallest and blocks all other
/// requests of its engine. The threshold therefore falls as prefill utilization
/// rises.
class SizePolicy
{
public:
  struct Options
  {
    /// minimum accepted confidence, 0-100, at low and at high load; falls
    /// linearly between the two prefill utilizations
    double mLowLoadConfidence = 52.0;
    double mHighLoadConfidence = 25.0;
    double mLowLoadUtilization = 0.25;
    double mHighLoadUtilization = 0.65;
    /// expected time to the first event of the smallest model
    Duration mSmallFirstEvent = std::chrono::milliseconds(60);
    double mSafetyFactor = 1.5; ///< on expected times
  };

  explicit SizePolicy(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Chooses the model of the next attempt.
  /// @return index of the model, 0 is the smallest
  [[nodiscard]] std::size_t Choose(const SizeQuery& aQuery) const;

  /// @brief Returns whether an answer is accepted; otherwise the largest model
  /// replaces it.
  /// @param[in] aModel index of the model that answered
  /// @param[in] aConfidence reported by the model, 0-100
  /// @note Answers without a confidence, of the largest model, and those that
  ///       lack the time or an attempt to be replaced are accepted.
  [[nodiscard]] bool Accepts(std::size_t aModel,
                             std::optional<int> aConfidence,
                             const SizeQuery& aQuery) const;

  /// @brief Returns the minimum accepted confidence, 0-100.
  /// @param[in] aPrefillUtilization fraction of engine time in prefill, >= 0
  [[nodiscard]] double MinConfidence(double aPrefillUtilization) const;

private:
  Options mOptions;
};

} // namespace figslip::cascade
