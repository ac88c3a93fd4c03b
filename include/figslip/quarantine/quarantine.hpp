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
  int mInFlight = 1; ///< requests that ran there at the crash, >= 1

  bool operator==(const CrashReport&) const = default;
};

/// @brief Detects requests that crash the upstreams on which they run.
///
/// Each of the n requests in flight at a crash is assigned a blame of 1/n, so
/// that a crash with many requests in flight hardly incriminates any of them.
/// A request is quarantined when it ran on two different upstreams that crashed
/// and its total blame reaches a threshold. Crashes of a single slow or broken
/// upstream never suffice.
class Quarantine
{
public:
  struct Options
  {
    std::size_t mMinUpstreams = 2; ///< different crashed upstreams, >= 1
    double mMinBlame = 0.5;        ///< total blame over all upstreams, > 0
    /// reports for an upstream within this time count as one crash
    Duration mSameCrashWindow = std::chrono::seconds(2);
    Duration mRetention = std::chrono::minutes(10); ///< time a crash counts
    std::size_t mMaxFingerprints = 4096;            ///< bounds the memory
  };

  explicit Quarantine(Options aOptions);

  /// @brief Records a connection that broke while a request ran on an upstream.
  /// @param[in] aInFlight requests of this entry instance on the upstream,
  /// including this one and those whose connections broke just before
  void OnConnectionBroken(std::uint64_t aFingerprint,
                          std::string_view aUpstream,
                          int aInFlight,
                          TimePoint aNow);

  /// @brief Records a crash that this instance saw or a peer reported.
  /// @note Repeated reports of one crash count once.
  void OnCrash(const CrashReport& aReport);

  /// @brief Clears a request that an upstream completed.
  void OnServed(std::uint64_t aFingerprint) { mCrashes.erase(aFingerprint); }

  [[nodiscard]] bool IsQuarantined(std::uint64_t aFingerprint,
                                   TimePoint aNow) const;

  /// @brief Returns the unexpired reports, to be shared with peers.
  [[nodiscard]] std::vector<CrashReport> Reports(TimePoint aNow) const;

  /// @brief Drops expired reports.
  void Expire(TimePoint aNow);

private:
  /// Aggregates the crashes of one upstream while one request ran there.
  struct Crashes
  {
    TimePoint mSeenAt; ///< time of the last crash
    int mInFlight = 1; ///< at the last crash
    double mBlame = 0.0;
  };

  /// Holds the last crash of an upstream that this instance saw.
  struct LocalCrash
  {
    TimePoint mStartedAt;
    int mMaxInFlight = 1;
  };

  using ByUpstream = std::map<std::string, Crashes, std::less<>>;

  void DropOldest();

  Options mOptions;
  std::map<std::uint64_t, ByUpstream> mCrashes;
  std::map<std::string, LocalCrash, std::less<>> mLocalCrashes;
};

} // namespace figslip::quarantine
