#pragma once

#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/time/time_point.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace figslip::placement {

/// @brief Holds what an incarnation of an upstream has said of itself.
struct UpstreamNotice
{
  bool mIsLeaving = false; ///< it receives no further requests
};

/// @brief Remembers what upstreams have said of themselves in responses.
///
/// A notice holds for one incarnation: an id and the time of its start. It does
/// not depend on the list of upstreams, which may be older than the notice, and
/// is kept while the incarnation is missing from the list.
class UpstreamNotices
{
public:
  /// @brief Time for which the notice of an incarnation that is not registered
  /// is kept; lists of the store are never that old.
  static constexpr Duration kRetention = std::chrono::minutes(10);

  /// @brief Returns the notice of an incarnation; without one, an empty notice.
  [[nodiscard]] UpstreamNotice Of(
    const ingress::UpstreamEntry& aUpstream) const;
  /// @brief Returns the number of notices.
  [[nodiscard]] std::size_t Size() const { return mNotices.size(); }

  /// @brief Records that an upstream is leaving.
  /// @return whether it was not known
  bool OnLeaving(const ingress::UpstreamEntry& aUpstream, TimePoint aNow);
  /// @brief Keeps the notices of registered upstreams and removes those of
  /// upstreams that have not been registered for `kRetention`.
  void OnUpstreams(const std::vector<ingress::UpstreamEntry>& aEntries,
                   TimePoint aNow);

private:
  /// Id of the upstream and Unix time of its start in milliseconds.
  using Incarnation = std::pair<std::string, std::int64_t>;

  struct Record
  {
    UpstreamNotice mNotice;
    TimePoint mLastSeen; ///< last notice, or last list with the incarnation
  };

  [[nodiscard]] Record& RecordOf(const ingress::UpstreamEntry& aUpstream,
                                 TimePoint aNow);

  std::map<Incarnation, Record> mNotices;
};

} // namespace figslip::placement
