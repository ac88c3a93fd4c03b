#pragma once

#include <figslip/quarantine/served_ids.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
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
///
/// A request that an upstream completed lately is exonerated: one that crashes
/// each upstream never completes. Otherwise upstreams whose connections are cut
/// would take a frequent request, which is in flight at any of them, out of
/// service.
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
    /// time for which a completed request is exonerated
    Duration mServedRetention = std::chrono::minutes(10);
    std::size_t mMaxServed = 32'768; ///< bounds the memory
  };

  explicit Quarantine(Options aOptions);

  /// @brief Records a connection that broke while a request ran on an upstream.
  /// @param[in] aInFlight requests of this entry instance on the upstream,
  /// including this one and those whose connections broke just before
  /// @return whether the request is suspected
  bool OnConnectionBroken(std::uint64_t aFingerprint,
                          std::string_view aUpstream,
                          int aInFlight,
                          TimePoint aNow);

  /// @brief Records a crash that this instance saw or a peer reported.
  /// @return whether the request is suspected, as it is not exonerated
  /// @note Repeated reports of one crash count once.
  bool OnCrash(const CrashReport& aReport);

  /// @brief Clears a request that an upstream completed.
  void OnServed(std::uint64_t aFingerprint, TimePoint aNow);

  /// @brief Forgets a report that a peer has withdrawn.
  void OnWithdrawn(std::uint64_t aFingerprint, std::string_view aUpstream);

  /// @brief Returns the exonerated requests that this instance or a peer has
  /// suspected since the last call; reports of them are to be withdrawn.
  [[nodiscard]] std::set<std::uint64_t> TakeExonerated()
  {
    return std::exchange(mExonerated, {});
  }

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
  void Exonerate(std::uint64_t aFingerprint);

  Options mOptions;
  std::map<std::uint64_t, ByUpstream> mCrashes;
  std::map<std::string, LocalCrash, std::less<>> mLocalCrashes;
  ServedIds mServed;
  std::set<std::uint64_t> mExonerated; ///< not taken yet
};

} // namespace figslip::quarantine
