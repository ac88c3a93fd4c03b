#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace figslip::placement {

/// @brief Finds out that a failure domain is cut off from this instance.
///
/// Answers a partition: without this, each upstream behind it costs requests
/// of its own until it is avoided. Several upstreams of a domain that are
/// silent, with no answer from the domain in between, make it suspected. While
/// it is, it gets a request now and then; the first answer clears it.
class DomainHealth
{
public:
  struct Options
  {
    std::size_t mMinUpstreams = 3; ///< silent upstreams needed, >= 1
    /// time within which they are silent
    Duration mWindow = std::chrono::seconds(2);
    Duration mProbeInterval = std::chrono::milliseconds(500);
  };

  explicit DomainHealth(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Notes that an upstream gave no answer, or opened no connection, in
  /// time.
  void OnTimeout(std::string_view aDomain,
                 std::string_view aUpstream,
                 TimePoint aNow);

  /// @brief Notes that any upstream of the domain answered.
  void OnResponse(std::string_view aDomain);

  /// @brief Notes that a request is sent to the domain.
  void OnSent(std::string_view aDomain, TimePoint aNow);

  [[nodiscard]] bool IsSuspected(std::string_view aDomain) const;

  /// @brief Tells whether a suspected domain is to be tried again.
  [[nodiscard]] bool IsProbeDue(std::string_view aDomain, TimePoint aNow) const;

private:
  struct State
  {
    std::map<std::string, TimePoint, std::less<>> mTimeouts; ///< by upstream
    bool mIsSuspected = false;
    TimePoint mNextProbe;
  };

  [[nodiscard]] const State* Find(std::string_view aDomain) const;

  Options mOptions;
  std::map<std::string, State, std::less<>> mStates;
};

} // namespace figslip::placement
