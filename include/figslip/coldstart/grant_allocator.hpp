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

/// @brief Grants the cold capacity of the upstreams that this entry is home of.
///
/// The sum of the work of all entries on an upstream in cold start stays within
/// its bound: a slot is granted only while every other entry of the failure
/// domain that the instance list shows has asked this home lately, so that none
/// of them acts as the home, and only as far as the slots and the running work
/// that the entries reported leave room. Each answer carries a token, the time
/// at the home; an ask counts from the token that it sends back, so that an ask
/// delayed on its way proves nothing. Whoever begins to ask may have asked
/// another home just before, so grants wait until those of that home are over.
/// A reservation lasts until the entry
/// reports less, or for the length of its grant and the longest work after it.
class GrantAllocator
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    Duration mGrantDuration = std::chrono::seconds(1);
    Duration mMaxUseReportAge =
      std::chrono::milliseconds(1500);                       ///< age of an ask
    Duration mMaxRequestDuration = std::chrono::seconds(30); ///< of one request
  };

  /// @brief Holds the facts about an upstream that a home decides with.
  struct Ownership
  {
    bool mIsOwner = false;    ///< by this entry's instance list
    int mMaxColdRequests = 0; ///< cold concurrency of the upstream
  };

  explicit GrantAllocator(Options aOptions);

  /// @brief Takes the entries of the own failure domain, this one included.
  ///
  /// Where one vanishes, grants wait until those it may have given are over.
  void OnInstances(std::set<std::string, std::less<>> aInstances);

  /// @brief Takes a load report; it limits the work that nobody reported.
  void OnLoadReport(std::string_view aUpstream,
                    int aRunning,
                    TimePoint aAt,
                    TimePoint aNow);

  /// @brief Answers an entry, which may be this one.
  /// @param[in] aSequence grows with every request of the sender
  [[nodiscard]] ColdGrant OnUse(const membership::Incarnation& aSender,
                                std::int64_t aSequence,
                                const ColdUse& aUse,
                                const Ownership& aOwnership,
                                TimePoint aNow);

private:
  struct Holder
  {
    std::int64_t mSequence = 0;
    int mReserved = 0; ///< most work that it can have there
    int mWanted = 0;
    TimePoint mAnsweredAt;  ///< last answer
    TimePoint mToken;       ///< token of the last ask
    TimePoint mServedSince; ///< first grant without a pause
  };

  struct State
  {
    std::optional<TimePoint> mOwnerSince; ///< none: not the home
    TimePoint mNoGrantsUntil; ///< grants of an earlier home may be in use
    int mUnreportedWork = 0;  ///< work that no entry reported, at most
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
