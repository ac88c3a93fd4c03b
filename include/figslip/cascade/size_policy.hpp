#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <optional>

namespace figslip::cascade {

/// @brief Holds what is known when the model of an attempt is chosen.
struct SizeQuery
{
  std::size_t mModels = 1;       ///< sizes to choose from, >= 1
  int mAttemptsLeft = 1;         ///< this one included
  Duration mTimeToTarget{};      ///< until the first event would be late
  Duration mLargestFirstEvent{}; ///< expected first event of the largest model
  bool mWasAnswerRejected = false; ///< a smaller model's answer was dropped
  double mPrefillUtilization =
    0.0; ///< part of their time that engines read prompts
};

/// @brief Chooses models by size and judges answers of small ones.
///
/// A small model answers first where there is time to ask the largest model
/// afterwards; its own confidence decides whether its answer is taken.
///
/// Answers engines that are short for the load, too: the largest model reads a
/// prompt ten times longer than the smallest, and holds up all other requests
/// of its engine. The more of their time engines read, the less confidence is
/// asked for.
class SizePolicy
{
public:
  struct Options
  {
    /// least confidence of an answer taken, 0-100, on engines with time to
    /// spare and on engines that are short for the load; between the two shares
    /// of reading it falls evenly
    double mLowLoadConfidence = 52.0;
    double mHighLoadConfidence = 25.0;
    double mLowLoadUtilization = 0.25;
    double mHighLoadUtilization = 0.65;
    Duration mSmallFirstEvent =
      std::chrono::milliseconds(60); ///< small model's time
    double mSafetyFactor = 1.5;      ///< factor on expected times
  };

  explicit SizePolicy(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @return index of the model, 0 is the smallest
  [[nodiscard]] std::size_t Choose(const SizeQuery& aQuery) const;

  /// @brief Tells whether an answer is taken, or a larger model asked.
  /// @param[in] aModel index of the model that answers
  [[nodiscard]] bool Accepts(std::size_t aModel,
                             std::optional<int> aConfidence,
                             const SizeQuery& aQuery) const;

  /// @brief Returns the least confidence of an answer taken, 0-100.
  /// @param[in] aPrefillUtilization part of their time that engines read
  /// prompts
  [[nodiscard]] double MinConfidence(double aPrefillUtilization) const;

private:
  Options mOptions;
};

} // namespace figslip::cascade
