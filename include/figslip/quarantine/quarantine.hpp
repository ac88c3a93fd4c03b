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

/// @brief Refuses requests that crash the upstreams that run them.
///
/// A crash blames each request that ran there by one part of as many, so that
/// a crash under many requests accuses none of them strongly. A request is
/// quarantined when it was seen on two different crashed upstreams and its
/// blame reaches a bound; one slow or broken upstream alone never condemns it.
class Quarantine
{
public:
  struct Options
  {
    std::size_t mMinUpstreams = 2; ///< different upstreams needed, >= 1
    double mMinBlame = 0.5;        ///< sum of the parts needed, > 0
    /// crashes of an upstream within this time are one
    Duration mSameCrashWindow = std::chrono::seconds(2);
    Duration mRetention = std::chrono::minutes(10); ///< time a crash counts
    std::size_t mMaxFingerprints = 4096;            ///< bound on memory
  };

  explicit Quarantine(Options aOptions);

  /// @brief Notes that a connection broke while a request ran there.
  /// @param[in] aInFlight requests of this entry there, this one included;
  /// those that broke just before count as well
  void OnConnectionBroken(std::uint64_t aFingerprint,
                          std::string_view aUpstream,
                          int aInFlight,
                          TimePoint aNow);

  /// @brief Notes a crash seen here or reported by a peer; may be repeated.
  void OnCrash(const CrashReport& aReport);

  /// @brief Clears a request that an upstream has served to its end.
  void OnServed(std::uint64_t aFingerprint) { mCrashes.erase(aFingerprint); }

  [[nodiscard]] bool IsQuarantined(std::uint64_t aFingerprint,
                                   TimePoint aNow) const;

  /// @brief Returns the reports that peers should know.
  [[nodiscard]] std::vector<CrashReport> Reports(TimePoint aNow) const;

  /// @brief Forgets reports that are too old.
  void Expire(TimePoint aNow);

private:
  /// Crashes of one upstream while one request ran there.
  struct Crashes
  {
    TimePoint mSeenAt; ///< the last one
    int mInFlight = 1; ///< of the last one
    double mBlame = 0.0;
  };

  /// The crash of an upstream that this entry saw last.
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
