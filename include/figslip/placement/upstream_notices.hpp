#pragma once

#include <figslip/ingress/upstream_entry.hpp>
#include <figslip/time/time_point.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figslip::placement {

/// @brief Holds what an incarnation of an upstream has said of itself.
struct UpstreamNotice
{
  bool mIsLeaving = false; ///< it receives no further requests
  TimePoint mPausedUntil;  ///< it receives no requests before
  /// requests per second that it takes from all instances together, > 0
  std::optional<double> mMaxRate;
  TimePoint mMaxRateNamedAt; ///< last answer that named a rate
};

/// @brief Least rate, in requests per second, that an upstream is limited to.
/// Without any request nothing would tell that the limit is over.
inline constexpr double kMinMaxRate = 0.25;

/// @brief Maximum time of a pause; with it an upstream that asks for days is
/// not lost.
inline constexpr Duration kMaxPause = std::chrono::minutes(5);

/// @brief Holds the time of a pause that an upstream asked for.
struct BoundedPause
{
  Duration mTime{};
  bool mIsBounded = false; ///< not as asked for
};

/// @brief Converts the time that an upstream asked for to a pause of at most
/// `kMaxPause`.
/// @param[in] aSeconds a negative value or NaN gives no pause
[[nodiscard]] BoundedPause
BoundPause(double aSeconds);

/// @brief Returns a time after the end of a pause that spreads the return of
/// those who wait for it.
/// @param[in] aHash differs among those who wait
/// @return at most a fraction of the pause, and at most a second
[[nodiscard]] Duration
ReturnOffset(Duration aPause, std::uint64_t aHash);

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
  static_assert(kRetention > kMaxPause);

  /// @brief Holds the effect of a request for a pause.
  struct Pause
  {
    BoundedPause mBounded;
    bool mIsBegun = false; ///< the upstream was not pausing before
  };

  /// @param[in] aInstance name of this instance; instances return at different
  ///            times
  explicit UpstreamNotices(std::string_view aInstance);

  /// @brief Returns the notice of an incarnation; without one, an empty notice.
  [[nodiscard]] UpstreamNotice Of(
    const ingress::UpstreamEntry& aUpstream) const;
  /// @brief Returns the number of notices.
  [[nodiscard]] std::size_t Size() const { return mNotices.size(); }

  /// @brief Records that an upstream is leaving.
  /// @return whether it was not known
  bool OnLeaving(const ingress::UpstreamEntry& aUpstream, TimePoint aNow);
  /// @brief Records that an upstream wants no requests for a time.
  /// @note A pause that ends earlier does not shorten the one under way.
  /// @param[in] aSeconds see `BoundPause`
  Pause OnPause(const ingress::UpstreamEntry& aUpstream,
                double aSeconds,
                TimePoint aNow);
  /// @brief Records the rate that an upstream named in an answer, or that it
  /// named none.
  ///
  /// An answer without a rate ends the limit only if its request was sent after
  /// the last answer that named one, as answers may overtake each other.
  /// @param[in] aMaxRate requests per second of all instances; raised to
  ///            `kMinMaxRate`. Nothing if the answer named none
  /// @param[in] aSentAt time at which the request was sent
  /// @return whether the limit changed
  bool OnMaxRate(const ingress::UpstreamEntry& aUpstream,
                 std::optional<double> aMaxRate,
                 TimePoint aSentAt,
                 TimePoint aNow);
  /// @brief Keeps the notices of registered upstreams and removes those of
  /// upstreams that have not been registered for `kRetention`, and pauses that
  /// are over.
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

  std::uint64_t mInstanceHash;
  std::map<Incarnation, Record> mNotices;
};

} // namespace figslip::placement
