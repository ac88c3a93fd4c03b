#pragma once

#include <figslip/time/time_point.hpp>

namespace figslip::placement {

/// @brief Paces the requests of this instance to a service that is short of
/// capacity, so that it gets its share whatever others keep in flight there.
///
/// Load that this answers: more instances than slots. An instance that holds a
/// slot would keep it, as it sees its own answers first, and the others would
/// find all slots in use.
///
/// A token bucket, kept as the time up to which its tokens are used. Requests
/// of accounts within their share may use tokens of the near future: they are
/// already counted in the share, and the accounts over theirs, which always
/// have requests waiting, would leave them none.
class PacedShare
{
public:
  /// @param[in] aNow time at which the pacing begins
  explicit PacedShare(TimePoint aNow)
    : mBegunAt(aNow)
  {
  }

  /// @brief Sets the share of this instance.
  /// @param[in] aPerSecond cost per second; nothing is covered unless it is
  /// finite and positive
  void SetShare(double aPerSecond) { mPerSecond = aPerSecond; }

  /// @brief Returns the cost per second at which the bucket fills, after the
  /// latest rejections.
  [[nodiscard]] double Rate(TimePoint aNow) const;

  /// @brief Returns whether a request may be sent from the bucket, whatever its
  /// cost: one of a high cost is followed by a longer pause.
  /// @param[in] aIsOverShare the account demands more than its share
  [[nodiscard]] bool Covers(bool aIsOverShare, TimePoint aNow) const;

  /// @brief Takes the tokens of a request that is sent.
  /// @param[in] aCost expected work, > 0
  /// @param[in] aIsOverShare as for `Covers`
  void OnSent(double aCost, bool aIsOverShare, TimePoint aNow);

  /// @brief Halves the rate for a while, as an upstream rejected a request that
  /// the bucket covered; once for requests sent before.
  /// @param[in] aSentAt time at which the request was sent
  /// @return whether it was halved
  bool OnRejected(TimePoint aSentAt, TimePoint aNow);

private:
  /// Returns the fraction of the rate that is left after rejections.
  [[nodiscard]] double Slowdown(TimePoint aNow) const;

  TimePoint mBegunAt;
  double mPerSecond = 0.0;
  TimePoint mUsedUntil;   ///< tokens up to this time are used
  double mSlowdown = 1.0; ///< when the rate was halved last
  TimePoint mSlowedAt;
};

} // namespace figslip::placement
