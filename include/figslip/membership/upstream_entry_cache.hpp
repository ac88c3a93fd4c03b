#pragma once

#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/time/time_point.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace figslip::membership {

/// @brief Tells upstreams that left from entries that lapsed with the store.
///
/// Entries lapse while the store is away and are written again soon after its
/// return. An entry that disappears during an outage is kept until then. Old
/// writes of an upstream that arrive late are ignored.
class UpstreamEntryCache
{
public:
  struct Options
  {
    /// time after the store's return within which live upstreams are back
    Duration mGracePeriod = std::chrono::milliseconds(2'200);
  };

  explicit UpstreamEntryCache(Options aOptions)
    : mOptions(aOptions)
  {
  }

  void OnStoreLost() { mIsStoreLost = true; }
  void OnStoreRecovered(TimePoint aNow);

  /// @brief Takes the entries that the store has now.
  void OnEntries(const std::vector<ingress::UpstreamEntry>& aEntries,
                 TimePoint aNow);

  /// @brief Drops entries that did not come back in time.
  /// @return whether any was dropped
  bool Expire(TimePoint aNow);

  /// @brief Returns the entries to use.
  [[nodiscard]] std::vector<ingress::UpstreamEntry> Entries() const;

  /// @brief Returns the number of entries kept that the store has not.
  [[nodiscard]] std::size_t RetainedCount() const;

private:
  struct CachedEntry
  {
    ingress::UpstreamEntry mEntry;
    bool mIsMissing = false;
  };

  Options mOptions;
  std::map<std::string, CachedEntry, std::less<>> mCachedEntries;
  bool mIsStoreLost = false;
  std::optional<TimePoint> mRecoveredAt;
};

} // namespace figslip::membership
