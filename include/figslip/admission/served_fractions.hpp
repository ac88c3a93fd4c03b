#pragma once

#include <figslip/time/time_point.hpp>

#include <map>

namespace figslip::admission {

/// @brief Measures which fraction of the requests of an account is served, by
/// priority, with exponential decay.
class ServedFractions
{
public:
  /// @brief Counts a request that is admitted.
  void OnServed(int aPriority, TimePoint aNow);

  /// @brief Takes back an admission that an upstream has rejected.
  void OnServiceRejected(int aPriority, TimePoint aNow);

  /// @brief Counts a request that is refused.
  void OnRefused(int aPriority, TimePoint aNow);

  /// @brief Checks whether requests of a priority are served more often than
  /// more urgent ones, beyond the tolerance.
  [[nodiscard]] bool IsAhead(int aPriority, TimePoint aNow) const;

  /// @brief Checks whether `IsAhead` holds for any priority.
  [[nodiscard]] bool IsAnyAhead(TimePoint aNow) const;

  /// @brief Checks whether what was counted has decayed.
  [[nodiscard]] bool IsOutdated(TimePoint aNow) const;

private:
  struct Counts
  {
    double mServed = 0.0;
    double mRefused = 0.0;
    TimePoint mUpdatedAt;

    [[nodiscard]] double Total() const { return mServed + mRefused; }
    [[nodiscard]] double Fraction() const { return mServed / Total(); }
  };

  [[nodiscard]] static Counts DecayedAt(const Counts& aCounts, TimePoint aNow);
  [[nodiscard]] Counts& CountsOf(int aPriority, TimePoint aNow);

  std::map<int, Counts> mCounts; ///< by priority
};

} // namespace figslip::admission
