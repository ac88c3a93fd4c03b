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

/// @brief Holds the load that an upstream last reported; it lags.
struct LoadReport
{
  std::string mUpstream;
  std::string mBootId;
  int mRunning = 0; ///< requests running or queued there, of all entries
  TimePoint mAt;    ///< when the report was taken
  /// versions that the engine serves; none if it does not tell
  std::optional<std::vector<std::string>> mLoadedVersions;
};

/// @brief Counts own work per upstream and chooses where to send more.
class UpstreamTable
{
public:
  explicit UpstreamTable(coldstart::ColdStartGate::Options aColdStart);

  [[nodiscard]] coldstart::ColdStartGate& ColdStart() { return mColdStart; }
  [[nodiscard]] const coldstart::ColdStartGate& ColdStart() const
  {
    return mColdStart;
  }

  /// @brief Takes a load report; older reports are ignored.
  void OnLoadReport(const LoadReport& aReport);

  /// @brief Chooses an upstream with room for one more request.
  ///
  /// A request with a prompt prefix goes to the prefix's home by rendezvous
  /// hashing, or the next in its order whose load is near the average; others
  /// go to the least loaded upstream. Load is the larger of own requests and
  /// the last report, while that is fresh. O(n log n).
  /// @param[in] aCandidates upstreams that pass the dispatch check
  /// @param[in] aPrefixHash hash of the prompt prefix; 0 if none
  /// @return null where no candidate has room
  [[nodiscard]] const manifest::Upstream* Choose(
    std::span<const manifest::Upstream* const> aCandidates,
    std::uint64_t aPrefixHash,
    std::mt19937_64& aRandom,
    TimePoint aNow) const;

  /// @brief Counts one more request on an upstream.
  void Reserve(std::string_view aUpstream);

  /// @brief Counts one request less on an upstream.
  void Release(std::string_view aUpstream);

  /// @brief Counts one request less, but keeps its slot until a time.
  ///
  /// An upstream may go on with a request that was abandoned.
  void ReleaseAt(std::string_view aUpstream, TimePoint aUntil);

  /// @brief Frees the slots of abandoned requests whose time has come.
  void Expire(TimePoint aNow);

  /// @brief Returns the slots taken: requests in flight and abandoned ones.
  [[nodiscard]] int OccupiedSlots(std::string_view aUpstream) const;

  /// @brief Returns the requests of this entry on an upstream.
  [[nodiscard]] int InFlight(std::string_view aUpstream) const;

private:
  struct UpstreamState
  {
    int mInFlight = 0;
    LoadReport mReport;
    std::vector<TimePoint> mAbandonedUntil; ///< when their slots are free again
  };

  struct UpstreamLoad
  {
    const manifest::Upstream* mUpstream;
    double mLoad; ///< requests as a part of the concurrency
  };

  [[nodiscard]] double LoadOf(const manifest::Upstream& aUpstream,
                              TimePoint aNow) const;
  [[nodiscard]] static const manifest::Upstream* PrefixOwner(
    std::span<const UpstreamLoad> aAvailable,
    std::uint64_t aPrefixHash);

  coldstart::ColdStartGate mColdStart;
  std::map<std::string, UpstreamState, std::less<>> mStates;
};

} // namespace figslip::routing
