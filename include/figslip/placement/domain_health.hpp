#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace figslip::placement {

/// @brief Detects that a network partition separates a failure domain from this
/// instance.
///
/// Without this detector, every upstream behind a partition loses requests of
/// its own until it is avoided. A domain is suspected when several of its
/// upstreams time out within a window in which no upstream of the domain
/// responds. A suspected domain receives occasional probe requests; the first
/// response clears the suspicion.
class DomainHealth
{
public:
  struct Options
  {
    std::size_t mMinUpstreams = 3; ///< distinct timed-out upstreams, >= 1
    /// maximum age of the timeouts that count
    Duration mWindow = std::chrono::seconds(2);
    /// pause between requests to a suspected domain
    Duration mProbeInterval = std::chrono::milliseconds(500);
  };

  explicit DomainHealth(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Records that a request to an upstream, or opening a connection to
  /// it, timed out.
  void OnTimeout(std::string_view aDomain,
                 std::string_view aUpstream,
                 TimePoint aNow);

  /// @brief Clears the timeouts and the suspicion of a domain after any of its
  /// upstreams responded.
  void OnResponse(std::string_view aDomain);

  /// @brief Schedules the next probe of a suspected domain, after a request was
  /// sent to it.
  void OnSent(std::string_view aDomain, TimePoint aNow);

  /// @brief Returns whether the domain seems to be partitioned.
  [[nodiscard]] bool IsSuspected(std::string_view aDomain) const;

  /// @brief Returns whether a domain is suspected and may be probed now.
  [[nodiscard]] bool IsProbeDue(std::string_view aDomain, TimePoint aNow) const;

private:
  struct State
  {
    std::map<std::string, TimePoint, std::less<>>
      mTimeouts; ///< last timeout by upstream
    bool mIsSuspected = false;
    TimePoint mNextProbe;
  };

  [[nodiscard]] const State* Find(std::string_view aDomain) const;

  Options mOptions;
  std::map<std::string, State, std::less<>> mStates;
};

} // namespace figslip::placement
