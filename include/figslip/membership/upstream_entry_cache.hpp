#pragma once

#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figslip::membership {

/// @brief Caches the upstream entries of the store and retains them across
/// store outages.
///
/// Entries expire while the store is unavailable, and live upstreams write them
/// again soon after it recovers. An entry that disappears during an outage is
/// therefore retained until the grace period after the recovery has passed, so
/// that its upstream is not mistaken for one that has left. Otherwise a missing
/// entry is dropped at once. Older writes of an upstream that arrive late are
/// ignored.
///
/// A failed call alone is no outage: the store may have cut off one watch or
/// refused one call. Only a time without answers in which an entry can expire
/// is one, and its end is the first call that the store answers again.
class UpstreamEntryCache
{
public:
  struct Options
  {
    /// shortest outage in which the entry of a live upstream can expire
    Duration mMinOutage = std::chrono::milliseconds(900);
    /// time after the store's recovery within which live upstreams have
    /// written their entries again
    Duration mGracePeriod = std::chrono::milliseconds(2'200);
  };

  explicit UpstreamEntryCache(Options aOptions)
    : mOptions(aOptions)
  {
  }

  /// @brief Retains missing entries until the store has answered again.
  /// @param[in] aSince time from which on the store owed an answer
  void OnStoreLost(TimePoint aSince);

  /// @brief Records that the store answered a call; starts the grace period if
  /// an outage is over.
  /// @param[in] aSentAt when the call was sent
  void OnStoreAnswered(TimePoint aSentAt);

  /// @brief Updates the cache with all entries that the store holds now.
  void OnEntries(const std::vector<ingress::UpstreamEntry>& aEntries,
                 TimePoint aNow);

  /// @brief Drops missing entries, except during an outage or grace period.
  /// @return whether any entry was dropped
  bool Expire(TimePoint aNow);

  /// @brief Returns all cached entries, including retained ones.
  [[nodiscard]] std::vector<ingress::UpstreamEntry> Entries() const;

  /// @brief Returns the number of cached entries that the store lacks.
  [[nodiscard]] std::size_t RetainedCount() const;

private:
  struct CachedEntry
  {
    ingress::UpstreamEntry mEntry;
    bool mIsMissing = false; ///< the store lacks the entry
  };

  Options mOptions;
  std::map<std::string, CachedEntry, std::less<>> mCachedEntries;
  TimePoint mAnsweredAt;               ///< sending of the last answered call
  std::optional<TimePoint> mLostSince; ///< none: the store answers
  std::optional<TimePoint> mGraceUntil;
};

} // namespace figslip::membership
