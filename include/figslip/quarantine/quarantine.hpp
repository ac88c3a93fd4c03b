#pragma once

#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::quarantine {

/// @brief Reports that a request was running on an upstream when it crashed.
struct CrashReport
{
  std::uint64_t mFingerprint = 0; ///< hash of client account and body
  std::string mUpstream;          ///< upstream that crashed
  TimePoint mSeenAt;

  bool operator==(const CrashReport&) const = default;
};

/// @brief Refuses requests that crash the upstreams that run them.
///
/// A request is quarantined after it was seen on two different crashed
/// upstreams; one slow or broken upstream alone never condemns a request.
class Quarantine
{
public:
  struct Options
  {
    std::size_t mUpstreams = 2;                  ///< crashes needed, >= 1
    Duration mMemory = std::chrono::minutes(10); ///< time a crash counts
    std::size_t mMaxFingerprints = 4096;         ///< bound on memory
  };

  explicit Quarantine(Options aOptions);

  /// @brief Notes a crash seen here or reported by a peer; may be repeated.
  void OnCrash(const CrashReport& aReport);

  [[nodiscard]] bool IsQuarantined(std::uint64_t aFingerprint,
                                   TimePoint aNow) const;

  /// @brief Returns the reports that peers should know.
  [[nodiscard]] std::vector<CrashReport> Reports(TimePoint aNow) const;

  /// @brief Forgets reports that are too old.
  void Expire(TimePoint aNow);

private:
  using Crashes = std::map<std::string, TimePoint, std::less<>>;

  void DropOldest();

  Options mOptions;
  std::map<std::uint64_t, Crashes> mCrashes;
};

} // namespace figslip::quarantine
