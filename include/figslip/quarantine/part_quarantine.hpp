#pragma once

#include <figslip/quarantine/served_ids.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace figslip::quarantine {

/// @brief Identifies a part of a prompt; equal in all requests that share it.
using PartId = std::uint64_t;

/// @brief Reports the parts that may have caused the crash of an upstream.
///
/// These are the shared parts of the prompts of all requests that had no event
/// yet when the upstream crashed.
struct CrashSuspects
{
  std::string mEndpoint;  ///< address and port of the upstream
  std::int64_t mAtMs = 0; ///< Unix time at the reporting instance, ms
  std::set<PartId> mParts;

  bool operator==(const CrashSuspects&) const = default;
};

/// @brief Detects parts of prompts that crash each upstream that begins to
/// answer a request with them.
///
/// The suspects of a crash are the parts of the requests that had no event yet
/// there. A part is exonerated by the first event of any answer on it, because
/// a deadly part never gets one. Each of the n remaining suspects of a crash is
/// assigned a blame of 1/n. A part is quarantined when it was a suspect in two
/// failures at different upstreams and its blame reaches a threshold; after
/// three failures without an event in between the blame does not matter. A
/// crash with a quarantined part incriminates no other part.
///
/// Parts that were suspects in the same crashes are rivals: requests with all
/// of them are refused, and one request with some of them may probe these. An
/// event clears them; a crash leaves only these in quarantine, or, if it had
/// other suspects, makes them rivals of these until there is more evidence.
///
/// A part may only seem guilty because each of its crashes had another deadly
/// part as well. After a short time a request with none of these companions may
/// probe it: an event clears it, and the companions are judged by themselves; a
/// crash ends such probes.
///
/// The quarantine ends after a term. One request may then probe the part: an
/// event clears it, another crash doubles the term. Instances probe at
/// different times, so that one of them can warn the others.
class PartQuarantine
{
public:
  struct Options
  {
    std::size_t mMinEndpoints = 2;  ///< different crashed upstreams, >= 1
    std::size_t mMinFailures = 2;   ///< >= 1
    std::size_t mClearFailures = 3; ///< neither blame nor rivals matter, >= 1
    double mMinBlame = 0.5;         ///< total blame over all failures, > 0
    /// reports for an upstream within this time belong to one crash
    Duration mSameCrashWindow = std::chrono::seconds(2);
    /// crashes of several upstreams within this time are one failure with a
    /// common cause
    Duration mSameFailureWindow = std::chrono::milliseconds(50);
    /// delay before a crash counts, in which its other suspects are found
    Duration mSettleTime = std::chrono::milliseconds(50);
    Duration mCrashRetention = std::chrono::seconds(60); ///< time it counts
    Duration mServedRetention = std::chrono::minutes(10);
    Duration mFirstTerm = std::chrono::seconds(60);
    Duration mMaxTerm = std::chrono::minutes(10);
    /// time over which the instances spread their first probes
    Duration mProbeSpread = std::chrono::seconds(30);
    Duration mProbeTimeout = std::chrono::seconds(10);
    /// time over which the instances of a small fleet spread their reports of
    /// suspects that were served before the crash
    Duration mClearanceSpread = std::chrono::milliseconds(400);
    std::size_t mMaxCrashes = 256;        ///< bounds the memory
    std::size_t mMaxSuspects = 64;        ///< of one crash
    std::size_t mMaxQuarantined = 1'024;  ///< bounds the memory
    std::size_t mMaxServedParts = 32'768; ///< bounds the memory
    std::uint64_t mSeed = 0;              ///< different in each instance
  };

  explicit PartQuarantine(Options aOptions);

  /// @brief Sets the number of instances that share their reports. The more
  /// there are, the longer each of them waits for the report of another one, so
  /// that the reports of all do not grow with their number.
  void SetInstanceCount(int aInstances);

  /// @brief Clears parts on which an upstream sent an event.
  void OnServed(const std::vector<PartId>& aParts, TimePoint aNow);

  /// @brief Clears parts that another instance reports as served.
  void OnPeerServed(const std::vector<PartId>& aParts, TimePoint aNow);

  /// @brief Records a crash that this instance saw or a peer reported.
  /// @note Reports of one crash are merged.
  void OnCrash(const CrashSuspects& aCrash, TimePoint aNow);

  /// @brief Starts the probe of quarantined parts in a request that is sent.
  void OnSent(const std::vector<PartId>& aParts, TimePoint aNow);

  /// @brief Checks whether a request with these parts must not be sent.
  [[nodiscard]] bool IsQuarantined(const std::vector<PartId>& aParts,
                                   TimePoint aNow);

  /// @brief Returns the parts that were not served lately.
  [[nodiscard]] std::set<PartId> SuspectsAmong(
    const std::vector<PartId>& aParts,
    TimePoint aNow) const;

  /// @brief Returns suspects that were served here and that peers do not know
  /// to be innocent, each of them once.
  [[nodiscard]] std::vector<PartId> TakeCleared(TimePoint aNow);

  /// @brief Returns the parts that were quarantined since the last call.
  [[nodiscard]] std::vector<PartId> TakeQuarantined();

  /// @brief Counts crashes that have settled and drops expired ones.
  void OnTick(TimePoint aNow);

  [[nodiscard]] std::size_t QuarantinedCount() const
  {
    return mQuarantined.size();
  }
  [[nodiscard]] std::size_t CrashCount() const { return mCrashes.size(); }
  [[nodiscard]] std::size_t ServedCount() const { return mServed.Size(); }

private:
  struct Crash
  {
    CrashSuspects mSuspects;
    TimePoint mSeenAt;      ///< of the first report
    bool mIsJudged = false; ///< its suspects were made rivals of others
  };

  struct Entry
  {
    TimePoint mUntil; ///< end of the term
    Duration mTerm{};
    TimePoint mProbeUntil; ///< no other probe before
    /// parts that were suspects in the same crashes
    std::set<PartId> mRivals;
    /// other suspects of its crashes; empty if it was the only one of any
    std::set<PartId> mCompanions;
    TimePoint mCompanionProbeAt; ///< no probe without companions before
  };

  struct Evidence
  {
    std::set<std::string> mEndpoints;
    std::set<std::size_t> mCrashIndexes;
    std::vector<std::pair<std::int64_t, double>> mCrashes; ///< time, blame
    std::size_t mFailures = 0;
    double mBlame = 0.0;
  };

  using EvidenceByPart = std::map<PartId, Evidence>;

  /// Drops a part and the evidence against it.
  void Forget(PartId aPart, TimePoint aNow);
  void Clear(PartId aPart, TimePoint aNow);
  void Decide(TimePoint aNow);
  /// Returns the evidence of the crashes without a quarantined part.
  [[nodiscard]] EvidenceByPart Unexplained(TimePoint aNow) const;
  void CountFailures(Evidence& aEvidence) const;
  [[nodiscard]] bool Suffices(const Evidence& aEvidence) const;
  /// Returns the parts against which there is most evidence, as groups of
  /// rivals; none if it does not suffice.
  [[nodiscard]] std::vector<std::set<PartId>> MostIncriminated(
    const EvidenceByPart& aEvidence) const;
  void SetRivals(const std::set<PartId>& aGroup);
  /// Returns the other suspects of the crashes of a group; none if there was a
  /// crash without any.
  [[nodiscard]] std::set<PartId> CompanionsOf(
    const std::set<PartId>& aGroup,
    const std::set<std::size_t>& aCrashes) const;
  void SetCompanions(const std::set<PartId>& aGroup,
                     const std::set<PartId>& aCompanions,
                     TimePoint aNow);
  /// Judges crashes in which only some of a group of rivals were suspects.
  void NarrowRivals(TimePoint aNow);
  [[nodiscard]] std::size_t CrashesOf(PartId aPart) const;
  /// Returns the crashes with any of the parts among their suspects.
  [[nodiscard]] std::set<std::size_t> CrashesWith(
    const std::set<PartId>& aParts) const;
  void Release(PartId aPart);
  void Confine(PartId aPart, TimePoint aNow);
  /// Returns a time within the spread that differs by subject and instance.
  [[nodiscard]] Duration SpreadOf(std::uint64_t aSubject,
                                  Duration aSpread) const;

  Options mOptions;
  ServedIds mServed;
  Duration mClearanceSpread; ///< of suspects that were served before the crash
  Duration mServedSpread{};  ///< of suspects that are served after it
  Duration mCompanionSpread{}; ///< of probes without the companions of a part
  std::deque<Crash> mCrashes;  ///< oldest first
  std::map<PartId, Entry> mQuarantined;
  std::map<PartId, TimePoint> mCleared; ///< time at which it is reported
  std::vector<PartId> mNewlyQuarantined;
  std::optional<TimePoint> mDecideAt; ///< a crash has not been counted yet
};

} // namespace figslip::quarantine
