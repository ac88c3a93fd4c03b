#pragma once

#include <figslip/evidence/evidence_store.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/quarantine/quarantine.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figslip::peer {

/// @brief Tells what an entry knows of an upstream of its failure domain.
struct UpstreamNews
{
  std::string mUpstream;
  std::string mBootId; ///< empty where it is not known
  bool mWarm = false;
  int mInFlight = 0; ///< requests of the reporting entry
  std::optional<TimePoint>
    mSurpriseAt;        ///< last refusal, reset or restart known
  int mRunning = -1;    ///< load last reported by the upstream; -1: none
  TimePoint mRunningAt; ///< when that report was taken

  bool operator==(const UpstreamNews&) const = default;
};

/// @brief Tells how much work a failure domain can take.
struct DomainLoad
{
  std::string mFailureDomain;
  int mFreeSlots = 0; ///< requests that its upstreams could take more
  int mWaiting = 0;   ///< requests waiting at the reporting entry
  TimePoint mAt;

  bool operator==(const DomainLoad&) const = default;
};

/// @brief Holds what entries tell each other at every exchange.
///
/// Times are of the clock of the instance that holds the digest; the codec
/// sends ages, so that the clocks of two instances need not agree.
struct Digest
{
  membership::Incarnation mSender;
  std::string mFailureDomain;
  std::int64_t mGeneration = 0; ///< manifest in force; 0: none
  TimePoint mConfirmedAt;       ///< when it was last known to be current
  std::vector<evidence::EvidenceEntry> mEvidence;
  std::vector<quarantine::CrashReport> mCrashes;
  std::vector<UpstreamNews> mUpstreams;
  std::vector<std::string> mStoppedVersions;
  std::vector<DomainLoad> mLoads;
};

} // namespace figslip::peer
