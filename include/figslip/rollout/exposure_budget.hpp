#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>

namespace figslip::rollout {

/// @brief Limits the requests that a new version may receive between the order
/// and the deadline of its roll-out.
struct ExposureLimit
{
  double mShare = 0.15; ///< of the requests to the service
  double mSlack = 0.0;  ///< requests beyond the share, at this instance
};

/// @brief Counts the requests of one roll-out at one instance and compares
/// them with the limit.
///
/// Faults of a new version may show late, or under load only. The limit
/// therefore holds whatever is known of the version: traffic moves to it only
/// when all requests expected until the deadline fit into what is left. If each
/// instance keeps its limit, their sum keeps the common one.
class ExposureBudget
{
public:
  ExposureBudget() = default;

  /// @param[in] aOrderedAt earliest known time of the order
  /// @param[in] aCountedFrom time from which requests are counted; later than
  ///            the order after a restart of the instance
  ExposureBudget(TimePoint aOrderedAt, TimePoint aCountedFrom);

  /// @brief Records that a request is sent to an upstream of the service.
  /// @param[in] aIsTarget the upstream runs the new version
  void OnSent(bool aIsTarget, TimePoint aNow);

  /// @brief Returns whether a further request may run on the new version while
  /// it is tried with a small share.
  [[nodiscard]] bool AllowsTrial(const ExposureLimit& aLimit,
                                 TimePoint aNow) const;

  /// @brief Returns whether all requests until the deadline may run on the new
  /// version.
  [[nodiscard]] bool AllowsMove(const ExposureLimit& aLimit,
                                TimePoint aDeadline,
                                TimePoint aNow) const;

  /// @brief Returns the rate of the requests expected from now on divided by
  /// their mean rate, at least 1.
  [[nodiscard]] double Growth(TimePoint aNow) const;

  /// @brief Returns the number of requests sent to the new version.
  [[nodiscard]] std::int64_t TargetCount() const { return mTargetCount; }

  /// @brief Returns the number of requests sent to any version.
  [[nodiscard]] std::int64_t TotalCount() const { return mTotalCount; }

private:
  /// Requests since the order, with an estimate for the time before a restart.
  struct Totals
  {
    double mTarget = 0.0;
    double mTotal = 0.0;
  };

  [[nodiscard]] Totals SinceOrder(TimePoint aNow) const;
  /// Returns the rate expected from now on in requests per second.
  [[nodiscard]] double ExpectedRate(TimePoint aNow) const;
  /// Returns the mean rate in requests per second.
  [[nodiscard]] double MeanRate(TimePoint aNow) const;
  /// Returns the rate of the last seconds in requests per second.
  [[nodiscard]] double RecentRate(TimePoint aNow) const;

  TimePoint mOrderedAt;
  TimePoint mCountedFrom;
  TimePoint mLastSentAt;
  double mRecentCount = 0.0; ///< with exponential decay, as of the last request
  std::int64_t mTargetCount = 0;
  std::int64_t mTotalCount = 0;
};

} // namespace figslip::rollout
