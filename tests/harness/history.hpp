#pragma once

#include <figslip/manifest/manifest.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace figslip::test {

/// Unix time in milliseconds, of the one clock that all processes share.
using Millis = std::int64_t;

/// States how a call of a caller ended.
enum class CallerEnd
{
  Answered,    ///< a whole answer came
  Refused,     ///< a whole refusal came
  Cut,         ///< the connection ended before a whole response
  NotConnected ///< no byte of the request left the caller
};

/// Records one call of a caller; a repeat is a record of its own.
struct CallerRecord
{
  std::string mRequestId;
  std::string mAccount;
  std::string mEntry;
  std::string mTarget; ///< chat target, or `service/operation`
  std::string mIdempotencyKey;
  std::string mSessionVersion; ///< version of the session token sent
  Millis mSentAt = 0;
  Millis mEndedAt = 0;
  CallerEnd mEnd = CallerEnd::Cut;
  std::string mRun;     ///< value of `Figslip-Run`
  std::string mVersion; ///< value of `Figslip-Version`
  std::string mBody;    ///< text of the answer
  std::int64_t mGeneration = 0;
};

/// Records one request that an upstream started to run.
struct UpstreamRun
{
  std::string mUpstream;
  std::string mRequestId;
  std::string mAttemptId;
  std::string mVersion;   ///< empty for plain services
  std::string mOperation; ///< empty for model engines
  std::string mIdempotencyKey;
  Millis mAt = 0;
  bool mCold = false; ///< the upstream was in cold start
  int mRunning = 1;   ///< requests running there, this one included
  int mColdBound = 1; ///< what it bears in cold start
};

/// Records one attempt named by a billing record.
struct BillingAttempt
{
  std::string mUpstream;
  std::string mVersion;
};

/// Records one billing record found at the platform.
struct BillingEntry
{
  std::string mRequestId;
  std::string mAccount;
  std::vector<BillingAttempt> mAttempts;
};

/// Records that the platform accepted a manifest.
struct ManifestPublished
{
  Millis mAt = 0;
  manifest::Manifest mManifest;
};

/// Records that the instance list began to show an upstream as leaving.
struct UpstreamLeaving
{
  std::string mUpstream;
  Millis mFrom = 0;
};

/// Records a time in which an instance could not hear of changes.
struct Isolation
{
  enum class Kind
  {
    Cut,   ///< the platform and other domains were out of reach
    Frozen ///< the process was stopped
  };
  Kind mKind = Kind::Cut;
  std::string mInstance; ///< name of the entry; empty for all
  Millis mFrom = 0;
  Millis mTo = 0;
};

/// Records which generation an instance had in force.
struct GenerationSample
{
  std::string mInstance;
  Millis mAskedAt = 0; ///< when the question was sent
  std::int64_t mGeneration = 0;
};

/// Records the graceful stop of an entry.
struct PlannedStop
{
  std::string mEntry;
  Millis mFrom = 0;
  Millis mTo = 0;
  bool mGraceful = false; ///< the process ended by itself with exit code 0
};

/// Holds everything that callers, upstreams and the platform recorded.
struct History
{
  std::vector<CallerRecord> mCalls;
  std::vector<UpstreamRun> mRuns;
  std::vector<BillingEntry> mBilling;
  std::vector<ManifestPublished> mManifests; ///< in the order of publication
  std::vector<UpstreamLeaving> mLeaving;
  std::vector<Isolation> mIsolations;
  std::vector<GenerationSample> mGenerations; ///< in the order of sampling
  std::vector<PlannedStop> mStops;
  /// entries by failure domain, as `entry` to `failure domain`
  std::vector<std::pair<std::string, std::string>> mEntryDomains;
};

} // namespace figslip::test
