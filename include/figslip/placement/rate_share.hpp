#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>

namespace figslip::placement {

/// @brief Divides the request rate that an upstream takes from all instances
/// among them.
struct RateLimit
{
  double mPerSecond = 0.0;  ///< of all instances together, > 0
  int mInstances = 1;       ///< instances that share the rate, >= 1
  std::uint64_t mPhase = 0; ///< differs among the instances
};

/// @brief Keeps the requests of this instance to one upstream within its share
/// of a common rate.
///
/// A token bucket. The instances send without knowledge of each other, and all
/// of them may hold unused tokens; the size of the buckets bounds their sum. If
/// it cannot hold a whole token, tokens are usable during a part of each refill
/// interval only, which lies at different times for different instances.
class RateShare
{
public:
  /// @brief Starts with an empty bucket.
  explicit RateShare(TimePoint aNow)
    : mUpdatedAt(aNow)
  {
  }

  /// @brief Returns whether a request may be sent.
  [[nodiscard]] bool IsOpen(const RateLimit& aLimit, TimePoint aNow) const;

  /// @brief Returns the time from which a request may be sent; not before
  /// `aNow`.
  [[nodiscard]] TimePoint NextOpening(const RateLimit& aLimit,
                                      TimePoint aNow) const;

  /// @brief Records that a request is sent.
  void OnSent(const RateLimit& aLimit, TimePoint aNow);

private:
  [[nodiscard]] double TokensAt(const RateLimit& aLimit, TimePoint aNow) const;

  double mTokens = 0.0;
  TimePoint mUpdatedAt;
};

} // namespace figslip::placement
