#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <optional>

namespace figslip::cascade {

/// @brief Holds what is known when the model of an attempt is chosen.
struct SizeQuestion
{
  std::size_t mModels = 1;  ///< sizes to choose from, >= 1
  int mAttemptsLeft = 1;    ///< this one included
  Duration mTimeToTarget{}; ///< until the first event would be late
  Duration mLargestFirst{}; ///< expected first event of the largest model
  bool mIsDropped = false;  ///< a smaller model's answer was dropped
};

/// @brief Chooses models by size and judges answers of small ones.
///
/// A small model answers first where there is time to ask the largest model
/// afterwards; its own confidence decides whether its answer is taken.
class SizePolicy
{
public:
  struct Options
  {
    int mAcceptConfidence = 45; ///< least confidence of an answer taken, 0-100
    Duration mSmallFirst =
      std::chrono::milliseconds(60); ///< small model's time
    double mSafety = 1.5;            ///< factor on expected times
  };

  explicit SizePolicy(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @return index of the model, 0 is the smallest
  [[nodiscard]] std::size_t Choose(const SizeQuestion& aQuestion) const;

  /// @brief Tells whether an answer is taken, or a larger model asked.
  /// @param[in] aModel index of the model that answers
  [[nodiscard]] bool Accepts(std::size_t aModel,
                             std::optional<int> aConfidence,
                             const SizeQuestion& aQuestion) const;

private:
  Options mOptions;
};

} // namespace figslip::cascade
