#pragma once

#include <figslip/peer/digest.hpp>
#include <figslip/peer/rumor_queue.hpp>

#include <compare>
#include <cstddef>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figslip::peer {

/// @brief Holds what this instance found out by itself, for its digests.
struct LocalNews
{
  std::int64_t mGeneration = 0;
  TimePoint mConfirmedAt;
  std::vector<evidence::EvidenceEntry> mEvidence; ///< own counts
  /// versions whose evidence goes first, as those in roll-out
  std::set<std::string, std::less<>> mUrgentVersions;
  std::vector<quarantine::CrashReport> mCrashes;
  std::vector<UpstreamNews> mUpstreams; ///< of the own failure domain
  std::vector<std::string> mStoppedVersions;
  DomainLoad mLoad; ///< of the own failure domain
};

/// @brief Counts the entries that have stopped a version as bad.
struct StopVotes
{
  std::string mVersion;
  std::size_t mEntries = 0; ///< entries heard of, >= 1
};

/// @brief Holds what a digest of a peer added.
struct Learned
{
  bool mNewerManifest = false; ///< the peer has a higher generation in force
  std::vector<evidence::EvidenceEntry> mEvidence;
  std::vector<quarantine::CrashReport> mCrashes;
  std::vector<UpstreamNews> mUpstreams;
  std::vector<StopVotes> mStopVotes; ///< of the versions in the digest
};

/// @brief Decides whom to tell what, and what to believe.
///
/// A pure state machine: the shell sends the digests. Every list of a digest
/// is bounded; items that changed are sent a few times each and travel on from
/// entry to entry. Evidence of single entries stays in their failure domain;
/// the others get its sum, under the name of the failure domain and with a
/// start of 0 as its origin. Sums of different entries merge by the larger one,
/// since each is a lower bound of the true sum.
class Gossip
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
    std::uint64_t mSeed = 1;
    int mSends = 5;                   ///< times that a changed item is sent
    std::size_t mMaxEvidence = 8;     ///< entries a digest
    std::size_t mMaxCrashes = 4;      ///< reports a digest
    std::size_t mMaxUpstreams = 10;   ///< items a digest
    std::size_t mMaxLoads = 3;        ///< failure domains a digest
    std::size_t mMaxKnown = 20'000;   ///< evidence entries remembered
    std::int64_t mBucketsRelayed = 2; ///< spans of evidence that travel on
    Duration mSameSurprise = std::chrono::seconds(2);
    Duration mLoadMemory = std::chrono::seconds(10);
  };

  explicit Gossip(Options aOptions);

  /// @brief Picks the peers of one round: one of the own failure domain and
  /// one of another, as far as there are any.
  [[nodiscard]] std::vector<membership::EntryInstance> PickPeers(
    const membership::InstanceList& aInstances);

  /// @brief Notes what this instance found out by itself.
  void OnLocalNews(LocalNews aNews, TimePoint aNow);

  /// @brief Makes a digest for a peer of a failure domain.
  [[nodiscard]] Digest Compose(std::string_view aReceiverDomain,
                               TimePoint aNow);

  /// @brief Takes the digest of a peer.
  /// @return what was not known before
  [[nodiscard]] Learned Absorb(const Digest& aDigest, TimePoint aNow);

  /// @brief Returns the load of each failure domain, as last heard.
  [[nodiscard]] std::vector<DomainLoad> Loads(TimePoint aNow) const;

  /// @brief Tells when the load of an upstream was last reported to anyone.
  [[nodiscard]] TimePoint LoadReportedAt(std::string_view aUpstream) const;

private:
  struct EvidencePlace
  {
    std::int64_t mBucket = 0; ///< first, so that old spans are erased at once
    evidence::EvidenceKey mKey;
    membership::Incarnation mOrigin;

    auto operator<=>(const EvidencePlace&) const = default;
  };

  using CrashPlace = std::pair<std::uint64_t, std::string>;

  /// Evidence that waits to be sent, the urgent first.
  struct EvidenceQueues
  {
    explicit EvidenceQueues(int aSends)
      : mUrgent(aSends)
      , mPlain(aSends)
    {
    }

    RumorQueue<EvidencePlace> mUrgent;
    RumorQueue<EvidencePlace> mPlain;
  };

  [[nodiscard]] bool TakesEvidence(const evidence::EvidenceEntry& aEntry,
                                   const Digest& aDigest) const;
  bool OfferEvidence(const evidence::EvidenceEntry& aEntry);
  void UpdateSum(const EvidencePlace& aPlace);
  void Push(EvidenceQueues& aQueues, const EvidencePlace& aPlace);
  /// Appends until the digest has so many entries.
  void AppendEvidence(Digest& aDigest,
                      RumorQueue<EvidencePlace>& aQueue,
                      std::size_t aUpTo) const;
  bool OfferCrash(const quarantine::CrashReport& aReport);
  bool OfferUpstream(const UpstreamNews& aNews, bool aOwn);
  void OfferLoad(const DomainLoad& aLoad);
  [[nodiscard]] bool IsLaterSurprise(const UpstreamNews& aNew,
                                     const UpstreamNews& aKnown) const;
  [[nodiscard]] std::vector<StopVotes> CountStopVotes(const Digest& aDigest);
  void ForgetOld(TimePoint aNow);

  Options mOptions;
  std::mt19937_64 mRandom;
  LocalNews mLocal;
  std::map<EvidencePlace, evidence::EvidenceCounts> mEvidence;
  std::map<CrashPlace, quarantine::CrashReport> mCrashes;
  std::map<std::string, UpstreamNews, std::less<>> mUpstreams;
  std::map<std::string, DomainLoad, std::less<>> mLoads;
  std::map<std::string, std::set<std::string>, std::less<>> mStopVotes;
  EvidenceQueues mEntryEvidence; ///< for the own failure domain
  EvidenceQueues mSumEvidence;   ///< of failure domains, for all
  RumorQueue<CrashPlace> mCrashRumors;
  RumorQueue<std::string> mUpstreamRumors;
};

} // namespace figslip::peer
