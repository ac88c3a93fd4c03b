#pragma once

#include <figslip/billing/billing_batcher.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figslip::billing {

/// @brief Describes an instance that may keep copies of records.
struct BillingPeer
{
  membership::Incarnation mIncarnation; ///< start 0 where it is not known
  std::string mFailureDomain;

  bool operator==(const BillingPeer&) const = default;
};

/// @brief Orders to tell a peer that records are written.
struct ReleaseOrder
{
  BillingPeer mPeer;
  Position mUpTo = 0;
};

/// @brief Chooses the neighbour that keeps copies and tracks what it keeps.
///
/// Prefers live peers of other failure domains, ranked by rendezvous hashing
/// of the own name, so that the choice is stable and spread evenly. A peer that
/// failed is left out for a time. A peer that is gone, or was replaced, counts
/// as holding nothing, so that the records go to the next one.
class HandOver
{
public:
  struct Options
  {
    membership::Incarnation mSelf;
    std::string mFailureDomain;
    Duration mRetryAfter = std::chrono::seconds(1); ///< after a failure
  };

  explicit HandOver(Options aOptions);

  /// @brief Takes the live peers as the instance list and gossip tell them.
  void OnPeers(const std::vector<BillingPeer>& aPeers);

  /// @brief Returns the neighbour to use now; null where none can be tried.
  [[nodiscard]] const BillingPeer* Choose(TimePoint aNow) const;

  /// @brief Returns the last position that one present peer holds.
  [[nodiscard]] Position HeldUpTo() const;
  /// @brief Returns the last position that a certain peer holds.
  [[nodiscard]] Position HeldBy(const BillingPeer& aPeer) const;

  void OnHeld(const BillingPeer& aPeer, Position aUpTo);
  void OnFailed(const BillingPeer& aPeer, TimePoint aNow);

  /// @brief Demands the word of the peers anew.
  ///
  /// What they hold is not forgotten, but may have been lost since they said
  /// so; before a stop each record is confirmed once more.
  void AskAgain();

  /// @brief Returns a release that a peer has not confirmed yet.
  [[nodiscard]] std::optional<ReleaseOrder> NextRelease(Position aWrittenUpTo,
                                                        TimePoint aNow) const;
  void OnReleased(const ReleaseOrder& aOrder);

private:
  struct Holder
  {
    BillingPeer mPeer;
    Position mHeldUpTo = 0;     ///< as its last word tells
    Position mEverHeldUpTo = 0; ///< to be released once written
    Position mReleasedUpTo = 0;
  };

  [[nodiscard]] bool IsAvoided(const BillingPeer& aPeer, TimePoint aNow) const;

  Options mOptions;
  std::vector<BillingPeer> mRanked; ///< the preferred first
  std::map<std::string, Holder> mHolders;
  std::map<std::string, TimePoint> mAvoidUntil;
};

} // namespace figslip::billing
