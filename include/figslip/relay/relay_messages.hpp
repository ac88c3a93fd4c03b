#pragma once

#include <figslip/error/result.hpp>
#include <figslip/relay/change_log.hpp>
#include <figslip/store/store_dialect.hpp>
#include <figslip/time/time_point.hpp>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figslip::relay {

/// @brief Asks an instance for what is newer than a follower's copy.
struct Poll
{
  std::uint64_t mEpoch = 0; ///< process whose numbers these are; 0: none
  std::map<store::ObjectKind, std::uint64_t> mSequences;
  /// revision of the follower's copy, from whatever source; empty: no copy
  std::map<store::ObjectKind, store::StoreRevision> mRevisions;
  Duration mWait{};        ///< longest time without news
  bool mIsForeign = false; ///< the follower is of another failure domain
};

/// @brief Holds what is new of one kind.
struct KindNews
{
  store::ObjectKind mKind = store::ObjectKind::Configuration;
  Delta mDelta; ///< its objects are of the era of `mStoreRevision`
  store::StoreRevision mStoreRevision;
  /// when the copy was confirmed by the store, against the arrival of the poll.
  /// The follower counts from its sending, so a slow answer makes the copy seem
  /// older than it is, never newer.
  Duration mConfirmed{};
};

/// @brief Answers a poll.
struct PollAnswer
{
  std::uint64_t mEpoch = 0;
  bool mIsDirect = false; ///< the copy comes from the store and is current
  std::vector<KindNews> mKinds;
  std::string mSource; ///< instance that the answering one follows; or empty
};

/// @brief Path at which an instance takes records of its followers.
inline constexpr std::string_view kRecordsPath = "/v1/records";

/// @brief Lists all kinds that are passed on.
inline constexpr auto kRelayedKinds =
  std::to_array<store::ObjectKind>({ store::ObjectKind::Configuration,
                                     store::ObjectKind::Upstreams,
                                     store::ObjectKind::Rollouts,
                                     store::ObjectKind::Drains,
                                     store::ObjectKind::Shared });

/// @name Translation to and from Thrift's compact protocol
/// Bytes that are no such message are a finding.
/// @{
[[nodiscard]] std::string
EncodePoll(const Poll& aPoll);
[[nodiscard]] Result<Poll>
DecodePoll(std::string_view aBytes);
[[nodiscard]] std::string
EncodeAnswer(const PollAnswer& aAnswer);
[[nodiscard]] Result<PollAnswer>
DecodeAnswer(std::string_view aBytes);
/// @}

} // namespace figslip::relay
