#pragma once

#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figslip::relay {

/// @brief Oldest confirmation of the configuration of a copy that is used
/// without a call to the store: a source that has lost the store shows by this
/// before a change is due everywhere, 2 s after it was made.
inline constexpr Duration kMaxCopyAge = std::chrono::milliseconds(1'750);

/// @brief Names an instance that may pass on its copy of the store.
struct Peer
{
  std::string mInstance;
  std::string mFailureDomain;
  std::string mAddress; ///< IP number and port

  auto operator<=>(const Peer&) const = default;
};

/// @brief Lists how an instance can fail to be a source.
enum class SourceFailure
{
  Unreachable, ///< it gave no answer
  NoCopy       ///< it answered, and has no copy that is new enough
};

/// @brief Describes the copy of this instance when its source is chosen.
struct CopyState
{
  bool mHasCopy = false;
  bool mFollowsStore = false; ///< it calls the store itself
  bool mHasLostStore = false; ///< it does so, and the store does not answer
  Duration mAge{};            ///< since the configuration was confirmed
};

/// @brief Asks an instance for news.
struct AskInstance
{
  Peer mPeer;
  /// time after which an answer is of no use; none: no such bound
  std::optional<TimePoint> mUntil;
};

/// @brief Waits for another instance to follow the store.
struct AwaitSuccessor
{
  TimePoint mUntil; ///< the choice is to be made again then
};

/// @brief Follows the store itself, or goes on with it.
struct FollowStore
{
  std::string_view mReason;
};

/// @brief Tells what an instance does next to keep its copy up to date.
using SourceStep = std::variant<AskInstance, AwaitSuccessor, FollowStore>;

/// @brief Chooses from where an instance follows the store.
///
/// All instances of a failure domain rank its instances alike; each follows the
/// first one that answers, and that one follows the store itself. Nothing has
/// to be agreed on: an instance for which none before it answers follows the
/// store, too, and so may several at the same time. An instance that has lost
/// the store asks those of all failure domains.
///
/// When the source of an instance fails, the first of the others in the common
/// rank that can be reached follows the store at once. The others wait for it
/// as long as their copy is new enough, and take its place one after the other
/// if it does not succeed. Otherwise all of them would call the store at the
/// same moment.
class SourceChoice
{
public:
  struct Options
  {
    std::string mInstance;
    std::string mFailureDomain;
    /// time for which an unreachable instance is not asked; doubles each time
    Duration mAvoid = std::chrono::seconds(1);
    Duration mMaxAvoid = std::chrono::seconds(16);
    /// time for which an instance without a copy is not asked
    Duration mNoCopyAvoid = std::chrono::milliseconds(500);
    /// the same while this instance is up to date without it: a better source
    /// is not urgent then
    Duration mIdleNoCopyAvoid = std::chrono::seconds(4);
    /// instances beyond those ranked before this one that are asked while the
    /// store is lost, so that the polls of all do not grow with their square
    std::size_t mMaxOthers = 6;
    /// reachable instances at the front of the rank that are asked at the
    /// shorter interval
    std::size_t mFront = 3;
    /// part of `kMaxCopyAge` that is kept for the first call to the store; a
    /// list of the configuration takes less, unless the store is overloaded
    Duration mCallReserve = std::chrono::milliseconds(100);
    /// interval at which possible successors of a source are asked
    Duration mSuccessorPoll = std::chrono::milliseconds(75);
    /// times between the attempts of successive ranks: enough for a call to
    /// the store and a poll; a fraction of the remaining age in between
    Duration mMinStagger = std::chrono::milliseconds(100);
    Duration mMaxStagger = std::chrono::milliseconds(300);
    /// ranks over which the remaining age is divided
    int mStaggeredRanks = 4;
    /// time after which the first in the rank tries the store again instead of
    /// an instance of another failure domain: the longest backoff in an outage.
    /// Each later one takes as much longer, up to the maximum, as the first one
    /// that succeeds is followed by the others.
    Duration mForeignTerm = std::chrono::milliseconds(2'500);
    Duration mMaxForeignTerm = std::chrono::seconds(20);
  };

  explicit SourceChoice(Options aOptions);

  /// @brief Takes the instances that are registered.
  void OnPeers(const std::vector<Peer>& aPeers);

  /// @brief Returns what to do next.
  [[nodiscard]] SourceStep Next(const CopyState& aState, TimePoint aNow) const;

  /// @brief Records that an instance passed on a copy that was taken.
  void OnAnswered(const Peer& aPeer, TimePoint aNow);

  /// @brief Records that an instance could not be followed.
  /// @param[in] aFollowed the instance that it follows itself; empty: unknown
  void OnFailed(std::string_view aInstance,
                SourceFailure aFailure,
                TimePoint aNow,
                std::string_view aFollowed = {});

  /// @brief Records that this instance has begun to follow the store.
  void OnStoreFollowed();

  /// @brief Checks whether the source has failed and has no successor yet.
  [[nodiscard]] bool IsWithoutSource() const
  {
    return mSourceLostAt.has_value();
  }

private:
  struct Failure
  {
    SourceFailure mKind = SourceFailure::Unreachable;
    int mInRow = 0;
    TimePoint mAt;
  };

  using Candidate = std::optional<Peer>;

  [[nodiscard]] SourceStep NextOfFollower(const Peer& aSource,
                                          const CopyState& aState,
                                          TimePoint aNow) const;
  [[nodiscard]] SourceStep NextWithoutSource(TimePoint aLostAt,
                                             const CopyState& aState,
                                             TimePoint aNow) const;
  [[nodiscard]] SourceStep NextOfDirect(const CopyState& aState,
                                        TimePoint aNow) const;

  /// Returns the first one that may be asked.
  [[nodiscard]] Candidate First(const std::vector<Peer>& aPeers,
                                Duration aNoCopyAvoid,
                                TimePoint aNow) const;
  /// Returns the instances of the domain before this one that may succeed.
  [[nodiscard]] std::vector<Peer> Reachable(TimePoint aNow) const;
  /// Returns the instance that another one named as its source.
  [[nodiscard]] Candidate Followed(Duration aNoCopyAvoid, TimePoint aNow) const;
  [[nodiscard]] bool IsBefore(const Peer& aPeer) const;
  [[nodiscard]] bool IsOfDomain(const Peer& aPeer) const
  {
    return aPeer.mFailureDomain == mOptions.mFailureDomain;
  }
  [[nodiscard]] TimePoint AvoidedUntil(std::string_view aInstance,
                                       Duration aNoCopyAvoid) const;
  [[nodiscard]] bool IsUnreachable(std::string_view aInstance,
                                   TimePoint aNow) const;
  [[nodiscard]] bool WasAskedSinceLoss(std::string_view aInstance) const;

  Options mOptions;
  std::vector<Peer> mAll;
  std::vector<Peer> mBefore; ///< of the own domain, ranked before this one
  std::vector<Peer> mDomain; ///< of the own domain, in an order of this one
  std::vector<Peer> mOthers; ///< all others, in an order of this instance
  std::map<std::string, Failure, std::less<>> mFailures;
  std::optional<Peer> mSource;            ///< answered last; none: the store
  TimePoint mSourceSince;                 ///< it is followed
  std::optional<TimePoint> mSourceLostAt; ///< it has no successor yet
  std::string mFollowed; ///< source that an instance without a copy named
};

} // namespace figslip::relay
