#pragma once

#include <figslip/coldstart/cold_use.hpp>
#include <figslip/membership/instance.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace figslip::coldstart {

/// @brief Allocates the cold capacity of the upstreams that this instance owns.
///
/// The requests of all instances on an upstream in cold start stay within its
/// cold concurrency:
/// - A slot is granted only while every other instance of the failure domain in
///   the instance list has recently sent a use report here, so that none of
///   them acts as the owner.
/// - The slots and the requests in flight that instances reported are reserved.
///   A reservation lasts until its instance reports less, or for the duration
///   of the grant plus the maximum duration of a request.
/// - Each response carries a token, the time at the owner. The age of a use
///   report is counted from the token that it returns, so that a report delayed
///   in the network does not count as recent.
/// - An instance that starts to report may have reported to another owner just
///   before, so no slots are granted until that owner's grants have expired.
class GrantAllocator
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    Duration mGrantDuration = std::chrono::seconds(1);
    /// age up to which a use report counts as recent
    Duration mMaxUseReportAge = std::chrono::milliseconds(1500);
    Duration mMaxRequestDuration = std::chrono::seconds(30); ///< of one request
  };

  /// @brief Properties of the upstream that a use report is about.
  struct Ownership
  {
    bool mIsOwner = false;    ///< by this instance's list of instances
    int mMaxColdRequests = 0; ///< cold concurrency of the upstream
  };

  explicit GrantAllocator(Options aOptions);

  /// @brief Sets the instances of the own failure domain, including this one.
  ///
  /// If one is removed, no slots are granted until the grants that it may have
  /// issued have expired.
  void OnInstances(std::set<std::string, std::less<>> aInstances);

  /// @brief Lowers the assumed number of unreported requests to a load report.
  ///
  /// Ignored if it was made before the grants of an earlier owner expired, or
  /// lies in the future.
  /// @param[in] aRunning requests running on the upstream
  /// @param[in] aAt time of the load report
  void OnLoadReport(std::string_view aUpstream,
                    int aRunning,
                    TimePoint aAt,
                    TimePoint aNow);

  /// @brief Handles a use report of an instance, which may be this one.
  /// @param[in] aSequence increases with every report of the sender
  /// @return grant with token 0 if this instance is not the owner or the report
  /// is older than the last one
  [[nodiscard]] ColdGrant OnUse(const membership::Incarnation& aSender,
                                std::int64_t aSequence,
                                const ColdUse& aUse,
                                const Ownership& aOwnership,
                                TimePoint aNow);

private:
  struct Holder
  {
    std::int64_t mSequence = 0;
    int mReserved = 0; ///< upper bound of its requests there
    int mWanted = 0;
    TimePoint mAnsweredAt;  ///< time of the last response
    TimePoint mToken;       ///< token of the last report
    TimePoint mServedSince; ///< first of the consecutive grants
  };

  struct State
  {
    std::optional<TimePoint> mOwnerSince; ///< empty: not the owner
    TimePoint mNoGrantsUntil; ///< an earlier owner's grants may be valid
    int mUnreportedWork = 0;  ///< upper bound of unreported requests
    std::map<membership::Incarnation, Holder> mHolders;
  };

  [[nodiscard]] bool IsFresh(const State& aState,
                             TimePoint aToken,
                             TimePoint aNow) const;
  void SuspendGrants(State& aState, int aMaxColdRequests, TimePoint aNow) const;
  void Expire(State& aState, TimePoint aNow) const;
  [[nodiscard]] bool AllReportedRecently(const State& aState,
                                         TimePoint aNow) const;
  [[nodiscard]] int Slots(const State& aState,
                          const membership::Incarnation& aSender,
                          int aMaxColdRequests,
                          TimePoint aNow) const;

  Options mOptions;
  std::set<std::string, std::less<>> mInstances;
  std::map<std::string, State, std::less<>> mStates;
};

} // namespace figslip::coldstart
