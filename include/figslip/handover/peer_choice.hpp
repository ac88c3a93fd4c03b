#pragma once

#include <figslip/membership/instance_location.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::handover {

/// @brief Lists how another instance can decline to take a request.
enum class Decline
{
  NoContact,   ///< it reaches no upstream either, or cannot serve callers
  Busy,        ///< it has no room for requests of others
  Unreachable, ///< it did not answer
  NotSuited    ///< for this request only
};

/// @brief Describes a request for which an instance is chosen.
struct PeerQuery
{
  /// names of instances that have been asked; may be null
  const std::set<std::string, std::less<>>* mAsked = nullptr;
  /// regions in which the request may be handled, by its route and by its
  /// account; null or empty: all
  const std::vector<std::string>* mRegions = nullptr;
  const std::vector<std::string>* mAccountRegions = nullptr;
};

/// @brief Chooses the instance that requests are handed over to.
class PeerChoice
{
public:
  struct Options
  {
    std::string mInstance; ///< name of this instance
    std::string mDomain;   ///< failure domain of this instance
    std::map<std::string, std::string> mRegions; ///< by failure domain
    /// requests of an instance of the own domain for one of another domain, as
    /// bytes between domains are priced
    int mOwnDomainWeight = 3;
    /// after an instance had no contact; doubled with each further time
    Duration mMinNoContactPause = std::chrono::milliseconds(500);
    Duration mMaxNoContactPause = std::chrono::seconds(2);
    Duration mBusyPause = std::chrono::milliseconds(200);
    /// after an instance did not answer; doubled with each further time
    Duration mMinUnreachablePause = std::chrono::seconds(1);
    Duration mMaxUnreachablePause = std::chrono::seconds(8);
    /// instances without contact in a row after which a failure domain is
    /// suspected to be cut off; others are then asked first
    int mMinSuspicious = 2;
    Duration mMaxSuspicion = std::chrono::seconds(2); ///< after the last one
    std::uint64_t mSeed = 1; ///< of the choice among equal ones
  };

  explicit PeerChoice(Options aOptions);

  /// @brief Replaces the registered instances; state of those that remain is
  /// kept.
  void OnInstances(const std::vector<membership::InstanceLocation>& aInstances);

  /// @brief Chooses the instance with the fewest requests for its weight.
  /// @return nothing if no instance may be asked now
  [[nodiscard]] std::optional<membership::InstanceLocation> Choose(
    const PeerQuery& aQuery,
    TimePoint aNow);
  /// @brief Returns whether `Choose` would return an instance.
  [[nodiscard]] bool HasCandidate(const PeerQuery& aQuery,
                                  TimePoint aNow) const;

  /// @brief Records that a request is sent to an instance; `OnEnded` follows.
  void OnSent(std::string_view aInstance);
  void OnEnded(std::string_view aInstance);
  /// @brief Records that an instance took a request.
  void OnTaken(std::string_view aInstance);
  void OnDeclined(std::string_view aInstance, Decline aReason, TimePoint aNow);

private:
  struct State
  {
    membership::InstanceLocation mLocation;
    int mOpen = 0;     ///< requests under way there
    int mFailures = 0; ///< times in a row that it declined or did not answer
    TimePoint mNotBefore;
  };

  [[nodiscard]] bool MayAsk(const State& aState,
                            const PeerQuery& aQuery,
                            TimePoint aNow) const;
  /// Returns whether an instance is in one of the regions. Without any, or for
  /// a failure domain of unknown region, it is where this instance is.
  [[nodiscard]] bool IsInRegions(
    const State& aState,
    const std::vector<std::string>* aRegions) const;
  [[nodiscard]] Duration PauseAfter(State& aState, Decline aReason) const;
  [[nodiscard]] bool IsSuspected(const std::string& aDomain,
                                 TimePoint aNow) const;

  Options mOptions;
  /// Instances of a failure domain without contact since one took a request.
  struct Suspicion
  {
    int mCount = 0;
    TimePoint mLastAt;
  };

  std::map<std::string, State, std::less<>> mStates; ///< by name
  std::map<std::string, Suspicion> mSuspicions;      ///< by failure domain
  std::mt19937_64 mRandom;
};

} // namespace figslip::handover
