#pragma once

#include <figslip/coldstart/cold_start_gate.hpp>
#include <figslip/manifest/manifest.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::routing {

/// @brief Holds the load that an upstream last reported.
///
/// @note The actual load may have changed since the report.
struct LoadReport
{
  std::string mUpstream;
  std::string mBootId;
  int mRunning = 0; ///< requests of all entries running or queued there
  TimePoint mAt;    ///< when the load was measured
  /// versions loaded by the engine; empty if it does not report them
  std::optional<std::vector<std::string>> mLoadedVersions;
};

/// @brief Counts the requests of this entry per upstream and selects upstreams.
class UpstreamTable
{
public:
  explicit UpstreamTable(coldstart::ColdStartGate::Options aColdStart);

  /// @brief Returns the gate that limits upstreams in cold start.
  [[nodiscard]] coldstart::ColdStartGate& ColdStart() { return mColdStart; }
  [[nodiscard]] const coldstart::ColdStartGate& ColdStart() const
  {
    return mColdStart;
  }

  /// @brief Stores a load report unless a newer one is stored.
  void OnLoadReport(const LoadReport& aReport);

  /// @brief Selects an upstream with a free slot.
  ///
  /// A request with a prompt prefix goes to the owner of the prefix by
  /// rendezvous hashing, or to the next upstream in the rendezvous order whose
  /// load is close to the average. Other requests go to the least loaded
  /// upstream. The load is the larger of the requests of this entry and the
  /// last report while that is fresh. The complexity is O(n log n).
  /// @param[in] aCandidates upstreams that pass the dispatch check
  /// @param[in] aPrefixHash hash of the prompt prefix; 0 if none
  /// @return null if no candidate has a free slot
  [[nodiscard]] const manifest::Upstream* Choose(
    std::span<const manifest::Upstream* const> aCandidates,
    std::uint64_t aPrefixHash,
    std::mt19937_64& aRandom,
    TimePoint aNow) const;

  /// @brief Returns whether `Choose` would find an upstream.
  [[nodiscard]] bool HasFreeSlot(
    std::span<const manifest::Upstream* const> aCandidates,
    TimePoint aNow) const;

  /// @brief Takes a slot of an upstream for one request.
  void Reserve(std::string_view aUpstream);

  /// @brief Frees the slot of one request on an upstream.
  void Release(std::string_view aUpstream);

  /// @brief Ends one request, but keeps its slot occupied until a given time.
  ///
  /// An upstream may continue to run a request that was abandoned.
  void ReleaseAt(std::string_view aUpstream, TimePoint aUntil);

  /// @brief Frees the slots of abandoned requests that have expired.
  void Expire(TimePoint aNow);

  /// @brief Returns the number of slots in use, including abandoned requests.
  [[nodiscard]] int OccupiedSlots(std::string_view aUpstream) const;

  /// @brief Returns the number of requests of this entry on an upstream.
  [[nodiscard]] int InFlight(std::string_view aUpstream) const;

private:
  struct UpstreamRecord
  {
    int mInFlight = 0;
    LoadReport mReport;
    std::vector<TimePoint> mAbandonedUntil; ///< expiry times of slots
  };

  struct UpstreamLoad
  {
    const manifest::Upstream* mUpstream;
    double mLoad; ///< requests as a fraction of the concurrency
  };

  [[nodiscard]] double LoadOf(const manifest::Upstream& aUpstream,
                              TimePoint aNow) const;
  [[nodiscard]] static const manifest::Upstream* PrefixOwner(
    std::span<const UpstreamLoad> aAvailable,
    std::uint64_t aPrefixHash);

  coldstart::ColdStartGate mColdStart;
  std::map<std::string, UpstreamRecord, std::less<>> mStates;
};

} // namespace figslip::routing
