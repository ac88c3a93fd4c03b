#pragma once

#include <figslip/time/time_point.hpp>

#include <string_view>

namespace figslip::placement {

/// @brief Lists the reasons for which a concurrency limit changes.
enum class LimitChange
{
  None,
  Grown,   ///< all of it was in use and nothing waited at the upstream
  Waiting, ///< requests waited at the upstream
  Rejected ///< the upstream rejected a request as it is full
};

/// @brief Returns the name of a change in logs and metrics.
[[nodiscard]] constexpr std::string_view
NameOf(LimitChange aChange)
{
  switch (aChange) {
    case LimitChange::None:
      return "none";
    case LimitChange::Grown:
      return "grown";
    case LimitChange::Waiting:
      return "waiting";
    case LimitChange::Rejected:
      return "rejected";
  }
  return "unknown";
}

/// @brief Limits the requests that this instance keeps in flight at an
/// upstream, by additive increase and multiplicative decrease.
///
/// Other instances send to the upstream as well and none knows their requests,
/// so each adapts to what the upstream reports: together they fill its slots
/// and keep its own queue near empty, where requests cannot be ordered.
class ConcurrencyLimit
{
public:
  /// @brief Bounds the limit.
  struct Bounds
  {
    int mInitial = 1; ///< this instance's part of the slots, >= 1
    int mMax = 1;     ///< slots of the upstream, >= `mInitial`
    /// other instances may be more than the slots, so this one pauses where the
    /// lowest limit is too much
    bool mMayPause = false;
  };

  /// @brief Returns the limit, >= 1.
  ///
  /// The initial value if the upstream was not used for a while: what others
  /// have in flight there may have changed completely.
  [[nodiscard]] int Value(const Bounds& aBounds, TimePoint aNow) const;

  /// @brief Returns whether requests may be sent at all: after decreases at the
  /// lowest limit they pause for a while, as the instances may be more than
  /// the slots.
  [[nodiscard]] bool IsOpen(TimePoint aNow) const
  {
    return aNow >= mClosedUntil;
  }

  /// @brief Records that a request is sent.
  void OnSent(const Bounds& aBounds, TimePoint aNow);

  /// @brief Adapts the limit to a report.
  /// @param[in] aWaiting requests that wait at the upstream
  /// @param[in] aInFlight requests of this instance there, the one that the
  ///            report came with included
  /// @param[in] aSentAt time at which that request was sent
  LimitChange OnReport(int aWaiting,
                       int aInFlight,
                       TimePoint aSentAt,
                       const Bounds& aBounds,
                       TimePoint aNow);

  /// @brief Adapts the limit after a rejection.
  LimitChange OnRejected(TimePoint aSentAt,
                         const Bounds& aBounds,
                         TimePoint aNow);

  /// @brief Discards everything, as after a restart of the upstream.
  void Reset() { *this = {}; }

private:
  LimitChange Decrease(LimitChange aReason,
                       TimePoint aSentAt,
                       const Bounds& aBounds,
                       TimePoint aNow);

  double mLimit = 0.0; ///< as of the last use; 0: not used yet
  TimePoint mUsedAt;
  TimePoint mDecreasedAt;
  TimePoint mGrownAt;
  Duration mPause{}; ///< after the last decrease at the lowest limit
  TimePoint mClosedUntil;
};

/// @brief Limits the requests that this instance keeps in flight at upstreams
/// of which it uses any, all of them together.
///
/// In a burst all instances look for free slots at once, before any report
/// tells of the others. The limit starts low and grows with the answers. A full
/// upstream tells little of the others, so it decreases by a constant.
class SpreadLimit
{
public:
  /// @brief Returns the limit, >= 1; the initial value after a while without
  /// reports.
  [[nodiscard]] int Value(TimePoint aNow) const;

  /// @brief Adapts the limit to a report of one of the upstreams.
  /// @param[in] aIsFull the upstream has no slot to spare
  /// @param[in] aInFlight requests in flight at all of them
  void OnReport(bool aIsFull, int aInFlight, TimePoint aNow);

private:
  int mLimit = 0;
  TimePoint mReportedAt;
};

} // namespace figslip::placement
